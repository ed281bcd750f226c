// What a dispatcher believes of one upstream's load: work ahead, cached prompt parts, speed and health.
//
// Nothing is asked of the upstream. All of it follows from what was sent there and from when first events and ends came
// back, so the model costs no probe and lags by a message, not by a report period.
//
// Q: Why predict from the prompt and not from the count of running requests?
// A: Prefill is what saturates an engine: a long prompt costs as much of the engine's time as hundreds of output tokens, and
//    a cached one costs nearly nothing.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/core/ids.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutus::routing {

using PlacementId = core::StrongId<struct PlacementTag>; // one placement of one request

/// One shared or own part of a prompt. `chain` hashes the part with all before it, as caches require.
struct PromptPart
{
    std::uint64_t prefixHash = 0;
    std::uint32_t tokens = 0;
};

struct UpstreamEstimatorSettings
{
    double prefillTokensPerMs = 36; // of an engine of ordinary speed; today's deployments state 38.7 and 42.6
    double minSlowdown = 0.7;       // bounds of what is learned of an engine's speed; below 1 is faster than ordinary
    double maxSlowdown = 8;
    double slowdownWeight = 0.12;                                              // of one observation
    double timeSmoothingWeight = 0.15;                                         // of one observation of other times
    core::Duration fixedOverhead = std::chrono::milliseconds(10);              // network and one step, before a first event
    core::Duration baseStepTime = std::chrono::microseconds(6'000);            // of one output token of every run, without prefill
    core::Duration stepTimePerRequest = std::chrono::microseconds(30);         // on top for each run
    core::Duration prefillChunkTime = std::chrono::milliseconds(50);           // a step lasts so much longer while prompts are read
    core::Duration prefillLoadTimeConstant = std::chrono::milliseconds(1'500); // over which the share of time spent on prefill is taken
    core::Duration initialSlotTime = std::chrono::milliseconds(2'000);         // of one request in a slot, before anything was learned
    double maxRequestMemoryRatio = 0.8;                                        // of an engine's memory that running requests may take beside shared parts
    core::Duration initialServiceTime = std::chrono::milliseconds(30);         // of a plain upstream, before anything was learned
    int consecutiveFailuresToEject = 3;                                        // in a row
    core::Duration baseEjectionTime = std::chrono::milliseconds(500);          // doubles with each ejection in a row
    core::Duration maxEjectionTime = std::chrono::milliseconds(4'000);
    double failureRateWeight = 0.08; // of one outcome in the failure rate
};

/// How a piece of work ended.
enum class SendOutcome {
    Completed,          // a whole answer or a stream that ended
    ClientDisconnected, // cancelled because nobody waits for it
    Rejected,           // the upstream says that it did not run it
    Unreachable,        // no connection
    Incomplete,         // sent, and no whole answer came
    TimedOut,           // sent, and nothing came in time
    ServerError,        // the upstream's own failure answer
    NeverSent,          // the holder gave up before sending it
};

[[nodiscard]] std::string_view toString(SendOutcome ending);

/// One piece of work at an upstream.
struct InFlightRequest
{
    core::InstanceId sender; // who sent it
    std::uint32_t uncachedTokens = 0;
    std::uint32_t memoryTokens = 0; // own part of the prompt and expected output
    core::TimePoint grantedAt{};
    core::TimePoint lastReportedAt{};  // last time that its holder spoke of it
    core::Duration predictedLatency{}; // to its first event, when it was granted; zero for work that was learned of from a report
    bool firstEventReceived = false;   // its first event has come
};

/// The model of one upstream.
class UpstreamEstimator
{
public:
    /// `tokensPerEvent`: of a stream; 0 for a plain upstream without prompts.
    UpstreamEstimator(UpstreamEstimatorSettings settings, std::uint64_t memoryTokens, std::size_t slots, std::uint64_t tokensPerEvent);

    //--- Prediction
    /// Tokens of a prompt that are not expected in the cache.
    [[nodiscard]] std::uint32_t countUncached(const std::vector<PromptPart> &prompt, std::uint32_t promptTokens) const;
    /// Time until work that was granted before has had its first event.
    [[nodiscard]] core::Duration backlog(core::TimePoint now) const;
    /// Time since prompts that were granted before have been read; negative while they are.
    [[nodiscard]] core::Duration timeSincePrefill(core::TimePoint now) const;
    /// Time to the first event, or to the whole answer of a plain upstream, of a request granted now.
    [[nodiscard]] core::Duration predictLatency(std::uint32_t uncachedTokens, core::TimePoint now) const;
    /// The same where nothing else is under way.
    [[nodiscard]] core::Duration unloadedLatency(std::uint32_t uncachedTokens) const;
    /// Time that reading `tokens` takes.
    [[nodiscard]] core::Duration prefillTime(std::uint64_t tokens) const;
    /// Share of the engine's time that recent prompts take, 0 to 1.
    [[nodiscard]] double prefillUtilization(core::TimePoint now) const;
    /// Time of `tokens` output tokens.
    [[nodiscard]] core::Duration decodeTime(std::uint32_t tokens, core::TimePoint now) const;
    /// Time until a slot is likely to be free; zero if one is.
    [[nodiscard]] core::Duration slotWait() const;
    /// Whether a slot and the memory for `tokens` more are free.
    [[nodiscard]] bool hasCapacity(std::uint32_t tokens) const;
    [[nodiscard]] double prefillRate() const // tokens for each millisecond
    {
        return m_settings.prefillTokensPerMs / m_slowness;
    }
    [[nodiscard]] core::Duration serviceTime() const
    {
        return m_serviceTime;
    }

    //--- Work
    void recordGrant(const PlacementId &id, InFlightRequest run, const std::vector<PromptPart> &prompt, core::TimePoint now);
    /// Its first event came `took` after it was sent; measured by the sender, as reports may come late.
    void recordFirstEvent(const PlacementId &id, core::Duration took, core::TimePoint now);
    void recordCompletion(const PlacementId &id, SendOutcome ending, core::TimePoint now);
    /// Work that a holder says it has there; unknown work is taken over.
    void recordReport(
        const PlacementId &id, const core::InstanceId &holder, std::optional<core::Duration> firstEventAfter, std::uint32_t memoryTokens, core::TimePoint now);
    /// Forgets work that its holder has not spoken of since `before`.
    std::vector<PlacementId> expireUnreported(core::TimePoint before, core::TimePoint now);
    [[nodiscard]] const std::map<PlacementId, InFlightRequest> &inFlight() const
    {
        return m_runs;
    }
    [[nodiscard]] std::size_t slots() const
    {
        return m_slots;
    }
    [[nodiscard]] bool isEngine() const
    {
        return m_engine;
    }

    //--- Health
    /// Whether work may be sent there; after an ejection one request at a time tries it.
    [[nodiscard]] bool acceptsRequests(core::TimePoint now) const;
    [[nodiscard]] double failureRate() const
    {
        return m_failureRate;
    }

private:
    void rebuildBacklog(core::TimePoint now);
    void learnSlowness(core::Duration predicted, core::Duration took);
    void cacheParts(const std::vector<PromptPart> &prompt);
    void noteHealth(SendOutcome ending, core::TimePoint now);

    UpstreamEstimatorSettings m_settings;
    std::uint64_t m_memoryTokens;
    std::size_t m_slots;
    std::uint64_t m_tokensPerEvent;
    bool m_engine; // false: a plain upstream without prompts
    std::map<PlacementId, InFlightRequest> m_runs;
    std::uint64_t m_memoryUsed = 0;
    core::TimePoint m_backlogEnd{};
    double m_slowness = 1; // first events take so many times as long as predicted for an engine of ordinary speed
    core::Duration m_serviceTime;
    core::Duration m_runTime;  // moving average of requests in a slot
    double m_recentTokens = 0; // prompt tokens granted, fading over loadMemory
    core::TimePoint m_recentAt{};
    struct CachedPart
    {
        std::uint32_t tokens = 0;
        std::list<std::uint64_t>::iterator place;
    };
    std::unordered_map<std::uint64_t, CachedPart> m_cache;
    std::list<std::uint64_t> m_byUse; // least recently used first
    std::uint64_t m_cachedTokens = 0;
    int m_failuresInRow = 0;
    int m_ejections = 0; // in a row
    core::TimePoint m_ejectedUntil{};
    double m_failureRate = 0; // moving average
};

} // namespace arbutus::routing
