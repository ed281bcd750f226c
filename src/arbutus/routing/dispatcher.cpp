// Queue order, upstream selection, redirects to other regions, refusals.

#include "arbutus/routing/dispatcher.h"
#include "arbutus/core/hash.h"
#include "arbutus/core/overloaded.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace arbutus::routing {

namespace {

bool mayServe(const PlacementRequest &request, const Announcement &announcement)
{
    return !request.requiredVersion || *request.requiredVersion == announcement.version;
}

core::Duration scaled(core::Duration duration, double factor)
{
    return core::Duration(static_cast<core::Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace

Dispatcher::Dispatcher(DispatcherSettings settings, DispatcherView view, core::TimePoint now)
    : m_settings(settings)
    , m_view(std::move(view))
    , m_dispatcherRoleSince(now)
    , m_startedAt(now)
{
}

//-----------------------------------------------------------------------------
// Candidates
//-----------------------------------------------------------------------------

bool Dispatcher::hasNewerCatalog(const PlacementRequest &request) const
{
    return m_view.catalog && !request.route.empty() && m_view.catalog->version() > request.catalogVersion;
}

catalog::SendPermission Dispatcher::checkSend(const PlacementRequest &request, const core::RegionId &region) const
{
    if (hasNewerCatalog(request)) {
        return catalog::checkSend(m_view.catalog->matchKnown(request.route, request.workspace), request.service, region);
    }
    const bool isHome = request.allowedRegions.empty() || request.allowedRegions.contains(region);
    return isHome ? catalog::SendPermission::Allowed : catalog::SendPermission::RegionForbidden;
}

bool Dispatcher::isOutdated(const PlacementRequest &request) const
{
    const catalog::SendPermission permission = checkSend(request, m_view.region);
    return permission != catalog::SendPermission::Allowed && permission != catalog::SendPermission::RegionForbidden;
}

bool Dispatcher::allowsRegion(const PlacementRequest &request, const core::RegionId &region) const
{
    return !request.excludedRegions.contains(region) && checkSend(request, region) == catalog::SendPermission::Allowed;
}

UpstreamEstimator &Dispatcher::estimatorFor(const RegistryEntry &entry)
{
    StartTime &startTime = m_startTimes[entry.announcement.id];
    if (startTime != entry.announcement.startTime) { // the upstream restarted: discard what was learned about the previous run
        startTime = entry.announcement.startTime;
        m_estimators.erase(entry.announcement.id);
    }
    const auto found = m_estimators.find(entry.announcement.id);
    if (found != m_estimators.end()) {
        return found->second;
    }
    const catalog::Service *service = m_view.catalog ? m_view.catalog->findService(entry.announcement.service) : nullptr;
    std::size_t slots = entry.announcement.slots;
    std::uint64_t memoryTokens = 0;
    std::uint64_t tokensPerEvent = 0;
    if (service != nullptr && service->engine) {
        tokensPerEvent = std::max<std::uint64_t>(service->engine->tokensPerEvent, 1);
        slots = static_cast<std::size_t>(m_settings.maxSlotUtilization * static_cast<double>(slots));
        memoryTokens = static_cast<std::uint64_t>(m_settings.maxMemoryUtilization * static_cast<double>(service->engine->memoryTokens));
    }
    return m_estimators.emplace(entry.announcement.id, UpstreamEstimator(m_settings.estimator, memoryTokens, slots, tokensPerEvent)).first->second;
}

void Dispatcher::refreshLocalUpstreams()
{
    m_registryVersion = m_view.registry.version();
    m_indexedCatalog = m_view.catalog.get();
    m_localUpstreams.clear();
    const auto isRemoved = [&](const auto &item) { return m_view.registry.find(item.first) == nullptr; };
    std::erase_if(m_estimators, isRemoved);
    std::erase_if(m_startTimes, isRemoved);
    std::erase_if(m_nextColdGrant, isRemoved);
    for (const auto &[id, entry] : m_view.registry.entries()) {
        const auto region = m_view.regionByDomain.find(entry.announcement.domain);
        if (m_view.registry.isEligible(entry) && region != m_view.regionByDomain.end() && region->second == m_view.region) {
            const auto rateLimit = m_rateLimits.find(id);
            limits::TokenBucket *bucket = rateLimit == m_rateLimits.end() ? nullptr : &rateLimit->second.bucket;
            m_localUpstreams[entry.announcement.service].push_back(LocalUpstream{&entry, &estimatorFor(entry), bucket, {}});
        }
    }
}

std::vector<Dispatcher::LocalUpstream> &Dispatcher::localUpstreamsOf(const core::ServiceId &service)
{
    if (m_registryVersion != m_view.registry.version() || m_indexedCatalog != m_view.catalog.get()) {
        refreshLocalUpstreams();
    }
    return m_localUpstreams[service];
}

bool Dispatcher::hasPath(const core::InstanceId &instance, const core::UpstreamId &upstream, core::TimePoint now) const
{
    const auto found = m_unreachable.find(instance);
    return found == m_unreachable.end() || now - found->second.at > m_settings.pathReportTimeout || !found->second.upstreams.contains(upstream);
}

bool Dispatcher::isReachable(const core::UpstreamId &upstream, core::TimePoint now) const
{
    return m_unreachable.empty() || m_instances.empty()
        || std::any_of(m_instances.begin(), m_instances.end(), [&](const RelayCandidate &instance) { return hasPath(instance.id, upstream, now); });
}

bool Dispatcher::isReachable(const PlacementRequest &request, const core::UpstreamId &upstream, Way way, core::TimePoint now) const
{
    const bool hasOwnPath = !request.unreachableUpstreams.contains(upstream);
    if (way == Way::Direct) {
        return hasOwnPath;
    }
    return !hasOwnPath
        && std::any_of(m_instances.begin(), m_instances.end(), [&](const RelayCandidate &instance) { return mayRelay(instance, request, upstream, now); });
}

bool Dispatcher::mayRelay(const RelayCandidate &instance, const PlacementRequest &request, const core::UpstreamId &upstream, core::TimePoint now) const
{
    return request.allowOtherRegions && instance.id != request.requester && !request.excludedRelays.contains(instance.id)
        && hasPath(instance.id, upstream, now);
}

const RelayCandidate *Dispatcher::pickRelay(const PlacementRequest &request, const core::UpstreamId &upstream, core::TimePoint now) const
{
    const auto requester =
        std::find_if(m_instances.begin(), m_instances.end(), [&](const RelayCandidate &instance) { return instance.id == request.requester; });
    std::map<core::InstanceId, double> load;
    for (const auto &[id, estimator] : m_estimators) {
        for (const auto &[placement, inFlight] : estimator.inFlight()) {
            ++load[inFlight.sender];
        }
    }
    const RelayCandidate *best = nullptr;
    std::pair<bool, double> bestRank;
    for (const RelayCandidate &instance : m_instances) {
        if (!mayRelay(instance, request, upstream, now)) {
            continue;
        }
        const bool isFar = requester != m_instances.end() && instance.domain != requester->domain;
        const std::pair rank(isFar, load[instance.id] / std::max(instance.capacity, 1e-6));
        if (best == nullptr || rank < bestRank) {
            best = &instance;
            bestRank = rank;
        }
    }
    return best;
}

void Dispatcher::setInstances(std::vector<RelayCandidate> instances)
{
    m_instances = std::move(instances);
}

void Dispatcher::recordUnreachable(const core::InstanceId &instance, const std::set<core::UpstreamId> &upstreams, core::TimePoint now)
{
    if (upstreams.empty()) {
        m_unreachable.erase(instance);
    } else {
        m_unreachable[instance] = UnreachableReport{upstreams, now};
    }
}

std::set<core::UpstreamId> Dispatcher::unreachableUpstreams(core::TimePoint now) const
{
    std::set<core::UpstreamId> out;
    for (const auto &[instance, report] : m_unreachable) {
        if (now - report.at <= m_settings.pathReportTimeout) {
            out.insert(report.upstreams.begin(), report.upstreams.end());
        }
    }
    return out;
}

bool Dispatcher::hasPotentialUpstream(const PlacementRequest &request, core::TimePoint now)
{
    if (!allowsRegion(request, m_view.region)) {
        return false;
    }
    const auto &upstreams = localUpstreamsOf(request.service);
    return std::any_of(upstreams.begin(), upstreams.end(), [&](const LocalUpstream &upstream) {
        const core::UpstreamId &id = upstream.entry->announcement.id;
        return !request.excludedUpstreams.contains(id) && mayServe(request, upstream.entry->announcement)
            && (isReachable(request, id, Way::Direct, now) || isReachable(request, id, Way::ViaRelay, now));
    });
}

bool Dispatcher::isVersionGone(const PlacementRequest &request) const
{
    const auto &entries = m_view.registry.entries();
    return request.requiredVersion && std::none_of(entries.begin(), entries.end(), [&](const auto &item) {
               const Announcement &announcement = item.second.announcement;
               return announcement.service == request.service && mayServe(request, announcement) && m_view.registry.isEligible(item.second);
           });
}

bool Dispatcher::hasAppearedElsewhere(const PlacementRequest &request, core::TimePoint now) const
{
    const auto &entries = m_view.registry.entries();
    return request.requiredVersion && request.allowOtherRegions && std::any_of(entries.begin(), entries.end(), [&](const auto &item) {
               const RegistryEntry &entry = item.second;
               const Announcement &announcement = entry.announcement;
               const auto region = m_view.regionByDomain.find(announcement.domain);
               return announcement.service == request.service && mayServe(request, announcement) && m_view.registry.isEligible(entry) && !entry.isCold(now)
                   && now - entry.updatedAt < m_settings.maxRemoteLoadAge && region != m_view.regionByDomain.end() && region->second != m_view.region
                   && allowsRegion(request, region->second);
           });
}

bool Dispatcher::mayStillDiscoverUpstream(const PlacementRequest &request, core::TimePoint now)
{
    if (hasAppearedElsewhere(request, now)) {
        return true;
    }
    if (now - m_startedAt >= m_settings.discoveryPeriod) {
        return false;
    }
    const auto isUnknown = [&](const core::RegionId &region) {
        const bool allowed = allowsRegion(request, region);
        if (region == m_view.region) {
            const auto &upstreams = localUpstreamsOf(request.service);
            return allowed && std::none_of(upstreams.begin(), upstreams.end(), [&](const LocalUpstream &upstream) {
                       return mayServe(request, upstream.entry->announcement);
                   });
        }
        return allowed && request.allowOtherRegions && !m_remoteRegions.contains(region);
    };
    return std::any_of(m_view.regionByDomain.begin(), m_view.regionByDomain.end(), [&](const auto &item) { return isUnknown(item.second); });
}

std::optional<Dispatcher::Candidate> Dispatcher::evaluateCandidate(const PlacementRequest &request, LocalUpstream &upstream, core::TimePoint now) const
{
    const UpstreamEstimator &estimator = *upstream.estimator;
    if (!mayServe(request, upstream.entry->announcement)
        || (!request.excludedUpstreams.empty() && request.excludedUpstreams.contains(upstream.entry->announcement.id)) || !estimator.acceptsRequests(now)) {
        return std::nullopt;
    }
    core::Duration rateWait{};
    if (upstream.rateLimit != nullptr) {
        if (!m_hasDispatcherRole) {
            return std::nullopt; // the rate is the dispatcher's to grant
        }
        rateWait = upstream.rateLimit->timeUntilNextToken(now);
    }
    Candidate candidate;
    candidate.upstream = &upstream;
    candidate.uncachedTokens = estimator.countUncached(request.prompt, request.promptTokens);
    candidate.predictedLatency = estimator.predictLatency(candidate.uncachedTokens, now) + estimator.slotWait() + upstream.reservedTime + rateWait;
    core::Duration score = candidate.predictedLatency;
    if (request.promptTokens > 0) {
        const core::Duration streamTime = estimator.decodeTime(request.outputTokens, now);
        const double interferenceFactor = m_settings.prefillWeight - 1 + m_settings.interferenceWeight * static_cast<double>(estimator.inFlight().size());
        score += scaled(estimator.prefillTime(candidate.uncachedTokens), interferenceFactor) + scaled(streamTime, m_settings.decodeWeight);
        candidate.meetsCompletionDeadline = now + candidate.predictedLatency + streamTime <= request.completionDeadline;
    }
    candidate.score = scaled(score, 1 + 2 * estimator.failureRate());
    const bool gapElapsed =
        candidate.uncachedTokens < m_settings.longPromptTokens || estimator.timeSincePrefill(now) >= m_settings.longPromptGap - m_settings.maxBacklog;
    const bool canAccept = gapElapsed && estimator.backlog(now) <= m_settings.maxBacklog && estimator.hasCapacity(request.unsharedTokens());
    const bool hasToken = upstream.rateLimit == nullptr || upstream.rateLimit->hasToken(now);
    candidate.admissible = canAccept && hasToken && upstream.reservedTime == core::Duration::zero();
    return candidate;
}

bool Dispatcher::mayUseColdUpstream(const RegistryEntry &entry, core::TimePoint now)
{
    const catalog::Service *service = m_view.catalog ? m_view.catalog->findService(entry.announcement.service) : nullptr;
    const double maxPerSecond = service == nullptr ? 0 : service->maxColdRequestsPerSecond;
    if (maxPerSecond <= 0) {
        return true; // no limit configured
    }
    if (!m_hasDispatcherRole || now - m_dispatcherRoleSince < m_settings.takeoverColdDelay) {
        return false; // another node may be the dispatcher and use up the limit
    }
    return now >= m_nextColdGrant[entry.announcement.id];
}

std::optional<Dispatcher::Candidate> Dispatcher::bestLocal(const PlacementRequest &request, Way way, core::TimePoint now)
{
    const auto better = [](const Candidate &left, const std::optional<Candidate> &right) {
        return !right || (left.meetsCompletionDeadline != right->meetsCompletionDeadline ? left.meetsCompletionDeadline : left.score < right->score);
    };
    std::optional<Candidate> bestWarm;
    std::optional<Candidate> best;
    std::optional<Candidate> preferred; // the warm upstream that the shared prefix is hashed to
    std::uint64_t preferredHash = 0;
    const std::uint64_t sharedPrefix =
        request.prompt.size() < 2 ? 0 : request.prompt[request.prompt.size() - 2].prefixHash; // the last part is unique to the request
    for (LocalUpstream &upstream : localUpstreamsOf(request.service)) {
        const bool cold = upstream.entry->isCold(now);
        if (!isReachable(request, upstream.entry->announcement.id, way, now) || (cold && !mayUseColdUpstream(*upstream.entry, now))) {
            continue;
        }
        const auto candidate = evaluateCandidate(request, upstream, now);
        if (!candidate) {
            continue;
        }
        if (!cold && better(*candidate, bestWarm)) {
            bestWarm = candidate;
        }
        if (!cold && sharedPrefix != 0) {
            const std::uint64_t hash = core::hash64(upstream.entry->announcement.id.text, sharedPrefix);
            if (hash >= preferredHash) {
                preferredHash = hash;
                preferred = candidate;
            }
        }
        if (better(*candidate, best)) {
            best = candidate;
        }
    }
    if (preferred) {
        preferred->score -= m_settings.affinityBonus;
        if (better(*preferred, bestWarm)) {
            bestWarm = preferred;
        }
    }
    return best && (!bestWarm || (!bestWarm->admissible && best->admissible)) ? best : bestWarm;
}

void Dispatcher::recordPlacement(const PlacementRequest &request, std::uint32_t uncachedTokens, core::TimePoint now)
{
    PlacementRate &rate = m_placementRates[request.service];
    const double timeConstant = static_cast<double>(m_settings.placementRateTimeConstant.count());
    rate.placedWork *= std::exp(-static_cast<double>((now - rate.updatedAt).count()) / timeConstant);
    const double work = workUnits(request, uncachedTokens);
    rate.placedWork += work;
    rate.meanWork = rate.meanWork == 0 ? work : rate.meanWork + m_settings.placedWorkWeight * (work - rate.meanWork);
    rate.updatedAt = now;
    if (request.promptTokens >= m_settings.longPromptTokens) {
        const double missRatio = static_cast<double>(uncachedTokens) / request.promptTokens;
        rate.cacheMissRatio += m_settings.cacheMissRatioWeight * (missRatio - rate.cacheMissRatio);
    }
}

double Dispatcher::workCapacity(const LocalUpstream &upstream, double meanWork) const
{
    const UpstreamEstimator &estimator = *upstream.estimator;
    const double serviceTimeMs = static_cast<double>(core::toMilliseconds(std::max(estimator.serviceTime(), core::Duration(1'000))));
    const double capacity = estimator.isEngine() ? estimator.prefillRate() : static_cast<double>(estimator.slots()) / serviceTimeMs;
    return upstream.rateLimit == nullptr || meanWork == 0 ? capacity : std::min(capacity, upstream.rateLimit->rate() / 1'000 * meanWork);
}

double Dispatcher::estimatePlacementRate(const core::ServiceId &service, core::TimePoint now)
{
    const PlacementRate &rate = m_placementRates[service];
    double capacity = 0;
    for (const LocalUpstream &upstream : localUpstreamsOf(service)) {
        if (upstream.estimator->acceptsRequests(now) && isReachable(upstream.entry->announcement.id, now)) {
            capacity += workCapacity(upstream, rate.meanWork);
        }
    }
    if (rate.queuedSince == core::TimePoint{} || now - rate.queuedSince < m_settings.placementRateMinBusyTime) {
        return capacity;
    }
    const double timeConstant = static_cast<double>(m_settings.placementRateTimeConstant.count());
    const double placedWork = rate.placedWork * std::exp(-static_cast<double>((now - rate.updatedAt).count()) / timeConstant);
    return std::min(capacity, placedWork / (timeConstant / 1000));
}

core::Duration Dispatcher::predictQueueWait(const QueuedRequest &queued, core::TimePoint now)
{
    double workAhead = 0;
    for (const auto &[id, other] : m_queue) {
        if (id != queued.request.id && other.request.service == queued.request.service && hasPrecedence(other, queued, now)) {
            workAhead += workUnits(other);
        }
    }
    return predictWait(queued, workAhead, estimateQueueRates(queued.request.service, now), now);
}

Dispatcher::QueueRates Dispatcher::estimateQueueRates(const core::ServiceId &service, core::TimePoint now)
{
    const double total = estimatePlacementRate(service, now);
    const PlacementRate &rate = m_placementRates[service];
    const core::Duration elapsed = now - rate.arrivalsSince;
    if (rate.queuedSince == core::TimePoint{} || now - rate.queuedSince < m_settings.placementRateMinBusyTime || elapsed >= 2 * m_settings.arrivalPeriod) {
        return QueueRates{total, total};
    }
    const bool isOver = elapsed >= m_settings.arrivalPeriod;
    const double work = rate.arrivedWork + (isOver ? 0 : rate.arrivedWorkBefore);
    const core::Duration period = isOver ? elapsed : elapsed + m_settings.arrivalPeriod;
    const double arrivals = work * 1000 / static_cast<double>(period.count());
    return QueueRates{total, std::max(total - arrivals, m_settings.minSpareRatio * total)};
}

core::Duration Dispatcher::predictWait(const QueuedRequest &queued, double workAhead, const QueueRates &rates, core::TimePoint now) const
{
    const core::Duration inOrder = queueDrainTime(workAhead, rates.total);
    const core::Duration untilLate = std::max(core::Duration::zero(), queued.request.latencyDeadline - queued.minLatency - now);
    if (inOrder <= untilLate) {
        return inOrder;
    }
    const double workLeft = workAhead - rates.total * static_cast<double>(untilLate.count()) / 1000;
    return untilLate + queueDrainTime(workLeft, rates.spare);
}

void Dispatcher::recordArrival(const core::ServiceId &service, double work, core::TimePoint now)
{
    PlacementRate &rate = m_placementRates[service];
    const core::Duration elapsed = now - rate.arrivalsSince;
    if (elapsed >= m_settings.arrivalPeriod) {
        rate.arrivedWorkBefore = elapsed < 2 * m_settings.arrivalPeriod ? rate.arrivedWork : 0;
        rate.arrivedWork = 0;
        rate.arrivalsSince = now;
    }
    rate.arrivedWork += work;
}

core::Duration Dispatcher::queueDrainTime(double workUnits, double rate) const
{
    if (workUnits <= 0 || rate <= 0) { // no healthy upstream: the wait cannot be predicted
        return core::Duration::zero();
    }
    const auto maxWait = static_cast<double>(m_settings.maxPredictedWait.count());
    return core::Duration(static_cast<core::Duration::rep>(std::min(maxWait, workUnits * 1000 / rate)));
}

Dispatcher::QueuedRequest Dispatcher::makeQueuedRequest(const PlacementRequest &request, core::TimePoint now)
{
    QueuedRequest queued{request, now, request.promptTokens, core::Duration::max(), {}};
    for (const LocalUpstream &upstream : localUpstreamsOf(request.service)) {
        if (!mayServe(request, upstream.entry->announcement)) {
            continue;
        }
        const std::uint32_t uncached = upstream.estimator->countUncached(request.prompt, request.promptTokens);
        queued.minUncachedTokens = std::min(queued.minUncachedTokens, uncached);
        queued.minLatency = std::min(queued.minLatency, upstream.estimator->unloadedLatency(uncached));
    }
    if (queued.minLatency == core::Duration::max()) { // no upstream in this region yet
        queued.minLatency = core::Duration::zero();
    }
    return queued;
}

//-----------------------------------------------------------------------------
// Other regions
//-----------------------------------------------------------------------------

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
            const auto stepTime = m_settings.estimator.baseStepTime + scaled(m_settings.estimator.prefillChunkTime, utilization);
            streamTime = scaled(stepTime * static_cast<core::Duration::rep>(request.outputTokens), m_settings.decodeWeight);
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
            load.prefillTokensPerMs += estimator.isEngine() ? workCapacity(upstream, m_placementRates[id].meanWork) : 0;
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
            queuedWork += queued.request.service == id ? workUnits(queued) : 0;
        }
        load.queueDelay = *leastBacklog;
        std::sort(utilizations.begin(), utilizations.end());
        utilizations.resize((utilizations.size() + 1) / 2);
        load.prefillUtilization = std::accumulate(utilizations.begin(), utilizations.end(), 0.0) / static_cast<double>(utilizations.size());
        if (queuedWork > 0) {
            load.queueDelay += queueDrainTime(queuedWork, estimatePlacementRate(id, now));
        }
        load.cacheMissRatio = m_placementRates[id].cacheMissRatio;
        loads.push_back(load);
    }
    return loads;
}

void Dispatcher::updateRemoteLoad(const core::RegionId &region, const ServiceLoad &load, core::TimePoint now)
{
    m_remoteRegions[region][load.service] = RemoteRegion{load, now, 0, 0};
}

//-----------------------------------------------------------------------------
// Placement
//-----------------------------------------------------------------------------

PlacementDecision Dispatcher::grant(const PlacementRequest &request, const Candidate &candidate, core::TimePoint now)
{
    const RegistryEntry &entry = *candidate.upstream->entry;
    InFlightRequest inFlight;
    inFlight.sender = request.requester;
    inFlight.uncachedTokens = candidate.uncachedTokens;
    inFlight.memoryTokens = request.unsharedTokens();
    candidate.upstream->estimator->recordGrant(request.id, std::move(inFlight), request.prompt, now);
    recordPlacement(request, candidate.uncachedTokens, now);
    if (candidate.upstream->rateLimit != nullptr) {
        (void)candidate.upstream->rateLimit->tryAcquire(now); // an admissible candidate has a token
    }
    const Announcement &announcement = entry.announcement;
    Granted granted{announcement.id,
                    announcement.address,
                    candidate.uncachedTokens,
                    candidate.predictedLatency,
                    entry.isCold(now),
                    announcement.version,
                    announcement.startTime};
    if (granted.coldUpstream) {
        const catalog::Service *service = m_view.catalog ? m_view.catalog->findService(request.service) : nullptr;
        if (service != nullptr && service->maxColdRequestsPerSecond > 0) {
            const double reachableRatio = std::max(m_reachableRatio, 0.2); // unreachable nodes may be sending to it too; never assume less than a fifth
            m_nextColdGrant[entry.announcement.id] =
                now + core::Duration(static_cast<core::Duration::rep>(1e6 / service->maxColdRequestsPerSecond / reachableRatio));
        }
    }
    m_grants[request.id] = granted;
    return granted;
}

Refused Dispatcher::refuse(const PlacementRequest &request, RefusalReason reason, core::Duration predictedWait, core::TimePoint now) const
{
    const core::Duration timeLeft = std::max(core::Duration::zero(), request.responseDeadline - now);
    const core::Duration retryAfter = reason == RefusalReason::NoUpstream ? timeLeft / 3 : predictedWait / 2;
    return Refused{reason, std::clamp(retryAfter, m_settings.minRetryAfter, m_settings.maxRetryAfter)};
}

Dispatcher::PlacementAttempt Dispatcher::tryPlace(const PlacementRequest &request, core::TimePoint now)
{
    if (isOutdated(request)) {
        return PlacementAttempt{refuse(request, RefusalReason::Outdated, core::Duration::zero(), now), nullptr, 0};
    }
    const bool localAllowed = allowsRegion(request, m_view.region);
    std::optional<Candidate> candidate = localAllowed ? bestLocal(request, Way::Direct, now) : std::nullopt;
    if (localAllowed && !request.unreachableUpstreams.empty() && (!candidate || !candidate->admissible)) {
        const std::optional<Candidate> viaRelay = bestLocal(request, Way::ViaRelay, now);
        if (viaRelay && (!candidate || viaRelay->admissible)) {
            candidate = viaRelay;
            candidate->relay = pickRelay(request, viaRelay->upstream->entry->announcement.id, now);
            candidate->predictedLatency += m_settings.relayOverhead;
        }
    }
    const std::optional<Redirected> remote = bestRemoteRegion(request, now);
    if (!candidate) {
        if (remote) {
            return PlacementAttempt{redirect(request, *remote), nullptr, 0};
        }
        if (!hasPotentialUpstream(request, now) && !mayStillDiscoverUpstream(request, now)) {
            const RefusalReason reason = isVersionGone(request) ? RefusalReason::VersionGone : RefusalReason::NoUpstream;
            return PlacementAttempt{refuse(request, reason, core::Duration::zero(), now), nullptr, 0};
        }
        return PlacementAttempt{};
    }
    if (remote) {
        const core::Duration timeLeft = request.latencyDeadline - now;
        const core::Duration localLatency = candidate->predictedLatency;
        const bool localMeetsDeadline = localLatency <= timeLeft;
        const bool remoteMeetsDeadline = remote->predictedLatency <= timeLeft;
        const bool betterStream = request.promptTokens > 0 && remoteMeetsDeadline && remote->score + m_settings.remoteScoreMargin < candidate->score;
        const bool unhealthy = candidate->upstream->estimator->failureRate() >= m_settings.failureRateThreshold && remoteMeetsDeadline;
        if ((!localMeetsDeadline && remoteMeetsDeadline) || (!localMeetsDeadline && remote->predictedLatency + m_settings.remoteLatencyMargin < localLatency)
            || betterStream || unhealthy) {
            return PlacementAttempt{redirect(request, *remote), nullptr, 0};
        }
    }
    PlacementAttempt attempt{std::nullopt, candidate->upstream, candidate->uncachedTokens};
    if (candidate->admissible && candidate->relay != nullptr) { // the relay requests the placement for it
        attempt.decision = Redirected{m_view.region, candidate->predictedLatency, candidate->score, candidate->relay->id};
    } else if (candidate->admissible) {
        attempt.decision = grant(request, *candidate, now);
    }
    return attempt;
}

bool Dispatcher::hasPrecedence(const QueuedRequest &left, const QueuedRequest &right, core::TimePoint now) const
{
    if (left.request.requiredVersion.has_value() != right.request.requiredVersion.has_value()) {
        return left.request.requiredVersion.has_value(); // streams that have begun go on first: work is lost with them
    }
    const bool leftMissesDeadline = now + left.minLatency > left.request.latencyDeadline;
    const bool rightMissesDeadline = now + right.minLatency > right.request.latencyDeadline;
    if (leftMissesDeadline != rightMissesDeadline) {
        return rightMissesDeadline; // requests that can still meet their latency deadline go first
    }
    if (left.request.priority != right.request.priority) {
        return left.request.priority < right.request.priority;
    }
    const bool leftCached = left.isMostlyCached(m_settings.mostlyCachedRatio);
    const bool rightCached = right.isMostlyCached(m_settings.mostlyCachedRatio);
    if (leftCached != rightCached) {
        return leftCached;
    }
    if (left.request.latencyDeadline != right.request.latencyDeadline) {
        return left.request.latencyDeadline < right.request.latencyDeadline;
    }
    return left.request.id < right.request.id;
}

void Dispatcher::scanQueue(core::TimePoint now)
{
    resetQueuedSince();
    if (m_queue.empty()) {
        clearReservations();
        return;
    }
    if (now - m_lastQueueScan < m_settings.minQueueScanInterval) {
        return;
    }
    m_lastQueueScan = now;
    clearReservations();
    std::vector<QueuedRequest *> order;
    order.reserve(m_queue.size());
    for (auto &[id, queued] : m_queue) {
        order.push_back(&queued);
    }
    std::sort(order.begin(), order.end(), [&](const QueuedRequest *left, const QueuedRequest *right) { return hasPrecedence(*left, *right, now); });
    std::vector<PlacementId> done;
    std::size_t scanned = 0;
    std::map<core::ServiceId, double> workAheadByService; // work of requests of higher precedence that stay queued
    std::map<core::ServiceId, QueueRates> rates;
    for (const QueuedRequest *queued : order) {
        rates.try_emplace(queued->request.service);
    }
    for (auto &[service, rate] : rates) {
        rate = estimateQueueRates(service, now);
    }
    for (QueuedRequest *queued : order) {
        const PlacementRequest &request = queued->request;
        if (now - queued->lastRequestedAt > m_settings.reportTimeout) {
            done.push_back(request.id); // its node no longer repeats the request
            continue;
        }
        if (isOutdated(request)) {
            m_deferredDecisions.push_back({request.id, request.requester, refuse(request, RefusalReason::Outdated, core::Duration::zero(), now)});
            done.push_back(request.id);
            continue;
        }
        double &workAhead = workAheadByService[request.service];
        const core::Duration predictedWait = predictWait(*queued, workAhead, rates[request.service], now);
        queued->predictedWait = predictedWait;
        if (now + predictedWait + queued->minLatency >= request.responseDeadline) { // would be served too late
            m_deferredDecisions.push_back({request.id, request.requester, refuse(request, RefusalReason::Overloaded, predictedWait, now)});
            done.push_back(request.id);
            continue;
        }
        workAhead += workUnits(*queued);
        if (++scanned > m_settings.queueScanLimit) {
            continue;
        }
        PlacementAttempt attempt = tryPlace(request, now);
        if (attempt.decision) {
            m_deferredDecisions.push_back({request.id, request.requester, std::move(*attempt.decision)});
            done.push_back(request.id);
            workAhead -= workUnits(*queued);
        } else if (LocalUpstream *upstream = attempt.preferredUpstream) { // reserve the upstream against requests of lower precedence
            core::Duration reservation =
                request.promptTokens == 0 ? upstream->estimator->serviceTime() : upstream->estimator->prefillTime(attempt.uncachedTokens);
            if (upstream->rateLimit != nullptr) {
                reservation = std::max(reservation, core::Duration(static_cast<core::Duration::rep>(1e6 / upstream->rateLimit->rate())));
            }
            upstream->reservedTime += reservation + upstream->estimator->slotWait();
        }
    }
    for (const PlacementId &id : done) {
        m_queue.erase(id);
    }
}

void Dispatcher::resetQueuedSince()
{
    for (auto &[service, rate] : m_placementRates) {
        const bool anyQueued = std::any_of(m_queue.begin(), m_queue.end(), [&](const auto &item) { return item.second.request.service == service; });
        if (!anyQueued) {
            rate.queuedSince = core::TimePoint{};
        }
    }
}

void Dispatcher::clearReservations()
{
    for (auto &[service, upstreams] : m_localUpstreams) {
        for (LocalUpstream &upstream : upstreams) {
            upstream.reservedTime = core::Duration::zero();
        }
    }
}

std::optional<Granted> Dispatcher::findGrant(const PlacementId &id)
{
    const auto found = m_grants.find(id);
    if (found == m_grants.end()) {
        return std::nullopt;
    }
    return found->second;
}

PlacementDecision Dispatcher::requestPlacement(const PlacementRequest &request, core::TimePoint now)
{
    if (const auto granted = findGrant(request.id)) {
        if (checkSend(request, m_view.region) == catalog::SendPermission::Allowed) {
            return *granted;
        }
        recordCompletion(request.id, granted->upstream, SendOutcome::NeverSent, now); // its requester still waits for a decision
    }
    recordUnreachable(request.requester, request.unreachableUpstreams, now);
    const auto existing = m_queue.find(request.id);
    const bool isKnown = existing != m_queue.end();
    if (isKnown) {
        existing->second.lastRequestedAt = now;
        existing->second.request.unreachableUpstreams = request.unreachableUpstreams;
        existing->second.request.excludedUpstreams = request.excludedUpstreams;
        existing->second.request.catalogVersion = request.catalogVersion; // its route is the same there
    } else {
        if (auto decision = tryPlace(request, now).decision) { // respects the reservations for requests of higher precedence
            if (const auto *granted = std::get_if<Granted>(&*decision)) {
                recordArrival(request.service, workUnits(request, granted->uncachedTokens), now);
            }
            return *decision;
        }
        const QueuedRequest &added = m_queue[request.id] = makeQueuedRequest(request, now);
        recordArrival(request.service, workUnits(added), now);
        PlacementRate &rate = m_placementRates[request.service];
        if (rate.queuedSince == core::TimePoint{}) {
            rate.queuedSince = now;
        }
    }
    scanQueue(now);
    const auto deferred =
        std::find_if(m_deferredDecisions.begin(), m_deferredDecisions.end(), [&](const DeferredDecision &item) { return item.id == request.id; });
    if (deferred != m_deferredDecisions.end()) {
        PlacementDecision decision = std::move(deferred->decision);
        m_deferredDecisions.erase(deferred);
        return decision;
    }
    QueuedRequest &queued = m_queue.at(request.id);
    if (isKnown) { // scans of the queue predict its wait; instances repeat hundreds of requests a second at the worst load
        return Queued{queued.predictedWait};
    }
    const core::Duration predictedWait = predictQueueWait(queued, now);
    queued.predictedWait = predictedWait;
    if (now + predictedWait + queued.minLatency > request.responseDeadline) { // refuse at once what cannot be served in time
        m_queue.erase(request.id);
        return refuse(request, RefusalReason::Overloaded, predictedWait, now);
    }
    return Queued{predictedWait};
}

void Dispatcher::cancel(const PlacementId &id)
{
    m_queue.erase(id);
    std::erase_if(m_deferredDecisions, [&](const DeferredDecision &item) { return item.id == id; });
}

void Dispatcher::recordFirstEvent(const PlacementId &id, const core::UpstreamId &upstream, core::Duration latency, core::TimePoint now)
{
    const auto estimator = m_estimators.find(upstream);
    if (estimator != m_estimators.end()) {
        estimator->second.recordFirstEvent(id, latency, now);
    }
}

void Dispatcher::recordCompletion(const PlacementId &id, const core::UpstreamId &upstream, SendOutcome outcome, core::TimePoint now)
{
    m_grants.erase(id);
    const auto estimator = m_estimators.find(upstream);
    if (estimator != m_estimators.end()) {
        estimator->second.recordCompletion(id, outcome, now);
    }
}

void Dispatcher::recordInFlight(const core::InstanceId &sender, const std::vector<ReportedRequest> &requests, core::TimePoint now)
{
    for (const ReportedRequest &request : requests) {
        const RegistryEntry *entry = m_view.registry.find(request.upstream);
        if (entry != nullptr) {
            estimatorFor(*entry).recordReport(request.id, sender, request.timeToFirstEvent, request.memoryTokens, now);
        }
    }
}

std::vector<DeferredDecision> Dispatcher::processQueue(core::TimePoint now)
{
    if (now - m_lastExpiryCheck >= m_settings.expiryCheckInterval) {
        m_lastExpiryCheck = now;
        for (auto &[id, estimator] : m_estimators) {
            for (const PlacementId &placement : estimator.expireUnreported(now - m_settings.reportTimeout, now)) {
                m_grants.erase(placement);
            }
        }
    }
    scanQueue(now);
    return std::exchange(m_deferredDecisions, {});
}

void Dispatcher::setDispatcherRole(bool hasRole, double reachableRatio, core::TimePoint now)
{
    if (hasRole && !m_hasDispatcherRole) {
        m_dispatcherRoleSince = now;
    }
    m_hasDispatcherRole = hasRole;
    m_reachableRatio = reachableRatio;
    updateRateLimits(now);
}

void Dispatcher::setMaxRequestRate(const core::UpstreamId &upstream, std::optional<double> maxRequestRate, core::TimePoint now)
{
    if (maxRequestRate) {
        const auto [found, added] = m_rateLimits.try_emplace(upstream, RateLimit{*maxRequestRate, limits::TokenBucket(*maxRequestRate, 1, now)});
        found->second.maxRequestRate = *maxRequestRate;
    } else {
        m_rateLimits.erase(upstream);
    }
    m_registryVersion.reset(); // the lists of upstreams refer to the limits
    updateRateLimits(now);
}

void Dispatcher::updateRateLimits(core::TimePoint now)
{
    const double takeoverFactor = now - m_dispatcherRoleSince < m_settings.takeoverRatePeriod ? m_settings.takeoverRateFactor : 1;
    for (auto &[upstream, limit] : m_rateLimits) {
        const double rate = limit.maxRequestRate * m_reachableRatio * takeoverFactor;
        if (rate != limit.bucket.rate()) {
            limit.bucket.setRate(rate, rate * m_settings.limitedBurstTime, now);
        }
    }
}

} // namespace arbutus::routing
