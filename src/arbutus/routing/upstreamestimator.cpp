// Predictions, and how they are updated from observations.

#include "arbutus/routing/upstreamestimator.h"

#include <algorithm>
#include <cmath>

namespace arbutus::routing {

namespace {

core::Duration fromMilliseconds(double milliseconds)
{
    return core::Duration(static_cast<core::Duration::rep>(milliseconds * 1000));
}

double toFractionalMilliseconds(core::Duration duration)
{
    return static_cast<double>(duration.count()) / 1000;
}

} // namespace

std::string_view toString(SendOutcome outcome)
{
    switch (outcome) {
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
    case SendOutcome::NoPath:
        return "no_path";
    case SendOutcome::NeverSent:
        break;
    }
    return "never_sent";
}

UpstreamEstimator::UpstreamEstimator(
    UpstreamEstimatorSettings settings, std::uint64_t memoryTokens, std::size_t slots, std::uint64_t tokensPerEvent, std::shared_ptr<EngineProfile> profile)
    : m_settings(settings)
    , m_memoryTokens(memoryTokens)
    , m_slots(std::max<std::size_t>(slots, 1))
    , m_tokensPerEvent(tokensPerEvent)
    , m_isEngine(tokensPerEvent > 0)
    , m_profile(std::move(profile))
    , m_serviceTime(settings.initialServiceTime)
    , m_slotTime(settings.initialSlotTime)
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
            break; // a part counts only if all parts before it are cached too
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
    if (!m_isEngine) {
        const double utilization = static_cast<double>(m_inFlight.size()) / static_cast<double>(m_slots);
        return fromMilliseconds(toFractionalMilliseconds(m_serviceTime) * (1 + std::max(0.0, utilization - 0.5)));
    }
    return backlog(now) + prefillTime(uncachedTokens) + firstEventDelay() + decodeTime(static_cast<std::uint32_t>(m_tokensPerEvent), now);
}

core::Duration UpstreamEstimator::unloadedLatency(std::uint32_t uncachedTokens) const
{
    if (!m_isEngine) {
        return m_serviceTime;
    }
    return prefillTime(uncachedTokens) + firstEventDelay() + toDuration(m_profile->figures().step * static_cast<double>(m_tokensPerEvent));
}

double UpstreamEstimator::prefillUtilization(core::TimePoint now) const
{
    const double timeConstant = toFractionalMilliseconds(m_settings.prefillLoadTimeConstant);
    const double age = toFractionalMilliseconds(now - m_recentPrefillAt);
    return std::min(1.0, m_recentPrefillTokens * std::exp(-age / timeConstant) / timeConstant / prefillRate());
}

core::Duration UpstreamEstimator::decodeTime(std::uint32_t tokens, core::TimePoint now) const
{
    return toDuration(m_profile->predict(EngineWork{0, static_cast<double>(tokens), static_cast<double>(m_inFlight.size()), prefillUtilization(now), 0}));
}

core::Duration UpstreamEstimator::slotWait() const
{
    if (m_inFlight.size() < m_slots) {
        return core::Duration::zero();
    }
    return m_slotTime / static_cast<core::Duration::rep>(m_slots);
}

bool UpstreamEstimator::hasCapacity(std::uint32_t tokens) const
{
    if (m_inFlight.size() >= m_slots) {
        return false;
    }
    const auto maxRequestMemory = static_cast<std::uint64_t>(m_settings.maxRequestMemoryRatio * static_cast<double>(m_memoryTokens));
    return !m_isEngine || m_memoryTokens == 0 || m_memoryUsed + tokens <= maxRequestMemory || m_inFlight.empty();
}

//-----------------------------------------------------------------------------
// Requests in flight
//-----------------------------------------------------------------------------

void UpstreamEstimator::addCachedParts(const std::vector<PromptPart> &prompt)
{
    for (const PromptPart &part : prompt) {
        const auto found = m_cache.find(part.prefixHash);
        if (found != m_cache.end()) {
            m_lruOrder.splice(m_lruOrder.end(), m_lruOrder, found->second.lruPosition);
            continue;
        }
        m_lruOrder.push_back(part.prefixHash);
        m_cache[part.prefixHash] = CachedPart{part.tokens, std::prev(m_lruOrder.end())};
        m_cachedTokens += part.tokens;
    }
    const std::uint64_t freeMemory = m_memoryTokens > m_memoryUsed ? m_memoryTokens - m_memoryUsed : 0;
    while (m_cachedTokens > freeMemory && !m_lruOrder.empty()) {
        const auto oldest = m_cache.find(m_lruOrder.front());
        m_cachedTokens -= oldest->second.tokens;
        m_cache.erase(oldest);
        m_lruOrder.pop_front();
    }
}

