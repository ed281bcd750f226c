// Applies updates from the store and from peers.

#include "arbutus/edge/metadatacache.h"

namespace arbutus::edge {

MetadataCache::MetadataCache(const ProtocolAdapter &adapter, routing::UpstreamRegistrySettings settings)
    : m_adapter(adapter)
    , m_registry(settings)
{
}

void MetadataCache::applyCatalog(const std::string &value, MetadataUpdate &update)
{
    if (value == m_catalogValue) {
        return;
    }
    auto parsed = m_adapter.parseCatalog(value);
    if (!parsed) {
        update.parseErrors.push_back("configuration: " + parsed.error().message);
        return;
    }
    if (m_catalog && parsed.value()->version() <= m_catalog->version()) {
        return; // an older version never replaces a newer one
    }
    m_catalog = std::move(parsed.value());
    m_catalogValue = value;
    update.catalogChanged = true;
}

void MetadataCache::applyUpstreams(bool recentStoreOutage, core::TimePoint now, MetadataUpdate &update)
{
    std::vector<routing::Announcement> announcements;
    for (const auto &[key, value] : m_upstreamEntries) {
        auto announcement = m_adapter.parseAnnouncement(key, value);
        if (announcement) {
            m_invalidEntries.erase(key);
            announcements.push_back(std::move(announcement.value()));
        } else if (const auto previous = m_invalidEntries.find(key); previous == m_invalidEntries.end() || previous->second != value) {
            m_invalidEntries[key] = value;
            update.parseErrors.push_back(key + ": " + announcement.error().message);
        }
    }
    auto changes = m_registry.applySnapshot(routing::SnapshotRevision(m_storePosition.revision.value), announcements, recentStoreOutage, now);
    update.upstreamChanges.insert(update.upstreamChanges.end(), changes.begin(), changes.end());
}

void MetadataCache::commitUpdate(MetadataUpdate &update, metadata::StorePosition position, core::TimePoint readAt)
{
    m_lastConfirmedAt = m_initialized ? std::max(m_lastConfirmedAt, readAt) : readAt;
    m_initialized = true;
    if (update.hasChanges()) {
        m_lastChange = position.revision > m_lastChange.revision ? position : m_lastChange;
    }
}

MetadataUpdate
MetadataCache::applyRange(const std::vector<metadata::StoreItem> &items, metadata::StorePosition position, bool recentStoreOutage, core::TimePoint readAt)
{
    MetadataUpdate update;
    if (position.revision < m_storePosition.revision) {
        update.isObsolete = true;
        return update;
    }
    m_storePosition = position;
    m_recentStoreOutage = recentStoreOutage;
    m_upstreamEntries.clear();
    std::set<core::DomainId> evacuated;
    const std::string prefix = m_adapter.storeKeyPrefixes().upstreamPrefix;
    for (const metadata::StoreItem &item : items) {
        if (item.key.starts_with(prefix)) {
            m_upstreamEntries[item.key] = item.value;
        } else if (m_adapter.isCatalogKey(item.key)) {
            applyCatalog(item.value, update);
        } else if (const core::DomainId domain = m_adapter.parseEvacuationKey(item.key); !domain.empty()) {
            evacuated.insert(domain);
        }
    }
    m_evacuatedDomains = std::move(evacuated);
    update.evacuationChanged = m_registry.setEvacuatedDomains(m_evacuatedDomains, readAt);
    applyUpstreams(recentStoreOutage, readAt, update);
    commitUpdate(update, position, readAt);
    return update;
}

MetadataUpdate
MetadataCache::applyChanges(const std::vector<metadata::StoreChange> &changes, metadata::StorePosition position, bool recentStoreOutage, core::TimePoint readAt)
{
    MetadataUpdate update;
    if (position.revision < m_storePosition.revision) {
        update.isObsolete = true;
        return update;
    }
    m_storePosition = position;
    m_recentStoreOutage = recentStoreOutage;
    const std::string prefix = m_adapter.storeKeyPrefixes().upstreamPrefix;
    for (const metadata::StoreChange &change : changes) {
        if (change.item.key.starts_with(prefix)) {
            if (change.removed) {
                m_upstreamEntries.erase(change.item.key);
            } else {
                m_upstreamEntries[change.item.key] = change.item.value;
            }
        } else if (m_adapter.isCatalogKey(change.item.key) && !change.removed) {
            applyCatalog(change.item.value, update);
        } else if (const core::DomainId domain = m_adapter.parseEvacuationKey(change.item.key); !domain.empty()) {
            if (change.removed) {
                m_evacuatedDomains.erase(domain);
            } else {
                m_evacuatedDomains.insert(domain);
            }
        }
    }
    update.evacuationChanged = m_registry.setEvacuatedDomains(m_evacuatedDomains, readAt);
    applyUpstreams(recentStoreOutage, readAt, update);
    commitUpdate(update, position, readAt);
    return update;
}

MetadataUpdate MetadataCache::applySnapshot(const MetadataSnapshot &snapshot, core::TimePoint now)
{
    MetadataUpdate update;
    if (snapshot.storePosition.revision < m_storePosition.revision) {
        update.isObsolete = true;
        return update;
    }
    m_storePosition = snapshot.storePosition;
    m_recentStoreOutage = snapshot.recentStoreOutage;
    if (!snapshot.catalogValue.empty()) {
        applyCatalog(snapshot.catalogValue, update);
    }
    m_upstreamEntries = snapshot.upstreamEntries;
    m_evacuatedDomains = snapshot.evacuatedDomains;
    update.evacuationChanged = m_registry.setEvacuatedDomains(m_evacuatedDomains, now);
    applyUpstreams(snapshot.recentStoreOutage, now, update);
    commitUpdate(update, snapshot.lastChange, now - snapshot.staleness);
    if (snapshot.lastChange.revision > m_lastChange.revision) {
        m_lastChange = snapshot.lastChange;
    }
    return update;
}

void MetadataCache::confirmCurrent(metadata::StorePosition lastChange, metadata::StorePosition storePosition, core::Duration staleness, core::TimePoint now)
{
    if (!m_initialized || lastChange.revision > m_lastChange.revision) {
        return; // the peer has a newer change, so it does not confirm this data
    }
    if (storePosition.revision >= m_storePosition.revision) {
        m_lastConfirmedAt = std::max(m_lastConfirmedAt, now - staleness);
        m_storePosition.revision = storePosition.revision;
    }
}

MetadataUpdate MetadataCache::markLeaving(const core::UpstreamId &id, core::TimePoint now)
{
    MetadataUpdate update;
    update.upstreamChanges = m_registry.markLeaving(id, now);
    return update;
}

MetadataUpdate MetadataCache::expireEntries(core::TimePoint now)
{
    MetadataUpdate update;
    update.upstreamChanges = m_registry.expireEntries(now);
    return update;
}

void MetadataCache::addSuspendedTime(core::Duration duration)
{
    m_lastConfirmedAt -= duration;
}

MetadataSnapshot MetadataCache::snapshot(catalog::CatalogVersion knownVersion, core::TimePoint now) const
{
    MetadataSnapshot out;
    out.lastChange = m_lastChange;
    out.storePosition = m_storePosition;
    out.staleness = staleness(now);
    if (m_catalog && knownVersion < m_catalog->version()) {
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
