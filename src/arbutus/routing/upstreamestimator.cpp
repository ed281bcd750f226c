// Learning and prediction.

#include "arbutus/routing/upstreamestimator.h"

#include <algorithm>
#include <cmath>

namespace arbutus::routing {

namespace {

core::Duration fromMilliseconds(double milliseconds)
{
    return core::Duration(static_cast<core::Duration::rep>(milliseconds * 1000));
}

double toMillisecondsExact(core::Duration duration)
{
    return static_cast<double>(duration.count()) / 1000;
}

} // namespace

std::string_view toString(SendOutcome ending)
{
    switch (ending) {
    case SendOutcome::Completed:
        return "answered";
    case SendOutcome::ClientDisconnected:
        return "client_disconnected";
    case SendOutcome::Rejected:
        return "rejected";
    case SendOutcome::Unreachable:
        return "unreachable";
    case SendOutcome::Incomplete:
        return "incomplete";
    case SendOutcome::TimedOut:
        return "timed_out";
    case SendOutcome::ServerError:
        return "server_error";
    case SendOutcome::NeverSent:
        break;
    }
    return "never_sent";
}

UpstreamEstimator::UpstreamEstimator(UpstreamEstimatorSettings settings, std::uint64_t memoryTokens, std::size_t slots, std::uint64_t tokensPerEvent)
    : m_settings(settings)
    , m_memoryTokens(memoryTokens)
    , m_slots(std::max<std::size_t>(slots, 1))
    , m_tokensPerEvent(tokensPerEvent)
    , m_engine(tokensPerEvent > 0)
    , m_serviceTime(settings.initialServiceTime)
    , m_runTime(settings.initialSlotTime)
{
}

//-----------------------------------------------------------------------------
// Prediction
//-----------------------------------------------------------------------------

std::uint32_t UpstreamEstimator::countUncached(const std::vector<PromptPart> &prompt, std::uint32_t promptTokens) const
{
    std::uint32_t cached = 0;
    for (const PromptPart &part : prompt) {
        if (!m_cache.contains(part.prefixHash)) {
            break; // a part counts only if all before it are cached too
        }
        cached += part.tokens;
    }
    return promptTokens > cached ? promptTokens - cached : 0;
}

core::Duration UpstreamEstimator::backlog(core::TimePoint now) const
{
    return std::max(core::Duration::zero(), m_backlogEnd - now);
}

core::Duration UpstreamEstimator::timeSincePrefill(core::TimePoint now) const
{
    return now - m_backlogEnd;
}

core::Duration UpstreamEstimator::prefillTime(std::uint64_t tokens) const
{
    return fromMilliseconds(static_cast<double>(tokens) / prefillRate());
}

core::Duration UpstreamEstimator::predictLatency(std::uint32_t uncachedTokens, core::TimePoint now) const
{
    if (!m_engine) {
        const double queued = static_cast<double>(m_runs.size()) / static_cast<double>(m_slots);
        return fromMilliseconds(toMillisecondsExact(m_serviceTime) * (1 + std::max(0.0, queued - 0.5)));
    }
    return backlog(now) + prefillTime(uncachedTokens) + m_settings.fixedOverhead + decodeTime(static_cast<std::uint32_t>(m_tokensPerEvent), now);
}

core::Duration UpstreamEstimator::unloadedLatency(std::uint32_t uncachedTokens) const
{
    if (!m_engine) {
        return m_serviceTime;
    }
    return prefillTime(uncachedTokens) + m_settings.fixedOverhead + m_settings.baseStepTime * static_cast<core::Duration::rep>(m_tokensPerEvent);
}

double UpstreamEstimator::prefillUtilization(core::TimePoint now) const
{
    const double memory = toMillisecondsExact(m_settings.prefillLoadTimeConstant);
    const double age = toMillisecondsExact(now - m_recentAt);
    return std::min(1.0, m_recentTokens * std::exp(-age / memory) / memory / prefillRate());
}

core::Duration UpstreamEstimator::decodeTime(std::uint32_t tokens, core::TimePoint now) const
{
    const double step = toMillisecondsExact(m_settings.baseStepTime + m_settings.stepTimePerRequest * static_cast<core::Duration::rep>(m_runs.size()))
        + prefillUtilization(now) * toMillisecondsExact(m_settings.prefillChunkTime);
    return fromMilliseconds(step * tokens * m_slowness);
}

core::Duration UpstreamEstimator::slotWait() const
{
    if (m_runs.size() < m_slots) {
        return core::Duration::zero();
    }
    return m_runTime / static_cast<core::Duration::rep>(m_slots);
}

bool UpstreamEstimator::hasCapacity(std::uint32_t tokens) const
{
    if (m_runs.size() >= m_slots) {
        return false;
    }
    const auto most = static_cast<std::uint64_t>(m_settings.maxRequestMemoryRatio * static_cast<double>(m_memoryTokens));
    return !m_engine || m_memoryTokens == 0 || m_memoryUsed + tokens <= most || m_runs.empty();
}

//-----------------------------------------------------------------------------
// Work
//-----------------------------------------------------------------------------

void UpstreamEstimator::cacheParts(const std::vector<PromptPart> &prompt)
{
    for (const PromptPart &part : prompt) {
        const auto found = m_cache.find(part.prefixHash);
        if (found != m_cache.end()) {
            m_byUse.splice(m_byUse.end(), m_byUse, found->second.place);
            continue;
        }
        m_byUse.push_back(part.prefixHash);
        m_cache[part.prefixHash] = CachedPart{part.tokens, std::prev(m_byUse.end())};
        m_cachedTokens += part.tokens;
    }
    const std::uint64_t room = m_memoryTokens > m_memoryUsed ? m_memoryTokens - m_memoryUsed : 0;
    while (m_cachedTokens > room && !m_byUse.empty()) {
        const auto oldest = m_cache.find(m_byUse.front());
        m_cachedTokens -= oldest->second.tokens;
        m_cache.erase(oldest);
        m_byUse.pop_front();
    }
}

void UpstreamEstimator::recordGrant(const PlacementId &id, InFlightRequest run, const std::vector<PromptPart> &prompt, core::TimePoint now)
{
    run.grantedAt = now;
    run.lastReportedAt = now;
    run.predictedLatency = predictLatency(run.uncachedTokens, now);
    m_memoryUsed += run.memoryTokens;
    if (m_engine) {
        m_backlogEnd = std::max(m_backlogEnd, now) + prefillTime(run.uncachedTokens);
        const double age = toMillisecondsExact(now - m_recentAt);
        m_recentTokens = m_recentTokens * std::exp(-age / toMillisecondsExact(m_settings.prefillLoadTimeConstant)) + run.uncachedTokens;
        m_recentAt = now;
        cacheParts(prompt);
    }
    m_runs[id] = std::move(run);
}

void UpstreamEstimator::rebuildBacklog(core::TimePoint now)
{
    std::uint64_t tokens = 0;
    for (const auto &[id, run] : m_runs) {
        tokens += run.firstEventReceived ? 0 : run.uncachedTokens;
    }
    m_backlogEnd = std::min(m_backlogEnd, now + prefillTime(tokens));
}

void UpstreamEstimator::recordFirstEvent(const PlacementId &id, core::Duration took, core::TimePoint now)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end() || found->second.firstEventReceived) {
        return;
    }
    InFlightRequest &run = found->second;
    run.firstEventReceived = true;
    run.lastReportedAt = now;
    m_failuresInRow = 0;
    if (!m_engine) {
        return;
    }
    if (run.predictedLatency > core::Duration::zero()) {
        learnSlowness(run.predictedLatency, took);
    }
    rebuildBacklog(now);
}

