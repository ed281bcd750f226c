// Order of limits by age, and of leavings by run.

#include "arbutus/routing/upstreamnotices.h"

#include <algorithm>
#include <utility>

namespace arbutus::routing {

namespace {

// Times of other instances are derived from ages and appear later by the latency of each message that carried them.
constexpr auto MinNewerBy = std::chrono::milliseconds(50);

// Rates outside are replaced by the nearer bound. At a rate of zero no response would ever tell that the limit has ended.
constexpr double MinRequestRate = 0.2;
constexpr double MaxRequestRate = 1e6;

} // namespace

std::string_view toString(EndedLeaving::Reason reason)
{
    switch (reason) {
    case EndedLeaving::Reason::ListedAsReady:
        return "listed_as_ready";
    case EndedLeaving::Reason::Forgotten:
        break;
    }
    return "forgotten";
}

UpstreamNotices::UpstreamNotices(UpstreamNoticesSettings settings)
    : m_settings(settings)
{
}

//-----------------------------------------------------------------------------
// Limits
//-----------------------------------------------------------------------------

std::optional<double> UpstreamNotices::maxRequestRate(const core::UpstreamId &upstream) const
{
    const auto found = m_entries.find(upstream);
    return found == m_entries.end() ? std::nullopt : found->second.maxRequestRate;
}

bool UpstreamNotices::recordResponse(
    const core::UpstreamId &upstream, StartTime startTime, std::optional<double> maxRequestRate, core::TimePoint requestSentAt, core::TimePoint now)
{
    const auto found = m_entries.find(upstream);
    const bool isKnownRun = found != m_entries.end() && found->second.startTime == startTime;
    if (!maxRequestRate) {
        const bool ends = isKnownRun && found->second.maxRequestRate && requestSentAt > found->second.at;
        if (ends) {
            found->second.maxRequestRate.reset();
            found->second.at = requestSentAt;
        }
        return ends;
    }
    const double rate = std::clamp(*maxRequestRate, MinRequestRate, MaxRequestRate);
    const bool changed = !isKnownRun || found->second.maxRequestRate != rate;
    m_entries[upstream] = UpstreamNotice{upstream, startTime, rate, now};
    return changed;
}

bool UpstreamNotices::merge(const UpstreamNotice &notice)
{
    if (notice.isLeaving && !notice.maxRequestRate) { // says nothing about a limit
        return false;
    }
    const auto [found, added] = m_entries.try_emplace(notice.upstream, notice);
    UpstreamNotice &known = found->second;
    known.isLeaving = false; // see m_leavings
    if (added) {
        return notice.maxRequestRate.has_value();
    }
    if (notice.startTime < known.startTime || (notice.startTime == known.startTime && notice.at - known.at < MinNewerBy)) {
        return false;
    }
    const bool changed = known.maxRequestRate != notice.maxRequestRate;
    known = notice;
    known.isLeaving = false;
    return changed;
}

std::vector<core::UpstreamId> UpstreamNotices::eraseEnded(const UpstreamRegistry &registry)
{
    std::vector<core::UpstreamId> ended;
    std::erase_if(m_entries, [&](const auto &item) {
        const bool hasEnded = registry.hasRunEnded(item.first, item.second.startTime);
        if (hasEnded) {
            ended.push_back(item.first);
        }
        return hasEnded;
    });
    return ended;
}

//-----------------------------------------------------------------------------
// Leavings
//-----------------------------------------------------------------------------

bool UpstreamNotices::addLeaving(const core::UpstreamId &upstream, const UpstreamLeaving &leaving)
{
    const auto [found, added] = m_leavings.try_emplace(upstream, leaving);
    if (added) {
        return true;
    }
    UpstreamLeaving &known = found->second;
    const bool isNewRun = leaving.lastRun > known.lastRun; // an empty one is less than any
    const bool changed = isNewRun || (leaving.mayBeLaterRun && !known.mayBeLaterRun);
    known.lastRun = std::max(known.lastRun, leaving.lastRun);
    if (isNewRun || leaving.mayBeLaterRun) { // a repeated report seems newer by the latency of its message
        known.at = std::max(known.at, leaving.at);
    }
    known.mayBeLaterRun = known.mayBeLaterRun || leaving.mayBeLaterRun;
    return changed;
}

bool UpstreamNotices::recordLeaving(const core::UpstreamId &upstream, std::optional<StartTime> knownRun, core::TimePoint now)
{
    return addLeaving(upstream, UpstreamLeaving{knownRun, now, true});
}

bool UpstreamNotices::mergeLeaving(const UpstreamNotice &notice)
{
    return notice.isLeaving && addLeaving(notice.upstream, UpstreamLeaving{notice.startTime, notice.at, false});
}

bool UpstreamNotices::isLeaving(const core::UpstreamId &upstream, std::optional<StartTime> run) const
{
    const auto found = m_leavings.find(upstream);
    return found != m_leavings.end() && (!run || run <= found->second.lastRun || found->second.mayBeLaterRun);
}

std::vector<EndedLeaving> UpstreamNotices::expireLeavings(const UpstreamRegistry &registry, core::TimePoint confirmedAt, core::TimePoint now)
{
    std::vector<EndedLeaving> ended;
    for (auto item = m_leavings.begin(); item != m_leavings.end();) {
        UpstreamLeaving &leaving = item->second;
        const RegistryEntry *entry = registry.find(item->first);
        const bool isListed = entry != nullptr && !entry->removed && !entry->missingSince;
        bool isOver = entry == nullptr && now - leaving.at > m_settings.retention;
        if (isOver) {
            ended.push_back({item->first, EndedLeaving::Reason::Forgotten});
        } else if (leaving.mayBeLaterRun && isListed && confirmedAt >= leaving.at + m_settings.announcementTime) {
            leaving.mayBeLaterRun = false; // the entry is that of the run that said so, or of another one, which would have announced it
            isOver = !leaving.lastRun;
            if (entry->announcement.startTime > leaving.lastRun && !entry->leaving) {
                ended.push_back({item->first, EndedLeaving::Reason::ListedAsReady});
            }
        }
        item = isOver ? m_leavings.erase(item) : std::next(item);
    }
    return ended;
}

std::set<core::UpstreamId> UpstreamNotices::withheld(const UpstreamRegistry &registry, core::TimePoint now) const
{
    std::set<core::UpstreamId> out;
    for (const auto &[upstream, leaving] : m_leavings) {
        const RegistryEntry *entry = registry.find(upstream);
        const bool isRecent = now - leaving.at < m_settings.reportTime;
        if (entry == nullptr ? isRecent : entry->isUsable() && isLeaving(upstream, entry->announcement.startTime)) {
            out.insert(upstream);
        }
    }
    return out;
}

std::vector<UpstreamNotice> UpstreamNotices::notices(const UpstreamRegistry &registry, core::TimePoint now) const
{
    std::vector<UpstreamNotice> out;
    out.reserve(m_entries.size() + m_leavings.size());
    for (const auto &[upstream, notice] : m_entries) {
        out.push_back(notice);
    }
    for (const auto &[upstream, leaving] : m_leavings) {
        const bool isCurrent = now - leaving.at < m_settings.reportTime || (leaving.lastRun && !registry.hasRunEnded(upstream, *leaving.lastRun));
        if (leaving.lastRun && isCurrent) {
            out.push_back(UpstreamNotice{upstream, *leaving.lastRun, std::nullopt, leaving.at, true});
        }
    }
    return out;
}

} // namespace arbutus::routing
