// Queue order, choice of upstream, spill to other regions, refusals.

#include "arbutus/routing/dispatcher.h"
#include "arbutus/core/hash.h"
#include "arbutus/core/overloaded.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace arbutus::routing {

namespace {

core::Duration scaled(core::Duration duration, double factor)
{
    return core::Duration(static_cast<core::Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace

Dispatcher::Dispatcher(DispatcherSettings settings, DispatcherView view, core::TimePoint now)
    : m_settings(settings)
    , m_view(std::move(view))
    , m_holdsSince(now)
    , m_startedAt(now)
{
}

//-----------------------------------------------------------------------------
// Candidates
//-----------------------------------------------------------------------------

UpstreamEstimator &Dispatcher::modelOf(const RegistryEntry &entry)
{
    StartTime &life = m_lives[entry.announcement.id];
    if (life != entry.announcement.startTime) { // another life: nothing learned of the one before holds
        life = entry.announcement.startTime;
        m_models.erase(entry.announcement.id);
    }
    const auto found = m_models.find(entry.announcement.id);
    if (found != m_models.end()) {
        return found->second;
    }
    const catalog::Service *service = m_view.catalog ? m_view.catalog->findService(entry.announcement.service) : nullptr;
    std::size_t slots = entry.announcement.slots;
    std::uint64_t memory = 0;
    std::uint64_t tokensPerEvent = 0;
    if (service != nullptr && service->engine) {
        tokensPerEvent = std::max<std::uint64_t>(service->engine->tokensPerEvent, 1);
        slots = static_cast<std::size_t>(m_settings.maxSlotUtilization * static_cast<double>(slots));
        memory = static_cast<std::uint64_t>(m_settings.maxMemoryUtilization * static_cast<double>(service->engine->memoryTokens));
    }
    return m_models.emplace(entry.announcement.id, UpstreamEstimator(m_settings.estimator, memory, slots, tokensPerEvent)).first->second;
}

void Dispatcher::readRoster()
{
    m_rosterVersion = m_view.registry.version();
    m_catalogRead = m_view.catalog.get();
    m_locals.clear();
    const auto forgotten = [&](const auto &row) { return m_view.registry.find(row.first) == nullptr; };
    std::erase_if(m_models, forgotten);
    std::erase_if(m_lives, forgotten);
    std::erase_if(m_coldNext, forgotten);
    for (const auto &[id, entry] : m_view.registry.entries()) {
        const auto region = m_view.regionByDomain.find(entry.announcement.domain);
        if (m_view.registry.isEligible(entry) && region != m_view.regionByDomain.end() && region->second == m_view.region) {
            m_locals[entry.announcement.service].push_back(Local{&entry, &modelOf(entry), {}});
        }
    }
}

std::vector<Dispatcher::Local> &Dispatcher::localsOf(const core::ServiceId &service)
{
    if (m_rosterVersion != m_view.registry.version() || m_catalogRead != m_view.catalog.get()) {
        readRoster();
    }
    return m_locals[service];
}

bool Dispatcher::mightServe(const PlacementRequest &ask)
{
    if ((!ask.allowedRegions.empty() && !ask.allowedRegions.contains(m_view.region)) || ask.excludedRegions.contains(m_view.region)) {
        return false;
    }
    const auto &locals = localsOf(ask.service);
    return std::any_of(locals.begin(), locals.end(), [&](const Local &local) { return !ask.excludedUpstreams.contains(local.entry->announcement.id); });
}

bool Dispatcher::mayStillHear(const PlacementRequest &ask, core::TimePoint now)
{
    if (now - m_startedAt >= m_settings.discoveryPeriod) {
        return false;
    }
    const auto unheard = [&](const core::RegionId &region) {
        const bool allowed = (ask.allowedRegions.empty() || ask.allowedRegions.contains(region)) && !ask.excludedRegions.contains(region);
        if (region == m_view.region) {
            return allowed && localsOf(ask.service).empty();
        }
        return allowed && ask.allowOtherRegions && !m_remotes.contains(region);
    };
    return std::any_of(m_view.regionByDomain.begin(), m_view.regionByDomain.end(), [&](const auto &row) { return unheard(row.second); });
}

std::optional<Dispatcher::Candidate> Dispatcher::considered(const PlacementRequest &ask, Local &local, core::TimePoint now) const
{
    const UpstreamEstimator &model = *local.model;
    if ((!ask.excludedUpstreams.empty() && ask.excludedUpstreams.contains(local.entry->announcement.id)) || !model.acceptsRequests(now)) {
        return std::nullopt;
    }
    Candidate candidate;
    candidate.local = &local;
    candidate.uncachedTokens = model.countUncached(ask.prompt, ask.promptTokens);
    candidate.predicted = model.predictLatency(candidate.uncachedTokens, now) + model.slotWait() + local.reserved;
    core::Duration cost = candidate.predicted;
    if (ask.promptTokens > 0) {
        const core::Duration streaming = model.decodeTime(ask.outputTokens, now);
        const double costToOthers = m_settings.prefillWeight - 1 + m_settings.interferenceWeight * static_cast<double>(model.inFlight().size());
        cost += scaled(model.prefillTime(candidate.uncachedTokens), costToOthers) + scaled(streaming, m_settings.decodeWeight);
        candidate.ends = now + candidate.predicted + streaming <= ask.completionDeadline;
    }
    candidate.score = scaled(cost, 1 + 2 * model.failureRate());
    const bool rested =
        candidate.uncachedTokens < m_settings.longPromptTokens || model.timeSincePrefill(now) >= m_settings.longPromptGap - m_settings.maxBacklog;
    const bool free = rested && model.backlog(now) <= m_settings.maxBacklog && model.hasCapacity(ask.unsharedTokens());
    candidate.admissible = free && local.reserved == core::Duration::zero();
    return candidate;
}

bool Dispatcher::coldAllowed(const RegistryEntry &entry, core::TimePoint now)
{
    const catalog::Service *service = m_view.catalog ? m_view.catalog->findService(entry.announcement.service) : nullptr;
    const double pace = service == nullptr ? 0 : service->maxColdRequestsPerSecond;
    if (pace <= 0) {
        return true; // no bound is stated
    }
    if (!m_holds || now - m_holdsSince < m_settings.takeoverColdDelay) {
        return false; // another node may be pacing them
    }
    return now >= m_coldNext[entry.announcement.id];
}

std::optional<Dispatcher::Candidate> Dispatcher::bestLocal(const PlacementRequest &ask, core::TimePoint now)
{
    const auto better = [](const Candidate &left, const std::optional<Candidate> &right) {
        return !right || (left.ends != right->ends ? left.ends : left.score < right->score);
    };
    std::optional<Candidate> warm;
    std::optional<Candidate> any;
    std::optional<Candidate> affine; // warm, and the one that the subject falls to by hash
    std::uint64_t affineHash = 0;
    const std::uint64_t subject = ask.prompt.size() < 2 ? 0 : ask.prompt[ask.prompt.size() - 2].prefixHash; // the last part is the request's own
    for (Local &local : localsOf(ask.service)) {
        const bool cold = local.entry->isCold(now);
        if (cold && !coldAllowed(*local.entry, now)) {
            continue;
        }
        const auto candidate = considered(ask, local, now);
        if (!candidate) {
            continue;
        }
        if (!cold && better(*candidate, warm)) {
            warm = candidate;
        }
        if (!cold && subject != 0) {
            const std::uint64_t hash = core::hash64(local.entry->announcement.id.text, subject);
            if (hash >= affineHash) {
                affineHash = hash;
                affine = candidate;
            }
        }
        if (better(*candidate, any)) {
            any = candidate;
        }
    }
    if (affine) {
        affine->score -= m_settings.affinityBonus;
        if (better(*affine, warm)) {
            warm = affine;
        }
    }
    return any && (!warm || (!warm->admissible && any->admissible)) ? any : warm;
}

void Dispatcher::notePlaced(const PlacementRequest &ask, std::uint32_t uncachedTokens, core::TimePoint now)
{
    Pace &pace = m_paces[ask.service];
    const double memory = static_cast<double>(m_settings.placementRateTimeConstant.count());
    pace.placed *= std::exp(-static_cast<double>((now - pace.at).count()) / memory);
    pace.placed += ask.promptTokens == 0 ? 1 : uncachedTokens;
    pace.at = now;
    if (ask.promptTokens >= m_settings.longPromptTokens) {
        const double share = static_cast<double>(uncachedTokens) / ask.promptTokens;
        pace.readShare += m_settings.cacheMissRatioWeight * (share - pace.readShare);
    }
}

double Dispatcher::paceOf(const core::ServiceId &service, core::TimePoint now)
{
    double possible = 0;
    for (const Local &local : localsOf(service)) {
        const UpstreamEstimator &model = *local.model;
        if (model.acceptsRequests(now)) {
            const double each = static_cast<double>(core::toMilliseconds(std::max(model.serviceTime(), core::Duration(1'000))));
            possible += model.isEngine() ? model.prefillRate() : static_cast<double>(model.slots()) / each;
        }
    }
    const Pace &pace = m_paces[service];
    if (pace.busySince == core::TimePoint{} || now - pace.busySince < m_settings.placementRateMinBusyTime) {
        return possible;
    }
    const double memory = static_cast<double>(m_settings.placementRateTimeConstant.count());
    const double placed = pace.placed * std::exp(-static_cast<double>((now - pace.at).count()) / memory);
    return std::min(possible, placed / (memory / 1000));
}

core::Duration Dispatcher::queueWait(const WaitingAsk &waiting, core::TimePoint now)
{
    double ahead = 0;
    for (const auto &[id, other] : m_waiting) {
        if (id != waiting.ask.id && other.ask.service == waiting.ask.service && before(other, waiting, now)) {
            ahead += workOf(other);
        }
    }
    return timeOf(ahead, paceOf(waiting.ask.service, now));
}

core::Duration Dispatcher::timeOf(double work, double pace) const
{
    if (work <= 0 || pace <= 0) { // no upstream is sound: nobody knows for how long
        return core::Duration::zero();
    }
    const auto longest = static_cast<double>(m_settings.maxPredictedWait.count());
    return core::Duration(static_cast<core::Duration::rep>(std::min(longest, work * 1000 / pace)));
}

Dispatcher::WaitingAsk Dispatcher::waitingOf(const PlacementRequest &ask, core::TimePoint now)
{
    WaitingAsk waiting{ask, now, ask.promptTokens, core::Duration::max()};
    for (const Local &local : localsOf(ask.service)) {
        const std::uint32_t uncached = local.model->countUncached(ask.prompt, ask.promptTokens);
        waiting.needTokens = std::min(waiting.needTokens, uncached);
        waiting.needTime = std::min(waiting.needTime, local.model->unloadedLatency(uncached));
    }
    if (waiting.needTime == core::Duration::max()) { // no upstream here yet
        waiting.needTime = core::Duration::zero();
    }
    return waiting;
}

//-----------------------------------------------------------------------------
// Other regions
//-----------------------------------------------------------------------------

std::optional<Redirected> Dispatcher::bestRemote(const PlacementRequest &ask, core::TimePoint now)
{
    std::optional<Redirected> best;
    if (!ask.allowOtherRegions) {
        return best;
    }
    for (auto &[region, services] : m_remotes) {
        const bool allowed = (ask.allowedRegions.empty() || ask.allowedRegions.contains(region)) && !ask.excludedRegions.contains(region);
        const auto found = services.find(ask.service);
        if (!allowed || found == services.end()) {
            continue;
        }
        const Remote &remote = found->second;
        if (now - remote.at > m_settings.maxRemoteLoadAge || remote.outlook.usableUpstreams == 0) {
            continue;
        }
        core::Duration predicted = m_settings.regionRoundTrip + remote.outlook.queueDelay;
        core::Duration streaming{};
        if (remote.outlook.prefillTokensPerMs > 0) {
            const double each = remote.outlook.prefillTokensPerMs / remote.outlook.usableUpstreams;
            const double uncached = ask.promptTokens * remote.outlook.cacheMissRatio;
            const double reading = uncached / each + static_cast<double>(remote.sentTokens) / remote.outlook.prefillTokensPerMs;
            predicted += core::Duration(static_cast<core::Duration::rep>(reading * 1000));
            const double added = static_cast<double>(remote.sentTokens) / remote.outlook.prefillTokensPerMs
                / static_cast<double>(core::toMilliseconds(m_settings.estimator.prefillLoadTimeConstant));
            const double share = std::min(1.0, remote.outlook.prefillUtilization + added);
            const auto step = m_settings.estimator.baseStepTime + scaled(m_settings.estimator.prefillChunkTime, share);
            streaming = scaled(step * static_cast<core::Duration::rep>(ask.outputTokens), m_settings.decodeWeight);
            streaming += scaled(core::Duration(static_cast<core::Duration::rep>(uncached / each * 1000)), m_settings.prefillWeight - 1);
        } else {
            const double queued = remote.sent > remote.outlook.freeSlots ? remote.sent - remote.outlook.freeSlots : 0;
            predicted += scaled(remote.outlook.serviceTime, 1 + queued / std::max(1U, remote.outlook.usableUpstreams));
        }
        if (!best || predicted + streaming < best->score) {
            best = Redirected{region, predicted, predicted + streaming};
        }
    }
    return best;
}

PlacementDecision Dispatcher::leave(const PlacementRequest &ask, const Redirected &elsewhere)
{
    Remote &remote = m_remotes[elsewhere.region][ask.service];
    remote.sentTokens += static_cast<std::uint64_t>(ask.promptTokens * remote.outlook.cacheMissRatio);
    ++remote.sent;
    return elsewhere;
}

std::vector<ServiceLoad> Dispatcher::serviceLoads(core::TimePoint now)
{
    std::vector<ServiceLoad> out;
    (void)localsOf(core::ServiceId()); // reads the roster again if it has changed
    for (auto &[id, locals] : m_locals) {
        ServiceLoad outlook;
        outlook.service = id;
        std::optional<core::Duration> leastBacklog;
        std::vector<double> shares;
        for (const Local &local : locals) {
            const UpstreamEstimator &model = *local.model;
            if (local.entry->isCold(now) || !model.acceptsRequests(now)) {
                continue;
            }
            ++outlook.usableUpstreams;
            outlook.freeSlots += model.inFlight().size() < model.slots() ? static_cast<std::uint32_t>(model.slots() - model.inFlight().size()) : 0;
            outlook.serviceTime = std::max(outlook.serviceTime, model.serviceTime());
            outlook.prefillTokensPerMs += model.isEngine() ? model.prefillRate() : 0;
            shares.push_back(model.prefillUtilization(now));
            leastBacklog = std::min(leastBacklog.value_or(core::Duration::max()), model.backlog(now));
        }
        if (outlook.usableUpstreams == 0) {
            continue;
        }
        double queued = 0;
        for (const auto &[work, waiting] : m_waiting) {
            queued += waiting.ask.service == id ? workOf(waiting) : 0;
        }
        outlook.queueDelay = *leastBacklog;
        std::sort(shares.begin(), shares.end());
        shares.resize((shares.size() + 1) / 2);
        outlook.prefillUtilization = std::accumulate(shares.begin(), shares.end(), 0.0) / static_cast<double>(shares.size());
        if (queued > 0) {
            outlook.queueDelay += timeOf(queued, paceOf(id, now));
        }
        outlook.cacheMissRatio = m_paces[id].readShare;
        out.push_back(outlook);
    }
    return out;
}

void Dispatcher::updateRemoteLoad(const core::RegionId &region, const ServiceLoad &outlook, core::TimePoint now)
{
    m_remotes[region][outlook.service] = Remote{outlook, now, 0, 0};
}

//-----------------------------------------------------------------------------
// Placement
//-----------------------------------------------------------------------------

PlacementDecision Dispatcher::grant(const PlacementRequest &ask, const Candidate &candidate, core::TimePoint now)
{
    const RegistryEntry &entry = *candidate.local->entry;
    InFlightRequest run;
    run.sender = ask.requester;
    run.uncachedTokens = candidate.uncachedTokens;
    run.memoryTokens = ask.unsharedTokens();
    candidate.local->model->recordGrant(ask.id, std::move(run), ask.prompt, now);
    notePlaced(ask, candidate.uncachedTokens, now);
    Granted granted{entry.announcement.id, entry.announcement.address, candidate.uncachedTokens, candidate.predicted, entry.isCold(now)};
    if (granted.coldUpstream) {
        const catalog::Service *service = m_view.catalog ? m_view.catalog->findService(ask.service) : nullptr;
        if (service != nullptr && service->maxColdRequestsPerSecond > 0) {
            const double share = std::max(m_reach, 0.2); // nodes out of reach may be sending too
            m_coldNext[entry.announcement.id] = now + core::Duration(static_cast<core::Duration::rep>(1e6 / service->maxColdRequestsPerSecond / share));
        }
    }
    m_placed[ask.id] = granted;
    return granted;
}

Refused Dispatcher::refuse(const PlacementRequest &ask, RefusalReason reason, core::Duration predicted, core::TimePoint now) const
{
    const core::Duration left = std::max(core::Duration::zero(), ask.responseDeadline - now);
    const core::Duration wanted = reason == RefusalReason::NoUpstream ? left / 3 : predicted / 2;
    return Refused{reason, std::clamp(wanted, m_settings.minRetryAfter, m_settings.maxRetryAfter)};
}

Dispatcher::Placing Dispatcher::place(const PlacementRequest &ask, core::TimePoint now)
{
    const bool here = (ask.allowedRegions.empty() || ask.allowedRegions.contains(m_view.region)) && !ask.excludedRegions.contains(m_view.region);
    const std::optional<Candidate> local = here ? bestLocal(ask, now) : std::nullopt;
    const std::optional<Redirected> remote = bestRemote(ask, now);
    if (!local) {
        if (remote) {
            return Placing{leave(ask, *remote), nullptr, 0};
        }
        if (!mightServe(ask) && !mayStillHear(ask, now)) {
            return Placing{refuse(ask, RefusalReason::NoUpstream, core::Duration::zero(), now), nullptr, 0};
        }
        return Placing{};
    }
    if (remote) {
        const core::Duration left = ask.latencyDeadline - now;
        const core::Duration predicted = local->predicted;
        const bool localOnTime = predicted <= left;
        const bool remoteOnTime = remote->predictedLatency <= left;
        const bool betterStream = ask.promptTokens > 0 && remoteOnTime && remote->score + m_settings.remoteScoreMargin < local->score;
        const bool unsound = local->local->model->failureRate() >= m_settings.failureRateThreshold && remoteOnTime;
        if ((!localOnTime && remoteOnTime) || (!localOnTime && remote->predictedLatency + m_settings.remoteLatencyMargin < predicted) || betterStream
            || unsound) {
            return Placing{leave(ask, *remote), nullptr, 0};
        }
    }
    Placing placing{std::nullopt, local->local, local->uncachedTokens};
    if (local->admissible) {
        placing.verdict = grant(ask, *local, now);
    }
    return placing;
}

bool Dispatcher::before(const WaitingAsk &left, const WaitingAsk &right, core::TimePoint now) const
{
    const bool leftLate = now + left.needTime > left.ask.latencyDeadline;
    const bool rightLate = now + right.needTime > right.ask.latencyDeadline;
    if (leftLate != rightLate) {
        return rightLate; // what can still be on time goes first
    }
    if (left.ask.priority != right.ask.priority) {
        return left.ask.priority < right.ask.priority;
    }
    const bool leftCached = left.mostlyCached(m_settings.mostlyCachedRatio);
    const bool rightCached = right.mostlyCached(m_settings.mostlyCachedRatio);
    if (leftCached != rightCached) {
        return leftCached;
    }
    if (left.ask.latencyDeadline != right.ask.latencyDeadline) {
        return left.ask.latencyDeadline < right.ask.latencyDeadline;
    }
    return left.ask.id < right.ask.id;
}

void Dispatcher::pump(core::TimePoint now)
{
    endBusyTimes();
    if (m_waiting.empty()) {
        clearReserved();
        return;
    }
    if (now - m_pumpedAt < m_settings.minQueueScanInterval) {
        return;
    }
    m_pumpedAt = now;
    clearReserved();
    std::vector<const WaitingAsk *> order;
    order.reserve(m_waiting.size());
    for (const auto &[id, waiting] : m_waiting) {
        order.push_back(&waiting);
    }
    std::sort(order.begin(), order.end(), [&](const WaitingAsk *left, const WaitingAsk *right) { return before(*left, *right, now); });
    std::vector<PlacementId> done;
    std::size_t looked = 0;
    std::map<core::ServiceId, double> ahead; // work of better asks that stay
    std::map<core::ServiceId, double> paces;
    for (const WaitingAsk *waiting : order) {
        paces.try_emplace(waiting->ask.service, 0);
    }
    for (auto &[service, pace] : paces) {
        pace = paceOf(service, now);
    }
    for (const WaitingAsk *waiting : order) {
        const PlacementRequest &ask = waiting->ask;
        if (now - waiting->seenAt > m_settings.reportTimeout) {
            done.push_back(ask.id); // its holder has gone
            continue;
        }
        double &workAhead = ahead[ask.service];
        const core::Duration reached = timeOf(workAhead, paces[ask.service]);
        if (now + reached + waiting->needTime >= ask.responseDeadline) { // it would be served too late
            m_settled.push_back({ask.id, ask.requester, refuse(ask, RefusalReason::Overloaded, reached, now)});
            done.push_back(ask.id);
            continue;
        }
        workAhead += workOf(*waiting);
        if (++looked > m_settings.queueScanLimit) {
            continue;
        }
        Placing placing = place(ask, now);
        if (placing.verdict) {
            m_settled.push_back({ask.id, ask.requester, std::move(*placing.verdict)});
            done.push_back(ask.id);
            workAhead -= workOf(*waiting);
        } else if (Local *local = placing.waitsFor) { // kept for this ask before worse ones
            const core::Duration reading = ask.promptTokens == 0 ? local->model->serviceTime() : local->model->prefillTime(placing.uncachedTokens);
            local->reserved += reading + local->model->slotWait();
        }
    }
    for (const PlacementId &id : done) {
        m_waiting.erase(id);
    }
}

void Dispatcher::endBusyTimes()
{
    for (auto &[service, pace] : m_paces) {
        const bool anyWaits = std::any_of(m_waiting.begin(), m_waiting.end(), [&](const auto &row) { return row.second.ask.service == service; });
        if (!anyWaits) {
            pace.busySince = core::TimePoint{};
        }
    }
}

void Dispatcher::clearReserved()
{
    for (auto &[service, locals] : m_locals) {
        for (Local &local : locals) {
            local.reserved = core::Duration::zero();
        }
    }
}

std::optional<PlacementDecision> Dispatcher::repeatGrant(const PlacementId &id)
{
    const auto found = m_placed.find(id);
    if (found == m_placed.end()) {
        return std::nullopt;
    }
    return found->second;
}

PlacementDecision Dispatcher::requestPlacement(const PlacementRequest &ask, core::TimePoint now)
{
    if (auto granted = repeatGrant(ask.id)) {
        return *granted;
    }
    const auto known = m_waiting.find(ask.id);
    if (known != m_waiting.end()) {
        known->second.seenAt = now;
    } else {
        if (auto verdict = place(ask, now).verdict) { // what better asks wait for stays theirs
            return *verdict;
        }
        m_waiting[ask.id] = waitingOf(ask, now);
        Pace &pace = m_paces[ask.service];
        if (pace.busySince == core::TimePoint{}) {
            pace.busySince = now;
        }
    }
    pump(now);
    const auto settled = std::find_if(m_settled.begin(), m_settled.end(), [&](const DeferredDecision &row) { return row.id == ask.id; });
    if (settled != m_settled.end()) {
        PlacementDecision verdict = std::move(settled->decision);
        m_settled.erase(settled);
        return verdict;
    }
    const WaitingAsk &waiting = m_waiting.at(ask.id);
    const core::Duration predicted = queueWait(waiting, now);
    if (now + predicted + waiting.needTime > ask.responseDeadline) { // what cannot be served in time is refused at once
        m_waiting.erase(ask.id);
        return refuse(ask, RefusalReason::Overloaded, predicted, now);
    }
    return Queued{predicted};
}

void Dispatcher::cancel(const PlacementId &id)
{
    m_waiting.erase(id);
    std::erase_if(m_settled, [&](const DeferredDecision &row) { return row.id == id; });
}

void Dispatcher::recordFirstEvent(const PlacementId &id, const core::UpstreamId &upstream, core::Duration took, core::TimePoint now)
{
    const auto model = m_models.find(upstream);
    if (model != m_models.end()) {
        model->second.recordFirstEvent(id, took, now);
    }
}

void Dispatcher::recordCompletion(const PlacementId &id, const core::UpstreamId &upstream, SendOutcome ending, core::TimePoint now)
{
    m_placed.erase(id);
    const auto model = m_models.find(upstream);
    if (model != m_models.end()) {
        model->second.recordCompletion(id, ending, now);
    }
}

void Dispatcher::recordInFlight(const core::InstanceId &holder, const std::vector<ReportedRequest> &holdings, core::TimePoint now)
{
    for (const ReportedRequest &holding : holdings) {
        const RegistryEntry *entry = m_view.registry.find(holding.upstream);
        if (entry != nullptr) {
            modelOf(*entry).recordReport(holding.id, holder, holding.timeToFirstEvent, holding.memoryTokens, now);
        }
    }
}

std::vector<DeferredDecision> Dispatcher::processQueue(core::TimePoint now)
{
    if (now - m_forgotAt >= m_settings.expiryCheckInterval) {
        m_forgotAt = now;
        for (auto &[id, model] : m_models) {
            for (const PlacementId &work : model.expireUnreported(now - m_settings.reportTimeout, now)) {
                m_placed.erase(work);
            }
        }
    }
    pump(now);
    return std::exchange(m_settled, {});
}

void Dispatcher::setDispatcherRole(bool holds, double reach, core::TimePoint now)
{
    if (holds && !m_holds) {
        m_holdsSince = now;
    }
    m_holds = holds;
    m_reach = reach;
}

} // namespace arbutus::routing