void UpstreamEstimator::learnSlowness(core::Duration predicted, core::Duration took)
{
    // The estimate moves by the ratio of what was observed to what was predicted with it, so it settles where both agree.
    constexpr double RatioMost = 4; // one observation says no more than this
    const double ratio = std::clamp(toMillisecondsExact(took) / std::max(toMillisecondsExact(predicted), 1.0), 1 / RatioMost, RatioMost);
    m_slowness = std::clamp(m_slowness * std::pow(ratio, m_settings.slowdownWeight), m_settings.minSlowdown, m_settings.maxSlowdown);
}

void UpstreamEstimator::recordCompletion(const PlacementId &id, SendOutcome ending, core::TimePoint now)
{
    const auto found = m_runs.find(id);
    if (found != m_runs.end()) {
        const InFlightRequest run = found->second;
        m_runs.erase(found);
        m_memoryUsed -= std::min<std::uint64_t>(m_memoryUsed, run.memoryTokens);
        if (m_engine) {
            rebuildBacklog(now);
            const auto held = now - run.grantedAt;
            m_runTime += fromMilliseconds(m_settings.timeSmoothingWeight * toMillisecondsExact(held - m_runTime));
        } else if (ending == SendOutcome::Completed || ending == SendOutcome::ServerError) {
            const auto took = now - run.grantedAt;
            m_serviceTime += fromMilliseconds(m_settings.timeSmoothingWeight * toMillisecondsExact(took - m_serviceTime));
        }
    }
    noteHealth(ending, now);
}

