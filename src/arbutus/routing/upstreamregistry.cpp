// Rules by which announcements become beliefs.

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
    case RegistryChange::Kind::Cold:
        break;
    }
    return "cold";
}

UpstreamRegistry::UpstreamRegistry(UpstreamRegistrySettings settings)
    : m_settings(settings)
{
}

void UpstreamRegistry::adopt(const Announcement &said, core::TimePoint now, std::vector<RegistryChange> &changes)
{
    auto found = m_entries.find(said.id);
    if (found != m_entries.end() && said.startTime < found->second.announcement.startTime) {
        return; // an entry of an earlier life
    }
    if (found == m_entries.end() || said.startTime > found->second.announcement.startTime) {
        const bool known = found != m_entries.end();
        RegistryEntry entry;
        entry.announcement = said;
        entry.updatedAt = now;
        entry.coldUntil = now + said.coldRemaining;
        entry.leaving = said.leaving;
        m_entries[said.id] = std::move(entry);
        changes.push_back({said.id, known ? RegistryChange::Kind::Restarted : RegistryChange::Kind::Added});
        if (said.leaving) {
            changes.push_back({said.id, RegistryChange::Kind::Leaving});
        }
        return;
    }
    RegistryEntry &entry = found->second;
    if (said.leaving && !entry.leaving) {
        entry.leaving = true; // sticky for this life
        changes.push_back({said.id, RegistryChange::Kind::Leaving});
    }
    if (entry.removed || entry.missingSince) {
        entry.removed = false;
        entry.missingSince.reset();
        changes.push_back({said.id, RegistryChange::Kind::Returned});
    }
    if (said == entry.announcement) {
        return;
    }
    ++m_version;
    const bool newer = said.sequence > entry.announcement.sequence;
    entry.announcement = said;
    entry.updatedAt = now;
    if (said.coldRemaining > core::Duration::zero()) {
        const bool warmBefore = !entry.isCold(now);
        entry.coldUntil = now + said.coldRemaining;
        if (warmBefore) {
            changes.push_back({said.id, RegistryChange::Kind::Cold});
        }
    } else if (newer) {
        entry.coldUntil = now; // it says that it is warm
    }
}

std::vector<RegistryChange>
UpstreamRegistry::applySnapshot(SnapshotRevision revision, const std::vector<Announcement> &all, bool storeWasAway, core::TimePoint now)
{
    std::vector<RegistryChange> changes;
    if (revision < m_revision) {
        return changes;
    }
    m_revision = revision;
    std::set<core::UpstreamId> present;
    for (const Announcement &said : all) {
        present.insert(said.id);
        adopt(said, now, changes);
    }
    for (auto &[id, entry] : m_entries) {
        if (present.contains(id) || entry.removed || entry.missingSince) {
            continue;
        }
        if (storeWasAway && !entry.leaving) {
            entry.missingSince = now;
            changes.push_back({id, RegistryChange::Kind::Missing});
        } else {
            entry.removed = true;
            entry.updatedAt = now;
            changes.push_back({id, RegistryChange::Kind::Removed});
        }
    }
    m_version += changes.empty() ? 0 : 1;
    return changes;
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
    if (domains == m_evacuated) {
        return false;
    }
    for (auto &[id, entry] : m_entries) {
        if (m_evacuated.contains(entry.announcement.domain) && !domains.contains(entry.announcement.domain)) {
            entry.coldUntil = std::max(entry.coldUntil, now + m_settings.coldAfterEvacuation); // until it says that it is warm
        }
    }
    m_evacuated = std::move(domains);
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
    }
    const auto forgotten =
        std::erase_if(m_entries, [&](const auto &row) { return row.second.removed && now - row.second.updatedAt > m_settings.removedRetention; });
    m_version += changes.empty() && forgotten == 0 ? 0 : 1;
    return changes;
}

const RegistryEntry *UpstreamRegistry::find(const core::UpstreamId &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

} // namespace arbutus::routing
