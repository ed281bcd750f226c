// How long the latest requests of each route took at their upstreams.
//
//   DurationHistory history;
//   history.record(route, 300ms, 50);
//   history.longest(route, 50);  // 300 ms; empty for a route without requests
//   history.longest(route, 100); // 600 ms: twice the output tokens

#pragma once

#include "arbutus/catalog/catalog.h"
#include "arbutus/core/clock.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>

namespace arbutus::edge {

class DurationHistory
{
public:
    /// `outputTokens` is the number that the request stated; 0 if it stated none.
    void record(const catalog::RouteId &route, core::Duration duration, std::uint32_t outputTokens)
    {
        if (m_durations.size() >= MaxRoutes && !m_durations.contains(route)) {
            m_durations.clear(); // removed routes are not told apart
        }
        std::deque<Entry> &durations = m_durations[route];
        durations.push_back({duration, outputTokens});
        if (durations.size() > MaxRequestsPerRoute) {
            durations.pop_front();
        }
    }
    /// The longest one, in proportion if a request of that many output tokens states more than the recorded one.
    [[nodiscard]] std::optional<core::Duration> longest(const catalog::RouteId &route, std::uint32_t outputTokens) const
    {
        const auto found = m_durations.find(route);
        if (found == m_durations.end()) {
            return std::nullopt;
        }
        core::Duration longest{};
        for (const Entry &entry : found->second) {
            const bool isLonger = entry.outputTokens > 0 && outputTokens > entry.outputTokens;
            const double factor = isLonger ? static_cast<double>(outputTokens) / entry.outputTokens : 1;
            longest = std::max(longest, std::chrono::duration_cast<core::Duration>(entry.duration * factor));
        }
        return longest;
    }
    [[nodiscard]] std::optional<core::Duration> median(const catalog::RouteId &route) const
    {
        const auto found = m_durations.find(route);
        if (found == m_durations.end()) {
            return std::nullopt;
        }
        std::deque<Entry> durations = found->second;
        const auto middle = durations.begin() + static_cast<std::ptrdiff_t>(durations.size() / 2);
        std::nth_element(durations.begin(), middle, durations.end(), [](const Entry &left, const Entry &right) { return left.duration < right.duration; });
        return middle->duration;
    }

private:
    static constexpr std::size_t MaxRequestsPerRoute = 32;
    static constexpr std::size_t MaxRoutes = 10'000;

    struct Entry
    {
        core::Duration duration{};
        std::uint32_t outputTokens = 0;
    };

    std::map<catalog::RouteId, std::deque<Entry>> m_durations;
};

} // namespace arbutus::edge
