// Other regions: redirects to them, and the load that is reported to them.

#include "arbutus/routing/dispatcher.h"

#include <algorithm>
#include <numeric>

namespace arbutus::routing {

double Dispatcher::meanRequestsBeside(const core::ServiceId &id, const RemoteRegion &remote) const
{
    const catalog::Service *service = m_view.catalog ? m_view.catalog->findService(id) : nullptr;
    if (service == nullptr || !service->engine) {
        return 0;
    }
    const double slots = m_settings.maxSlotUtilization * static_cast<double>(service->engine->slots);
    const double free = (static_cast<double>(remote.load.freeSlots) - remote.redirectedRequests) / std::max(1U, remote.load.usableUpstreams);
    return std::clamp(slots - free, 0.0, slots);
}

std::optional<Redirected> Dispatcher::bestRemoteRegion(const PlacementRequest &request, core::TimePoint now)
{
    std::optional<Redirected> best;
    if (!request.allowOtherRegions) {
        return best;
    }
    for (auto &[region, services] : m_remoteRegions) {
        const bool allowed = allowsRegion(request, region);
        const auto found = services.find(request.service);
        if (!allowed || found == services.end()) {
            continue;
        }
        const RemoteRegion &remote = found->second;
        if (now - remote.updatedAt > m_settings.maxRemoteLoadAge || remote.load.usableUpstreams == 0) {
            continue;
        }
        core::Duration queueDelay = remote.load.queueDelay;
        if (request.requiredVersion) {
            const auto &versions = remote.load.versions;
            const auto version =
                std::find_if(versions.begin(), versions.end(), [&](const VersionLoad &row) { return row.version == *request.requiredVersion; });
            if (version == versions.end()) {
                continue;
            }
            queueDelay = version->queueDelay;
        }
        core::Duration predictedLatency = m_settings.regionRoundTrip + queueDelay;
        core::Duration streamTime{};
        if (remote.load.prefillTokensPerMs > 0) {
            const double prefillRate = remote.load.prefillTokensPerMs / remote.load.usableUpstreams;
            const double uncached = request.promptTokens * remote.load.cacheMissRatio;
            const double prefillMs = uncached / prefillRate + static_cast<double>(remote.redirectedTokens) / remote.load.prefillTokensPerMs;
            predictedLatency += core::Duration(static_cast<core::Duration::rep>(prefillMs * 1000));
            const double addedUtilization = static_cast<double>(remote.redirectedTokens) / remote.load.prefillTokensPerMs
                / static_cast<double>(core::toMilliseconds(m_settings.estimator.prefillLoadTimeConstant));
            const double utilization = std::min(1.0, remote.load.prefillUtilization + addedUtilization);
            const EngineWork stream{0, static_cast<double>(request.outputTokens), meanRequestsBeside(request.service, remote), utilization, 0};
            streamTime = scaled(toDuration(predictTime(m_engineProfiles.service(request.service)->figures(), stream)), m_settings.decodeWeight);
            streamTime += scaled(core::Duration(static_cast<core::Duration::rep>(uncached / prefillRate * 1000)), m_settings.prefillWeight - 1);
        } else {
            const double excessRequests = remote.redirectedRequests > remote.load.freeSlots ? remote.redirectedRequests - remote.load.freeSlots : 0;
            predictedLatency += scaled(remote.load.serviceTime, 1 + excessRequests / std::max(1U, remote.load.usableUpstreams));
        }
        if (!best || predictedLatency + streamTime < best->score) {
            best = Redirected{region, predictedLatency, predictedLatency + streamTime};
        }
    }
    return best;
}

PlacementDecision Dispatcher::redirect(const PlacementRequest &request, const Redirected &redirected)
{
    RemoteRegion &remote = m_remoteRegions[redirected.region][request.service];
    remote.redirectedTokens += static_cast<std::uint64_t>(request.promptTokens * remote.load.cacheMissRatio);
    ++remote.redirectedRequests;
    return redirected;
}

std::vector<ServiceLoad> Dispatcher::serviceLoads(core::TimePoint now)
{
    std::vector<ServiceLoad> loads;
    (void)localUpstreamsOf(core::ServiceId()); // rebuilds the upstream lists if the registry or the catalog has changed
    for (auto &[id, upstreams] : m_localUpstreams) {
        ServiceLoad load;
        load.service = id;
        std::optional<core::Duration> leastBacklog;
        std::vector<double> utilizations;
        for (const LocalUpstream &upstream : upstreams) {
            const UpstreamEstimator &estimator = *upstream.estimator;
            if (upstream.entry->isCold(now) || !estimator.acceptsRequests(now) || !isReachable(upstream.entry->announcement.id, now)) {
                continue;
            }
            ++load.usableUpstreams;
            load.freeSlots += estimator.inFlight().size() < estimator.slots() ? static_cast<std::uint32_t>(estimator.slots() - estimator.inFlight().size()) : 0;
            load.serviceTime = std::max(load.serviceTime, estimator.serviceTime());
            load.prefillTokensPerMs += estimator.isEngine() ? workCapacity(upstream, m_placementRates.meanWork(id)) : 0;
            utilizations.push_back(estimator.prefillUtilization(now));
            const core::Duration rateWait = upstream.rateLimit == nullptr ? core::Duration::zero() : upstream.rateLimit->timeUntilNextToken(now);
            const core::Duration upstreamDelay = estimator.backlog(now) + rateWait;
            leastBacklog = std::min(leastBacklog.value_or(core::Duration::max()), upstreamDelay);
            const SoftwareVersion &version = upstream.entry->announcement.version;
            const auto isSameVersion = [&](const VersionLoad &row) { return row.version == version; };
            auto row = std::find_if(load.versions.begin(), load.versions.end(), isSameVersion);
            if (row == load.versions.end()) {
                row = load.versions.insert(row, VersionLoad{version, 0, upstreamDelay});
            }
            ++row->usableUpstreams;
            row->queueDelay = std::min(row->queueDelay, upstreamDelay);
        }
        if (load.usableUpstreams == 0) {
            continue;
        }
        double queuedWork = 0;
        for (const auto &[placementId, queued] : m_queue) {
            queuedWork += queued.request.service == id ? queued.entry.workUnits() : 0;
        }
        load.queueDelay = *leastBacklog;
        std::sort(utilizations.begin(), utilizations.end());
        utilizations.resize((utilizations.size() + 1) / 2);
        load.prefillUtilization = std::accumulate(utilizations.begin(), utilizations.end(), 0.0) / static_cast<double>(utilizations.size());
        if (queuedWork > 0) {
            load.queueDelay += m_placementRates.drainTime(queuedWork, m_placementRates.estimate(id, workCapacity(id, now), now));
        }
        load.cacheMissRatio = m_placementRates.cacheMissRatio(id);
        loads.push_back(load);
    }
    return loads;
}

void Dispatcher::updateRemoteLoad(const core::RegionId &region, const ServiceLoad &load, core::TimePoint now)
{
    m_remoteRegions[region][load.service] = RemoteRegion{load, now, 0, 0};
}

} // namespace arbutus::routing
