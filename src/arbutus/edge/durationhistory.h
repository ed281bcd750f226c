// How long the latest requests of each route took at their upstreams.
//
//   DurationHistory history;
//   history.record(route, 300ms);
//   history.longest(route); // 300 ms; empty for a route without requests

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
    void record(const catalog::RouteId &route, core::Duration duration)
    {
        if (m_durations.size() >= MaxRoutes && !m_durations.contains(route)) {
            m_durations.clear(); // removed routes are not told apart
        }
        std::deque<core::Duration> &durations = m_durations[route];
        durations.push_back(duration);
        if (durations.size() > MaxRequestsPerRoute) {
            durations.pop_front();
        }
    }
    [[nodiscard]] std::optional<core::Duration> longest(const catalog::RouteId &route) const
    {
        const auto found = m_durations.find(route);
        return found == m_durations.end() ? std::nullopt : std::optional(*std::max_element(found->second.begin(), found->second.end()));
    }
    [[nodiscard]] std::optional<core::Duration> median(const catalog::RouteId &route) const
    {
        const auto found = m_durations.find(route);
        if (found == m_durations.end()) {
            return std::nullopt;
        }
        std::deque<core::Duration> durations = found->second;
        const auto middle = durations.begin() + static_cast<std::ptrdiff_t>(durations.size() / 2);
        std::nth_element(durations.begin(), middle, durations.end());
        return *middle;
    }

private:
    static constexpr std::size_t MaxRequestsPerRoute = 32;
    static constexpr std::size_t MaxRoutes = 10'000;

    std::map<catalog::RouteId, std::deque<core::Duration>> m_durations;
};

} // namespace arbutus::edge
