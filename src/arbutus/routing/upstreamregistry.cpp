// Applies snapshots and announcements to the registry.

#include "arbutus/routing/upstreamregistry.h"

namespace arbutus::routing {

std::string_view toString(RegistryChange::Kind kind)
{
    switch (kind) {
    case RegistryChange::Kind::Added:
        return "appeared";
    case RegistryChange::Kind::Restarted:
        return "restarted";
    case RegistryChange::Kind::Leaving:
        return "leaving";
    case RegistryChange::Kind::Missing:
        return "lapsed";
    case RegistryChange::Kind::Removed:
        return "gone";
    case RegistryChange::Kind::Returned:
        return "returned";
    case RegistryChange::Kind::Announced:
        return "announced";
    case RegistryChange::Kind::Cold:
        break;
    }
    return "cold";
}

UpstreamRegistry::UpstreamRegistry(UpstreamRegistrySettings settings)
    : m_settings(settings)
{
}

void UpstreamRegistry::beginRestoredHistory()
{
    m_revision = SnapshotRevision();
    m_beginsHistory = true;
    for (auto &[id, entry] : m_entries) {
        entry.lastRestoredSequence = std::max(entry.lastRestoredSequence.value_or(0), entry.announcement.sequence);
        entry.removedBeforeRestore = entry.removed;
        entry.hasRestoredEntry = false;
        entry.returnsAt.reset();
        entry.announcement.writtenAt = SnapshotRevision();
    }
    for (auto &[domain, ended] : m_endedEvacuations) {
        ended.removedAt.reset();
    }
}

bool UpstreamRegistry::isFromRestoredCopy(const RegistryEntry &entry, const Announcement &announcement)
{
    return entry.lastRestoredSequence && announcement.sequence <= *entry.lastRestoredSequence;
}

void UpstreamRegistry::applyAnnouncement(const Announcement &announcement, core::TimePoint now, std::vector<RegistryChange> &changes)
{
    auto found = m_entries.find(announcement.id);
    if (found != m_entries.end() && announcement.startTime < found->second.announcement.startTime) {
        found->second.hasRestoredEntry = found->second.removed;
        return; // entry of an earlier run
    }
    if (found == m_entries.end() || announcement.startTime > found->second.announcement.startTime) {
        const bool known = found != m_entries.end();
        RegistryEntry entry;
        entry.announcement = announcement;
        entry.updatedAt = now;
        entry.coldUntil = now + announcement.coldRemaining;
        entry.leaving = announcement.leaving || hasLeft(announcement.id, announcement.startTime);
        const bool leaving = entry.leaving;
        m_entries[announcement.id] = std::move(entry);
        changes.push_back({announcement.id, known ? RegistryChange::Kind::Restarted : RegistryChange::Kind::Added});
        if (leaving) {
            changes.push_back({announcement.id, RegistryChange::Kind::Leaving});
        }
        return;
    }
    RegistryEntry &entry = found->second;
    if (announcement.leaving && !entry.leaving) {
        entry.leaving = true; // holds until the upstream restarts
        changes.push_back({announcement.id, RegistryChange::Kind::Leaving});
    }
    if (m_beginsHistory && entry.removedBeforeRestore && !isFromRestoredCopy(entry, announcement)) {
        entry.lastRestoredSequence = announcement.sequence; // this instance may not have known the last one before the removal
        entry.returnsAt = now + m_settings.restoredEntryGracePeriod;
    }
    const bool isFromCopy = isFromRestoredCopy(entry, announcement);
    if (isFromCopy && entry.removedBeforeRestore) {
        entry.hasRestoredEntry = true;
        return;
    }
    if (!isFromCopy) {
        entry.lastRestoredSequence.reset();
        entry.removedBeforeRestore = false;
        entry.returnsAt.reset();
    }
    if (entry.removed || entry.missingSince) {
        entry.removed = false;
        entry.missingSince.reset();
        changes.push_back({announcement.id, RegistryChange::Kind::Returned});
    }
    if (announcement == entry.announcement || (isFromCopy && announcement.sequence < entry.announcement.sequence)) {
        return;
    }
    ++m_version;
    const bool newer = announcement.sequence > entry.announcement.sequence;
    entry.announcement = announcement;
    entry.updatedAt = now;
    if (announcement.coldRemaining > core::Duration::zero()) {
        const bool wasWarm = !entry.isCold(now);
        entry.coldUntil = now + announcement.coldRemaining;
        if (wasWarm) {
            changes.push_back({announcement.id, RegistryChange::Kind::Cold});
        }
    } else if (newer) {
        entry.coldUntil = now; // announced as warm
    }
}

std::vector<RegistryChange>
UpstreamRegistry::applySnapshot(SnapshotRevision revision, const std::vector<Announcement> &announcements, bool storeWasUnreachable, core::TimePoint now)
{
    std::vector<RegistryChange> changes;
    if (revision < m_revision) {
        return changes;
    }
    m_revision = revision;
    std::set<core::UpstreamId> listed;
    for (const Announcement &announcement : announcements) {
        listed.insert(announcement.id);
        applyAnnouncement(announcement, now, changes);
    }
    for (auto &[domain, ended] : m_endedEvacuations) {
        if (m_beginsHistory && !ended.removedAt) {
            ended.removedAt = revision; // what the restored store has from the start is older than the removal
        }
    }
    m_beginsHistory = false;
    for (auto &[id, entry] : m_entries) {
        if (!listed.contains(id)) {
            entry.hasRestoredEntry = false;
            entry.returnsAt.reset();
        }
        if (listed.contains(id) || entry.removed || entry.missingSince) {
            continue;
        }
        if (storeWasUnreachable && !entry.leaving) {
            entry.missingSince = now;
            changes.push_back({id, RegistryChange::Kind::Missing});
        } else {
            entry.removed = true;
            entry.updatedAt = now;
            changes.push_back({id, RegistryChange::Kind::Removed});
        }
    }
    updateColdGuards(now, changes);
    m_version += changes.empty() ? 0 : 1;
    return changes;
}

bool UpstreamRegistry::recordEvacuationEnd(const core::DomainId &domain, SnapshotRevision removedAt, core::Duration left, core::TimePoint now)
{
    EndedEvacuation &ended = m_endedEvacuations[domain];
    if (ended.removedAt && removedAt <= *ended.removedAt) {
        return false;
    }
    ended = EndedEvacuation{removedAt, now + std::min(left, m_settings.maxColdGuard)};
    return true;
}

void UpstreamRegistry::updateColdGuards(core::TimePoint now, std::vector<RegistryChange> &changes)
{
    for (auto &[id, entry] : m_entries) {
        const auto found = m_endedEvacuations.find(entry.announcement.domain);
        const bool isGuarded = found != m_endedEvacuations.end() && (!found->second.removedAt || entry.announcement.writtenAt <= *found->second.removedAt);
        const core::TimePoint guardedUntil = isGuarded ? found->second.guardUntil : core::TimePoint{};
        if (now < entry.guardedUntil && !isGuarded) {
            changes.push_back({id, RegistryChange::Kind::Announced});
        }
        m_version += guardedUntil == entry.guardedUntil ? 0 : 1;
        entry.guardedUntil = guardedUntil;
    }
}

std::vector<RegistryChange> UpstreamRegistry::markLeaving(const core::UpstreamId &id, core::TimePoint now)
{
    std::vector<RegistryChange> changes;
    const auto found = m_entries.find(id);
    if (found != m_entries.end() && !found->second.leaving) {
        found->second.leaving = true;
        found->second.updatedAt = now;
        ++m_version;
        changes.push_back({id, RegistryChange::Kind::Leaving});
    }
    return changes;
}

bool UpstreamRegistry::setEvacuatedDomains(std::set<core::DomainId> domains, core::TimePoint now)
{
    if (domains == m_evacuatedDomains) {
        return false;
    }
    for (const core::DomainId &domain : m_evacuatedDomains) {
        if (!domains.contains(domain)) {
            (void)recordEvacuationEnd(domain, m_revision, m_settings.maxColdGuard, now);
        }
    }
    m_evacuatedDomains = std::move(domains);
    std::vector<RegistryChange> changes;
    updateColdGuards(now, changes); // lifts nothing
    ++m_version;
    return true;
}

std::vector<RegistryChange> UpstreamRegistry::expireEntries(core::TimePoint now)
{
    std::vector<RegistryChange> changes;
    for (auto &[id, entry] : m_entries) {
        if (entry.missingSince && now - *entry.missingSince >= m_settings.missingGracePeriod) {
            entry.missingSince.reset();
            entry.removed = true;
            entry.updatedAt = now;
            changes.push_back({id, RegistryChange::Kind::Removed});
        }
        if (entry.returnsAt && now >= *entry.returnsAt) {
            entry.removed = false;
            entry.removedBeforeRestore = false;
            entry.hasRestoredEntry = false;
            entry.lastRestoredSequence.reset();
            entry.returnsAt.reset();
            changes.push_back({id, RegistryChange::Kind::Returned});
        }
    }
    const auto erased = std::erase_if(m_entries, [&](const auto &item) {
        const RegistryEntry &entry = item.second;
        const bool isOver = entry.removed && !entry.hasRestoredEntry && now - entry.updatedAt > m_settings.removedRetention;
        if (isOver && entry.leaving) {
            m_leftRuns[item.first] = LeftRun{entry.announcement.startTime, now};
        }
        return isOver;
    });
    std::erase_if(m_endedEvacuations, [&](const auto &item) { return now >= item.second.guardUntil; });
    std::erase_if(m_leftRuns, [&](const auto &item) { return now - item.second.erasedAt > m_settings.leftRetention; });
    m_version += changes.empty() && erased == 0 ? 0 : 1;
    return changes;
}

bool UpstreamRegistry::hasLeft(const core::UpstreamId &id, StartTime startTime) const
{
    const auto found = m_leftRuns.find(id);
    return found != m_leftRuns.end() && startTime <= found->second.startTime;
}

bool UpstreamRegistry::hasRunEnded(const core::UpstreamId &id, StartTime startTime) const
{
    const RegistryEntry *entry = find(id);
    return entry == nullptr || entry->removed || entry->announcement.startTime > startTime;
}

const RegistryEntry *UpstreamRegistry::find(const core::UpstreamId &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

} // namespace arbutus::routing
