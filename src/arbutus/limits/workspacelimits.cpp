// Admission and the distribution of limits over instances.

#include "arbutus/limits/workspacelimits.h"

#include <algorithm>
#include <cmath>

namespace arbutus::limits {

namespace {

constexpr double DemandTimeConstantSeconds = 2.0;                      // time constant of the moving average of demand
constexpr core::Duration RemoteDemandMaxAge = std::chrono::seconds(5); // older reports count as missing
constexpr core::Duration IdleStateRetention = std::chrono::minutes(5); // state of an idle workspace is dropped after this time
constexpr double MinReportedDemand = 0.1;                              // requests per second; lower demand is not reported
constexpr double GuaranteedFraction = 0.5;                             // fraction of the limit that is split evenly between instances

double decayedDemand(double demand, core::TimePoint lastUpdate, core::TimePoint now)
{
    const double age = std::chrono::duration<double>(now - lastUpdate).count();
    return demand * std::exp(-std::max(0.0, age) / DemandTimeConstantSeconds);
}

} // namespace

WorkspaceLimits::WorkspaceState &WorkspaceLimits::findOrCreateState(const config::WorkspacePolicy &policy, const LimitPartition &partition, core::TimePoint now)
{
    const auto found = m_states.find(policy.workspace);
    if (found != m_states.end()) {
        return found->second;
    }
    const double localRate = rateShare(policy, partition, now);
    const double burst = policy.limits.burst * localRate / policy.limits.requestsPerSecond;
    return m_states.emplace(policy.workspace, WorkspaceState{TokenBucket(localRate, burst, now), 0, 0, now, {}}).first->second;
}

core::Result<void> WorkspaceLimits::admit(const config::WorkspacePolicy &policy, const LimitPartition &partition, core::TimePoint now)
{
    WorkspaceState &state = findOrCreateState(policy, partition, now);
    state.demand = decayedDemand(state.demand, state.lastArrival, now) + 1 / DemandTimeConstantSeconds;
    state.lastArrival = now;
    const double localRate = rateShare(policy, partition, now);
    const double localFraction = localRate / policy.limits.requestsPerSecond; // burst and concurrency are distributed like the rate
    state.bucket.setRate(localRate, policy.limits.burst * localFraction, now);
    const auto maxInFlight = static_cast<std::uint32_t>(std::max(1.0, policy.limits.concurrency * localFraction));
    if (state.inFlight >= maxInFlight) {
        core::Error error = core::makeError(core::ErrorKind::RateLimited,
                                            "workspace " + policy.workspace.text + " has reached its concurrency limit on this instance: "
                                                + std::to_string(state.inFlight) + " requests in flight");
        error.retryAfter = std::chrono::milliseconds(1000);
        return error;
    }
    if (!state.bucket.tryAcquire(now)) {
        core::Error error = core::makeError(core::ErrorKind::RateLimited, "workspace " + policy.workspace.text + " exceeded its rate limit on this instance");
        error.retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(state.bucket.timeUntilNextToken(now)) + std::chrono::milliseconds(1);
        return error;
    }
    ++state.inFlight;
    return core::success();
}

void WorkspaceLimits::release(const core::WorkspaceId &workspace)
{
    const auto found = m_states.find(workspace);
    if (found != m_states.end() && found->second.inFlight > 0) {
        --found->second.inFlight;
    }
}

void WorkspaceLimits::updateRemoteDemand(const std::string &source, const WorkspaceDemand &demand, core::TimePoint now)
{
    const auto found = m_states.find(demand.workspace);
    if (found != m_states.end()) {
        found->second.remoteDemand[source] = RemoteDemand{demand.requestsPerSecond, now};
    }
}

std::vector<WorkspaceDemand> WorkspaceLimits::localDemand(core::TimePoint now) const
{
    std::vector<WorkspaceDemand> demands;
    for (const auto &[workspace, state] : m_states) {
        const double demand = decayedDemand(state.demand, state.lastArrival, now);
        if (demand >= MinReportedDemand) {
            demands.push_back(WorkspaceDemand{workspace, demand});
        }
    }
    return demands;
}

std::vector<WorkspaceDemand> WorkspaceLimits::aggregateDemand(bool wholeRegion, core::TimePoint now) const
{
    std::vector<WorkspaceDemand> demands;
    for (const auto &[workspace, state] : m_states) {
        double demand = decayedDemand(state.demand, state.lastArrival, now);
        for (const auto &[source, remote] : state.remoteDemand) {
            const bool included = source.starts_with("instance:") || (wholeRegion && source.starts_with("domain:"));
            demand += included && now - remote.receivedAt < RemoteDemandMaxAge ? remote.requestsPerSecond : 0;
        }
        if (demand >= MinReportedDemand) {
            demands.push_back(WorkspaceDemand{workspace, demand});
        }
    }
    return demands;
}

double WorkspaceLimits::rateShare(const config::WorkspacePolicy &policy, const LimitPartition &partition, core::TimePoint now) const
{
    const double limit = policy.limits.requestsPerSecond;
    const double guaranteedShare = limit * GuaranteedFraction / static_cast<double>(partition.instanceCount);
    const double evenShare = limit * (1 - GuaranteedFraction) / static_cast<double>(partition.instanceCount);
    const auto found = m_states.find(policy.workspace);
    if (found == m_states.end()) {
        return guaranteedShare + evenShare;
    }
    const WorkspaceState &state = found->second;
    double totalDemand = 0;
    std::size_t freshSources = 0;
    for (const auto &[source, remote] : state.remoteDemand) {
        if (now - remote.receivedAt < RemoteDemandMaxAge) {
            totalDemand += remote.requestsPerSecond;
            ++freshSources;
        }
    }
    if (freshSources < partition.demandSourceCount) {
        return guaranteedShare + evenShare;
    }
    const double ownDemand = decayedDemand(state.demand, state.lastArrival, now);
    totalDemand += ownDemand;
    const double demandShare = totalDemand > 0 ? limit * (1 - GuaranteedFraction) * ownDemand / totalDemand : evenShare;
    return guaranteedShare + demandShare;
}

std::uint32_t WorkspaceLimits::inFlight(const core::WorkspaceId &workspace) const
{
    const auto found = m_states.find(workspace);
    return found == m_states.end() ? 0 : found->second.inFlight;
}

void WorkspaceLimits::removeIdle(core::TimePoint now)
{
    std::erase_if(m_states, [&](const auto &entry) { return entry.second.inFlight == 0 && now - entry.second.lastArrival > IdleStateRetention; });
}

} // namespace arbutus::limits
