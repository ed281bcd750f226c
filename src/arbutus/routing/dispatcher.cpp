// Requests, grants and the queue.

#include "arbutus/routing/dispatcher.h"
#include "arbutus/core/overloaded.h"

#include <algorithm>

namespace arbutus::routing {

Dispatcher::Dispatcher(DispatcherSettings settings, DispatcherView view, core::TimePoint now)
    : m_settings(settings)
    , m_view(std::move(view))
    , m_engineProfiles(settings.estimator.profile)
    , m_urgencyOrder(settings.urgencyOrder)
    , m_placementRates(settings.placementRate)
    , m_refusals(settings.refusal)
    , m_costPolicy(settings.costPolicy)
    , m_dispatcherRoleSince(now)
    , m_startedAt(now)
{
}

void Dispatcher::recordPlacement(const PlacementRequest &request, std::uint32_t uncachedTokens, core::TimePoint now)
{
    m_placementRates.recordPlacement(request.service, workUnits(request, uncachedTokens), now);
    if (request.promptTokens >= m_settings.longPromptTokens) {
        m_placementRates.recordCacheMiss(request.service, static_cast<double>(uncachedTokens) / request.promptTokens);
    }
}

double Dispatcher::workCapacity(const core::ServiceId &service, core::TimePoint now)
{
    const double meanWork = m_placementRates.meanWork(service);
    double capacity = 0;
    for (const LocalUpstream &upstream : localUpstreamsOf(service)) {
        if (upstream.estimator->acceptsRequests(now) && isReachable(upstream.entry->announcement.id, now)) {
            capacity += workCapacity(upstream, meanWork);
        }
    }
    return capacity;
}

QueueRates Dispatcher::estimateQueueRates(const core::ServiceId &service, core::TimePoint now)
{
    return m_placementRates.estimateQueueRates(service, workCapacity(service, now), now);
}

core::Duration Dispatcher::predictQueueWait(const QueuedRequest &queued, core::TimePoint now)
{
    double workAhead = 0;
    for (const auto &[id, other] : m_queue) {
        if (id != queued.request.id && other.request.service == queued.request.service && hasPrecedence(other, queued, now)) {
            workAhead += other.entry.workUnits();
        }
    }
    return predictWait(queued, workAhead, estimateQueueRates(queued.request.service, now), now);
}

core::Duration Dispatcher::predictWait(const QueuedRequest &queued, double workAhead, const QueueRates &rates, core::TimePoint now) const
{
    return m_placementRates.predictWait(WaitFactors{queued.entry.latencyDeadline, queued.entry.minLatency, workAhead}, rates, now);
}

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
    return m_refusals.refuse(reason, predictedWait, request.responseDeadline - now);
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
    return m_urgencyOrder.hasPrecedence(left.entry, right.entry, now);
}

void Dispatcher::scanQueue(core::TimePoint now)
{
    endBusyPeriods();
    if (m_queue.empty()) {
        clearReservations();
        return;
    }
    if (now - m_lastQueueScan < m_settings.minQueueScanInterval) {
        return;
    }
    m_lastQueueScan = now;
    clearReservations();
    if (m_settings.queueOrder == QueueOrderKind::Cost) {
        scanByCost(now);
    } else {
        scanByUrgency(now);
    }
}

bool Dispatcher::dropObsolete(const QueuedRequest &queued, core::TimePoint now)
{
    const PlacementRequest &request = queued.request;
    if (now - queued.lastRequestedAt > m_settings.reportTimeout) {
        return true; // its node no longer repeats the request
    }
    if (isOutdated(request)) {
        m_deferredDecisions.push_back({request.id, request.requester, refuse(request, RefusalReason::Outdated, core::Duration::zero(), now)});
        return true;
    }
    return false;
}

bool Dispatcher::placeOrReserve(const QueuedRequest &queued, core::TimePoint now)
{
    const PlacementRequest &request = queued.request;
    PlacementAttempt attempt = tryPlace(request, now);
    if (attempt.decision) {
        m_deferredDecisions.push_back({request.id, request.requester, std::move(*attempt.decision)});
        return true;
    }
    if (LocalUpstream *upstream = attempt.preferredUpstream) {
        core::Duration reservation = request.promptTokens == 0 ? upstream->estimator->serviceTime() : upstream->estimator->prefillTime(attempt.uncachedTokens);
        if (upstream->rateLimit != nullptr) {
            reservation = std::max(reservation, core::Duration(static_cast<core::Duration::rep>(1e6 / upstream->rateLimit->rate())));
        }
        upstream->reservedTime += reservation + upstream->estimator->slotWait();
    }
    return false;
}

void Dispatcher::scanByUrgency(core::TimePoint now)
{
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
        if (dropObsolete(*queued, now)) {
            done.push_back(request.id);
            continue;
        }
        double &workAhead = workAheadByService[request.service];
        const core::Duration predictedWait = predictWait(*queued, workAhead, rates[request.service], now);
        queued->predictedWait = predictedWait;
        if (now + predictedWait + queued->entry.minLatency >= request.responseDeadline) { // would be served too late
            m_deferredDecisions.push_back({request.id, request.requester, refuse(request, RefusalReason::Overloaded, predictedWait, now)});
            done.push_back(request.id);
            continue;
        }
        workAhead += queued->entry.workUnits();
        if (++scanned > m_settings.queueScanLimit) {
            continue;
        }
        if (placeOrReserve(*queued, now)) {
            done.push_back(request.id);
            workAhead -= queued->entry.workUnits();
        }
    }
    for (const PlacementId &id : done) {
        m_queue.erase(id);
    }
}

