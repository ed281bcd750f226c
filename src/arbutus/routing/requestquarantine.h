// Finds requests that crash upstreams, and quarantines what they have in common: a prompt part, or their fingerprint.
//
// A part and a fingerprint are two kinds of one CrashCause, with the same records, exchange, verdicts and expiry. They differ in what
// counts as evidence:
//
//                    evidence against: an upstream crashed while     evidence for: an upstream has
//   prompt part      a request with it was beginning (response       delivered the first event of a request with it
//                    head, but no event)
//   fingerprint      the request was sent and not complete           answered the whole request
//
// One crash ends every request at that upstream. Few of them are beginning, so few parts are suspected; more requests are incomplete,
// but a sound one completes at the next upstream. Evidence for a cause clears it, since a harmful one crashes every upstream. A cause
// is quarantined after crashes at `crashesToQuarantine` upstreams with no evidence for it in between.
//
// Each instance has its own object. Instances exchange CauseRecords and merge them; the order, repetition and loss of messages do
// not matter. The last part of a prompt belongs to the request alone and is never judged.
//
// No sockets or clock: the caller passes in what happened and the current time.
//
// Sections:
//   Records             evidence as exchanged between instances
//   SuccessMemory       when causes were last cleared by evidence for them
//   RequestQuarantine   evidence, verdicts and their expiry
//
// Q: Why are causes with recent evidence for them not blamed at once?
// A: A part that every request of a route contains is part of every crash, and a request that is repeated every second is at some
//    upstream whenever one crashes. If a prompt contains another part without a recent first event, only that one is blamed. Otherwise
//    the blame waits for `trustPeriod` or `requestTrustPeriod`: sound causes are cleared in it.
//
// Q: What of sound requests that share a crash with a harmful one, and after a retry the next?
// A: Crashes that a quarantined cause explains do not count against fingerprints. If another request with as many crashes shares all
//    of them, or all but one, a further crash decides. The verdict on a fingerprint waits for `verdictDelay`, in which the evidence of
//    other instances arrives; until then the request is refused.
//
// Q: How does a sound cause get out of quarantine?
// A: By evidence for it from a request that was in flight, by an operator (lift()), or if it is not requested for `quarantineTime`.
//    There are no trial requests, because each of them would crash one more upstream.
//
// Q: Why must crashes be `minCrashSpacing` apart?
// A: Upstreams that share a rack or a region are lost together, along with whatever was running there.

#pragma once

#include "arbutus/routing/crashcause.h"

#include <set>

namespace arbutus::routing {

//-----------------------------------------------------------------------------
// Records
//-----------------------------------------------------------------------------

/// A crash of an upstream that is evidence against the cause.
struct CauseCrash
{
    core::UpstreamId upstream;
    core::TimePoint at{};
};

/// What is known about a suspect or quarantined cause.
struct CauseRecord
{
    CrashCause cause;
    std::uint64_t generation = 0; // increases when the cause is cleared; older crashes no longer count then
    bool quarantined = false;
    core::TimePoint lastRequestedAt{}; // last request with the cause, or last crash
    std::vector<CauseCrash> crashes;   // of this generation, oldest first
};

//-----------------------------------------------------------------------------
// SuccessMemory
//-----------------------------------------------------------------------------

/// Remembers the last success of a limited number of causes; those whose success is oldest are forgotten.
class SuccessMemory
{
public:
    explicit SuccessMemory(std::size_t maxCauses)
        : m_maxCauses(maxCauses)
    {
    }

    void record(const CrashCause &cause, core::TimePoint now);
    /// Zero if there is none.
    [[nodiscard]] core::TimePoint last(const CrashCause &cause) const;

private:
    struct Success
    {
        core::TimePoint at{};
        std::uint64_t number = 0;
    };

