// Estimates the state of one upstream for the dispatcher: backlog, cached prompt parts, speed and health.
//
// The upstream is not polled. The estimate is derived from the requests sent there and from the times of their first events
// and completions, so it needs no probes and lags by one message instead of one report period.
//
// What an engine can do is learned from the same observations (routing/engineprofile). Time to the first event: a delay, the prefill of
// the prompts before it, its own prefill, and the steps of the first event's tokens. The events after it: their steps, with the requests
// and the prefill beside them. An observation counts only if this dispatcher granted the request, since it needs what was there then.
//
// Q: Why predict from the prompt and not from the number of requests in flight?
// A: Prefill is what saturates an engine: a long prompt costs as much engine time as hundreds of output tokens, and a cached
//    prompt costs almost nothing.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/core/ids.h"
#include "arbutus/routing/engineprofile.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutus::routing {

using PlacementId = core::StrongId<struct PlacementTag>; // identifies one placement of one request

using PromptPartId = core::StrongNumber<struct PromptPartTag>; // the same wherever the part stands in a prompt

/// A part of a prompt, shared or unique. `prefixHash` covers the part and all parts before it, as in a prefix cache.
struct PromptPart
{
    std::uint64_t prefixHash = 0;
    std::uint32_t tokens = 0;
    PromptPartId id;
};

/// `duration` times `factor`.
[[nodiscard]] inline core::Duration scaled(core::Duration duration, double factor)
{
    return core::Duration(static_cast<core::Duration::rep>(static_cast<double>(duration.count()) * factor));
}

/// The parts that other requests may share: all but the last, which belongs to the request alone.
[[nodiscard]] inline std::span<const PromptPart> sharedParts(const std::vector<PromptPart> &prompt)
{
    return std::span(prompt).first(prompt.empty() ? 0 : prompt.size() - 1);
}

/// Hash of the prefix that other requests may share; 0: there is none.
[[nodiscard]] inline std::uint64_t sharedPrefixHash(const std::vector<PromptPart> &prompt)
{
    const std::span<const PromptPart> shared = sharedParts(prompt);
    return shared.empty() ? 0 : shared.back().prefixHash;
}

