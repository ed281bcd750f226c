// Adoption of what the store and peers say.

#include "arbutus/edge/beliefs.h"

namespace arbutus::edge {

Beliefs::Beliefs(const Dialect &dialect, routing::RosterSettings settings)
    : m_dialect(dialect)
    , m_roster(settings)
{
}

void Beliefs::adoptCatalog(const std::string &value, BeliefChange &change)
{
    if (value == m_catalogValue) {
        return;
    }
    auto read = m_dialect.readCatalog(value);
    if (!read) {
        change.faults.push_back("configuration: " + read.error().message);
        return;
    }
    if (m_catalog && read.value()->version() <= m_catalog->version()) {
        return; // never back to an older one
    }
    m_catalog = std::move(read.value());
    m_catalogValue = value;
    change.catalog = true;
}

void Beliefs::applyUpstreams(bool storeWasAway, core::TimePoint now, BeliefChange &change)
{
    std::vector<routing::Announcement> all;
    for (const auto &[key, value] : m_upstreams) {
        auto said = m_dialect.readAnnouncement(key, value);
        if (said) {
            m_unreadable.erase(key);
            all.push_back(std::move(said.value()));
        } else if (const auto told = m_unreadable.find(key); told == m_unreadable.end() || told->second != value) {
            m_unreadable[key] = value;
            change.faults.push_back(key + ": " + said.error().message);
        }
    }
    auto changes = m_roster.apply(routing::RosterRevision(m_asOf.value), all, storeWasAway, now);
    change.upstreams.insert(change.upstreams.end(), changes.begin(), changes.end());
}

void Beliefs::finish(BeliefChange &change, metadata::StoreRevision revision, core::TimePoint readAt)
{
    m_evidenceAt = m_read ? std::max(m_evidenceAt, readAt) : readAt;
    m_read = true;
    if (change.matters()) {
        m_beliefRevision = std::max(m_beliefRevision, revision);
    }
}

BeliefChange Beliefs::adoptRange(const std::vector<metadata::StoreItem> &items, metadata::StoreRevision revision, bool storeWasAway, core::TimePoint readAt)
{
    BeliefChange change;
    if (revision < m_asOf) {
        return change;
    }
    m_asOf = revision;
    m_storeWasAway = storeWasAway;
    m_upstreams.clear();
    std::set<core::DomainId> evacuated;
    const std::string prefix = m_dialect.layout().upstreamPrefix;
    for (const metadata::StoreItem &item : items) {
        if (item.key.starts_with(prefix)) {
            m_upstreams[item.key] = item.value;
        } else if (m_dialect.isCatalogKey(item.key)) {
            adoptCatalog(item.value, change);
        } else if (const core::DomainId domain = m_dialect.evacuatedDomain(item.key); !domain.empty()) {
            evacuated.insert(domain);
        }
    }
    m_evacuated = std::move(evacuated);
    change.evacuation = m_roster.setEvacuated(m_evacuated, readAt);
    applyUpstreams(storeWasAway, readAt, change);
    finish(change, revision, readAt);
    return change;
}

BeliefChange
Beliefs::adoptChanges(const std::vector<metadata::StoreChange> &changes, metadata::StoreRevision revision, bool storeWasAway, core::TimePoint readAt)
{
    BeliefChange change;
    if (revision < m_asOf) {
        return change;
    }
    m_asOf = revision;
    m_storeWasAway = storeWasAway;
    const std::string prefix = m_dialect.layout().upstreamPrefix;
    for (const metadata::StoreChange &row : changes) {
        if (row.item.key.starts_with(prefix)) {
            if (row.removed) {
                m_upstreams.erase(row.item.key);
            } else {
                m_upstreams[row.item.key] = row.item.value;
            }
        } else if (m_dialect.isCatalogKey(row.item.key) && !row.removed) {
            adoptCatalog(row.item.value, change);
        } else if (const core::DomainId domain = m_dialect.evacuatedDomain(row.item.key); !domain.empty()) {
            if (row.removed) {
                m_evacuated.erase(domain);
            } else {
                m_evacuated.insert(domain);
            }
        }
    }
    change.evacuation = m_roster.setEvacuated(m_evacuated, readAt);
    applyUpstreams(storeWasAway, readAt, change);
    finish(change, revision, readAt);
    return change;
}

BeliefChange Beliefs::adoptSnapshot(const BeliefSnapshot &snapshot, core::TimePoint now)
{
    BeliefChange change;
    if (snapshot.asOf < m_asOf) {
        return change;
    }
    m_asOf = snapshot.asOf;
    m_storeWasAway = snapshot.storeWasAway;
    if (!snapshot.catalog.empty()) {
        adoptCatalog(snapshot.catalog, change);
    }
    m_upstreams = snapshot.upstreams;
    m_evacuated = snapshot.evacuated;
    change.evacuation = m_roster.setEvacuated(m_evacuated, now);
    applyUpstreams(snapshot.storeWasAway, now, change);
    finish(change, snapshot.beliefRevision, now - snapshot.evidenceAge);
    m_beliefRevision = std::max(m_beliefRevision, snapshot.beliefRevision);
    return change;
}

void Beliefs::confirm(metadata::StoreRevision beliefRevision, metadata::StoreRevision asOf, core::Duration age, core::TimePoint now)
{
    if (!m_read || beliefRevision > m_beliefRevision) {
        return; // the peer knows something else
    }
    if (asOf >= m_asOf) {
        m_evidenceAt = std::max(m_evidenceAt, now - age);
        m_asOf = asOf;
    }
}

BeliefChange Beliefs::noteLeaving(const core::UpstreamId &id, core::TimePoint now)
{
    BeliefChange change;
    change.upstreams = m_roster.noteLeaving(id, now);
    if (!change.upstreams.empty()) {
        m_leavingSeen.insert(id);
    }
    return change;
}

BeliefChange Beliefs::tick(core::TimePoint now)
{
    BeliefChange change;
    change.upstreams = m_roster.tick(now);
    std::erase_if(m_leavingSeen, [&](const core::UpstreamId &id) { return m_roster.find(id) == nullptr; });
    return change;
}

void Beliefs::addSuspendedTime(core::Duration duration)
{
    m_evidenceAt -= duration;
}

BeliefSnapshot Beliefs::snapshot(catalog::CatalogVersion known, core::TimePoint now) const
{
    BeliefSnapshot out;
    out.beliefRevision = m_beliefRevision;
    out.asOf = m_asOf;
    out.evidenceAge = evidenceAge(now);
    if (m_catalog && known < m_catalog->version()) {
        out.catalog = m_catalogValue;
    }
    out.upstreams = m_upstreams;
    out.evacuated = m_evacuated;
    out.storeWasAway = m_storeWasAway;
    return out;
}

core::Duration Beliefs::evidenceAge(core::TimePoint now) const
{
    return m_read ? now - m_evidenceAt : core::Duration(std::chrono::hours(24));
}

} // namespace arbutus::edge