void UpstreamEstimator::recordGrant(const PlacementId &id, InFlightRequest request, const std::vector<PromptPart> &prompt, core::TimePoint now)
{
    request.grantedAt = now;
    request.lastReportedAt = now;
    request.predictedLatency = predictLatency(request.uncachedTokens, now);
    m_memoryUsed += request.memoryTokens;
    advanceRequestTime(now);
    if (m_isEngine) {
        request.backlogAtGrant = backlog(now);
        request.firstEventWork = EngineWork{request.backlogAtGrant.count() * prefillRate() + request.uncachedTokens,
                                            static_cast<double>(m_tokensPerEvent),
                                            static_cast<double>(m_inFlight.size()),
                                            prefillUtilization(now),
                                            1};
        m_prefillTokens += request.uncachedTokens;
        m_backlogEnd = std::max(m_backlogEnd, now) + prefillTime(request.uncachedTokens);
        const double age = toFractionalMilliseconds(now - m_recentPrefillAt);
        m_recentPrefillTokens = m_recentPrefillTokens * std::exp(-age / toFractionalMilliseconds(m_settings.prefillLoadTimeConstant)) + request.uncachedTokens;
        m_recentPrefillAt = now;
        addCachedParts(prompt);
    }
    m_inFlight[id] = std::move(request);
}

void UpstreamEstimator::recomputeBacklog(core::TimePoint now)
{
    std::uint64_t tokens = 0;
    for (const auto &[id, request] : m_inFlight) {
        tokens += request.firstEventReceived ? 0 : request.uncachedTokens;
    }
    m_backlogEnd = std::min(m_backlogEnd, now + prefillTime(tokens));
}

void UpstreamEstimator::recordFirstEvent(const PlacementId &id, core::Duration latency, core::TimePoint now)
{
    const auto found = m_inFlight.find(id);
    if (found == m_inFlight.end() || found->second.firstEventReceived) {
        return;
    }
    InFlightRequest &request = found->second;
    request.firstEventReceived = true;
    request.lastReportedAt = now;
    m_consecutiveFailures = 0;
    if (!m_isEngine) {
        return;
    }
    advanceRequestTime(now);
    request.firstEventAt = now;
    request.requestTimeBefore = m_requestTime;
    request.prefillTokensBefore = m_prefillTokens;
    if (request.predictedLatency > core::Duration::zero()) {
        learnFirstEvent(request, latency, now);
    }
    recomputeBacklog(now);
}

void UpstreamEstimator::advanceRequestTime(core::TimePoint now)
{
    if (now > m_requestTimeAt) {
        m_requestTime += static_cast<double>(m_inFlight.size()) * toFractionalMilliseconds(now - m_requestTimeAt);
        m_requestTimeAt = now;
    }
}

void UpstreamEstimator::learnFirstEvent(const InFlightRequest &request, core::Duration latency, core::TimePoint now)
{
    constexpr double QueueDoubt = 0.5; // of the time that the prompts before it take: they may have been read faster or slower
    const EngineObservation observation{request.firstEventWork, latency, request.backlogAtGrant * QueueDoubt};
    if (m_profile->record(observation, now)) {
        const double error = std::log(toFractionalMilliseconds(latency) / std::max(toFractionalMilliseconds(request.predictedLatency), 1.0));
        m_predictionBias += m_settings.timeSmoothingWeight * (error - m_predictionBias);
        m_predictionError += m_settings.timeSmoothingWeight * (std::abs(error) - m_predictionError);
    }
}

void UpstreamEstimator::learnStream(const InFlightRequest &request, const StreamTiming &timing, core::TimePoint now)
{
    const double window = toFractionalMilliseconds(now - request.firstEventAt);
    if (timing.events == 0 || window <= 0 || request.predictedLatency == core::Duration::zero()) {
        return;
    }
    const double meanRequests = (m_requestTime - request.requestTimeBefore) / window;
    const double utilization = (m_prefillTokens - request.prefillTokensBefore) / prefillRate() / window;
    const EngineWork work{0, static_cast<double>(timing.events * m_tokensPerEvent), std::max(0.0, meanRequests - 1), std::min(1.0, utilization), 0};
    (void)m_profile->record(EngineObservation{work, timing.duration, {}}, now);
    m_streamGap += fromMilliseconds(m_settings.timeSmoothingWeight * toFractionalMilliseconds(timing.maxGap - m_streamGap));
}

