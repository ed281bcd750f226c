// Announcements of upstreams, and the registry of all known upstreams.
//
// Each node has its own registry. It is filled from snapshots of the metadata store; a snapshot with an older store revision
// than the last one is ignored. Rules:
//   - an upstream that has announced it is leaving stays in that state until it restarts, whatever an older message says; after its entry
//     has been erased, the run is remembered for `leftRetention`, so that it is not used if it is listed again;
//   - an upstream whose entry has disappeared counts as removed. If the store was unreachable, it is kept for
//     `missingGracePeriod` after the store has recovered, and removed if it has not announced itself again by then;
//   - a later start time under a known id is a restart: nothing known about the previous run applies any more;
//   - if the store was restored from an older copy, its entries may be older than what is known: an upstream that was removed
//     before comes back only with a later sequence or start time, and an older announcement changes nothing. What is known may
//     itself be older than the copy, as peers do not report sequences: an entry that the restored store has from the start counts
//     as older until it is written again, or has stayed for `restoredEntryGracePeriod`;
//   - an upstream that has not yet announced that it is warm counts as cold.
//
// Q: Which announcement tells whether an upstream is cold after an evacuation?
// A: One that was written after the removal of the evacuation, by the revisions of the store: an earlier one knows nothing of it, whenever it
//    is read. Until then the upstream counts as cold, for `maxColdGuard` at most. An announcement without a known revision tells nothing.
//
// Sections:
//   Announcement
//   UpstreamRegistry   all upstreams by id

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/core/ids.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutus::routing {

using SoftwareVersion = core::StrongId<struct SoftwareVersionTag>;       // of an upstream's software, not of model weights; empty: it states none
using StartTime = core::StrongNumber<struct StartTimeTag>;               // Unix milliseconds; identifies one run of an upstream process
using SnapshotRevision = core::StrongNumber<struct SnapshotRevisionTag>; // revision of the store at which a snapshot was read

//-----------------------------------------------------------------------------
// Announcement
//-----------------------------------------------------------------------------

/// State that an upstream publishes about itself.
struct Announcement
{
    core::UpstreamId id;
    core::ServiceId service;
    std::string address; // "10.0.0.1:8080"; may be reused by another upstream after this one was removed
    core::DomainId domain;
    SoftwareVersion version;
    std::size_t slots = 1;                    // concurrent requests
    bool leaving = false;                     // will soon stop accepting requests
    core::Duration coldRemaining{};           // remaining cold time when the announcement was written
    std::optional<core::Duration> shutdownIn; // time until it exits, even with requests in flight
    StartTime startTime;
    std::uint64_t sequence = 0; // increases with each announcement of one run
    SnapshotRevision writtenAt; // revision of the store at which it was written; 0: not known

    bool operator==(const Announcement &) const = default;
};

//-----------------------------------------------------------------------------
// UpstreamRegistry
//-----------------------------------------------------------------------------

struct UpstreamRegistrySettings
{
    core::Duration missingGracePeriod = std::chrono::milliseconds(2'000); // for entries that expired while the store was unreachable to reappear
    core::Duration maxColdGuard = std::chrono::seconds(6);                // after an evacuation; several intervals of announcements and a slow store
    core::Duration restoredEntryGracePeriod = std::chrono::seconds(10);   // longer than the store keeps the entry of an upstream that is gone
    core::Duration removedRetention = std::chrono::seconds(30);           // removed upstreams are kept this long, so that late messages do not revive them
    core::Duration leftRetention = std::chrono::minutes(10);              // erased runs that left are remembered this long
};

/// Current state of one upstream.
struct RegistryEntry
{
    Announcement announcement;
    core::TimePoint updatedAt{};
    core::TimePoint coldUntil{};
    core::TimePoint guardedUntil{}; // after an evacuation, unless it announces itself again
    bool leaving = false;
    bool removed = false;
    std::optional<core::TimePoint> missingSince;       // missing from the store since it recovered
    std::optional<std::uint64_t> lastRestoredSequence; // entries up to this one may be older than what is known, since the store was restored
    bool removedBeforeRestore = false;                 // until a later entry arrives
    bool hasRestoredEntry = false;                     // the store has such an entry of this removed upstream
    std::optional<core::TimePoint> returnsAt;          // end of the grace of such an entry with a later sequence than was known

    [[nodiscard]] bool isUsable() const
    {
        return !leaving && !removed;
    }
    [[nodiscard]] bool isCold(core::TimePoint now) const
    {
        return now < coldUntil || now < guardedUntil;
    }
};

/// An evacuation that was removed; upstreams of its domain may have become cold before.
struct EndedEvacuation
{
    std::optional<SnapshotRevision> removedAt; // nothing: after all announcements that are known, by another history of the store
    core::TimePoint guardUntil{};
};

/// A change of the registry, for the log and for components that keep state per upstream.
struct RegistryChange
{
    core::UpstreamId id;
    /// Announced: for the first time since the evacuation of its domain was removed.
    enum class Kind { Added, Restarted, Leaving, Missing, Removed, Returned, Cold, Announced } kind = Kind::Added;
};

[[nodiscard]] std::string_view toString(RegistryChange::Kind kind);

/// All upstreams known to a node.
class UpstreamRegistry
{
public:
    explicit UpstreamRegistry(UpstreamRegistrySettings settings = {});

    /// The store was restored from an older copy: revisions begin again, and entries may be older than what is known.
    void beginRestoredHistory();
    /// Applies all entries of the store as of `revision`; a revision older than the last one is ignored.
    std::vector<RegistryChange>
    applySnapshot(SnapshotRevision revision, const std::vector<Announcement> &announcements, bool storeWasUnreachable, core::TimePoint now);
    /// Marks an upstream as leaving because of a signal that did not come from the store.
    std::vector<RegistryChange> markLeaving(const core::UpstreamId &id, core::TimePoint now);
    /// Sets the failure domains whose upstreams must not get requests; returns whether they changed.
    bool setEvacuatedDomains(std::set<core::DomainId> domains, core::TimePoint now);
    /// Records at which revision an evacuation was removed; `left` is the time for which its upstreams may still be guarded. The next
    /// applySnapshot() applies it. Returns false if that removal, or a later one, is known.
    bool recordEvacuationEnd(const core::DomainId &domain, SnapshotRevision removedAt, core::Duration left, core::TimePoint now);
    /// Removes entries missing for longer than the grace period, and drops removed ones after their retention time.
    std::vector<RegistryChange> expireEntries(core::TimePoint now);

    [[nodiscard]] const std::map<core::UpstreamId, RegistryEntry> &entries() const
    {
        return m_entries;
    }
    [[nodiscard]] const RegistryEntry *find(const core::UpstreamId &id) const;
    [[nodiscard]] bool isEvacuated(const core::DomainId &domain) const
    {
        return m_evacuatedDomains.contains(domain);
    }
    [[nodiscard]] const std::set<core::DomainId> &evacuatedDomains() const
    {
        return m_evacuatedDomains;
    }
    /// Evacuations that have ended, while their upstreams may be guarded.
    [[nodiscard]] const std::map<core::DomainId, EndedEvacuation> &endedEvacuations() const
    {
        return m_endedEvacuations;
    }
    [[nodiscard]] core::Duration maxColdGuard() const
    {
        return m_settings.maxColdGuard;
    }
    /// Whether the run of an upstream that began at `startTime` is over: the upstream is unknown, removed or was restarted.
    [[nodiscard]] bool hasRunEnded(const core::UpstreamId &id, StartTime startTime) const;
    /// Whether new requests may be sent to the upstream.
    [[nodiscard]] bool isEligible(const RegistryEntry &entry) const
    {
        return entry.isUsable() && !m_evacuatedDomains.contains(entry.announcement.domain);
    }
    [[nodiscard]] SnapshotRevision revision() const
    {
        return m_revision;
    }
    /// Increases with each change; pointers to entries stay valid while it is unchanged.
    [[nodiscard]] std::uint64_t version() const
    {
        return m_version;
    }

private:
    struct LeftRun
    {
        StartTime startTime;
        core::TimePoint erasedAt{};
    };

    [[nodiscard]] static bool isFromRestoredCopy(const RegistryEntry &entry, const Announcement &announcement);
    void applyAnnouncement(const Announcement &announcement, core::TimePoint now, std::vector<RegistryChange> &changes);
    void updateColdGuards(core::TimePoint now, std::vector<RegistryChange> &changes);
    /// Whether the run, whose entry has been erased, was leaving.
    [[nodiscard]] bool hasLeft(const core::UpstreamId &id, StartTime startTime) const;

    UpstreamRegistrySettings m_settings;
    std::map<core::UpstreamId, RegistryEntry> m_entries;
    std::map<core::UpstreamId, LeftRun> m_leftRuns; // of erased entries
    std::set<core::DomainId> m_evacuatedDomains;
    std::map<core::DomainId, EndedEvacuation> m_endedEvacuations;
    SnapshotRevision m_revision;
    std::uint64_t m_version = 0;
    bool m_beginsHistory = false; // the next snapshot is the first one of a restored store
};

} // namespace arbutus::routing
