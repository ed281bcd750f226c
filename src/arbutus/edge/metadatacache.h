// Cached configuration, evacuations and upstreams, with the staleness of the cached data.
//
// The data come from the metadata store, read by this instance or by a peer that passes on a snapshot. Updates are ordered by
// the store's revision, so the cache only moves forward, whatever the source. Staleness is tracked separately: a peer that
// confirms the same data reduces the staleness without changing the data.
//
// Sections:
//   MetadataUpdate     the effect of an update
//   MetadataSnapshot   the form in which instances exchange the cache
//   MetadataCache      the state
//
// Q: What is lastChange for?
// A: Announcements of upstreams change the store a few times a second without any effect on routing. lastChange is
//    the store's position at the last change that had one; peers compare it to decide whether to fetch a snapshot.

#pragma once

#include "arbutus/edge/protocoladapter.h"
#include "arbutus/routing/upstreamregistry.h"

#include <map>
#include <string>
#include <vector>

namespace arbutus::edge {

/// The effect of an update, for logging and for components that keep state for each upstream.
struct MetadataUpdate
{
    bool catalogChanged = false;    // a new version is in effect
    bool evacuationChanged = false; // the set of evacuated failure domains changed
    std::vector<routing::RegistryChange> upstreamChanges;
    std::vector<std::string> parseErrors; // entries that could not be parsed, with the reason
    bool isObsolete = false;              // older than the cache, so it had no effect

    [[nodiscard]] bool hasChanges() const
    {
        return catalogChanged || evacuationChanged || !upstreamChanges.empty();
    }
};

/// Contents of a cache as sent to a peer; keys and values are those of the store.
struct MetadataSnapshot
{
    metadata::StorePosition lastChange;
    metadata::StorePosition storePosition;
    core::Duration staleness{};
    std::string catalogValue; // empty if the receiver already has this version
    std::map<std::string, std::string> upstreamEntries;
    std::set<core::DomainId> evacuatedDomains;
    bool recentStoreOutage = false;
};

/// Applies reads of the store and snapshots of peers, and returns what changed. Does no I/O of its own.
class MetadataCache
{
public:
    explicit MetadataCache(const ProtocolAdapter &adapter, routing::UpstreamRegistrySettings settings = {});

    /// Applies a full read: all keys of the store as of `position`.
    MetadataUpdate applyRange(const std::vector<metadata::StoreItem> &items, metadata::StorePosition position, bool recentStoreOutage, core::TimePoint readAt);
    /// Applies the changes after storePosition(); `position` is the store's position after them.
    MetadataUpdate
    applyChanges(const std::vector<metadata::StoreChange> &changes, metadata::StorePosition position, bool recentStoreOutage, core::TimePoint readAt);
    /// Applies a peer's snapshot; one that is older than the cache has no effect.
    MetadataUpdate applySnapshot(const MetadataSnapshot &snapshot, core::TimePoint now);
    /// Updates the staleness after a peer reported the position of its own cache.
    void confirmCurrent(metadata::StorePosition lastChange, metadata::StorePosition storePosition, core::Duration staleness, core::TimePoint now);
    /// Marks an upstream that this instance or a peer has observed to be leaving.
    MetadataUpdate markLeaving(const core::UpstreamId &id, core::TimePoint now);
    MetadataUpdate expireEntries(core::TimePoint now);
    /// Accounts for a suspension of the machine, which the steady clock does not include in the staleness.
    void addSuspendedTime(core::Duration duration);

    [[nodiscard]] MetadataSnapshot snapshot(catalog::CatalogVersion knownVersion, core::TimePoint now) const;
    /// What to tell a peer that is asked for a snapshot.
    [[nodiscard]] catalog::CatalogVersion knownCatalog() const
    {
        return m_catalog ? m_catalog->version() : catalog::CatalogVersion();
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
    /// Time since the cache was last known to match the store; 24 hours before the first read.
    [[nodiscard]] core::Duration staleness(core::TimePoint now) const;

private:
    void applyCatalog(const std::string &value, MetadataUpdate &update);
    void applyUpstreams(bool recentStoreOutage, core::TimePoint now, MetadataUpdate &update);
    void commitUpdate(MetadataUpdate &update, metadata::StorePosition position, core::TimePoint readAt);

    const ProtocolAdapter &m_adapter;
    routing::UpstreamRegistry m_registry;
    catalog::CatalogPointer m_catalog;
    std::string m_catalogValue;
    std::map<std::string, std::string> m_upstreamEntries; // values by key, as in the store
    std::map<std::string, std::string> m_invalidEntries;  // rejected values by key, so that each is reported once
    std::set<core::DomainId> m_evacuatedDomains;
    metadata::StorePosition m_lastChange;
    metadata::StorePosition m_storePosition;
    core::TimePoint m_lastConfirmedAt{};
    bool m_initialized = false; // after the first read or snapshot
    bool m_recentStoreOutage = false;
};

} // namespace arbutus::edge