void UpstreamEstimator::recordReport(
    const PlacementId &id, const core::InstanceId &holder, std::optional<core::Duration> firstEventAfter, std::uint32_t memoryTokens, core::TimePoint now)
{
    const auto found = m_runs.find(id);
    if (found != m_runs.end()) {
        found->second.lastReportedAt = now;
        if (firstEventAfter) {
            recordFirstEvent(id, *firstEventAfter, now);
        }
        return;
    }
    InFlightRequest run;
    run.sender = holder;
    run.memoryTokens = memoryTokens;
    run.grantedAt = now;
    run.lastReportedAt = now;
    run.firstEventReceived = firstEventAfter.has_value();
    m_memoryUsed += memoryTokens;
    m_runs[id] = std::move(run);
}

std::vector<PlacementId> UpstreamEstimator::expireUnreported(core::TimePoint before, core::TimePoint now)
{
    std::vector<PlacementId> forgotten;
    for (const auto &[id, run] : m_runs) {
        if (run.lastReportedAt < before) {
            forgotten.push_back(id);
        }
    }
    for (const PlacementId &id : forgotten) {
        m_memoryUsed -= std::min<std::uint64_t>(m_memoryUsed, m_runs[id].memoryTokens);
        m_runs.erase(id);
    }
    if (!forgotten.empty() && m_engine) {
        rebuildBacklog(now);
    }
    return forgotten;
}

//-----------------------------------------------------------------------------
// Health
//-----------------------------------------------------------------------------

void UpstreamEstimator::noteHealth(SendOutcome ending, core::TimePoint now)
{
    switch (ending) {
    case SendOutcome::ClientDisconnected:
    case SendOutcome::NeverSent:
        return; // says nothing of the upstream
    case SendOutcome::Completed:
        m_failuresInRow = 0;
        m_ejections = 0;
        m_failureRate -= m_settings.failureRateWeight * m_failureRate;
        return;
    case SendOutcome::ServerError:
    case SendOutcome::Rejected:
    case SendOutcome::Unreachable:
    case SendOutcome::Incomplete:
    case SendOutcome::TimedOut:
        break;
    }
    m_failureRate += m_settings.failureRateWeight * (1 - m_failureRate);
    ++m_failuresInRow;
    const bool clear = ending == SendOutcome::Unreachable; // nobody listens there
    if (clear || m_failuresInRow >= m_settings.consecutiveFailuresToEject) {
        const core::Duration pause = m_settings.baseEjectionTime * (1 << std::min(m_ejections, 8));
        m_ejectedUntil = now + std::min(pause, m_settings.maxEjectionTime);
        ++m_ejections;
        m_failuresInRow = 0;
    }
}

bool UpstreamEstimator::acceptsRequests(core::TimePoint now) const
{
    if (now < m_ejectedUntil) {
        return false;
    }
    if (m_ejections == 0) {
        return true;
    }
    // Probation after an ejection: one at a time until an answer has come.
    return std::none_of(
        m_runs.begin(), m_runs.end(), [&](const auto &row) { return row.second.grantedAt >= m_ejectedUntil && !row.second.firstEventReceived; });
}

} // namespace arbutus::routing
