// Begin and end of rests.

#include "arbutus/routing/upstreamrests.h"

#include <algorithm>

namespace arbutus::routing {

void UpstreamRests::record(const core::UpstreamId &upstream, std::optional<StartTime> startTime, core::Duration rest, core::TimePoint now)
{
    const auto [found, added] = m_entries.try_emplace(upstream, Rest{startTime, now + rest});
    Rest &known = found->second;
    known = added || known.startTime != startTime ? Rest{startTime, now + rest} : Rest{startTime, std::max(known.end, now + rest)};
}

core::Duration UpstreamRests::remaining(const core::UpstreamId &upstream, const UpstreamRegistry &registry, core::TimePoint now) const
{
    const auto found = m_entries.find(upstream);
    const RegistryEntry *entry = registry.find(upstream);
    if (found == m_entries.end()) {
        return core::Duration::zero();
    }
    const std::optional<StartTime> &run = found->second.startTime;
    if (entry != nullptr && run && entry->announcement.startTime != *run) {
        return core::Duration::zero();
    }
    return std::max(core::Duration::zero(), found->second.end - now);
}

void UpstreamRests::eraseEnded(const UpstreamRegistry &registry, core::TimePoint now)
{
    std::erase_if(m_entries, [&](const auto &item) { return remaining(item.first, registry, now) == core::Duration::zero(); });
}

} // namespace arbutus::routing
