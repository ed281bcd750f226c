// Applies updates from the store and from peers.

#include "arbutus/edge/metadatacache.h"

namespace arbutus::edge {

namespace {

constexpr core::Duration NeverConfirmed = std::chrono::hours(24); // staleness

/// Whether a change of an announcement matters for routing. Its sequence and remaining times change with each announcement.
bool isRelevantChange(const routing::Announcement &before, const routing::Announcement &after)
{
    const auto withoutProgress = [](routing::Announcement announcement) {
        announcement.sequence = 0;
        announcement.writtenAt = routing::SnapshotRevision();
        announcement.coldRemaining = core::Duration::zero();
        announcement.shutdownIn = announcement.shutdownIn ? std::optional(core::Duration::zero()) : std::nullopt;
        return announcement;
    };
    const bool becameCold = after.coldRemaining > core::Duration::zero() && before.coldRemaining == core::Duration::zero();
    return becameCold || withoutProgress(before) != withoutProgress(after);
}

bool hasRelevantChange(const std::map<core::UpstreamId, routing::Announcement> &before, const std::map<core::UpstreamId, routing::Announcement> &after)
{
    return !std::equal(before.begin(), before.end(), after.begin(), after.end(), [](const auto &left, const auto &right) {
        return left.first == right.first && !isRelevantChange(left.second, right.second);
    });
}

} // namespace

MetadataCache::MetadataCache(const ProtocolAdapter &adapter, MetadataCacheSettings settings)
    : m_adapter(adapter)
    , m_settings(settings)
    , m_registry(settings.registry)
{
}

//-----------------------------------------------------------------------------
// Generations
//-----------------------------------------------------------------------------

void MetadataCache::noteGeneration(metadata::StoreGeneration generation)
{
    m_knownGeneration = std::max(m_knownGeneration, generation);
}

void MetadataCache::acceptLowerGeneration(metadata::StoreGeneration generation)
{
    m_fallenGeneration = std::max(m_fallenGeneration.value_or(metadata::StoreGeneration()), m_knownGeneration);
    m_knownGeneration = generation;
    m_catalogGeneration = metadata::StoreGeneration();
    m_hasGenerationChanged = true;
    m_isRestoreExpected = true;
}

MetadataCache::Order MetadataCache::orderOf(metadata::StorePosition position) const
{
    if (!m_initialized) {
        return Order::Continuing;
    }
    if (m_isRestoreExpected) {
        return position.generation == m_knownGeneration ? Order::Restored : Order::Older;
    }
    if (position.generation == m_storePosition.generation) {
        return position.revision < m_storePosition.revision ? Order::Older : Order::Continuing;
    }
    if (position.generation < m_storePosition.generation) {
        return Order::Older;
    }
    const bool isFirstStated = m_storePosition.generation.value == 0 && position.revision >= m_storePosition.revision;
    return isFirstStated ? Order::Continuing : Order::Restored;
}

std::optional<metadata::StorePosition> MetadataCache::resolvePeerPosition(metadata::StorePosition position) const
{
    if (position.generation.value == 0) {
        if (m_hasGenerationChanged) {
            return std::nullopt;
        }
        position.generation = m_storePosition.generation;
    }
    if (m_fallenGeneration && position.generation > m_knownGeneration && position.generation <= *m_fallenGeneration) {
        return std::nullopt;
    }
    return position;
}

bool MetadataCache::isNewer(metadata::StorePosition lastChange) const
{
    const auto resolved = resolvePeerPosition(lastChange);
    return resolved && *resolved > m_lastChange;
}

void MetadataCache::noteCatalogVersion(catalog::CatalogVersion stated)
{
    if (stated.value == 0 || stated < m_statedCatalogVersion) {
        return;
    }
    if (!isCatalogBehind()) {
        m_lastCurrentAt = m_initialized ? std::optional(m_lastConfirmedAt) : std::nullopt;
    }
    m_statedCatalogVersion = stated;
    m_isCatalogStatedAgain = true;
}

KeptEvacuations MetadataCache::keptEvacuations(core::TimePoint now) const
{
    KeptEvacuations out{m_storePosition.generation, {}};
    for (const auto &[domain, end] : m_keptEvacuations) {
        out.domains[domain] = end - now;
    }
    return out;
}

MetadataUpdate MetadataCache::noteKeptEvacuations(const KeptEvacuations &kept, core::TimePoint now)
{
    MetadataUpdate update;
    if (!m_initialized || m_isRestoreExpected || kept.generation != m_storePosition.generation) {
        return update; // kept since another restore
    }
    for (const auto &[domain, left] : kept.domains) {
        const bool isDecided = m_storedEvacuations.contains(domain) || m_decidedEvacuations.contains(domain);
        if (left > core::Duration::zero() && !isDecided) {
            m_keptEvacuations.emplace(domain, now + std::min(left, m_settings.evacuationGrace)); // never longer than it was known for
        }
    }
    setEvacuatedDomains(now, update);
    return update;
}

//-----------------------------------------------------------------------------
// Updates
//-----------------------------------------------------------------------------

bool MetadataCache::beginUpdate(metadata::StorePosition position, core::TimePoint now, MetadataUpdate &update)
{
    const Order order = orderOf(position);
    if (order == Order::Older) {
        update.isObsolete = true;
        return false;
    }
    noteGeneration(position.generation);
    if (order == Order::Restored) {
        update.positionBefore = m_storePosition;
        update.contentsChanged = true;
        m_decidedEvacuations.clear();
        for (const core::DomainId &domain : m_registry.evacuatedDomains()) {
            m_keptEvacuations[domain] = now + m_settings.evacuationGrace;
        }
        m_registry.beginRestoredHistory();
        m_lastChange = metadata::StorePosition{position.generation, metadata::StoreRevision()};
        m_hasGenerationChanged = true;
        m_isRestoreExpected = false;
    } else if (m_storePosition.generation != position.generation) { // the first one that is stated
        m_lastChange.generation = position.generation;
        m_catalogGeneration = position.generation;
    }
    m_storePosition = position;
    return true;
}

void MetadataCache::applyCatalog(const std::string &value, metadata::StoreGeneration generation, MetadataUpdate &update)
{
    if (value == m_catalogValue) {
        m_catalogGeneration = std::max(m_catalogGeneration, generation);
        return;
    }
    auto parsed = m_adapter.parseCatalog(value);
    if (!parsed) {
        update.parseErrors.push_back("configuration: " + parsed.error().message);
        return;
    }
    if (m_catalog) {
        const catalog::CatalogVersion version = parsed.value()->version();
        const bool isOtherContent = version == m_catalog->version() && generation > m_catalogGeneration;
        if (version < m_catalog->version() || (version == m_catalog->version() && !isOtherContent)) {
            if (version < m_catalog->version() && generation > m_catalogGeneration && std::exchange(m_lowerCatalogVersion, version) != version) {
                update.lowerCatalog = version;
            }
            return; // an older version never replaces a newer one
        }
        if (isOtherContent) {
            update.replacedCatalog = version;
        }
    }
    m_catalog = std::move(parsed.value());
    m_catalogValue = value;
    m_catalogGeneration = generation;
    m_lowerCatalogVersion.reset();
    update.catalogChanged = true;
}

void MetadataCache::setEvacuatedDomains(core::TimePoint now, MetadataUpdate &update)
{
    std::set<core::DomainId> evacuated = m_storedEvacuations;
    for (const auto &[domain, end] : m_keptEvacuations) {
        evacuated.insert(domain);
    }
    update.evacuationChanged = m_registry.setEvacuatedDomains(std::move(evacuated), now) || update.evacuationChanged;
}

std::map<core::DomainId, RemovedEvacuation> MetadataCache::removedSince(const std::set<core::DomainId> &evacuated, metadata::StoreRevision readAt) const
{
    std::map<core::DomainId, RemovedEvacuation> out;
    for (const core::DomainId &domain : m_storedEvacuations) {
        if (!evacuated.contains(domain)) {
            out[domain] = RemovedEvacuation{readAt, m_registry.maxColdGuard()};
        }
    }
    return out;
}

void MetadataCache::applyEvacuations(std::set<core::DomainId> evacuated,
                                     const std::map<core::DomainId, RemovedEvacuation> &removed,
                                     core::TimePoint now,
                                     MetadataUpdate &update)
{
    update.contentsChanged = update.contentsChanged || evacuated != m_storedEvacuations;
    m_storedEvacuations = std::move(evacuated);
    std::erase_if(m_keptEvacuations, [&](const auto &kept) { return m_storedEvacuations.contains(kept.first); });
    m_decidedEvacuations.insert(m_storedEvacuations.begin(), m_storedEvacuations.end());
    setEvacuatedDomains(now, update);
    for (const auto &[domain, removal] : removed) {
        const routing::SnapshotRevision revision(removal.revision.value);
        if (!m_keptEvacuations.contains(domain) && m_registry.recordEvacuationEnd(domain, revision, removal.guardLeft, now)) {
            update.removedEvacuations[domain] = removal.revision;
        }
    }
    if (update.positionBefore) {
        for (const auto &[domain, end] : m_keptEvacuations) {
            update.keptEvacuations.insert(domain);
        }
    }
}

void MetadataCache::applyUpstreams(bool recentStoreOutage, core::TimePoint now, MetadataUpdate &update)
{
    std::vector<routing::Announcement> announcements;
    std::map<core::UpstreamId, routing::Announcement> stored;
    for (const auto &[key, value] : m_upstreamEntries) {
        auto announcement = m_adapter.parseAnnouncement(key, value);
        if (announcement) {
            if (const auto revision = m_entryRevisions.find(key); revision != m_entryRevisions.end()) {
                announcement.value().writtenAt = routing::SnapshotRevision(revision->second.value);
            }
            m_invalidEntries.erase(key);
            stored[announcement.value().id] = announcement.value();
            announcements.push_back(std::move(announcement.value()));
        } else if (const auto previous = m_invalidEntries.find(key); previous == m_invalidEntries.end() || previous->second != value) {
            m_invalidEntries[key] = value;
            update.parseErrors.push_back(key + ": " + announcement.error().message);
        }
    }
    update.contentsChanged = update.contentsChanged || hasRelevantChange(m_storedAnnouncements, stored);
    m_storedAnnouncements = std::move(stored);
    // What a restored store lacks may be missing for the same reason as after an outage.
    const bool mayReturn = recentStoreOutage || update.positionBefore.has_value();
    auto changes = m_registry.applySnapshot(routing::SnapshotRevision(m_storePosition.revision.value), announcements, mayReturn, now);
    // None shows in the contents: a sequence alone revives an upstream or ends its guard, and a cold time may begin again before its end was
    // written.
    update.contentsChanged = update.contentsChanged || std::any_of(changes.begin(), changes.end(), [](const routing::RegistryChange &change) {
                                 return change.kind == routing::RegistryChange::Kind::Returned || change.kind == routing::RegistryChange::Kind::Cold
                                     || change.kind == routing::RegistryChange::Kind::Announced;
                             });
    update.upstreamChanges.insert(update.upstreamChanges.end(), changes.begin(), changes.end());
}

void MetadataCache::confirmAt(core::TimePoint at)
{
    if (at - m_lastConfirmedAt > m_settings.maxConfirmationGap) {
        m_upstreamsKnownSince = at;
    }
    m_lastConfirmedAt = std::max(m_lastConfirmedAt, at);
}

void MetadataCache::commitUpdate(const MetadataUpdate &update, metadata::StorePosition lastChange, core::TimePoint readAt)
{
    if (m_initialized && !update.positionBefore) {
        confirmAt(readAt);
    } else {
        m_lastConfirmedAt = readAt;
        m_upstreamsKnownSince = readAt;
    }
    if (update.contentsChanged || !m_initialized) {
        m_lastChange = std::max(m_lastChange, lastChange);
    }
    m_initialized = true;
}

MetadataUpdate
MetadataCache::applyRange(const std::vector<metadata::StoreItem> &items, metadata::StorePosition position, bool recentStoreOutage, core::TimePoint readAt)
{
    MetadataUpdate update;
    if (position.generation.value == 0) {
        position.generation = m_storePosition.generation;
    }
    const metadata::StorePosition before = m_storePosition;
    if (!beginUpdate(position, readAt, update)) {
        return update;
    }
    m_recentStoreOutage = recentStoreOutage;
    m_upstreamEntries.clear();
    m_entryRevisions.clear();
    std::set<core::DomainId> evacuated;
    metadata::StoreRevision lastRevision = position.revision; // pages are read one after the other
    std::string storedCatalogValue;
    const std::string prefix = m_adapter.storeKeyPrefixes().upstreamPrefix;
    for (const metadata::StoreItem &item : items) {
        lastRevision = std::max(lastRevision, item.revision);
        if (item.key.starts_with(prefix)) {
            m_upstreamEntries[item.key] = item.value;
            m_entryRevisions[item.key] = item.revision;
        } else if (m_adapter.isCatalogKey(item.key)) {
            storedCatalogValue = item.value;
            update.contentsChanged = update.contentsChanged || item.value != m_storedCatalogValue || item.revision > before.revision;
            applyCatalog(item.value, position.generation, update);
        } else if (const core::DomainId domain = m_adapter.parseEvacuationKey(item.key); !domain.empty()) {
            evacuated.insert(domain);
            update.contentsChanged = update.contentsChanged || item.revision > before.revision; // it may have ended and begun again
        }
    }
    m_storedCatalogValue = std::move(storedCatalogValue);
    const auto removed = removedSince(evacuated, lastRevision);
    applyEvacuations(std::move(evacuated), removed, readAt, update);
    applyUpstreams(recentStoreOutage, readAt, update);
    commitUpdate(update, position, readAt);
    return update;
}

MetadataUpdate MetadataCache::applyChanges(const std::vector<metadata::StoreChange> &changes,
                                           metadata::StorePosition after,
                                           metadata::StorePosition position,
                                           bool recentStoreOutage,
                                           core::TimePoint readAt)
{
    MetadataUpdate update;
    if (position.generation.value == 0) {
        position.generation = after.generation;
    }
    const bool isOfOneHistory = after.generation == position.generation && position.generation == m_storePosition.generation;
    if (orderOf(position) != Order::Older && (!isOfOneHistory || m_isRestoreExpected)) {
        noteGeneration(position.generation);
        update.isFullReadNeeded = true;
        return update;
    }
    if (!beginUpdate(position, readAt, update)) {
        return update;
    }
    m_recentStoreOutage = recentStoreOutage;
    std::set<core::DomainId> evacuated = m_storedEvacuations;
    std::map<core::DomainId, RemovedEvacuation> removed; // also those that began within the same changes
    const std::string prefix = m_adapter.storeKeyPrefixes().upstreamPrefix;
    for (const metadata::StoreChange &change : changes) {
        if (change.item.key.starts_with(prefix)) {
            if (change.removed) {
                update.contentsChanged = true; // also if the same batch has it again: others may have read between
                m_upstreamEntries.erase(change.item.key);
                m_entryRevisions.erase(change.item.key);
            } else {
                m_upstreamEntries[change.item.key] = change.item.value;
                m_entryRevisions[change.item.key] = change.item.revision;
            }
        } else if (m_adapter.isCatalogKey(change.item.key) && !change.removed) {
            update.contentsChanged = true; // also the same value: after a restore others may have an older one
            m_storedCatalogValue = change.item.value;
            applyCatalog(change.item.value, position.generation, update);
        } else if (const core::DomainId domain = m_adapter.parseEvacuationKey(change.item.key); !domain.empty()) {
            update.contentsChanged = true; // for the same reason
            if (change.removed) {
                evacuated.erase(domain);
                m_keptEvacuations.erase(domain);
                m_decidedEvacuations.insert(domain);
                const bool isRevisionKnown = change.item.revision.value != 0;
                removed[domain] = RemovedEvacuation{isRevisionKnown ? change.item.revision : position.revision, m_registry.maxColdGuard()};
            } else {
                evacuated.insert(domain);
            }
        }
    }
    applyEvacuations(std::move(evacuated), removed, readAt, update);
    applyUpstreams(recentStoreOutage, readAt, update);
    commitUpdate(update, position, readAt);
    return update;
}

MetadataUpdate MetadataCache::applySnapshot(const MetadataSnapshot &snapshot, core::TimePoint now)
{
    MetadataUpdate update;
    noteCatalogVersion(snapshot.catalogVersion);
    const auto position = resolvePeerPosition(snapshot.storePosition);
    const bool isCurrent = position && beginUpdate(*position, now, update);
    if (!snapshot.catalogValue.empty()) {
        const bool isGenerationKnown = position && snapshot.catalogGeneration.value != 0;
        applyCatalog(snapshot.catalogValue, isGenerationKnown ? snapshot.catalogGeneration : m_catalogGeneration, update);
    }
    if (!isCurrent) {
        if (!update.parseErrors.empty() && std::exchange(m_rejectedCatalogValue, snapshot.catalogValue) == snapshot.catalogValue) {
            update.parseErrors.clear();
        }
        update.isObsolete = !update.catalogChanged;
        return update;
    }
    m_recentStoreOutage = snapshot.recentStoreOutage;
    m_storedCatalogValue = m_catalogValue;
    std::map<std::string, metadata::StoreRevision> entryRevisions = snapshot.entryRevisions;
    for (const auto &[key, value] : snapshot.upstreamEntries) {
        const auto known = m_upstreamEntries.find(key);
        const auto knownRevision = m_entryRevisions.find(key);
        if (known != m_upstreamEntries.end() && known->second == value && knownRevision != m_entryRevisions.end() && !update.positionBefore) {
            entryRevisions.insert(*knownRevision); // unless the sender states one
        }
    }
    m_upstreamEntries = snapshot.upstreamEntries;
    m_entryRevisions = std::move(entryRevisions);
    auto removed = removedSince(snapshot.evacuatedDomains, position->revision);
    for (const auto &[domain, removal] : snapshot.removedEvacuations) {
        removed.insert_or_assign(domain, removal);
    }
    applyEvacuations(snapshot.evacuatedDomains, removed, now, update);
    applyUpstreams(snapshot.recentStoreOutage, now, update);
    update.contentsChanged = update.contentsChanged || snapshot.lastChange.revision > m_lastChange.revision;
    commitUpdate(update, metadata::StorePosition{position->generation, snapshot.lastChange.revision}, now - snapshot.staleness);
    return update;
}

void MetadataCache::confirmCurrent(metadata::StorePosition lastChange, metadata::StorePosition storePosition, core::Duration staleness, core::TimePoint now)
{
    const auto resolved = resolvePeerPosition(storePosition);
    if (!resolved) {
        return;
    }
    noteGeneration(resolved->generation);
    const bool isSameHistory = resolved->generation == m_storePosition.generation && resolved->generation == m_knownGeneration && !m_isRestoreExpected;
    if (!m_initialized || !isSameHistory || lastChange.revision > m_lastChange.revision) {
        return; // of another generation, or the peer has a newer change: it does not confirm this data
    }
    if (*resolved >= m_storePosition) {
        confirmAt(now - staleness);
        m_storePosition = *resolved;
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
    for (const auto &[domain, end] : m_keptEvacuations) {
        if (now >= end) {
            update.endedEvacuations.insert(domain);
        }
    }
    if (!update.endedEvacuations.empty()) {
        m_decidedEvacuations.insert(update.endedEvacuations.begin(), update.endedEvacuations.end());
        std::erase_if(m_keptEvacuations, [&](const auto &kept) { return update.endedEvacuations.contains(kept.first); });
        setEvacuatedDomains(now, update);
    }
    if (std::exchange(m_isCatalogStatedAgain, false)) {
        m_catalogStatedAt = now;
    } else if (isCatalogBehind() && now - m_catalogStatedAt >= m_settings.statedCatalogRetention) {
        update.endedCatalog = std::exchange(m_statedCatalogVersion, catalog::CatalogVersion());
    }
    return update;
}

void MetadataCache::addSuspendedTime(core::Duration duration)
{
    m_lastConfirmedAt -= duration;
    if (m_lastCurrentAt) {
        *m_lastCurrentAt -= duration;
    }
}

MetadataSnapshot MetadataCache::snapshot(KnownCatalog known, core::TimePoint now) const
{
    MetadataSnapshot out;
    out.lastChange = m_lastChange;
    out.storePosition = m_storePosition;
    out.staleness = staleness(now);
    if (m_catalog && known < knownCatalog()) {
        out.catalogValue = m_catalogValue;
    }
    out.catalogVersion = knownCatalog().version;
    out.catalogGeneration = m_catalogGeneration;
    out.upstreamEntries = m_upstreamEntries;
    out.entryRevisions = m_entryRevisions;
    out.evacuatedDomains = m_storedEvacuations;
    for (const auto &[domain, ended] : m_registry.endedEvacuations()) {
        const auto removedAt = ended.removedAt ? metadata::StoreRevision(ended.removedAt->value) : m_storePosition.revision;
        if (now < ended.guardUntil) {
            out.removedEvacuations[domain] = RemovedEvacuation{removedAt, ended.guardUntil - now};
        }
    }
    out.recentStoreOutage = m_recentStoreOutage;
    return out;
}

void MetadataCache::recordStoreRead(BootTime at)
{
    if (m_catalog && !isCatalogBehind()) {
        m_proof.recordRead(at);
    }
}

void MetadataCache::recordStatedProof(core::Duration age, KnownCatalog stated, BootTime arrivedAt)
{
    if (!isCatalogBehind()) {
        m_proof.recordStatement(age, stated, knownCatalog(), arrivedAt);
    }
}

core::Duration MetadataCache::staleness(core::TimePoint now) const
{
    if (!isCatalogBehind()) {
        return storeStaleness(now);
    }
    return m_initialized && m_lastCurrentAt ? now - std::min(*m_lastCurrentAt, m_lastConfirmedAt) : NeverConfirmed;
}

core::Duration MetadataCache::storeStaleness(core::TimePoint now) const
{
    return m_initialized ? now - m_lastConfirmedAt : NeverConfirmed;
}

} // namespace arbutus::edge
