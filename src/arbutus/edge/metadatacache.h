// Cached configuration, evacuations and upstreams, with the staleness of the cached data.
//
// The data come from the metadata store, read by this instance or by a peer that passes on a snapshot. Updates are ordered by
// the store's position, so the cache only moves forward, whatever the source. Staleness is tracked separately: a peer that
// confirms the same data reduces the staleness without changing the data.
//
// A store that was restored from an older copy has a higher generation and lacks its last changes. The first update of that
// generation replaces the data, but what the cache has acknowledged before holds until it is written again:
//   - a configuration version never goes back, and an instance that has a lower one takes the higher one from any other instance,
//     whatever the store's positions are (see below). Another content of the same version replaces the earlier one if it comes from a
//     later generation: versions rise within a history, so it was written after the restore;
//   - a leaving holds for that run of the upstream; an upstream that was removed comes back with a later announcement only;
//   - an evacuation that the store lacks holds for `evacuationGrace`, also at instances that start meanwhile: messages state what is
//     left of the grace;
//   - an upstream that the store lacks is kept for a grace period, as after an outage (routing::UpstreamRegistry).
//
// Sections:
//   MetadataUpdate     the effect of an update
//   MetadataSnapshot   the form in which instances exchange the cache
//   MetadataCache      the state
//
// Q: What is lastChange for?
// A: Announcements of upstreams change the store a few times a second without any effect on routing. lastChange is
//    the store's position at the last change that matters for routing; peers compare it to decide whether to fetch a snapshot. It
//    follows from the store's contents alone: a change counts even if this instance knew of it in another way.
//
// Q: Which upstreams may be cold after an evacuation, if several changes are read at once?
// A: Those whose entry is older than the removal, by the revisions of both (routing::UpstreamRegistry). Where the removal itself has not been
//    read, as in a full read or a snapshot of an older build, every entry of that read counts as older. The first newer entry of an upstream
//    counts as a change that matters, so that others fetch it.
//
// Q: What if a peer states no generation?
// A: It runs a build of before generations, or its store states none. It is taken to mean this cache's generation. Once the
//    generation has changed, that may be wrong, and its snapshots and confirmations have no effect any more.
//
// Q: How does an instance that starts after a restore learn of a configuration that the store lacks?
// A: What has been acknowledged only grows, apart from the store's position. Each message between instances states the sender's
//    version; an instance with a lower one is behind, and fetches a snapshot from the sender. A snapshot's higher configuration is taken
//    even if the rest of it is older than the cache. Any path that connects two instances is enough, whoever reads the store.
//
// Q: Is an instance that is behind current?
// A: No. Until it has the newer configuration, neither the store nor peers reduce its staleness(). storeStaleness() tells when the data was
//    last confirmed all the same; reads of the store go by that, since more of them don't help. If no instance has stated the version for
//    `statedCatalogRetention`, it is in force nowhere, and the instance is current again.
//
// Q: What if the same version has another content after a restore?
// A: It was written in the later generation and replaces the earlier one, as above. Versions alone are stated, so that does not make an
//    instance behind: the writing is a change of the store, and lastChange tells of it.
//
// Q: What if a version was never acknowledged, and the restore lost it?
// A: It is kept and passed on like an acknowledged one, until the store has the same or a higher version. An instance knows a version from a
//    linearizable read, so the store had committed it; whether its writer got the answer can't be seen from here. A writer without an answer
//    can't know either, and its next version must be higher. A lower one that is written after the restore has no effect until then:
//    instances that take it and ones that don't would need a common order of the writings of both generations, which the store's positions
//    don't give to an instance that has not seen the restore. The line `configuration_kept` names both versions.
//
// Q: What if the store's generation falls?
// A: Updates of a lower generation have no effect. A caller that is sure that the store is another one calls
//    acceptLowerGeneration(); the next full read is then taken as that of a restored store, and peers that state a generation
//    between the two are not believed.

#pragma once

#include "arbutus/edge/configurationproof.h"
#include "arbutus/edge/protocoladapter.h"
#include "arbutus/routing/upstreamregistry.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::edge {

