// Attribution of crashes to prompt parts, merging and expiry.

#include "arbutus/routing/promptquarantine.h"

#include <algorithm>

namespace arbutus::routing {

namespace {

/// Calls `visit` with the id of each part that other requests may share.
template<class Visitor>
void forEachSharedPart(const std::vector<PromptPart> &prompt, Visitor visit)
{
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        visit(prompt[i].id);
    }
}

} // namespace

PromptQuarantine::PromptQuarantine(PromptQuarantineSettings settings)
    : m_settings(settings)
{
}

//-----------------------------------------------------------------------------
// Evidence
//-----------------------------------------------------------------------------

core::TimePoint PromptQuarantine::lastFirstEvent(PromptPartId part) const
{
    const auto found = m_trusted.find(part);
    return found == m_trusted.end() ? core::TimePoint{} : found->second.firstEventAt;
}

void PromptQuarantine::rememberFirstEvent(PromptPartId part, core::TimePoint now)
{
    const auto [found, added] = m_trusted.try_emplace(part);
    if (added) {
        found->second.position = m_trustedOrder.insert(m_trustedOrder.end(), part);
    } else {
        m_trustedOrder.splice(m_trustedOrder.end(), m_trustedOrder, found->second.position);
    }
    found->second.firstEventAt = now;
    if (m_trusted.size() > m_settings.maxTrustedParts) {
        m_trusted.erase(m_trustedOrder.front());
        m_trustedOrder.pop_front();
    }
}

PartRecord &PromptQuarantine::recordFor(PromptPartId part, core::TimePoint now)
{
    const auto found = m_records.find(part);
    if (found != m_records.end()) {
        return found->second;
    }
    if (m_records.size() >= m_settings.maxRecords) { // suspects go first: a quarantined part would crash further upstreams
        const auto older = [](const auto &left, const auto &right) {
            return std::pair(left.second.quarantined, left.second.lastRequestedAt) < std::pair(right.second.quarantined, right.second.lastRequestedAt);
        };
        const auto oldest = std::min_element(m_records.begin(), m_records.end(), older);
        m_changed.erase(oldest->first);
        m_records.erase(oldest);
    }
    PartRecord record;
    record.part = part;
    record.lastRequestedAt = now;
    return m_records[part] = record;
}

bool PromptQuarantine::hasEnoughCrashes(const PartRecord &record) const
{
    std::size_t count = 0;
    core::TimePoint lastCounted{};
    for (const PartCrash &crash : record.crashes) {
        if (count == 0 || crash.at - lastCounted >= m_settings.minCrashSpacing) {
            ++count;
            lastCounted = crash.at;
        }
    }
    return count >= m_settings.crashesToQuarantine;
}

void PromptQuarantine::addCrash(PartRecord &record, const PartCrash &crash) const
{
    constexpr std::size_t MaxCrashes = 8; // bounds the record; the verdict needs fewer
    const auto same = std::find_if(record.crashes.begin(), record.crashes.end(), [&](const PartCrash &known) { return known.upstream == crash.upstream; });
    if (same != record.crashes.end() || record.crashes.size() >= MaxCrashes) {
        return;
    }
    const auto position =
        std::upper_bound(record.crashes.begin(), record.crashes.end(), crash, [](const PartCrash &left, const PartCrash &right) { return left.at < right.at; });
    record.crashes.insert(position, crash);
    record.lastRequestedAt = std::max(record.lastRequestedAt, crash.at);
    record.quarantined = record.quarantined || hasEnoughCrashes(record);
}

void PromptQuarantine::clear(PartRecord &record, core::TimePoint until)
{
    ++record.generation;
    std::erase_if(record.crashes, [&](const PartCrash &crash) { return crash.at <= until; });
    record.quarantined = hasEnoughCrashes(record);
    m_changed.insert(record.part);
}

void PromptQuarantine::blame(PromptPartId part, const PartCrash &crash)
{
    if (lastFirstEvent(part) > crash.at) {
        return;
    }
    addCrash(recordFor(part, crash.at), crash);
    m_changed.insert(part);
}

