// Shares, floors and claims.

#include "arbutus/limits/workspacelimits.h"

#include <algorithm>
#include <cmath>

namespace arbutus::limits {

namespace {

constexpr double DemandSeconds = 2.0;                          // time constant of the demand's moving average
constexpr core::Duration ClaimStale = std::chrono::seconds(5); // a report older than this is no demand
constexpr core::Duration StateKept = std::chrono::minutes(5);  // an idle workspace is forgotten
constexpr double LeastDemand = 0.1;                            // requests a second; less is not told
constexpr double FloorPart = 0.5;                              // part of the limit that is split evenly

double decayed(double demand, core::TimePoint last, core::TimePoint now)
{
    const double age = std::chrono::duration<double>(now - last).count();
    return demand * std::exp(-std::max(0.0, age) / DemandSeconds);
}

} // namespace

WorkspaceLimits::State &WorkspaceLimits::stateOf(const config::WorkspacePolicy &policy, const LimitPartition &sharing, core::TimePoint now)
{
    const auto found = m_states.find(policy.workspace);
    if (found != m_states.end()) {
        return found->second;
    }
    const double share = rateShare(policy, sharing, now);
    const double burst = policy.limits.burst * share / policy.limits.requestsPerSecond;
    return m_states.emplace(policy.workspace, State{TokenBucket(share, burst, now), 0, 0, now, {}}).first->second;
}

core::Result<void> WorkspaceLimits::admit(const config::WorkspacePolicy &policy, const LimitPartition &sharing, core::TimePoint now)
{
    State &state = stateOf(policy, sharing, now);
    state.demand = decayed(state.demand, state.lastArrival, now) + 1 / DemandSeconds;
    state.lastArrival = now;
    const double share = rateShare(policy, sharing, now);
    const double part = share / policy.limits.requestsPerSecond; // burst and concurrency are shared as the rate is
    state.bucket.setRate(share, policy.limits.burst * part, now);
    const auto concurrency = static_cast<std::uint32_t>(std::max(1.0, policy.limits.concurrency * part));
    if (state.inFlight >= concurrency) {
        core::Error error = core::makeError(core::ErrorKind::RateLimited,
                                            "workspace " + policy.workspace.text + " has " + std::to_string(state.inFlight)
                                                + " requests in flight here, its share of concurrency");
        error.retryAfter = std::chrono::milliseconds(1000);
        return error;
    }
    if (!state.bucket.tryAcquire(now)) {
        core::Error error = core::makeError(core::ErrorKind::RateLimited, "workspace " + policy.workspace.text + " is over its share of the rate here");
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
        found->second.others[source] = Heard{demand.requestsPerSecond, now};
    }
}

std::vector<WorkspaceDemand> WorkspaceLimits::localDemand(core::TimePoint now) const
{
    std::vector<WorkspaceDemand> out;
    for (const auto &[workspace, state] : m_states) {
        const double demand = decayed(state.demand, state.lastArrival, now);
        if (demand >= LeastDemand) {
            out.push_back(WorkspaceDemand{workspace, demand});
        }
    }
    return out;
}

std::vector<WorkspaceDemand> WorkspaceLimits::aggregateDemand(bool wholeRegion, core::TimePoint now) const
{
    std::vector<WorkspaceDemand> out;
    for (const auto &[workspace, state] : m_states) {
        double demand = decayed(state.demand, state.lastArrival, now);
        for (const auto &[source, other] : state.others) {
            const bool counted = source.starts_with("instance:") || (wholeRegion && source.starts_with("domain:"));
            demand += counted && now - other.at < ClaimStale ? other.requestsPerSecond : 0;
        }
        if (demand >= LeastDemand) {
            out.push_back(WorkspaceDemand{workspace, demand});
        }
    }
    return out;
}

double WorkspaceLimits::rateShare(const config::WorkspacePolicy &policy, const LimitPartition &sharing, core::TimePoint now) const
{
    const double limit = policy.limits.requestsPerSecond;
    const double floor = limit * FloorPart / static_cast<double>(sharing.instanceCount);
    const double even = limit * (1 - FloorPart) / static_cast<double>(sharing.instanceCount);
    const auto found = m_states.find(policy.workspace);
    if (found == m_states.end()) {
        return floor + even;
    }
    const State &state = found->second;
    double all = 0;
    std::size_t heard = 0;
    for (const auto &[instance, other] : state.others) {
        if (now - other.at < ClaimStale) {
            all += other.requestsPerSecond;
            ++heard;
        }
    }
    if (heard < sharing.demandSourceCount) {
        return floor + even;
    }
    const double own = decayed(state.demand, state.lastArrival, now);
    all += own;
    const double claim = all > 0 ? limit * (1 - FloorPart) * own / all : even;
    return floor + claim;
}

std::uint32_t WorkspaceLimits::inFlight(const core::WorkspaceId &workspace) const
{
    const auto found = m_states.find(workspace);
    return found == m_states.end() ? 0 : found->second.inFlight;
}

void WorkspaceLimits::removeIdle(core::TimePoint now)
{
    std::erase_if(m_states, [&](const auto &entry) { return entry.second.inFlight == 0 && now - entry.second.lastArrival > StateKept; });
}

} // namespace arbutus::limits
