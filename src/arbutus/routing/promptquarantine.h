// Finds prompt parts that crash upstreams, and quarantines them: requests that contain such a part are refused.
//
// Evidence against a part: an upstream crashed while a request with that part was beginning, that is, its response head had
// arrived, but no event. One crash ends every request at that upstream, but only few of them are beginning. Evidence for a part:
// an upstream delivered the first event of a request with it. That clears the part, since a harmful one crashes every upstream.
// A part is quarantined after crashes at `crashesToQuarantine` upstreams with no first event in between.
//
// Each instance has its own object. Instances exchange PartRecords and merge them; the order, repetition and loss of messages do
// not matter. The last part of a prompt belongs to the request alone and is never judged.
//
// No sockets or clock: the caller passes in what happened and the current time.
//
// Sections:
//   Records             evidence as exchanged between instances
//   PromptQuarantine    evidence, verdicts and their expiry
//
// Q: Why are parts that upstreams answered a moment ago not blamed at once?
// A: A part that every request of a route contains is part of every crash. If a request contains another part without a recent
//    first event, only that one is blamed. If all parts had one, the blame waits for `trustPeriod`: sound parts are cleared in it.
//
// Q: How does a sound part get out of quarantine?
// A: By the first event of a request that was in flight, by an operator (lift()), or if it is not requested for `quarantineTime`.
//    There are no trial requests, because each of them would crash one more upstream.
//
// Q: Why must crashes be `minCrashSpacing` apart?
// A: Upstreams that share a rack or a region are lost together, along with whatever was beginning there.

#pragma once

#include "arbutus/routing/upstreamestimator.h"

#include <set>

namespace arbutus::routing {

//-----------------------------------------------------------------------------
// Records
//-----------------------------------------------------------------------------

/// A crash of an upstream during which a request with the part was beginning.
struct PartCrash
{
    core::UpstreamId upstream;
    core::TimePoint at{};
};

/// What is known about a suspect or quarantined part.
struct PartRecord
{
    PromptPartId part;
    std::uint64_t generation = 0; // increases when the part is cleared; older crashes no longer count then
    bool quarantined = false;
    core::TimePoint lastRequestedAt{}; // last request with the part, or last crash
    std::vector<PartCrash> crashes;    // of this generation, oldest first
};

//-----------------------------------------------------------------------------
// PromptQuarantine
//-----------------------------------------------------------------------------

struct PromptQuarantineSettings
{
    std::size_t crashesToQuarantine = 3;                            // upstreams
    core::Duration minCrashSpacing = std::chrono::milliseconds(30); // crashes closer together count as one
    core::Duration trustPeriod = std::chrono::milliseconds(2'000);  // after a first event
    core::Duration evidenceTime = std::chrono::minutes(5);          // a suspect without a further crash is dropped after this
    core::Duration quarantineTime = std::chrono::hours(1);          // since the last request with the part
    std::size_t maxRecords = 512;                                   // the ones that were not requested for longest are dropped
    std::size_t maxTrustedParts = 8'192;                            // parts whose last first event is remembered
};

class PromptQuarantine
{
public:
    explicit PromptQuarantine(PromptQuarantineSettings settings = {});

    //--- Evidence
    /// The upstream crashed while a request with this prompt was beginning there.
    void recordCrash(const std::vector<PromptPart> &prompt, const core::UpstreamId &upstream, core::TimePoint now);
    /// An upstream delivered the first event, or the whole response, of a request with this prompt.
    void recordFirstEvent(const std::vector<PromptPart> &prompt, core::TimePoint now);
    /// Takes what another instance knows.
    void merge(const PartRecord &record, core::TimePoint now);
    /// Ends the quarantine of a part; returns false if it is not quarantined.
    bool lift(PromptPartId part, core::TimePoint now);
    /// Blames parts whose trust has expired, and drops old records. Call it a few times a second.
    void tick(core::TimePoint now);

    //--- Verdicts
    /// The first quarantined part of a prompt, if any. The request counts as one for that part.
    [[nodiscard]] std::optional<PromptPartId> findQuarantined(const std::vector<PromptPart> &prompt, core::TimePoint now);
    [[nodiscard]] const std::map<PromptPartId, PartRecord> &records() const
    {
        return m_records;
    }
    /// Returns the parts whose evidence or verdict has changed since the last call, to be sent to other instances.
    [[nodiscard]] std::set<PromptPartId> takeChanges();

private:
    struct DelayedBlame
    {
        std::vector<PromptPartId> parts;
        core::UpstreamId upstream;
        core::TimePoint at{};
    };

    void blame(PromptPartId part, const PartCrash &crash);
    void addCrash(PartRecord &record, const PartCrash &crash) const;
    /// Starts a new generation without the crashes until `until`.
    void clear(PartRecord &record, core::TimePoint until);
    [[nodiscard]] bool hasEnoughCrashes(const PartRecord &record) const;
    [[nodiscard]] core::TimePoint lastFirstEvent(PromptPartId part) const;
    void rememberFirstEvent(PromptPartId part, core::TimePoint now);
    PartRecord &recordFor(PromptPartId part, core::TimePoint now);

    struct TrustedPart
    {
        core::TimePoint firstEventAt{};
        std::list<PromptPartId>::iterator position;
    };

    PromptQuarantineSettings m_settings;
    std::map<PromptPartId, PartRecord> m_records;
    std::set<PromptPartId> m_changed;
    std::unordered_map<PromptPartId, TrustedPart> m_trusted;
    std::list<PromptPartId> m_trustedOrder; // oldest first event first
    std::vector<DelayedBlame> m_delayed;    // crashes of requests whose parts were all trusted
};

} // namespace arbutus::routing