void Dispatcher::scanByCost(core::TimePoint now)
{
    std::map<core::ServiceId, std::vector<QueuedRequest *>> byService;
    std::erase_if(m_queue, [&](const auto &item) { return dropObsolete(item.second, now); });
    for (auto &[id, queued] : m_queue) {
        byService[queued.request.service].push_back(&queued);
    }
    std::vector<PlacementId> done;
    std::vector<const CostEntry *> entries;
    for (auto &[service, waiting] : byService) {
        entries.clear();
        std::transform(waiting.begin(), waiting.end(), std::back_inserter(entries), [](const QueuedRequest *queued) { return &queued->cost.entry; });
        const CostPlan plan = m_costPolicy.plan(service, entries, m_placementRates, estimateQueueRates(service, now), now);
        std::size_t scanned = 0;
        for (const CostPlan::Place &place : plan.served) {
            QueuedRequest &queued = *waiting[place.index];
            queued.predictedWait = place.predictedWait;
            if (++scanned <= m_settings.queueScanLimit && placeOrReserve(queued, now)) {
                if (std::holds_alternative<Granted>(m_deferredDecisions.back().decision)) {
                    m_costPolicy.recordServed(queued.cost.ticket, now);
                }
                done.push_back(queued.request.id);
            }
        }
        for (const std::size_t index : plan.refused) {
            const QueuedRequest &queued = *waiting[index];
            m_deferredDecisions.push_back({queued.request.id, queued.request.requester, m_costPolicy.refuse(queued.cost.ticket, queued.cost.entry, now)});
            done.push_back(queued.request.id);
        }
    }
    for (const PlacementId &id : done) {
        m_queue.erase(id);
    }
}

CostFacts Dispatcher::makeCostFacts(const PlacementRequest &request, const QueueEntry &entry, const RoomFacts &room)
{
    CostFacts facts;
    facts.id = request.id;
    facts.service = request.service;
    facts.kind = KindId(request.route.text);
    facts.fingerprint = request.fingerprint;
    facts.session = sharedPrefixHash(request.prompt);
    facts.hasBegun = request.requiredVersion.has_value();
    facts.priority = request.priority;
    facts.promptTokens = request.promptTokens;
    facts.outputTokens = request.outputTokens;
    facts.latencyDeadline = request.latencyDeadline;
    facts.responseDeadline = request.responseDeadline;
    facts.minLatency = entry.minLatency;
    facts.work = entry.workUnits();
    facts.room = room;
    return facts;
}

void Dispatcher::endBusyPeriods()
{
    m_placementRates.endBusyPeriods([this](const core::ServiceId &service) {
        return std::any_of(m_queue.begin(), m_queue.end(), [&](const auto &item) { return item.second.request.service == service; });
    });
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

std::optional<PlacementDecision> Dispatcher::decideAtOnce(const PlacementRequest &request, core::TimePoint now)
{
    const bool isByCost = m_settings.queueOrder == QueueOrderKind::Cost;
    if (auto decision = tryPlace(request, now).decision) { // respects the reservations for requests of higher precedence
        if (const auto *granted = std::get_if<Granted>(&*decision)) {
            m_placementRates.recordArrival(request.service, workUnits(request, granted->uncachedTokens), now);
            if (isByCost) {
                m_costPolicy.recordServed(m_costPolicy.admit(makeCostFacts(request, {}, {}), now).ticket, now);
            }
        }
        return decision;
    }
    QueuedRequest &queued = m_queue[request.id] = makeQueuedRequest(request, now);
    if (isByCost) {
        queued.cost = m_costPolicy.admit(makeCostFacts(request, queued.entry, queued.room), now);
        queued.predictedWait = m_costPolicy.drainTime(request.service);
    }
    if (!queued.cost.entry.cameBack) { // counted when it came first
        m_placementRates.recordArrival(request.service, queued.entry.workUnits(), now);
    }
    m_placementRates.recordQueued(request.service, now);
    return std::nullopt;
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
    } else if (auto decision = decideAtOnce(request, now)) {
        return *decision;
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
    if (m_settings.queueOrder == QueueOrderKind::Cost) { // the next scan plans it
        return Queued{queued.predictedWait};
    }
    const core::Duration predictedWait = predictQueueWait(queued, now);
    queued.predictedWait = predictedWait;
    if (now + predictedWait + queued.entry.minLatency > request.responseDeadline) { // refuse at once what cannot be served in time
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

void Dispatcher::recordCompletion(const PlacementId &id, const core::UpstreamId &upstream, SendOutcome outcome, core::TimePoint now, const StreamTiming &timing)
{
    m_grants.erase(id);
    const auto estimator = m_estimators.find(upstream);
    if (estimator != m_estimators.end()) {
        estimator->second.recordCompletion(id, outcome, timing, now);
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
