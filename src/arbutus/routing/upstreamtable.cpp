// Updates and lookups of the table.

#include "arbutus/routing/upstreamtable.h"

#include <algorithm>

namespace arbutus::routing {

namespace {

constexpr double SlowdownWeight = 0.1; // weight of the newest observation in the moving average
constexpr double MaxSlowdown = 100.0;
constexpr double GapConfidenceFactor = 0.5; // a gap in the cache events halves the confidence in the known blocks
constexpr double ConfidenceGain = 0.02;     // added by each batch of cached blocks

} // namespace

std::uint32_t Upstream::occupancy() const
{
    const std::uint32_t reported = report.running + report.waiting;
    const std::uint32_t others = reported - std::min(reported, inFlightAtReport); // requests of other instances
    return others + inFlight;
}

UpstreamTable::UpstreamTable(UpstreamTableSettings settings)
    : m_settings(settings)
{
}

void UpstreamTable::updateUpstreams(const std::vector<UpstreamDescriptor> &descriptors)
{
    std::set<core::UpstreamId> listed;
    for (const UpstreamDescriptor &descriptor : descriptors) {
        listed.insert(descriptor.id);
        Upstream &upstream = m_upstreams[descriptor.id];
        const bool isNew = upstream.descriptor.id.empty();
        const bool wasReplaced = !isNew && upstream.descriptor.address != descriptor.address; // a replacement under the same id
        if (wasReplaced) {
            upstream = Upstream{};
        }
        const bool wasLeaving = upstream.descriptor.leaving;
        upstream.descriptor = descriptor;
        upstream.descriptor.leaving = descriptor.leaving || (wasLeaving && !wasReplaced);
        if (upstream.descriptor.leaving && !descriptor.leaving && upstream.reportedAt != core::TimePoint() && !upstream.report.leaving) {
            upstream.descriptor.leaving = false; // both the list and its own reports say that it is not leaving
        }
        if (isNew || wasReplaced) {
            upstream.report.id = descriptor.id;
            upstream.report.slots = descriptor.slots;
            upstream.report.models = descriptor.models;
        }
    }
    std::erase_if(m_upstreams, [&](const auto &entry) { return !listed.contains(entry.first) && entry.second.inFlight == 0; });
    for (auto &[id, upstream] : m_upstreams) {
        upstream.descriptor.leaving = upstream.descriptor.leaving || !listed.contains(id);
    }
    rebuildIndex();
}

bool UpstreamTable::updateLoad(const LoadReport &report, core::TimePoint now)
{
    Upstream *upstream = find(report.id);
    if (upstream == nullptr) {
        return false;
    }
    if (report.leaving) {
        upstream->leavingUntil = now + m_settings.leavingHoldTime;
    }
    const bool modelsChanged = upstream->report.models != report.models;
    upstream->report = report;
    upstream->report.leaving = now < upstream->leavingUntil; // a late report does not revert the state
    upstream->reportedAt = now;
    upstream->inFlightAtReport = upstream->inFlight;
    if (modelsChanged) {
        rebuildIndex();
    }
    return true;
}

void UpstreamTable::updatePool(std::vector<RemotePool> &pools, RemotePool pool, core::TimePoint now, core::Duration maxAge)
{
    pool.updatedAt = now;
    pool.recoveredAt = now;
    const auto found = std::find_if(pools.begin(), pools.end(), [&](const RemotePool &known) { return known.domain == pool.domain; });
    if (found == pools.end()) {
        pools.push_back(std::move(pool));
        return;
    }
    if (now - found->updatedAt < maxAge) {
        pool.recoveredAt = found->recoveredAt;
    }
    *found = std::move(pool);
}

void UpstreamTable::updateRemoteModel(const core::ModelId &model, RemotePool pool, core::TimePoint now)
{
    updatePool(m_remoteModels[model], std::move(pool), now, m_settings.maxDigestAge);
}

void UpstreamTable::updateRemoteService(const core::ServiceId &service, RemotePool pool, core::TimePoint now)
{
    updatePool(m_remoteServices[service], std::move(pool), now, m_settings.maxDigestAge);
}

void UpstreamTable::addCachedBlocks(const core::UpstreamId &id, const std::vector<std::uint64_t> &blocks)
{
    Upstream *upstream = find(id);
    if (upstream == nullptr) {
        return;
    }
    for (const std::uint64_t block : blocks) {
        if (upstream->cachedBlocks.emplace(block, 1).second) {
            upstream->cachedBlockOrder.push_back(block);
        }
    }
    while (upstream->cachedBlockOrder.size() > m_settings.maxCachedBlocks) {
        upstream->cachedBlocks.erase(upstream->cachedBlockOrder.front());
        upstream->cachedBlockOrder.pop_front();
    }
    upstream->cacheConfidence = std::min(1.0, upstream->cacheConfidence + ConfidenceGain);
}

void UpstreamTable::removeCachedBlock(const core::UpstreamId &id, std::uint64_t block)
{
    if (Upstream *upstream = find(id)) {
        upstream->cachedBlocks.erase(block);
    }
}

void UpstreamTable::recordCacheEventGap(const core::UpstreamId &id)
{
    if (Upstream *upstream = find(id)) {
        upstream->cacheConfidence *= GapConfidenceFactor;
    }
}

void UpstreamTable::recordAttemptStart(const core::UpstreamId &id)
{
    if (Upstream *upstream = find(id)) {
        ++upstream->inFlight;
    }
}

void UpstreamTable::recordAttemptEnd(const core::UpstreamId &id, bool healthy, core::TimePoint now)
{
    Upstream *upstream = find(id);
    if (upstream == nullptr) {
        return;
    }
    upstream->inFlight -= std::min<std::uint32_t>(1, upstream->inFlight);
    upstream->inFlightAtReport = std::min(upstream->inFlightAtReport, upstream->inFlight);
    if (healthy) {
        upstream->consecutiveFailures = 0;
        return;
    }
    ++upstream->consecutiveFailures;
    if (upstream->consecutiveFailures >= m_settings.consecutiveFailuresToEject && canEject(*upstream, now)) {
        const auto doublings = std::min<std::uint32_t>(upstream->consecutiveFailures - m_settings.consecutiveFailuresToEject, 5);
        const core::Duration ejectionTime = std::min(m_settings.maxEjectionTime, m_settings.baseEjectionTime * (std::int64_t{1} << doublings));
        upstream->ejectedUntil = now + ejectionTime;
        upstream->probationUntil = now + ejectionTime * 2;
    }
}

bool UpstreamTable::canEject(const Upstream &upstream, core::TimePoint now) const
{
    std::size_t peers = 0;
    std::size_t ejected = 0;
    for (const auto &[id, other] : m_upstreams) {
        const bool isPeer = upstream.descriptor.kind == UpstreamKind::Service ? other.descriptor.service == upstream.descriptor.service
                                                                              : other.descriptor.kind == UpstreamKind::Model;
        peers += isPeer ? 1 : 0;
        ejected += isPeer && other.ejectedUntil > now ? 1 : 0;
    }
    return static_cast<double>(ejected + 1) <= m_settings.maxEjectionRatio * static_cast<double>(peers);
}

void UpstreamTable::recordFirstToken(const core::UpstreamId &id, core::Duration observed, core::Duration predicted)
{
    Upstream *upstream = find(id);
    if (upstream == nullptr || predicted.count() <= 0) {
        return;
    }
    const double ratio = std::clamp(static_cast<double>(observed.count()) / static_cast<double>(predicted.count()), 0.1, MaxSlowdown);
    const double previous = upstream->slowdown;
    upstream->slowdown = std::clamp(previous * (1 - SlowdownWeight) + previous * ratio * SlowdownWeight, 1.0, MaxSlowdown);
}

Upstream *UpstreamTable::find(const core::UpstreamId &id)
{
    const auto found = m_upstreams.find(id);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

const std::vector<Upstream *> &UpstreamTable::upstreamsWithModel(const core::ModelId &model) const
{
    static const std::vector<Upstream *> empty;
    const auto found = m_byModel.find(model);
    return found == m_byModel.end() ? empty : found->second;
}

const std::vector<Upstream *> &UpstreamTable::upstreamsOfService(const core::ServiceId &service) const
{
    static const std::vector<Upstream *> empty;
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? empty : found->second;
}

const std::vector<RemotePool> &UpstreamTable::remotePoolsWithModel(const core::ModelId &model) const
{
    static const std::vector<RemotePool> empty;
    const auto found = m_remoteModels.find(model);
    return found == m_remoteModels.end() ? empty : found->second;
}

const std::vector<RemotePool> &UpstreamTable::remotePoolsOfService(const core::ServiceId &service) const
{
    static const std::vector<RemotePool> empty;
    const auto found = m_remoteServices.find(service);
    return found == m_remoteServices.end() ? empty : found->second;
}

RemotePool *UpstreamTable::findRemotePool(const core::ModelId &model, const core::ServiceId &service, const core::DomainId &domain)
{
    auto &pools = service.empty() ? m_remoteModels[model] : m_remoteServices[service];
    const auto found = std::find_if(pools.begin(), pools.end(), [&](const RemotePool &pool) { return pool.domain == domain; });
    return found == pools.end() ? nullptr : &*found;
}

std::set<core::ModelId> UpstreamTable::models() const
{
    std::set<core::ModelId> result;
    for (const auto &[model, upstreams] : m_byModel) {
        result.insert(model);
    }
    return result;
}

std::set<core::ServiceId> UpstreamTable::services() const
{
    std::set<core::ServiceId> result;
    for (const auto &[service, upstreams] : m_byService) {
        result.insert(service);
    }
    return result;
}

void UpstreamTable::rebuildIndex()
{
    m_byModel.clear();
    m_byService.clear();
    for (auto &[id, upstream] : m_upstreams) {
        if (upstream.descriptor.kind == UpstreamKind::Service) {
            m_byService[upstream.descriptor.service].push_back(&upstream);
            continue;
        }
        for (const core::ModelId &model : upstream.report.models) {
            m_byModel[model].push_back(&upstream);
        }
    }
}

} // namespace arbutus::routing
