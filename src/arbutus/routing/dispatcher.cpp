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

EngineModel &Dispatcher::modelOf(const RosterEntry &entry)
{
    StartTime &life = m_lives[entry.said.id];
    if (life != entry.said.started) { // another life: nothing learned of the one before holds
        life = entry.said.started;
        m_models.erase(entry.said.id);
    }
    const auto found = m_models.find(entry.said.id);
    if (found != m_models.end()) {
        return found->second;
    }
    const catalog::Service *service = m_view.catalog ? m_view.catalog->service(entry.said.service) : nullptr;
    std::size_t slots = entry.said.slots;
    std::uint64_t memory = 0;
    std::uint64_t tokensPerEvent = 0;
    if (service != nullptr && service->engine) {
        tokensPerEvent = std::max<std::uint64_t>(service->engine->tokensPerEvent, 1);
        slots = static_cast<std::size_t>(m_settings.slotsUsed * static_cast<double>(slots));
        memory = static_cast<std::uint64_t>(m_settings.memoryUsed * static_cast<double>(service->engine->memoryTokens));
    }
    return m_models.emplace(entry.said.id, EngineModel(m_settings.engine, memory, slots, tokensPerEvent)).first->second;
}

void Dispatcher::readRoster()
{
    m_rosterVersion = m_view.roster.version();
    m_catalogRead = m_view.catalog.get();
    m_locals.clear();
    const auto forgotten = [&](const auto &row) { return m_view.roster.find(row.first) == nullptr; };
    std::erase_if(m_models, forgotten);
    std::erase_if(m_lives, forgotten);
    std::erase_if(m_coldNext, forgotten);
    for (const auto &[id, entry] : m_view.roster.entries()) {
        const auto region = m_view.regions.find(entry.said.domain);
        if (m_view.roster.takesWork(entry) && region != m_view.regions.end() && region->second == m_view.region) {
            m_locals[entry.said.service].push_back(Local{&entry, &modelOf(entry), {}});
        }
    }
}

std::vector<Dispatcher::Local> &Dispatcher::localsOf(const core::ServiceId &service)
{
    if (m_rosterVersion != m_view.roster.version() || m_catalogRead != m_view.catalog.get()) {
        readRoster();
    }
    return m_locals[service];
}

bool Dispatcher::mightServe(const Ask &ask)
{
    if ((!ask.regions.empty() && !ask.regions.contains(m_view.region)) || ask.excludedRegions.contains(m_view.region)) {
        return false;
    }
    const auto &locals = localsOf(ask.service);
    return std::any_of(locals.begin(), locals.end(), [&](const Local &local) { return !ask.excluded.contains(local.entry->said.id); });
}

bool Dispatcher::mayStillHear(const Ask &ask, core::TimePoint now)
{
    if (now - m_startedAt >= m_settings.learningTime) {
        return false;
    }
    const auto unheard = [&](const core::RegionId &region) {
        const bool allowed = (ask.regions.empty() || ask.regions.contains(region)) && !ask.excludedRegions.contains(region);
        if (region == m_view.region) {
            return allowed && localsOf(ask.service).empty();
        }
        return allowed && ask.mayLeave && !m_remotes.contains(region);
    };
    return std::any_of(m_view.regions.begin(), m_view.regions.end(), [&](const auto &row) { return unheard(row.second); });
}

std::optional<Dispatcher::Candidate> Dispatcher::considered(const Ask &ask, Local &local, core::TimePoint now) const
{
    const EngineModel &model = *local.model;
    if ((!ask.excluded.empty() && ask.excluded.contains(local.entry->said.id)) || !model.accepts(now)) {
        return std::nullopt;
    }
    Candidate candidate;
    candidate.local = &local;
    candidate.uncachedTokens = model.uncached(ask.prompt, ask.promptTokens);
    candidate.predicted = model.predict(candidate.uncachedTokens, now) + model.slotWait() + local.reserved;
    core::Duration cost = candidate.predicted;
    if (ask.promptTokens > 0) {
        const core::Duration streaming = model.decodeTime(ask.outputTokens, now);
        const double costToOthers = m_settings.readAgainWeight - 1 + m_settings.slowedWeight * static_cast<double>(model.runs().size());
        cost += scaled(model.prefillTime(candidate.uncachedTokens), costToOthers) + scaled(streaming, m_settings.streamingWeight);
        candidate.ends = now + candidate.predicted + streaming <= ask.endsAt;
    }
    candidate.score = scaled(cost, 1 + 2 * model.failureRate());
    const bool rested = candidate.uncachedTokens < m_settings.longPrompt || model.restedFor(now) >= m_settings.restBetween - m_settings.backlogMost;
    const bool free = rested && model.backlog(now) <= m_settings.backlogMost && model.hasRoom(ask.ownTokens());
    candidate.admissible = free && local.reserved == core::Duration::zero();
    return candidate;
}