    std::size_t m_maxCauses;
    std::uint64_t m_nextNumber = 0;
    std::unordered_map<CrashCause, Success> m_successes;
    std::map<std::uint64_t, CrashCause> m_order; // by number of the success
};

//-----------------------------------------------------------------------------
// RequestQuarantine
//-----------------------------------------------------------------------------

struct RequestQuarantineSettings
{
    std::size_t crashesToQuarantine = 3;                            // upstreams
    core::Duration minCrashSpacing = std::chrono::milliseconds(30); // crashes closer together count as one
    core::Duration verdictDelay = std::chrono::milliseconds(100);   // after the last crash, for fingerprints
    core::Duration trustPeriod = std::chrono::milliseconds(2'000);  // after a first event
    core::Duration requestTrustPeriod = std::chrono::seconds(4);    // by which blame is delayed for a fingerprint with a completed run
    core::Duration completionMemory = std::chrono::minutes(1);      // in this time
    core::Duration evidenceTime = std::chrono::minutes(5);          // a suspect without a further crash is dropped after this
    core::Duration quarantineTime = std::chrono::hours(1);          // since the last request with the cause
    std::size_t maxRecords = 512;                                   // those with least evidence are dropped, then the ones not requested for longest
    std::size_t maxTrustedParts = 8'192;                            // parts whose last first event is remembered
    std::size_t maxTrustedRequests = 16'384;                        // fingerprints whose last completed run is remembered
};

class RequestQuarantine
{
public:
    explicit RequestQuarantine(RequestQuarantineSettings settings = {});

    //--- Evidence
    /// The upstream crashed while a request with this prompt was beginning there.
    void recordCrash(const std::vector<PromptPart> &prompt, const core::UpstreamId &upstream, core::TimePoint now);
    /// The upstream crashed before it had completed this request.
    void recordCrash(const RequestFingerprint &request, const core::UpstreamId &upstream, core::TimePoint now);
    /// An upstream delivered the first event, or the whole response, of a request with this prompt.
    void recordFirstEvent(const std::vector<PromptPart> &prompt, core::TimePoint now);
    /// An upstream has answered this request completely.
    void recordCompletion(const RequestFingerprint &request, core::TimePoint now);
    /// Takes what another instance knows.
    void merge(const CauseRecord &record, core::TimePoint now);
    /// Ends the quarantine of a cause; returns false if it is not quarantined.
    bool lift(const CrashCause &cause, core::TimePoint now);
    /// Blames causes whose trust has expired, judges fingerprints, and drops old records. Call it a few times a second.
    void tick(core::TimePoint now);

    //--- Verdicts
    /// The first quarantined cause in a request, if any. The request counts as one for that cause.
    [[nodiscard]] std::optional<CrashCause> findQuarantined(const std::vector<PromptPart> &prompt, const RequestFingerprint &request, core::TimePoint now);
    [[nodiscard]] const std::map<CrashCause, CauseRecord> &records() const
    {
        return m_records;
    }
    [[nodiscard]] bool hasChanges() const
    {
        return !m_changed.empty();
    }
    /// Returns the causes whose evidence or verdict has changed since the last call, to be sent to other instances.
    [[nodiscard]] std::set<CrashCause> takeChanges();

private:
    struct DelayedBlame
    {
        std::vector<CrashCause> causes;
        CauseCrash crash;
        core::TimePoint dueAt{};
    };

    void blame(const CrashCause &cause, const CauseCrash &crash);
    void addCrash(CauseRecord &record, const CauseCrash &crash) const;
    void recordSuccess(SuccessMemory &memory, const CrashCause &cause, core::TimePoint now);
    /// Starts a new generation without the crashes until `until`.
    void clear(CauseRecord &record, core::TimePoint until);
    /// Crashes that count against the cause.
    [[nodiscard]] std::size_t countCrashes(const CauseRecord &record) const;
    /// Whether another request, with as many crashes, shares all of them or all but one.
    [[nodiscard]] bool isMatched(const CauseRecord &record) const;
    void judgeRequests(core::TimePoint now);
    /// Whether a quarantined cause accounts for the crash of an upstream.
    [[nodiscard]] bool isExplained(const core::UpstreamId &upstream) const;
    [[nodiscard]] core::TimePoint lastSuccess(const CrashCause &cause) const;
    CauseRecord &recordFor(const CrashCause &cause, core::TimePoint now);

    RequestQuarantineSettings m_settings;
    std::map<CrashCause, CauseRecord> m_records;
    std::set<CrashCause> m_changed;
    SuccessMemory m_firstEvents; // of parts
    SuccessMemory m_completions; // of fingerprints
    std::vector<DelayedBlame> m_delayed;
};

} // namespace arbutus::routing
