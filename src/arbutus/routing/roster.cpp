// Rules by which announcements become beliefs.

#include "arbutus/routing/roster.h"

namespace arbutus::routing {

std::string_view toString(RosterChange::Kind kind)
{
    switch (kind) {
    case RosterChange::Kind::Appeared:
        return "appeared";
    case RosterChange::Kind::Restarted:
        return "restarted";
    case RosterChange::Kind::Leaving:
        return "leaving";
    case RosterChange::Kind::Lapsed:
        return "lapsed";
    case RosterChange::Kind::Gone:
        return "gone";
    case RosterChange::Kind::Returned:
        return "returned";
    case RosterChange::Kind::Cold:
        break;
    }
    return "cold";
}

Roster::Roster(RosterSettings settings)
    : m_settings(settings)
{
}

void Roster::adopt(const Announcement &said, core::TimePoint now, std::vector<RosterChange> &changes)
{
    auto found = m_entries.find(said.id);
    if (found != m_entries.end() && said.started < found->second.said.started) {
        return; // an entry of an earlier life
    }
    if (found == m_entries.end() || said.started > found->second.said.started) {
        const bool known = found != m_entries.end();
        RosterEntry entry;
        entry.said = said;
        entry.heardAt = now;
        entry.coldUntil = now + said.coldLeft;
        entry.leaving = said.leaving;
        m_entries[said.id] = std::move(entry);
        changes.push_back({said.id, known ? RosterChange::Kind::Restarted : RosterChange::Kind::Appeared});
        if (said.leaving) {
            changes.push_back({said.id, RosterChange::Kind::Leaving});
        }
        return;
    }
    RosterEntry &entry = found->second;
    if (said.leaving && !entry.leaving) {
        entry.leaving = true; // sticky for this life
        changes.push_back({said.id, RosterChange::Kind::Leaving});
    }
    if (entry.gone || entry.lapsedAt) {
        entry.gone = false;
        entry.lapsedAt.reset();
        changes.push_back({said.id, RosterChange::Kind::Returned});
    }
    if (said == entry.said) {
        return;
    }
    ++m_version;
    const bool newer = said.sequence > entry.said.sequence;
    entry.said = said;
    entry.heardAt = now;
    if (said.coldLeft > core::Duration::zero()) {
        const bool warmBefore = !entry.cold(now);
        entry.coldUntil = now + said.coldLeft;
        if (warmBefore) {
            changes.push_back({said.id, RosterChange::Kind::Cold});
        }
    } else if (newer) {
        entry.coldUntil = now; // it says that it is warm
    }
}

std::vector<RosterChange> Roster::apply(RosterRevision revision, const std::vector<Announcement> &all, bool storeWasAway, core::TimePoint now)
{
    std::vector<RosterChange> changes;
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
        if (present.contains(id) || entry.gone || entry.lapsedAt) {
            continue;
        }
        if (storeWasAway && !entry.leaving) {
            entry.lapsedAt = now;
            changes.push_back({id, RosterChange::Kind::Lapsed});
        } else {
            entry.gone = true;
            entry.heardAt = now;
            changes.push_back({id, RosterChange::Kind::Gone});
        }
    }
    m_version += changes.empty() ? 0 : 1;
    return changes;
}

std::vector<RosterChange> Roster::noteLeaving(const core::UpstreamId &id, core::TimePoint now)
{
    std::vector<RosterChange> changes;
    const auto found = m_entries.find(id);
    if (found != m_entries.end() && !found->second.leaving) {
        found->second.leaving = true;
        found->second.heardAt = now;
        ++m_version;
        changes.push_back({id, RosterChange::Kind::Leaving});
    }
    return changes;
}

bool Roster::setEvacuated(std::set<core::DomainId> domains, core::TimePoint now)
{
    if (domains == m_evacuated) {
        return false;
    }
    for (auto &[id, entry] : m_entries) {
        if (m_evacuated.contains(entry.said.domain) && !domains.contains(entry.said.domain)) {
            entry.coldUntil = std::max(entry.coldUntil, now + m_settings.unseenCold); // until it says that it is warm
        }
    }
    m_evacuated = std::move(domains);
    ++m_version;
    return true;
}

std::vector<RosterChange> Roster::tick(core::TimePoint now)
{
    std::vector<RosterChange> changes;
    for (auto &[id, entry] : m_entries) {
        if (entry.lapsedAt && now - *entry.lapsedAt >= m_settings.lapseGrace) {
            entry.lapsedAt.reset();
            entry.gone = true;
            entry.heardAt = now;
            changes.push_back({id, RosterChange::Kind::Gone});
        }
    }
    const auto forgotten = std::erase_if(m_entries, [&](const auto &row) { return row.second.gone && now - row.second.heardAt > m_settings.goneKept; });
    m_version += changes.empty() && forgotten == 0 ? 0 : 1;
    return changes;
}

const RosterEntry *Roster::find(const core::UpstreamId &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

} // namespace arbutus::routing