struct MetadataCacheSettings
{
    routing::UpstreamRegistrySettings registry;
    core::Duration evacuationGrace = std::chrono::seconds(10);        // for an evacuation that a restored store lacks to be written again
    core::Duration statedCatalogRetention = std::chrono::seconds(10); // of a version that no other instance states any more
    core::Duration maxConfirmationGap = std::chrono::seconds(2);      // an upstream that comes and goes within it may not be seen
};

/// The effect of an update, for logging and for components that keep state for each upstream.
struct MetadataUpdate
{
    bool catalogChanged = false;    // a new version, or a new content of the version, is in effect
    bool evacuationChanged = false; // the set of evacuated failure domains changed
    bool contentsChanged = false;   // the store changed in a way that matters for routing, whether or not that was known here
    std::vector<routing::RegistryChange> upstreamChanges;
    std::vector<std::string> parseErrors;                                 // entries that could not be parsed, with the reason
    bool isObsolete = false;                                              // older than the cache, so it had no effect
    bool isFullReadNeeded = false;                                        // changes that do not continue the cached data, so they had no effect
    std::optional<metadata::StorePosition> positionBefore;                // if this is the first update from a restored store
    std::optional<catalog::CatalogVersion> replacedCatalog;               // the version whose content was replaced by another one
    std::optional<catalog::CatalogVersion> lowerCatalog;                  // that the store has in place of the one that is kept; once for each
    std::optional<catalog::CatalogVersion> endedCatalog;                  // that no other instance states any more, without this one having got it
    std::set<core::DomainId> keptEvacuations;                             // that a restored store lacks
    std::set<core::DomainId> endedEvacuations;                            // that were kept and have not been written again in time
    std::map<core::DomainId, metadata::StoreRevision> removedEvacuations; // with the revision of the removal, or a later one

    [[nodiscard]] bool hasChanges() const
    {
        return catalogChanged || evacuationChanged || contentsChanged || !upstreamChanges.empty();
    }
};

/// Evacuations that an instance keeps although the store, as restored to `generation`, lacks them; with the time that is left of their grace.
struct KeptEvacuations
{
    metadata::StoreGeneration generation;
    std::map<core::DomainId, core::Duration> domains;
};

/// An evacuation that was removed while the sender of a snapshot, or a peer of it, watched.
struct RemovedEvacuation
{
    metadata::StoreRevision revision; // of the removal
    core::Duration guardLeft{};       // time for which its upstreams may still have to announce themselves

    bool operator==(const RemovedEvacuation &) const = default;
};

/// Contents of a cache as sent to a peer; keys and values are those of the store.
struct MetadataSnapshot
{
    metadata::StorePosition lastChange;
    metadata::StorePosition storePosition;
    core::Duration staleness{};
    std::string catalogValue;               // empty if the receiver already has it
    catalog::CatalogVersion catalogVersion; // of the sender; 0: it has none, or its build states none
    metadata::StoreGeneration catalogGeneration;
    std::map<std::string, std::string> upstreamEntries;
    std::map<std::string, metadata::StoreRevision> entryRevisions; // of the upstream entries; a build that states none has none
    std::set<core::DomainId> evacuatedDomains;
    std::map<core::DomainId, RemovedEvacuation> removedEvacuations;
    bool recentStoreOutage = false;
};

/// Applies reads of the store and snapshots of peers, and returns what changed. Does no I/O of its own.
class MetadataCache
{
public:
    explicit MetadataCache(const ProtocolAdapter &adapter, MetadataCacheSettings settings = {});

