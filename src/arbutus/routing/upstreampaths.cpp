// Losses, doubts and the times of probes.

#include "arbutus/routing/upstreampaths.h"

#include <algorithm>

namespace arbutus::routing {

UpstreamPaths::UpstreamPaths(std::uint64_t seed, UpstreamPathsSettings settings)
    : m_settings(settings)
    , m_random(seed)
{
}

bool UpstreamPaths::recordConnected(const core::UpstreamId &upstream, core::TimePoint now)
{
    Path &path = m_paths[upstream];
    path.lastUsedAt = now;
    path.lastConnectedAt = now;
    path.probeInterval = core::Duration::zero();
    path.probeAt = core::TimePoint::max();
    return m_lost.erase(upstream) > 0;
}

bool UpstreamPaths::recordFailure(const core::UpstreamId &upstream, core::TimePoint now)
{
    Path &path = m_paths[upstream];
    const bool isNew = m_lost.insert(upstream).second;
    if (isNew) {
        path.lostAt = now;
    }
    if (isNew || path.isProbing) {
        scheduleProbe(path, now);
    }
    if (isNew && m_lost.size() >= m_settings.relatedLosses) {
        for (const auto &[other, otherPath] : m_paths) {
            doubtUnlessFresh(other, now);
        }
    }
    return isNew;
}

bool UpstreamPaths::recordProbe(const core::UpstreamId &upstream, bool reached, core::TimePoint now)
{
    const auto found = m_paths.find(upstream);
    if (found == m_paths.end()) { // the upstream is gone meanwhile
        return false;
    }
    const bool changed = reached ? recordConnected(upstream, now) : recordFailure(upstream, now);
    found->second.isProbing = false;
    return changed;
}

void UpstreamPaths::doubt(const core::UpstreamId &upstream, core::TimePoint now)
{
    Path &path = m_paths[upstream];
    if (!m_lost.contains(upstream) && !path.isProbing) {
        path.probeAt = now;
    }
}

void UpstreamPaths::recordResponse(const core::UpstreamId &upstream, core::TimePoint now)
{
    m_paths[upstream].lastUsedAt = now;
}

void UpstreamPaths::doubtUnlessFresh(const core::UpstreamId &upstream, core::TimePoint now)
{
    const auto found = m_paths.find(upstream);
    if (found != m_paths.end() && now - found->second.lastUsedAt > m_settings.freshness) {
        doubt(upstream, now);
    }
}

void UpstreamPaths::doubtOthers(const core::UpstreamId &upstream, core::TimePoint since, core::TimePoint now)
{
    for (const auto &[other, path] : m_paths) {
        if (other != upstream && path.lastConnectedAt < since) {
            doubt(other, now);
        }
    }
}

bool UpstreamPaths::hasConnectedToOther(const core::UpstreamId &upstream, core::TimePoint since) const
{
    const bool hasOther = std::any_of(m_paths.begin(), m_paths.end(), [&](const auto &item) { return item.first != upstream; });
    return !hasOther
        || std::any_of(m_paths.begin(), m_paths.end(), [&](const auto &item) { return item.first != upstream && item.second.lastConnectedAt >= since; });
}

core::Duration UpstreamPaths::lostFor(const core::UpstreamId &upstream, core::TimePoint now) const
{
    return isLost(upstream) ? now - m_paths.at(upstream).lostAt : core::Duration::zero();
}

void UpstreamPaths::scheduleProbe(Path &path, core::TimePoint now)
{
    path.probeInterval = std::clamp(path.probeInterval * 2, m_settings.minProbeInterval, m_settings.maxProbeInterval);
    constexpr double RandomRange = 4294967296.0; // 2^32
    const double jitter = m_settings.probeJitter * (2 * static_cast<double>(m_random()) / RandomRange - 1);
    path.probeAt = now + core::Duration(static_cast<core::Duration::rep>(static_cast<double>(path.probeInterval.count()) * (1 + jitter)));
}

std::vector<core::UpstreamId> UpstreamPaths::takeDueProbes(const std::set<core::UpstreamId> &upstreams, core::TimePoint now)
{
    std::erase_if(m_paths, [&](const auto &item) { return !upstreams.contains(item.first); });
    std::erase_if(m_lost, [&](const core::UpstreamId &upstream) { return !upstreams.contains(upstream); });
    for (const core::UpstreamId &upstream : upstreams) {
        m_paths.try_emplace(upstream);
    }
    std::vector<core::UpstreamId> due;
    for (auto &[upstream, path] : m_paths) {
        if (!path.isProbing && path.probeAt <= now) {
            path.isProbing = true;
            path.probeAt = core::TimePoint::max();
            due.push_back(upstream);
        }
    }
    return due;
}

} // namespace arbutus::routing