struct UpstreamEstimatorSettings
{
    EngineProfileSettings profile;
    double timeSmoothingWeight = 0.15;                                         // weight of one observation of slot and service times
    core::Duration prefillLoadTimeConstant = std::chrono::milliseconds(1'500); // of the moving average of the prefill utilization
    core::Duration initialSlotTime = std::chrono::milliseconds(2'000);         // of one request in a slot, before the first observation
    double maxRequestMemoryRatio = 0.8;                                        // share of an engine's memory for requests in flight, excluding shared parts
    core::Duration initialServiceTime = std::chrono::milliseconds(30);         // of a plain upstream, before the first observation
    int consecutiveFailuresToEject = 3;
    core::Duration baseEjectionTime = std::chrono::milliseconds(500); // doubles with each consecutive ejection
    core::Duration maxEjectionTime = std::chrono::milliseconds(4'000);
    double failureRateWeight = 0.08; // weight of one outcome
};

/// How a request sent to an upstream ended.
enum class SendOutcome {
    Completed,          // complete response or finished stream
    ClientDisconnected, // cancelled because the client is gone
    Rejected,           // the upstream states that it did not run the request
    Unreachable,        // the upstream is not where it was expected
    Incomplete,         // sent, but the response was cut short
    TimedOut,           // sent, but no response in time
    ServerError,        // the upstream answered with an error
    NeverSent,          // the sender gave up before sending it
    NoPath,             // the sender cannot open a connection to the upstream; others may
};

[[nodiscard]] std::string_view toString(SendOutcome outcome);

/// Events of a stream after the first one, as measured by the sender. No events: it did not state them.
struct StreamTiming
{
    std::uint32_t events = 0;
    core::Duration duration{}; // from the first event to the last
    core::Duration maxGap{};   // between two of them

    bool operator==(const StreamTiming &) const = default;
};

/// One request in flight at an upstream.
struct InFlightRequest
{
    core::InstanceId sender;
    std::uint32_t uncachedTokens = 0;
    std::uint32_t memoryTokens = 0; // unshared part of the prompt plus expected output
    core::TimePoint grantedAt{};
    core::TimePoint lastReportedAt{};  // by its sender
    core::Duration predictedLatency{}; // to the first event, as predicted at the grant; zero if known only from a report
    bool firstEventReceived = false;

    //--- For the engine's profile
    EngineWork firstEventWork;      // until the first event, as known at the grant
    FractionalMs backlogAtGrant{};  // part of it
    core::TimePoint firstEventAt{}; // when this instance heard of it
    double requestTimeBefore = 0;   // UpstreamEstimator::m_requestTime then
    double prefillTokensBefore = 0; // UpstreamEstimator::m_prefillTokens then
};

/// Load, cache, speed and health estimate of one upstream.
class UpstreamEstimator
{
public:
    /// `tokensPerEvent` is the number of tokens per stream event; 0 for a plain upstream without prompts.
    UpstreamEstimator(UpstreamEstimatorSettings settings,
                      std::uint64_t memoryTokens,
                      std::size_t slots,
                      std::uint64_t tokensPerEvent,
                      std::shared_ptr<EngineProfile> profile);

    //--- Prediction
    /// Tokens of a prompt that are not expected to be cached.
    [[nodiscard]] std::uint32_t countUncached(const std::vector<PromptPart> &prompt, std::uint32_t promptTokens) const;
    /// Time until the prefill of all requests granted so far has finished.
    [[nodiscard]] core::Duration backlog(core::TimePoint now) const;
    /// Time since the last granted prefill finished; negative while one is running.
    [[nodiscard]] core::Duration timeSincePrefill(core::TimePoint now) const;
    /// Time to the first event, or to the whole response of a plain upstream, of a request granted now.
    [[nodiscard]] core::Duration predictLatency(std::uint32_t uncachedTokens, core::TimePoint now) const;
    /// The same for an idle upstream.
    [[nodiscard]] core::Duration unloadedLatency(std::uint32_t uncachedTokens) const;
    /// Prefill time of `tokens` uncached tokens.
    [[nodiscard]] core::Duration prefillTime(std::uint64_t tokens) const;
    /// Recent share of engine time spent on prefill, 0 to 1.
    [[nodiscard]] double prefillUtilization(core::TimePoint now) const;
    /// Time to generate `tokens` output tokens.
    [[nodiscard]] core::Duration decodeTime(std::uint32_t tokens, core::TimePoint now) const;
    /// Expected time until a slot is free; zero if one is free now.
    [[nodiscard]] core::Duration slotWait() const;
    /// Whether a slot, and memory for `tokens` more tokens, are free.
    [[nodiscard]] bool hasCapacity(std::uint32_t tokens) const;
    [[nodiscard]] double prefillRate() const // tokens per millisecond
    {
        return m_profile->figures().prefillTokensPerMs;
    }
    /// Time before a first event beside prefill and steps.
    [[nodiscard]] core::Duration firstEventDelay() const
    {
        return toDuration(m_profile->figures().firstEventDelay);
    }
    [[nodiscard]] const EngineProfile &profile() const
    {
        return *m_profile;
    }
    /// Moving average of the logarithm of observed by predicted times to the first event, and of its absolute value.
    [[nodiscard]] double predictionBias() const
    {
        return m_predictionBias;
    }
    [[nodiscard]] double predictionError() const
    {
        return m_predictionError;
    }
    /// Moving average of the longest gap of each stream.
    [[nodiscard]] core::Duration streamGap() const
    {
        return m_streamGap;
    }
    [[nodiscard]] core::Duration serviceTime() const
    {
        return m_serviceTime;
    }

    //--- Requests in flight
    void recordGrant(const PlacementId &id, InFlightRequest request, const std::vector<PromptPart> &prompt, core::TimePoint now);
    /// The first event arrived `latency` after the request was sent, as measured by the sender, since reports may be delayed.
    void recordFirstEvent(const PlacementId &id, core::Duration latency, core::TimePoint now);
    void recordCompletion(const PlacementId &id, SendOutcome outcome, const StreamTiming &timing, core::TimePoint now);
    /// Records that `sender` reports the request as in flight; a request not known yet is added.
    void recordReport(
        const PlacementId &id, const core::InstanceId &sender, std::optional<core::Duration> timeToFirstEvent, std::uint32_t memoryTokens, core::TimePoint now);
    /// Drops requests last reported before `reportedBefore` and returns their ids.
    std::vector<PlacementId> expireUnreported(core::TimePoint reportedBefore, core::TimePoint now);
    [[nodiscard]] const std::map<PlacementId, InFlightRequest> &inFlight() const
    {
        return m_inFlight;
    }
    [[nodiscard]] std::size_t slots() const
    {
        return m_slots;
    }
    [[nodiscard]] bool isEngine() const
    {
        return m_isEngine;
    }

    //--- Health
    /// Whether requests may be sent; after an ejection one at a time, as a probe.
    [[nodiscard]] bool acceptsRequests(core::TimePoint now) const;
    [[nodiscard]] double failureRate() const
    {
        return m_failureRate;
    }
    /// End of the last ejection.
    [[nodiscard]] core::TimePoint ejectedUntil() const
    {
        return m_ejectedUntil;
    }

private:
    void recomputeBacklog(core::TimePoint now);
    /// Accounts for the requests in flight until `now`; call it before their number changes.
    void advanceRequestTime(core::TimePoint now);
    void learnFirstEvent(const InFlightRequest &request, core::Duration latency, core::TimePoint now);
    void learnStream(const InFlightRequest &request, const StreamTiming &timing, core::TimePoint now);
    void addCachedParts(const std::vector<PromptPart> &prompt);
    void updateHealth(SendOutcome outcome, core::TimePoint now);

    UpstreamEstimatorSettings m_settings;
    std::uint64_t m_memoryTokens;
    std::size_t m_slots;
    std::uint64_t m_tokensPerEvent;
    bool m_isEngine; // false: a plain upstream without prompts
    std::map<PlacementId, InFlightRequest> m_inFlight;
    std::uint64_t m_memoryUsed = 0;
    core::TimePoint m_backlogEnd{};
    std::shared_ptr<EngineProfile> m_profile;
    double m_predictionBias = 0;
    double m_predictionError = 0;
    core::Duration m_streamGap{};
    double m_requestTime = 0; // integral over time of the number of requests in flight, in milliseconds
    core::TimePoint m_requestTimeAt{};
    double m_prefillTokens = 0; // uncached tokens granted since the start
    core::Duration m_serviceTime;
    core::Duration m_slotTime;        // moving average of the time that a request holds a slot
    double m_recentPrefillTokens = 0; // granted uncached tokens; decays with prefillLoadTimeConstant
    core::TimePoint m_recentPrefillAt{};
    struct CachedPart
    {
        std::uint32_t tokens = 0;
        std::list<std::uint64_t>::iterator lruPosition;
    };
    std::unordered_map<std::uint64_t, CachedPart> m_cache;
    std::list<std::uint64_t> m_lruOrder; // least recently used first
    std::uint64_t m_cachedTokens = 0;
    int m_consecutiveFailures = 0;
    int m_consecutiveEjections = 0;
    core::TimePoint m_ejectedUntil{};
    double m_failureRate = 0; // moving average
};

} // namespace arbutus::routing