    //--- Updates
    /// Applies a full read: all keys of the store as of `position`.
    MetadataUpdate applyRange(const std::vector<metadata::StoreItem> &items, metadata::StorePosition position, bool recentStoreOutage, core::TimePoint readAt);
    /// Applies the changes after `after`, which was storePosition() when they were asked for; `position` is the store's after them.
    MetadataUpdate applyChanges(const std::vector<metadata::StoreChange> &changes,
                                metadata::StorePosition after,
                                metadata::StorePosition position,
                                bool recentStoreOutage,
                                core::TimePoint readAt);
    /// Applies a peer's snapshot; of one that is older than the cache, only a newer configuration has an effect.
    MetadataUpdate applySnapshot(const MetadataSnapshot &snapshot, core::TimePoint now);
    /// Updates the staleness after a peer reported the position of its own cache.
    void confirmCurrent(metadata::StorePosition lastChange, metadata::StorePosition storePosition, core::Duration staleness, core::TimePoint now);
    /// Marks an upstream that this instance or a peer has observed to be leaving.
    MetadataUpdate markLeaving(const core::UpstreamId &id, core::TimePoint now);
    /// Ends grace periods that are over, and forgets versions that are not stated any more.
    MetadataUpdate expireEntries(core::TimePoint now);
    /// Accounts for a suspension of the machine, which the steady clock does not include in the staleness.
    void addSuspendedTime(core::Duration duration);

    //--- Generations
    /// Records a generation that the store or a peer states. Confirmations of earlier ones have no effect from then on.
    void noteGeneration(metadata::StoreGeneration generation);
    /// Accepts that the store has a lower generation than before. The next full read replaces the data.
    void acceptLowerGeneration(metadata::StoreGeneration generation);
    [[nodiscard]] metadata::StoreGeneration knownGeneration() const
    {
        return m_knownGeneration;
    }

    //--- Configurations of other instances
    /// Records the version of the configuration that another instance states to have; 0 if it states none.
    void noteCatalogVersion(catalog::CatalogVersion stated);
    /// Whether a newer configuration than this instance's is known to be in force at another instance.
    [[nodiscard]] bool isCatalogBehind() const
    {
        return m_statedCatalogVersion > knownCatalog().version;
    }

    //--- Proof of how fresh the configuration is
    /// Records that a read of the store that was made at `at` or later has been applied. It proves nothing while this instance lacks a
    /// configuration that another one has.
    void recordStoreRead(BootTime at);
    /// Records the proof that another instance states, with its configuration; call noteClocks() before.
    void recordStatedProof(core::Duration age, KnownCatalog stated, BootTime arrivedAt);
    void noteClocks(BootTime boot, core::TimePoint steady)
    {
        m_proof.noteClocks(boot, steady);
    }
    [[nodiscard]] const ConfigurationProof &proof() const
    {
        return m_proof;
    }

    //--- Evacuations of other instances
    [[nodiscard]] KeptEvacuations keptEvacuations(core::TimePoint now) const;
    /// Keeps the evacuations that another instance keeps, for the rest of their grace, unless this instance has seen them written or ended
    /// since the restore.
    MetadataUpdate noteKeptEvacuations(const KeptEvacuations &kept, core::TimePoint now);

