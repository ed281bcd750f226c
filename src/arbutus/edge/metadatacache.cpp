// Adoption of what the store and peers say.

#include "arbutus/edge/metadatacache.h"

namespace arbutus::edge {

MetadataCache::MetadataCache(const ProtocolAdapter &dialect, routing::UpstreamRegistrySettings settings)
    : m_adapter(dialect)
    , m_registry(settings)
{
}

void MetadataCache::applyCatalog(const std::string &value, MetadataUpdate &change)
{
    if (value == m_catalogValue) {
        return;
    }
    auto read = m_adapter.parseCatalog(value);
    if (!read) {
        change.parseErrors.push_back("configuration: " + read.error().message);
        return;
    }
    if (m_catalog && read.value()->version() <= m_catalog->version()) {
        return; // never back to an older one
    }
    m_catalog = std::move(read.value());
    m_catalogValue = value;
    change.catalogChanged = true;
}

void MetadataCache::applyUpstreams(bool storeWasAway, core::TimePoint now, MetadataUpdate &change)
{
    std::vector<routing::Announcement> all;
    for (const auto &[key, value] : m_upstreamEntries) {
        auto said = m_adapter.parseAnnouncement(key, value);
        if (said) {
            m_invalidEntries.erase(key);
            all.push_back(std::move(said.value()));
        } else if (const auto told = m_invalidEntries.find(key); told == m_invalidEntries.end() || told->second != value) {
            m_invalidEntries[key] = value;
            change.parseErrors.push_back(key + ": " + said.error().message);
        }
    }
    auto changes = m_registry.applySnapshot(routing::SnapshotRevision(m_storeRevision.value), all, storeWasAway, now);
    change.upstreamChanges.insert(change.upstreamChanges.end(), changes.begin(), changes.end());
}

void MetadataCache::commitUpdate(MetadataUpdate &change, metadata::StoreRevision revision, core::TimePoint readAt)
{
    m_lastConfirmedAt = m_initialized ? std::max(m_lastConfirmedAt, readAt) : readAt;
    m_initialized = true;
    if (change.hasChanges()) {
        m_lastChangeRevision = std::max(m_lastChangeRevision, revision);
    }
}

MetadataUpdate
MetadataCache::applyRange(const std::vector<metadata::StoreItem> &items, metadata::StoreRevision revision, bool storeWasAway, core::TimePoint readAt)
{
    MetadataUpdate change;
    if (revision < m_storeRevision) {
        return change;
    }
    m_storeRevision = revision;
    m_recentStoreOutage = storeWasAway;
    m_upstreamEntries.clear();
    std::set<core::DomainId> evacuated;
    const std::string prefix = m_adapter.storeKeyPrefixes().upstreamPrefix;
    for (const metadata::StoreItem &item : items) {
        if (item.key.starts_with(prefix)) {
            m_upstreamEntries[item.key] = item.value;
        } else if (m_adapter.isCatalogKey(item.key)) {
            applyCatalog(item.value, change);
        } else if (const core::DomainId domain = m_adapter.parseEvacuationKey(item.key); !domain.empty()) {
            evacuated.insert(domain);
        }
    }
    m_evacuatedDomains = std::move(evacuated);
    change.evacuationChanged = m_registry.setEvacuatedDomains(m_evacuatedDomains, readAt);
    applyUpstreams(storeWasAway, readAt, change);
    commitUpdate(change, revision, readAt);
    return change;
}

MetadataUpdate
MetadataCache::applyChanges(const std::vector<metadata::StoreChange> &changes, metadata::StoreRevision revision, bool storeWasAway, core::TimePoint readAt)
{
    MetadataUpdate change;
    if (revision < m_storeRevision) {
        return change;
    }
    m_storeRevision = revision;
    m_recentStoreOutage = storeWasAway;
    const std::string prefix = m_adapter.storeKeyPrefixes().upstreamPrefix;
    for (const metadata::StoreChange &row : changes) {
        if (row.item.key.starts_with(prefix)) {
            if (row.removed) {
                m_upstreamEntries.erase(row.item.key);
            } else {
                m_upstreamEntries[row.item.key] = row.item.value;
            }
        } else if (m_adapter.isCatalogKey(row.item.key) && !row.removed) {
            applyCatalog(row.item.value, change);
        } else if (const core::DomainId domain = m_adapter.parseEvacuationKey(row.item.key); !domain.empty()) {
            if (row.removed) {
                m_evacuatedDomains.erase(domain);
            } else {
                m_evacuatedDomains.insert(domain);
            }
        }
    }
    change.evacuationChanged = m_registry.setEvacuatedDomains(m_evacuatedDomains, readAt);
    applyUpstreams(storeWasAway, readAt, change);
    commitUpdate(change, revision, readAt);
    return change;
}

MetadataUpdate MetadataCache::applySnapshot(const MetadataSnapshot &snapshot, core::TimePoint now)
{
    MetadataUpdate change;
    if (snapshot.storeRevision < m_storeRevision) {
        return change;
    }
    m_storeRevision = snapshot.storeRevision;
    m_recentStoreOutage = snapshot.recentStoreOutage;
    if (!snapshot.catalogValue.empty()) {
        applyCatalog(snapshot.catalogValue, change);
    }
    m_upstreamEntries = snapshot.upstreamEntries;
    m_evacuatedDomains = snapshot.evacuatedDomains;
    change.evacuationChanged = m_registry.setEvacuatedDomains(m_evacuatedDomains, now);
    applyUpstreams(snapshot.recentStoreOutage, now, change);
    commitUpdate(change, snapshot.lastChangeRevision, now - snapshot.staleness);
    m_lastChangeRevision = std::max(m_lastChangeRevision, snapshot.lastChangeRevision);
    return change;
}

void MetadataCache::confirmCurrent(metadata::StoreRevision beliefRevision, metadata::StoreRevision asOf, core::Duration age, core::TimePoint now)
{
    if (!m_initialized || beliefRevision > m_lastChangeRevision) {
        return; // the peer knows something else
    }
    if (asOf >= m_storeRevision) {
        m_lastConfirmedAt = std::max(m_lastConfirmedAt, now - age);
        m_storeRevision = asOf;
    }
}

MetadataUpdate MetadataCache::markLeaving(const core::UpstreamId &id, core::TimePoint now)
{
    MetadataUpdate change;
    change.upstreamChanges = m_registry.markLeaving(id, now);
    if (!change.upstreamChanges.empty()) {
        m_observedLeaving.insert(id);
    }
    return change;
}

MetadataUpdate MetadataCache::expireEntries(core::TimePoint now)
{
    MetadataUpdate change;
    change.upstreamChanges = m_registry.expireEntries(now);
    std::erase_if(m_observedLeaving, [&](const core::UpstreamId &id) { return m_registry.find(id) == nullptr; });
    return change;
}

void MetadataCache::addSuspendedTime(core::Duration duration)
{
    m_lastConfirmedAt -= duration;
}

MetadataSnapshot MetadataCache::snapshot(catalog::CatalogVersion known, core::TimePoint now) const
{
    MetadataSnapshot out;
    out.lastChangeRevision = m_lastChangeRevision;
    out.storeRevision = m_storeRevision;
    out.staleness = staleness(now);
    if (m_catalog && known < m_catalog->version()) {
        out.catalogValue = m_catalogValue;
    }
    out.upstreamEntries = m_upstreamEntries;
    out.evacuatedDomains = m_evacuatedDomains;
    out.recentStoreOutage = m_recentStoreOutage;
    return out;
}

core::Duration MetadataCache::staleness(core::TimePoint now) const
{
    return m_initialized ? now - m_lastConfirmedAt : core::Duration(std::chrono::hours(24));
}

} // namespace arbutus::edge
