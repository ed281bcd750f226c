// Upstreams of the region: which are eligible and reachable, and which one is best for a request.

#include "arbutus/core/hash.h"
#include "arbutus/routing/dispatcher.h"

#include <algorithm>

namespace arbutus::routing {

namespace {

bool mayServe(const PlacementRequest &request, const Announcement &announcement)
{
    return !request.requiredVersion || *request.requiredVersion == announcement.version;
}

} // namespace

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
    auto profile = m_engineProfiles.engine(entry.announcement.service, entry.announcement.id, startTime);
    UpstreamEstimator estimator(m_settings.estimator, memoryTokens, slots, tokensPerEvent, std::move(profile));
    return m_estimators.emplace(entry.announcement.id, std::move(estimator)).first->second;
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
    const std::uint64_t sharedPrefix = sharedPrefixHash(request.prompt);
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

double Dispatcher::workCapacity(const LocalUpstream &upstream, double meanWork) const
{
    const UpstreamEstimator &estimator = *upstream.estimator;
    const double serviceTimeMs = static_cast<double>(core::toMilliseconds(std::max(estimator.serviceTime(), core::Duration(1'000))));
    const double capacity = estimator.isEngine() ? estimator.prefillRate() : static_cast<double>(estimator.slots()) / serviceTimeMs;
    return upstream.rateLimit == nullptr || meanWork == 0 ? capacity : std::min(capacity, upstream.rateLimit->rate() / 1'000 * meanWork);
}

RoomFacts Dispatcher::roomAt(const PlacementRequest &request, const UpstreamEstimator &estimator, std::uint32_t uncachedTokens, core::TimePoint now) const
{
    RoomFacts room;
    room.slotShare = 1.0 / static_cast<double>(std::max<std::size_t>(estimator.slots(), 1));
    if (request.promptTokens == 0) {
        room.streamTime = estimator.serviceTime();
        return room;
    }
    room.prefillTime = estimator.prefillTime(uncachedTokens);
    room.streamTime = estimator.decodeTime(request.outputTokens, now);
    const catalog::Service *service = m_view.catalog ? m_view.catalog->findService(request.service) : nullptr;
    if (service != nullptr && service->engine && service->engine->memoryTokens > 0) {
        room.memoryShare = static_cast<double>(request.unsharedTokens()) / static_cast<double>(service->engine->memoryTokens);
    }
    return room;
}

Dispatcher::QueuedRequest Dispatcher::makeQueuedRequest(const PlacementRequest &request, core::TimePoint now)
{
    QueuedRequest queued{request, now, {}, {}, {}, {}};
    QueueEntry &entry = queued.entry;
    entry.id = request.id;
    entry.hasBegun = request.requiredVersion.has_value();
    entry.priority = request.priority;
    entry.latencyDeadline = request.latencyDeadline;
    entry.minLatency = core::Duration::max();
    entry.promptTokens = request.promptTokens;
    entry.minUncachedTokens = request.promptTokens;
    const UpstreamEstimator *best = nullptr; // has most of the prompt cached
    for (const LocalUpstream &upstream : localUpstreamsOf(request.service)) {
        if (!mayServe(request, upstream.entry->announcement)) {
            continue;
        }
        const std::uint32_t uncached = upstream.estimator->countUncached(request.prompt, request.promptTokens);
        if (best == nullptr || uncached < entry.minUncachedTokens) {
            best = upstream.estimator;
        }
        entry.minUncachedTokens = std::min(entry.minUncachedTokens, uncached);
        entry.minLatency = std::min(entry.minLatency, upstream.estimator->unloadedLatency(uncached));
    }
    if (entry.minLatency == core::Duration::max()) { // no upstream in this region yet
        entry.minLatency = core::Duration::zero();
    }
    if (m_settings.queueOrder == QueueOrderKind::Cost && best != nullptr) {
        queued.room = roomAt(request, *best, entry.minUncachedTokens, now);
    }
    return queued;
}

} // namespace arbutus::routing