bool Dispatcher::coldAllowed(const RosterEntry &entry, core::TimePoint now)
{
    const catalog::Service *service = m_view.catalog ? m_view.catalog->service(entry.said.service) : nullptr;
    const double pace = service == nullptr ? 0 : service->coldPerSecond;
    if (pace <= 0) {
        return true; // no bound is stated
    }
    if (!m_holds || now - m_holdsSince < m_settings.coldPause) {
        return false; // another node may be pacing them
    }
    return now >= m_coldNext[entry.said.id];
}

std::optional<Dispatcher::Candidate> Dispatcher::bestLocal(const Ask &ask, core::TimePoint now)
{
    const auto better = [](const Candidate &left, const std::optional<Candidate> &right) {
        return !right || (left.ends != right->ends ? left.ends : left.score < right->score);
    };
    std::optional<Candidate> warm;
    std::optional<Candidate> any;
    std::optional<Candidate> affine; // warm, and the one that the subject falls to by hash
    std::uint64_t affineHash = 0;
    const std::uint64_t subject = ask.prompt.size() < 2 ? 0 : ask.prompt[ask.prompt.size() - 2].chain; // the last part is the request's own
    for (Local &local : localsOf(ask.service)) {
        const bool cold = local.entry->cold(now);
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
            const std::uint64_t hash = core::hash64(local.entry->said.id.text, subject);
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
        affine->score -= m_settings.affinityGain;
        if (better(*affine, warm)) {
            warm = affine;
        }
    }
    return any && (!warm || (!warm->admissible && any->admissible)) ? any : warm;
}

void Dispatcher::notePlaced(const Ask &ask, std::uint32_t uncachedTokens, core::TimePoint now)
{
    Pace &pace = m_paces[ask.service];
    const double memory = static_cast<double>(m_settings.paceMemory.count());
    pace.placed *= std::exp(-static_cast<double>((now - pace.at).count()) / memory);
    pace.placed += ask.promptTokens == 0 ? 1 : uncachedTokens;
    pace.at = now;
    if (ask.promptTokens >= m_settings.longPrompt) {
        const double share = static_cast<double>(uncachedTokens) / ask.promptTokens;
        pace.readShare += m_settings.readShareWeight * (share - pace.readShare);
    }
}