void UpstreamEstimator::recordCompletion(const PlacementId &id, SendOutcome outcome, const StreamTiming &timing, core::TimePoint now)
{
    const auto found = m_inFlight.find(id);
    if (found != m_inFlight.end()) {
        advanceRequestTime(now);
        const InFlightRequest request = found->second;
        if (m_isEngine && request.firstEventReceived) {
            learnStream(request, timing, now);
        }
        m_inFlight.erase(found);
        m_memoryUsed -= std::min<std::uint64_t>(m_memoryUsed, request.memoryTokens);
        if (m_isEngine) {
            recomputeBacklog(now);
            const auto slotTime = now - request.grantedAt;
            m_slotTime += fromMilliseconds(m_settings.timeSmoothingWeight * toFractionalMilliseconds(slotTime - m_slotTime));
        } else if (outcome == SendOutcome::Completed || outcome == SendOutcome::ServerError) {
            const auto latency = now - request.grantedAt;
            m_serviceTime += fromMilliseconds(m_settings.timeSmoothingWeight * toFractionalMilliseconds(latency - m_serviceTime));
        }
    }
    updateHealth(outcome, now);
}

void UpstreamEstimator::recordReport(
    const PlacementId &id, const core::InstanceId &sender, std::optional<core::Duration> timeToFirstEvent, std::uint32_t memoryTokens, core::TimePoint now)
{
    const auto found = m_inFlight.find(id);
    if (found != m_inFlight.end()) {
        found->second.lastReportedAt = now;
        if (timeToFirstEvent) {
            recordFirstEvent(id, *timeToFirstEvent, now);
        }
        return;
    }
    InFlightRequest request;
    request.sender = sender;
    request.memoryTokens = memoryTokens;
    request.grantedAt = now;
    request.lastReportedAt = now;
    request.firstEventReceived = timeToFirstEvent.has_value();
    m_memoryUsed += memoryTokens;
    advanceRequestTime(now);
    m_inFlight[id] = std::move(request);
}

std::vector<PlacementId> UpstreamEstimator::expireUnreported(core::TimePoint reportedBefore, core::TimePoint now)
{
    std::vector<PlacementId> expired;
    for (const auto &[id, request] : m_inFlight) {
        if (request.lastReportedAt < reportedBefore) {
            expired.push_back(id);
        }
    }
    advanceRequestTime(now);
    for (const PlacementId &id : expired) {
        m_memoryUsed -= std::min<std::uint64_t>(m_memoryUsed, m_inFlight[id].memoryTokens);
        m_inFlight.erase(id);
    }
    if (!expired.empty() && m_isEngine) {
        recomputeBacklog(now);
    }
    return expired;
}

//-----------------------------------------------------------------------------
// Health
//-----------------------------------------------------------------------------

void UpstreamEstimator::updateHealth(SendOutcome outcome, core::TimePoint now)
{
    switch (outcome) {
    case SendOutcome::ClientDisconnected:
    case SendOutcome::NeverSent:
    case SendOutcome::NoPath:
        return; // independent of the upstream's health
    case SendOutcome::Completed:
        m_consecutiveFailures = 0;
        m_consecutiveEjections = 0;
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
    ++m_consecutiveFailures;
    const bool unreachable = outcome == SendOutcome::Unreachable; // another upstream has its address: eject at once
    if (unreachable || m_consecutiveFailures >= m_settings.consecutiveFailuresToEject) {
        const core::Duration ejectionTime = m_settings.baseEjectionTime * (1 << std::min(m_consecutiveEjections, 8));
        m_ejectedUntil = now + std::min(ejectionTime, m_settings.maxEjectionTime);
        ++m_consecutiveEjections;
        m_consecutiveFailures = 0;
    }
}

bool UpstreamEstimator::acceptsRequests(core::TimePoint now) const
{
    if (now < m_ejectedUntil) {
        return false;
    }
    if (m_consecutiveEjections == 0) {
        return true;
    }
    // Probation after an ejection: one request at a time until a first event has arrived.
    return std::none_of(
        m_inFlight.begin(), m_inFlight.end(), [&](const auto &item) { return item.second.grantedAt >= m_ejectedUntil && !item.second.firstEventReceived; });
}

} // namespace arbutus::routing
