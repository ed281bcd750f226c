// Estimates the state of one upstream for the dispatcher: backlog, cached prompt parts, speed and health.
//
// The upstream is not polled. The estimate is derived from the requests sent there and from the times of their first events
// and completions, so it needs no probes and lags by one message instead of one report period.
//
// Q: Why predict from the prompt and not from the number of requests in flight?
// A: Prefill is what saturates an engine: a long prompt costs as much engine time as hundreds of output tokens, and a cached
//    prompt costs almost nothing.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/core/ids.h"

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

/// The parts that other requests may share: all but the last, which belongs to the request alone.
[[nodiscard]] inline std::span<const PromptPart> sharedParts(const std::vector<PromptPart> &prompt)
{
    return std::span(prompt).first(prompt.empty() ? 0 : prompt.size() - 1);
}

struct UpstreamEstimatorSettings
{
    double prefillTokensPerMs = 36; // nominal engine speed; current deployments state 38.7 and 42.6
    double minSlowdown = 0.7;       // bounds of the learned slowdown; below 1 is faster than nominal
    double maxSlowdown = 8;
    double slowdownWeight = 0.12;                                              // weight of one observation of the slowdown
    double timeSmoothingWeight = 0.15;                                         // weight of one observation of slot and service times
    core::Duration fixedOverhead = std::chrono::milliseconds(10);              // network and one step before the first event
    core::Duration baseStepTime = std::chrono::microseconds(6'000);            // one decode step (one output token of each request) without prefill
    core::Duration stepTimePerRequest = std::chrono::microseconds(30);         // added per request in flight
    core::Duration prefillChunkTime = std::chrono::milliseconds(50);           // added to a step during prefill
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
};

/// Load, cache, speed and health estimate of one upstream.
class UpstreamEstimator
{
public:
    /// `tokensPerEvent` is the number of tokens per stream event; 0 for a plain upstream without prompts.
    UpstreamEstimator(UpstreamEstimatorSettings settings, std::uint64_t memoryTokens, std::size_t slots, std::uint64_t tokensPerEvent);

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
        return m_settings.prefillTokensPerMs / m_slowdown;
    }
    [[nodiscard]] core::Duration serviceTime() const
    {
        return m_serviceTime;
    }

    //--- Requests in flight
    void recordGrant(const PlacementId &id, InFlightRequest request, const std::vector<PromptPart> &prompt, core::TimePoint now);
    /// The first event arrived `latency` after the request was sent, as measured by the sender, since reports may be delayed.
    void recordFirstEvent(const PlacementId &id, core::Duration latency, core::TimePoint now);
    void recordCompletion(const PlacementId &id, SendOutcome outcome, core::TimePoint now);
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
    void updateSlowdown(core::Duration predicted, core::Duration latency);
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
    double m_slowdown = 1; // learned factor on times predicted for an engine of nominal speed
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
