// What an instance believes of configuration, evacuations and upstreams, and how old the evidence is.
//
// Beliefs come from the metadata store, read by this instance or by another one that passes them on. The store's revision
// orders them, so whoever brought them, they only go forward. The evidence has an age of its own: a peer that confirms the
// same beliefs makes them younger without changing them.
//
// Sections:
//   BeliefChange   what an update did
//   Beliefs        the state
//
// Q: What is the belief revision for?
// A: Announcements of upstreams change the store a few times a second without changing anything that matters here. The
//    belief revision is the store's revision at the last change that did matter; peers compare it to know whether to fetch.

#pragma once

#include "arbutus/edge/protocoladapter.h"
#include "arbutus/routing/upstreamregistry.h"

#include <map>
#include <string>
#include <vector>

namespace arbutus::edge {

/// What an update did, for logs and for whoever keeps state of upstreams.
struct MetadataUpdate
{
    bool catalogChanged = false;    // another version is in force
    bool evacuationChanged = false; // other zones are evacuated
    std::vector<routing::RegistryChange> upstreamChanges;
    std::vector<std::string> parseErrors; // entries that could not be read, with the reason

    [[nodiscard]] bool hasChanges() const
    {
        return catalogChanged || evacuationChanged || !upstreamChanges.empty();
    }
};

/// Beliefs as they are passed on; keys and values as the store holds them.
struct MetadataSnapshot
{
    metadata::StoreRevision lastChangeRevision;
    metadata::StoreRevision storeRevision;
    core::Duration staleness{};
    std::string catalogValue; // empty where the receiver has that version
    std::map<std::string, std::string> upstreamEntries;
    std::set<core::DomainId> evacuatedDomains;
    bool recentStoreOutage = false;
};

/// The state; events in, changes out.
class MetadataCache
{
public:
    explicit MetadataCache(const ProtocolAdapter &dialect, routing::UpstreamRegistrySettings settings = {});

    /// All keys of the store as of `revision`.
    MetadataUpdate applyRange(const std::vector<metadata::StoreItem> &items, metadata::StoreRevision revision, bool storeWasAway, core::TimePoint readAt);
    /// Changes that follow asOf(); `revision` is the store's after them.
    MetadataUpdate applyChanges(const std::vector<metadata::StoreChange> &changes, metadata::StoreRevision revision, bool storeWasAway, core::TimePoint readAt);
    /// Beliefs of a peer; older ones than the own change nothing.
    MetadataUpdate applySnapshot(const MetadataSnapshot &snapshot, core::TimePoint now);
    /// A peer confirms beliefs of this revision.
    void confirmCurrent(metadata::StoreRevision beliefRevision, metadata::StoreRevision asOf, core::Duration age, core::TimePoint now);
    /// A sign that an upstream is leaving, seen by this instance or a peer.
    MetadataUpdate markLeaving(const core::UpstreamId &id, core::TimePoint now);
    MetadataUpdate expireEntries(core::TimePoint now);
    /// The machine stood still for so long: all evidence is older than the clock says.
    void addSuspendedTime(core::Duration duration);

    [[nodiscard]] MetadataSnapshot snapshot(catalog::CatalogVersion known, core::TimePoint now) const;
    [[nodiscard]] const catalog::CatalogPointer &catalog() const
    {
        return m_catalog;
    }
    [[nodiscard]] const routing::UpstreamRegistry &registry() const
    {
        return m_registry;
    }
    [[nodiscard]] metadata::StoreRevision lastChangeRevision() const
    {
        return m_lastChangeRevision;
    }
    [[nodiscard]] metadata::StoreRevision storeRevision() const
    {
        return m_storeRevision;
    }
    /// Time since the beliefs were last known to be the store's; very long before anything was read.
    [[nodiscard]] core::Duration staleness(core::TimePoint now) const;
    [[nodiscard]] const std::set<core::UpstreamId> &observedLeaving() const
    {
        return m_observedLeaving; // otherwise than through the store
    }

private:
    void applyCatalog(const std::string &value, MetadataUpdate &change);
    void applyUpstreams(bool storeWasAway, core::TimePoint now, MetadataUpdate &change);
    void commitUpdate(MetadataUpdate &change, metadata::StoreRevision revision, core::TimePoint readAt);

    const ProtocolAdapter &m_adapter;
    routing::UpstreamRegistry m_registry;
    catalog::CatalogPointer m_catalog;
    std::string m_catalogValue;
    std::map<std::string, std::string> m_upstreamEntries; // by key, as the store holds them
    std::map<std::string, std::string> m_invalidEntries;  // keys with the value that was refused, logged once
    std::set<core::DomainId> m_evacuatedDomains;
    std::set<core::UpstreamId> m_observedLeaving;
    metadata::StoreRevision m_lastChangeRevision;
    metadata::StoreRevision m_storeRevision;
    core::TimePoint m_lastConfirmedAt{};
    bool m_initialized = false; // anything at all
    bool m_recentStoreOutage = false;
};

} // namespace arbutus::edge
