// Order of notices by age.

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
    const bool isLeaving = isKnownRun && found->second.isLeaving;
    m_entries[upstream] = UpstreamNotice{upstream, startTime, rate, now, isLeaving};
    return changed;
}

bool UpstreamNotices::recordLeaving(const core::UpstreamId &upstream, StartTime startTime, core::TimePoint now)
{
    const auto [found, added] = m_entries.try_emplace(upstream, UpstreamNotice{upstream, startTime, std::nullopt, now, true});
    if (!added && found->second.startTime != startTime) {
        found->second = UpstreamNotice{upstream, startTime, std::nullopt, now, true};
        return true;
    }
    return !std::exchange(found->second.isLeaving, true) || added;
}

bool UpstreamNotices::merge(const UpstreamNotice &notice)
{
    const auto [found, added] = m_entries.try_emplace(notice.upstream, notice);
    if (added) {
        return notice.maxRequestRate.has_value() || notice.isLeaving;
    }
    UpstreamNotice &known = found->second;
    const bool isSameRun = notice.startTime == known.startTime;
    if (isSameRun && notice.isLeaving && !known.isLeaving) {
        known.isLeaving = true;
        return true;
    }
    if (notice.startTime < known.startTime || (notice.startTime == known.startTime && notice.at - known.at < MinNewerBy)) {
        return false;
    }
    const bool changed = known.maxRequestRate != notice.maxRequestRate || (!isSameRun && notice.isLeaving);
    const bool isLeaving = notice.isLeaving || (isSameRun && known.isLeaving);
    known = notice;
    known.isLeaving = isLeaving;
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

} // namespace arbutus::routing