    //--- State
    /// Whether a peer whose last change is this one has newer data.
    [[nodiscard]] bool isNewer(metadata::StorePosition lastChange) const;
    [[nodiscard]] MetadataSnapshot snapshot(KnownCatalog known, core::TimePoint now) const;
    [[nodiscard]] KnownCatalog knownCatalog() const
    {
        return m_catalog ? KnownCatalog{m_catalog->version(), m_catalogGeneration} : KnownCatalog{};
    }
    [[nodiscard]] const catalog::CatalogPointer &catalog() const
    {
        return m_catalog;
    }
    [[nodiscard]] const routing::UpstreamRegistry &registry() const
    {
        return m_registry;
    }
    [[nodiscard]] metadata::StorePosition lastChange() const
    {
        return m_lastChange;
    }
    [[nodiscard]] metadata::StorePosition storePosition() const
    {
        return m_storePosition;
    }
    /// Time since the cache was last known to match what is in force; 24 hours before the first read. It only rises while this instance
    /// is behind.
    [[nodiscard]] core::Duration staleness(core::TimePoint now) const;
    /// Time since the cache was last known to match the store, whatever other instances have.
    [[nodiscard]] core::Duration storeStaleness(core::TimePoint now) const;
    /// Since when all upstreams that were listed have been seen here; nothing before the first read.
    [[nodiscard]] std::optional<core::TimePoint> upstreamsKnownSince() const
    {
        return m_initialized ? std::optional(m_upstreamsKnownSince) : std::nullopt;
    }

private:
    /// Where an update stands relative to the cached data.
    enum class Order {
        Older,
        Continuing,
        Restored, // of a later generation
    };
    [[nodiscard]] Order orderOf(metadata::StorePosition position) const;
    /// The position with the generation that is meant; nothing if that is unknown or not to be believed.
    [[nodiscard]] std::optional<metadata::StorePosition> resolvePeerPosition(metadata::StorePosition position) const;
    /// Prepares for an update at `position`; returns false if the update is older than the cache.
    bool beginUpdate(metadata::StorePosition position, core::TimePoint now, MetadataUpdate &update);
    void applyCatalog(const std::string &value, metadata::StoreGeneration generation, MetadataUpdate &update);
    void applyEvacuations(std::set<core::DomainId> evacuated,
                          const std::map<core::DomainId, RemovedEvacuation> &removed,
                          core::TimePoint now,
                          MetadataUpdate &update);
    /// The stored evacuations that a read as of `readAt` lacks.
    [[nodiscard]] std::map<core::DomainId, RemovedEvacuation> removedSince(const std::set<core::DomainId> &evacuated, metadata::StoreRevision readAt) const;
    void setEvacuatedDomains(core::TimePoint now, MetadataUpdate &update);
    void applyUpstreams(bool recentStoreOutage, core::TimePoint now, MetadataUpdate &update);
    void confirmAt(core::TimePoint at);
    void commitUpdate(const MetadataUpdate &update, metadata::StorePosition lastChange, core::TimePoint readAt);

    const ProtocolAdapter &m_adapter;
    MetadataCacheSettings m_settings;
    routing::UpstreamRegistry m_registry;
    catalog::CatalogPointer m_catalog;
    std::string m_catalogValue;
    metadata::StoreGeneration m_catalogGeneration;                           // latest one in which the store had this value
    std::string m_rejectedCatalogValue;                                      // of a peer's older snapshot, so that it is reported once
    std::optional<catalog::CatalogVersion> m_lowerCatalogVersion;            // of the store, while a higher one is kept
    catalog::CatalogVersion m_statedCatalogVersion;                          // highest one that another instance states to have
    bool m_isCatalogStatedAgain = false;                                     // since expireEntries()
    core::TimePoint m_catalogStatedAt{};                                     // as of expireEntries()
    std::string m_storedCatalogValue;                                        // differs from m_catalogValue if it is older or invalid
    std::map<std::string, std::string> m_upstreamEntries;                    // values by key, as in the store
    std::map<std::string, metadata::StoreRevision> m_entryRevisions;         // of those that are known
    std::map<core::UpstreamId, routing::Announcement> m_storedAnnouncements; // the valid ones
    std::map<std::string, std::string> m_invalidEntries;                     // rejected values by key, so that each is reported once
    std::set<core::DomainId> m_storedEvacuations;
    std::map<core::DomainId, core::TimePoint> m_keptEvacuations; // that a restored store lacks, with the end of their grace
    std::set<core::DomainId> m_decidedEvacuations;               // written or ended since the restore, so that others do not bring them back
    metadata::StorePosition m_lastChange;
    metadata::StorePosition m_storePosition;
    metadata::StoreGeneration m_knownGeneration;                 // highest one that the store or a peer has stated
    std::optional<metadata::StoreGeneration> m_fallenGeneration; // from which the store has fallen to a lower one
    core::TimePoint m_lastConfirmedAt{};
    std::optional<core::TimePoint> m_lastCurrentAt; // before this instance was behind; nothing if it was so from its first read
    bool m_initialized = false;                     // after the first read or snapshot
    bool m_hasGenerationChanged = false;            // since this instance's start
    bool m_isRestoreExpected = false;               // the next update replaces the data, whatever its revision
    core::TimePoint m_upstreamsKnownSince{};
    bool m_recentStoreOutage = false;
    ConfigurationProof m_proof;
};

} // namespace arbutus::edge
