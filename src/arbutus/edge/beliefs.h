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

#include "arbutus/edge/dialect.h"
#include "arbutus/routing/roster.h"

#include <map>
#include <string>
#include <vector>

namespace arbutus::edge {

/// What an update did, for logs and for whoever keeps state of upstreams.
struct BeliefChange
{
    bool catalog = false;    // another version is in force
    bool evacuation = false; // other zones are evacuated
    std::vector<routing::RosterChange> upstreams;
    std::vector<std::string> faults; // entries that could not be read, with the reason

    [[nodiscard]] bool matters() const
    {
        return catalog || evacuation || !upstreams.empty();
    }
};

/// Beliefs as they are passed on; keys and values as the store holds them.
struct BeliefSnapshot
{
    metadata::StoreRevision beliefRevision;
    metadata::StoreRevision asOf;
    core::Duration evidenceAge{};
    std::string catalog; // empty where the receiver has that version
    std::map<std::string, std::string> upstreams;
    std::set<core::DomainId> evacuated;
    bool storeWasAway = false;
};

/// The state; events in, changes out.
class Beliefs
{
public:
    explicit Beliefs(const Dialect &dialect, routing::RosterSettings settings = {});

    /// All keys of the store as of `revision`.
    BeliefChange adoptRange(const std::vector<metadata::StoreItem> &items, metadata::StoreRevision revision, bool storeWasAway, core::TimePoint readAt);
    /// Changes that follow asOf(); `revision` is the store's after them.
    BeliefChange adoptChanges(const std::vector<metadata::StoreChange> &changes, metadata::StoreRevision revision, bool storeWasAway, core::TimePoint readAt);
    /// Beliefs of a peer; older ones than the own change nothing.
    BeliefChange adoptSnapshot(const BeliefSnapshot &snapshot, core::TimePoint now);
    /// A peer confirms beliefs of this revision.
    void confirm(metadata::StoreRevision beliefRevision, metadata::StoreRevision asOf, core::Duration age, core::TimePoint now);
    /// A sign that an upstream is leaving, seen by this instance or a peer.
    BeliefChange noteLeaving(const core::UpstreamId &id, core::TimePoint now);
    BeliefChange tick(core::TimePoint now);
    /// The machine stood still for so long: all evidence is older than the clock says.
    void addSuspendedTime(core::Duration duration);

    [[nodiscard]] BeliefSnapshot snapshot(catalog::CatalogVersion known, core::TimePoint now) const;
    [[nodiscard]] const catalog::CatalogPointer &catalog() const
    {
        return m_catalog;
    }
    [[nodiscard]] const routing::Roster &roster() const
    {
        return m_roster;
    }
    [[nodiscard]] metadata::StoreRevision beliefRevision() const
    {
        return m_beliefRevision;
    }
    [[nodiscard]] metadata::StoreRevision asOf() const
    {
        return m_asOf;
    }
    /// Time since the beliefs were last known to be the store's; very long before anything was read.
    [[nodiscard]] core::Duration evidenceAge(core::TimePoint now) const;
    [[nodiscard]] const std::set<core::UpstreamId> &leavingSeen() const
    {
        return m_leavingSeen; // otherwise than through the store
    }

private:
    void adoptCatalog(const std::string &value, BeliefChange &change);
    void applyUpstreams(bool storeWasAway, core::TimePoint now, BeliefChange &change);
    void finish(BeliefChange &change, metadata::StoreRevision revision, core::TimePoint readAt);

    const Dialect &m_dialect;
    routing::Roster m_roster;
    catalog::CatalogPointer m_catalog;
    std::string m_catalogValue;
    std::map<std::string, std::string> m_upstreams;  // by key, as the store holds them
    std::map<std::string, std::string> m_unreadable; // keys with the value that was refused, logged once
    std::set<core::DomainId> m_evacuated;
    std::set<core::UpstreamId> m_leavingSeen;
    metadata::StoreRevision m_beliefRevision;
    metadata::StoreRevision m_asOf;
    core::TimePoint m_evidenceAt{};
    bool m_read = false; // anything at all
    bool m_storeWasAway = false;
};

} // namespace arbutus::edge