double Dispatcher::paceOf(const core::ServiceId &service, core::TimePoint now)
{
    double possible = 0;
    for (const Local &local : localsOf(service)) {
        const EngineModel &model = *local.model;
        if (model.accepts(now)) {
            const double each = static_cast<double>(core::toMilliseconds(std::max(model.serviceTime(), core::Duration(1'000))));
            possible += model.isEngine() ? model.prefillRate() : static_cast<double>(model.slots()) / each;
        }
    }
    const Pace &pace = m_paces[service];
    if (pace.busySince == core::TimePoint{} || now - pace.busySince < m_settings.paceAfter) {
        return possible;
    }
    const double memory = static_cast<double>(m_settings.paceMemory.count());
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
    const auto longest = static_cast<double>(m_settings.waitMost.count());
    return core::Duration(static_cast<core::Duration::rep>(std::min(longest, work * 1000 / pace)));
}

Dispatcher::WaitingAsk Dispatcher::waitingOf(const Ask &ask, core::TimePoint now)
{
    WaitingAsk waiting{ask, now, ask.promptTokens, core::Duration::max()};
    for (const Local &local : localsOf(ask.service)) {
        const std::uint32_t uncached = local.model->uncached(ask.prompt, ask.promptTokens);
        waiting.needTokens = std::min(waiting.needTokens, uncached);
        waiting.needTime = std::min(waiting.needTime, local.model->unloadedTime(uncached));
    }
    if (waiting.needTime == core::Duration::max()) { // no upstream here yet
        waiting.needTime = core::Duration::zero();
    }
    return waiting;
}

//-----------------------------------------------------------------------------
// Other regions
//-----------------------------------------------------------------------------

std::optional<Elsewhere> Dispatcher::bestRemote(const Ask &ask, core::TimePoint now)
{
    std::optional<Elsewhere> best;
    if (!ask.mayLeave) {
        return best;
    }
    for (auto &[region, services] : m_remotes) {
        const bool allowed = (ask.regions.empty() || ask.regions.contains(region)) && !ask.excludedRegions.contains(region);
        const auto found = services.find(ask.service);
        if (!allowed || found == services.end()) {
            continue;
        }
        const Remote &remote = found->second;
        if (now - remote.at > m_settings.outlookAge || remote.outlook.usable == 0) {
            continue;
        }
        core::Duration predicted = m_settings.regionRoundTrip + remote.outlook.wait;
        core::Duration streaming{};
        if (remote.outlook.tokensPerMs > 0) {
            const double each = remote.outlook.tokensPerMs / remote.outlook.usable;
            const double uncached = ask.promptTokens * remote.outlook.readShare;
            const double reading = uncached / each + static_cast<double>(remote.sentTokens) / remote.outlook.tokensPerMs;
            predicted += core::Duration(static_cast<core::Duration::rep>(reading * 1000));
            const double added =
                static_cast<double>(remote.sentTokens) / remote.outlook.tokensPerMs / static_cast<double>(core::toMilliseconds(m_settings.engine.loadMemory));
            const double share = std::min(1.0, remote.outlook.prefillShare + added);
            const auto step = m_settings.engine.stepBase + scaled(m_settings.engine.chunkTime, share);
            streaming = scaled(step * static_cast<core::Duration::rep>(ask.outputTokens), m_settings.streamingWeight);
            streaming += scaled(core::Duration(static_cast<core::Duration::rep>(uncached / each * 1000)), m_settings.readAgainWeight - 1);
        } else {
            const double queued = remote.sent > remote.outlook.freeSlots ? remote.sent - remote.outlook.freeSlots : 0;
            predicted += scaled(remote.outlook.serviceTime, 1 + queued / std::max(1U, remote.outlook.usable));
        }
        if (!best || predicted + streaming < best->score) {
            best = Elsewhere{region, predicted, predicted + streaming};
        }
    }
    return best;
}

Verdict Dispatcher::leave(const Ask &ask, const Elsewhere &elsewhere)
{
    Remote &remote = m_remotes[elsewhere.region][ask.service];
    remote.sentTokens += static_cast<std::uint64_t>(ask.promptTokens * remote.outlook.readShare);
    ++remote.sent;
    return elsewhere;
}

std::vector<Outlook> Dispatcher::outlooks(core::TimePoint now)
{
    std::vector<Outlook> out;
    (void)localsOf(core::ServiceId()); // reads the roster again if it has changed
    for (auto &[id, locals] : m_locals) {
        Outlook outlook;
        outlook.service = id;
        std::optional<core::Duration> leastBacklog;
        std::vector<double> shares;
        for (const Local &local : locals) {
            const EngineModel &model = *local.model;
            if (local.entry->cold(now) || !model.accepts(now)) {
                continue;
            }
            ++outlook.usable;
            outlook.freeSlots += model.runs().size() < model.slots() ? static_cast<std::uint32_t>(model.slots() - model.runs().size()) : 0;
            outlook.serviceTime = std::max(outlook.serviceTime, model.serviceTime());
            outlook.tokensPerMs += model.isEngine() ? model.prefillRate() : 0;
            shares.push_back(model.prefillShare(now));
            leastBacklog = std::min(leastBacklog.value_or(core::Duration::max()), model.backlog(now));
        }
        if (outlook.usable == 0) {
            continue;
        }
        double queued = 0;
        for (const auto &[work, waiting] : m_waiting) {
            queued += waiting.ask.service == id ? workOf(waiting) : 0;
        }
        outlook.wait = *leastBacklog;
        std::sort(shares.begin(), shares.end());
        shares.resize((shares.size() + 1) / 2);
        outlook.prefillShare = std::accumulate(shares.begin(), shares.end(), 0.0) / static_cast<double>(shares.size());
        if (queued > 0) {
            outlook.wait += timeOf(queued, paceOf(id, now));
        }
        outlook.readShare = m_paces[id].readShare;
        out.push_back(outlook);
    }
    return out;
}

void Dispatcher::noteOutlook(const core::RegionId &region, const Outlook &outlook, core::TimePoint now)
{
    m_remotes[region][outlook.service] = Remote{outlook, now, 0, 0};
}

//-----------------------------------------------------------------------------
// Placement
//-----------------------------------------------------------------------------

Verdict Dispatcher::grant(const Ask &ask, const Candidate &candidate, core::TimePoint now)
{
    const RosterEntry &entry = *candidate.local->entry;
    Run run;
    run.holder = ask.holder;
    run.uncachedTokens = candidate.uncachedTokens;
    run.memoryTokens = ask.ownTokens();
    candidate.local->model->granted(ask.id, std::move(run), ask.prompt, now);
    notePlaced(ask, candidate.uncachedTokens, now);
    Granted granted{entry.said.id, entry.said.address, candidate.uncachedTokens, candidate.predicted, entry.cold(now)};
    if (granted.cold) {
        const catalog::Service *service = m_view.catalog ? m_view.catalog->service(ask.service) : nullptr;
        if (service != nullptr && service->coldPerSecond > 0) {
            const double share = std::max(m_reach, 0.2); // nodes out of reach may be sending too
            m_coldNext[entry.said.id] = now + core::Duration(static_cast<core::Duration::rep>(1e6 / service->coldPerSecond / share));
        }
    }
    m_placed[ask.id] = granted;
    return granted;
}

Refused Dispatcher::refuse(const Ask &ask, RefusalReason reason, core::Duration predicted, core::TimePoint now) const
{
    const core::Duration left = std::max(core::Duration::zero(), ask.usefulUntil - now);
    const core::Duration wanted = reason == RefusalReason::NoUpstream ? left / 3 : predicted / 2;
    return Refused{reason, std::clamp(wanted, m_settings.retryLeast, m_settings.retryMost)};
}

Dispatcher::Placing Dispatcher::place(const Ask &ask, core::TimePoint now)
{
    const bool here = (ask.regions.empty() || ask.regions.contains(m_view.region)) && !ask.excludedRegions.contains(m_view.region);
    const std::optional<Candidate> local = here ? bestLocal(ask, now) : std::nullopt;
    const std::optional<Elsewhere> remote = bestRemote(ask, now);
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
        const core::Duration left = ask.onTimeUntil - now;
        const core::Duration predicted = local->predicted;
        const bool localOnTime = predicted <= left;
        const bool remoteOnTime = remote->predicted <= left;
        const bool betterStream = ask.promptTokens > 0 && remoteOnTime && remote->score + m_settings.remoteScoreMargin < local->score;
        const bool unsound = local->local->model->failureRate() >= m_settings.failureAvoid && remoteOnTime;
        if ((!localOnTime && remoteOnTime) || (!localOnTime && remote->predicted + m_settings.remoteMargin < predicted) || betterStream || unsound) {
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
    const bool leftLate = now + left.needTime > left.ask.onTimeUntil;
    const bool rightLate = now + right.needTime > right.ask.onTimeUntil;
    if (leftLate != rightLate) {
        return rightLate; // what can still be on time goes first
    }
    if (left.ask.priority != right.ask.priority) {
        return left.ask.priority < right.ask.priority;
    }
    const bool leftCached = left.mostlyCached(m_settings.cachedShare);
    const bool rightCached = right.mostlyCached(m_settings.cachedShare);
    if (leftCached != rightCached) {
        return leftCached;
    }
    if (left.ask.onTimeUntil != right.ask.onTimeUntil) {
        return left.ask.onTimeUntil < right.ask.onTimeUntil;
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
    if (now - m_pumpedAt < m_settings.pumpPeriod) {
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
    std::vector<WorkId> done;
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
        const Ask &ask = waiting->ask;
        if (now - waiting->seenAt > m_settings.unseenMost) {
            done.push_back(ask.id); // its holder has gone
            continue;
        }
        double &workAhead = ahead[ask.service];
        const core::Duration reached = timeOf(workAhead, paces[ask.service]);
        if (now + reached + waiting->needTime >= ask.usefulUntil) { // it would be served too late
            m_settled.push_back({ask.id, ask.holder, refuse(ask, RefusalReason::Overloaded, reached, now)});
            done.push_back(ask.id);
            continue;
        }
        workAhead += workOf(*waiting);
        if (++looked > m_settings.placedAtOnce) {
            continue;
        }
        Placing placing = place(ask, now);
        if (placing.verdict) {
            m_settled.push_back({ask.id, ask.holder, std::move(*placing.verdict)});
            done.push_back(ask.id);
            workAhead -= workOf(*waiting);
        } else if (Local *local = placing.waitsFor) { // kept for this ask before worse ones
            const core::Duration reading = ask.promptTokens == 0 ? local->model->serviceTime() : local->model->prefillTime(placing.uncachedTokens);
            local->reserved += reading + local->model->slotWait();
        }
    }
    for (const WorkId &id : done) {
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

std::optional<Verdict> Dispatcher::repeatGrant(const WorkId &id)
{
    const auto found = m_placed.find(id);
    if (found == m_placed.end()) {
        return std::nullopt;
    }
    return found->second;
}

Verdict Dispatcher::ask(const Ask &ask, core::TimePoint now)
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
    const auto settled = std::find_if(m_settled.begin(), m_settled.end(), [&](const Settled &row) { return row.id == ask.id; });
    if (settled != m_settled.end()) {
        Verdict verdict = std::move(settled->verdict);
        m_settled.erase(settled);
        return verdict;
    }
    const WaitingAsk &waiting = m_waiting.at(ask.id);
    const core::Duration predicted = queueWait(waiting, now);
    if (now + predicted + waiting.needTime > ask.usefulUntil) { // what cannot be served in time is refused at once
        m_waiting.erase(ask.id);
        return refuse(ask, RefusalReason::Overloaded, predicted, now);
    }
    return Waits{predicted};
}

void Dispatcher::withdraw(const WorkId &id)
{
    m_waiting.erase(id);
    std::erase_if(m_settled, [&](const Settled &row) { return row.id == id; });
}

void Dispatcher::started(const WorkId &id, const core::UpstreamId &upstream, core::Duration took, core::TimePoint now)
{
    const auto model = m_models.find(upstream);
    if (model != m_models.end()) {
        model->second.started(id, took, now);
    }
}

void Dispatcher::finished(const WorkId &id, const core::UpstreamId &upstream, WorkEnding ending, core::TimePoint now)
{
    m_placed.erase(id);
    const auto model = m_models.find(upstream);
    if (model != m_models.end()) {
        model->second.finished(id, ending, now);
    }
}

void Dispatcher::report(const core::InstanceId &holder, const std::vector<Holding> &holdings, core::TimePoint now)
{
    for (const Holding &holding : holdings) {
        const RosterEntry *entry = m_view.roster.find(holding.upstream);
        if (entry != nullptr) {
            modelOf(*entry).seen(holding.id, holder, holding.firstEventAfter, holding.memoryTokens, now);
        }
    }
}

std::vector<Settled> Dispatcher::settle(core::TimePoint now)
{
    if (now - m_forgotAt >= m_settings.forgetPeriod) {
        m_forgotAt = now;
        for (auto &[id, model] : m_models) {
            for (const WorkId &work : model.forgetUnseen(now - m_settings.unseenMost, now)) {
                m_placed.erase(work);
            }
        }
    }
    pump(now);
    return std::exchange(m_settled, {});
}

void Dispatcher::setDuty(bool holds, double reach, core::TimePoint now)
{
    if (holds && !m_holds) {
        m_holdsSince = now;
    }
    m_holds = holds;
    m_reach = reach;
}

} // namespace arbutus::routing