void PromptQuarantine::recordCrash(const std::vector<PromptPart> &prompt, const core::UpstreamId &upstream, core::TimePoint now)
{
    std::vector<PromptPartId> trusted;
    std::vector<PromptPartId> untrusted;
    forEachSharedPart(prompt, [&](PromptPartId part) {
        const core::TimePoint firstEvent = lastFirstEvent(part);
        const bool isTrusted = firstEvent != core::TimePoint{} && now - firstEvent < m_settings.trustPeriod;
        (isTrusted ? trusted : untrusted).push_back(part);
    });
    for (const PromptPartId part : untrusted) {
        blame(part, PartCrash{upstream, now});
    }
    if (untrusted.empty() && !trusted.empty()) {
        m_delayed.push_back(DelayedBlame{std::move(trusted), upstream, now});
    }
}

void PromptQuarantine::recordFirstEvent(const std::vector<PromptPart> &prompt, core::TimePoint now)
{
    forEachSharedPart(prompt, [&](PromptPartId part) {
        rememberFirstEvent(part, now);
        const auto found = m_records.find(part);
        if (found != m_records.end() && !found->second.crashes.empty()) {
            clear(found->second, now);
        }
    });
}

void PromptQuarantine::merge(const PartRecord &record, core::TimePoint now)
{
    if (record.generation == 0 && record.crashes.empty()) {
        return;
    }
    PartRecord &known = recordFor(record.part, record.lastRequestedAt);
    known.lastRequestedAt = std::min(now, std::max(known.lastRequestedAt, record.lastRequestedAt));
    if (record.generation < known.generation) {
        m_changed.insert(record.part); // the sender has not seen that the part was cleared
        return;
    }
    if (record.generation > known.generation) {
        known.generation = record.generation;
        known.quarantined = false;
        known.crashes.clear();
    }
    const std::size_t crashCount = known.crashes.size();
    const bool wasQuarantined = known.quarantined;
    for (const PartCrash &crash : record.crashes) {
        addCrash(known, crash);
    }
    known.quarantined = known.quarantined || record.quarantined;
    const core::TimePoint firstEvent = lastFirstEvent(record.part);
    if (!known.crashes.empty() && firstEvent > known.crashes.front().at) {
        clear(known, firstEvent);
    } else if (known.crashes.size() > crashCount && known.quarantined != wasQuarantined) {
        m_changed.insert(record.part); // the verdict follows from evidence that no other instance may have together
    }
}

bool PromptQuarantine::lift(PromptPartId part, core::TimePoint now)
{
    const auto found = m_records.find(part);
    if (found == m_records.end() || !found->second.quarantined) {
        return false;
    }
    found->second.lastRequestedAt = now;
    clear(found->second, now);
    return true;
}

void PromptQuarantine::tick(core::TimePoint now)
{
    std::vector<DelayedBlame> due;
    std::erase_if(m_delayed, [&](const DelayedBlame &delayed) {
        const bool isDue = now - delayed.at >= m_settings.trustPeriod;
        if (isDue) {
            due.push_back(delayed);
        }
        return isDue;
    });
    for (const DelayedBlame &delayed : due) {
        for (const PromptPartId part : delayed.parts) {
            blame(part, PartCrash{delayed.upstream, delayed.at});
        }
    }
    std::erase_if(m_records, [&](const auto &item) {
        return now - item.second.lastRequestedAt >= (item.second.quarantined ? m_settings.quarantineTime : m_settings.evidenceTime);
    });
    std::erase_if(m_changed, [&](PromptPartId part) { return !m_records.contains(part); });
}

//-----------------------------------------------------------------------------
// Verdicts
//-----------------------------------------------------------------------------

std::optional<PromptPartId> PromptQuarantine::findQuarantined(const std::vector<PromptPart> &prompt, core::TimePoint now)
{
    std::optional<PromptPartId> out;
    if (m_records.empty()) {
        return out;
    }
    forEachSharedPart(prompt, [&](PromptPartId part) {
        const auto found = m_records.find(part);
        if (!out && found != m_records.end() && found->second.quarantined) {
            found->second.lastRequestedAt = now;
            out = part;
        }
    });
    return out;
}

std::set<PromptPartId> PromptQuarantine::takeChanges()
{
    return std::exchange(m_changed, {});
}

} // namespace arbutus::routing
