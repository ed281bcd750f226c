// The way of a request.
//
// Sections:
//   Heads and bodies
//   Tickets
//   Routing and holding
//   Attempts
//   Endings

#include "arbutus/node/requestcontroller.h"

#include "arbutus/core/hash.h"
#include "arbutus/membership/rendezvous.h"

#include <algorithm>

namespace arbutus::node {

namespace {

constexpr std::size_t MostTickets = 64;                               // in one answer
constexpr core::Duration BackoffBase = std::chrono::milliseconds(20); // doubled by each attempt, jittered
constexpr core::Duration TokenTime = std::chrono::milliseconds(15);   // planned for one token of a held request
constexpr core::Duration HoldMargin = std::chrono::milliseconds(500); // planned besides
constexpr double NormalWaitShare = 0.5;                               // of the time left that a wait for a slot may take
constexpr double BackgroundWaitShare = 0.25;
constexpr std::size_t ReleasesAtOnce = 64;
constexpr std::chrono::milliseconds RetryLater{1'000}; // advice where nothing better is known

std::string roomName(const RequestHead &head, const RequestBody &body)
{
    return head.service.empty() ? "model:" + body.model.text : "service:" + head.service.text;
}

std::chrono::milliseconds toMs(core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

} // namespace

RequestController::RequestController(NodeState &state)
    : m_state(state)
    , m_filters(makeFilterChain())
    , m_router(routing::makeRouter(state.settings.routerName, state.settings.routing, state.settings.randomSeed).value())
    , m_retries(state.settings.retryBudgetRatio)
    , m_prefix(state.self().id.text + "-" + std::to_string(state.self().incarnation.value))
{
}

//-----------------------------------------------------------------------------
// Heads and bodies
//-----------------------------------------------------------------------------

void RequestController::handle(const RequestHeadReceived &arrived)
{
    FilterContext context{arrived.head};
    AdmissionDecision judged;
    judged.key = arrived.key;
    judged.error = applyFilters(m_filters, context, m_state);
    judged.revision = m_state.config.head().revision;
    if (judged.error) {
        judged.error = settleRefusal(arrived.head, std::move(*judged.error));
        if (!arrived.head.ticket.empty() && judged.error->outcome == core::Outcome::NotRun) {
            judged.replacementTicket = m_state.issueTicket(arrived.head.workspace);
        }
        const config::WorkspacePolicy *policy = context.policy != nullptr ? context.policy : m_state.config.findPolicy(arrived.head.workspace);
        const bool elsewhere = judged.error->kind == core::ErrorKind::Draining || judged.error->kind == core::ErrorKind::ResidencyRefused;
        if (policy != nullptr && elsewhere) {
            judged.alternateEntryUrls = m_state.alternateEntryUrls(*policy);
        }
        m_state.emit(std::move(judged));
        return;
    }
    Request request;
    request.head = arrived.head;
    request.workspace = context.policy->workspace;
    request.requestClass = *context.requestClass;
    request.weights = context.policy->weights;
    request.residency = context.policy->residency;
    request.deadline = m_state.now() + context.deadline;
    request.repeatable = context.repeatable;
    request.counted = context.holdsLimitSlot;
    request.tokensRelayed = arrived.head.resumeOffset;
    request.decision = drawDecision();
    m_requests[arrived.key] = std::move(request);
    m_state.emit(std::move(judged));
}

void RequestController::handle(const RequestBodyReceived &arrived)
{
    const auto found = m_requests.find(arrived.key);
    if (found == m_requests.end()) {
        return;
    }
    Request &request = found->second;
    request.body = arrived.body;
    const config::WorkspacePolicy *policy = m_state.config.findPolicy(request.workspace); // the newest, which may be stricter now
    if (policy == nullptr || !policy->residency.contains(m_state.self().region)) {
        refuse(arrived.key, request, core::makeError(core::ErrorKind::ResidencyRefused, "the configuration changed while the body was read"));
        return;
    }
    request.residency = policy->residency;
    if (request.head.service.empty() && !policy->models.contains(request.body.model)) {
        refuse(arrived.key, request, core::makeError(core::ErrorKind::UnknownModel, "model \"" + request.body.model.text + "\" is not allowed here"));
        return;
    }
    if (!request.head.service.empty() && !policy->services.contains(request.head.service)) {
        refuse(arrived.key, request, core::makeError(core::ErrorKind::UnknownService, "service \"" + request.head.service.text + "\" is not allowed here"));
        return;
    }
    m_retries.recordFirstAttempt();
    if (request.head.service.empty()) {
        m_state.modelDemand.recordRequest(request.body.model, m_state.now());
    }
    if (request.repeatable || !request.head.originAttempt.empty()) {
        route(arrived.key, request, true);
        return;
    }
    startWithTicket(arrived.key, request);
}

void RequestController::handle(const EntriesRequested &wanted)
{
    EntriesResponse given{wanted.key, {}, {}, {}, m_state.settings.ticketLifetime};
    const RequestHead head = [&] {
        RequestHead made;
        made.workspace = wanted.workspace;
        made.bearerKeyHash = wanted.bearerKeyHash;
        return made;
    }();
    FilterContext context{head};
    given.error = AuthenticationFilter::apply(context, m_state);
    if (given.error) {
        m_state.emit(std::move(given));
        return;
    }
    given.entries = m_state.entriesFor(*context.policy);
    const bool here = context.policy->residency.contains(m_state.self().region);
    for (std::size_t i = 0; here && !m_state.draining && i < std::min(wanted.ticketCount, MostTickets); ++i) {
        given.tickets.push_back(m_state.issueTicket(wanted.workspace));
    }
    m_state.emit(std::move(given));
}

void RequestController::handle(const RequestBodyFailed &failed)
{
    const auto found = m_requests.find(failed.key);
    if (found != m_requests.end()) {
        refuse(failed.key, found->second, failed.error);
    }
}

//-----------------------------------------------------------------------------
// Tickets
//-----------------------------------------------------------------------------

core::Error RequestController::settleRefusal(const RequestHead &head, core::Error error)
{
    const bool mayHaveRunBefore = !head.ticket.empty() || !head.idempotencyKeyHash.empty();
    if (!mayHaveRunBefore || !head.originAttempt.empty() || error.outcome == core::Outcome::Unknown) {
        return error;
    }
    const auto ticket = m_state.ticketCodec.decode(head.ticket);
    if (!head.ticket.empty() && ticket && m_state.ownerLedger.close(ticket.value())) {
        return error; // never started, and never will be
    }
    error.outcome = core::Outcome::Unknown;
    error.remedy = "send it again with the same ticket or key; an earlier try may have run. " + error.remedy;
    return error;
}

void RequestController::startWithTicket(RequestKey key, Request &request)
{
    if (request.head.ticket.empty()) {
        request.ticketText = m_state.issueTicket(request.workspace);
        if (request.ticketText.empty()) {
            refuse(key, request, core::makeError(core::ErrorKind::Draining, "this instance is shutting down"));
            return;
        }
        m_state.emit(ClaimIdempotencyKey{key, "claim/" + request.head.idempotencyKeyHash, request.ticketText});
        return;
    }
    request.ticketText = request.head.ticket;
    const auto ticket = m_state.ticketCodec.decode(request.ticketText);
    if (!ticket) { // nothing can have run under a ticket that is not ours
        request.ledgerConsulted = true;
        refuse(key, request, ticket.error());
        return;
    }
    if (ticket.value().workspace != request.workspace) {
        request.ledgerConsulted = true;
        refuse(key, request, core::makeError(core::ErrorKind::TicketInvalid, "the ticket belongs to another workspace"));
        return;
    }
    const core::InstanceRef self{m_state.self().id, m_state.self().incarnation};
    if (ticket.value().owner == self) {
        startOwned(key, request, ticket.value());
        return;
    }
    const membership::Member *owner = m_state.findMember(ticket.value().owner.id);
    const bool sameLife = owner != nullptr && owner->incarnation == ticket.value().owner.incarnation;
    const bool mayPass = request.head.via.empty(); // one hop at most
    if (sameLife && mayPass && owner->condition != membership::MemberCondition::Dead && request.residency.contains(owner->region)) {
        m_state.emit(ForwardToOwner{key, ticket.value().owner, owner->peerAddress, toMs(request.deadline - m_state.now())});
        return;
    }
    askSeal(key, request, ticket.value());
}

void RequestController::handle(const IdempotencyKeyClaimed &claimed)
{
    const auto found = m_requests.find(claimed.key);
    if (found == m_requests.end()) {
        return;
    }
    Request &request = found->second;
    if (!claimed.ticket) { // an earlier try under the same key may have run, so refuse() will not say "not run"
        refuse(claimed.key, request, core::makeError(core::ErrorKind::PlatformDown, "the Idempotency-Key could not be claimed"));
        return;
    }
    request.head.ticket = *claimed.ticket;
    startWithTicket(claimed.key, request);
}

void RequestController::startOwned(RequestKey key, Request &request, const delivery::Ticket &ticket)
{
    request.ledgerConsulted = true;
    switch (m_state.ownerLedger.start(ticket, request.body.requestHash, m_state.clock.wallNow())) {
    case delivery::StartResult::RecordIntent:
        request.ticket = ticket;
        askWitness(key, request, Asking::Intent);
        return;
    case delivery::StartResult::Dispatch:
        request.ticket = ticket;
        route(key, request, true);
        return;
    case delivery::StartResult::InFlight:
        m_ticketWaiters[delivery::ticketRecordKey(ticket)].push_back(key);
        return;
    case delivery::StartResult::Conflict:
        refuse(key, request, core::makeError(core::ErrorKind::TicketConflict, "the ticket was used with another body"));
        return;
    case delivery::StartResult::Completed:
    case delivery::StartResult::Closed:
        answerFromRecord(key, request, m_state.ownerLedger.lookup(ticket));
        return;
    case delivery::StartResult::Expired:
        refuse(key, request, core::makeError(core::ErrorKind::TicketInvalid, "the ticket has expired"), true);
        return;
    case delivery::StartResult::LedgerFull:
        refuse(key, request, core::makeError(core::ErrorKind::Overloaded, "this instance holds as many tickets as it can"));
        return;
    case delivery::StartResult::RecordPurged:
    case delivery::StartResult::NotOwner:
        break;
    }
    refuse(key, request, core::makeUnknownOutcomeError(core::ErrorKind::OutcomeUnknown, "the ticket's record is gone"));
}

void RequestController::askWitness(RequestKey key, Request &request, Asking asking)
{
    const membership::Member *witness = m_state.findMember(request.ticket->witness.id);
    if (witness == nullptr || witness->incarnation != request.ticket->witness.incarnation || witness->condition == membership::MemberCondition::Dead) {
        intentAnswered(key, request, Asking::IntentAgain, std::nullopt);
        return;
    }
    const CallKey call = m_state.nextCallKey();
    m_calls[call] = PendingCall{key, asking};
    m_state.emit(CallLedger{call, witness->peerAddress, LedgerIntent{request.ticketText, request.body.requestHash}});
}

void RequestController::intentAnswered(RequestKey key, Request &request, Asking asking, const std::optional<delivery::LedgerResult> &answer)
{
    if (!answer && asking == Asking::Intent) {
        askWitness(key, request, Asking::IntentAgain); // idempotent
        return;
    }
    const auto verdict = answer ? std::optional(answer->status) : std::nullopt;
    if (m_state.ownerLedger.handleWitnessResponse(*request.ticket, verdict)) {
        route(key, request, true);
        return;
    }
    const std::string why = answer ? "the ticket was closed before it ran" : "the ticket's witness cannot be reached";
    releaseWaiters(request);
    refuse(key, request, core::makeError(core::ErrorKind::TicketSealed, why), true);
}

void RequestController::askSeal(RequestKey key, Request &request, const delivery::Ticket &ticket)
{
    const core::InstanceRef self{m_state.self().id, m_state.self().incarnation};
    if (ticket.witness == self) {
        sealAnswered(key, request, m_state.witnessLedger.seal(ticket, m_state.clock.wallNow()));
        return;
    }
    const membership::Member *witness = m_state.findMember(ticket.witness.id);
    if (witness == nullptr || witness->incarnation != ticket.witness.incarnation || witness->condition == membership::MemberCondition::Dead) {
        sealAnswered(key, request, std::nullopt);
        return;
    }
    const CallKey call = m_state.nextCallKey();
    m_calls[call] = PendingCall{key, Asking::Seal};
    m_state.emit(CallLedger{call, witness->peerAddress, LedgerSeal{request.ticketText}});
}

void RequestController::sealAnswered(RequestKey key, Request &request, const std::optional<delivery::LedgerResult> &answer)
{
    const bool told = answer && (answer->status == delivery::LedgerStatus::Completed || answer->status == delivery::LedgerStatus::Sealed);
    if (told) {
        answerFromRecord(key, request, *answer);
        return;
    }
    // The witness cannot tell: somebody may have inherited the record.
    std::vector<membership::Member> members;
    for (const membership::Member &member : m_state.domainView.availableMembers()) {
        if (member.id != m_state.self().id) {
            members.push_back(member);
        }
    }
    request.lookups = membership::rankMembers(request.ticketText, std::move(members));
    askInherited(key, request);
}

void RequestController::askInherited(RequestKey key, Request &request)
{
    const auto ticket = m_state.ticketCodec.decode(request.ticketText);
    const delivery::LedgerResult own = ticket ? m_state.successorLedger.lookup(ticket.value(), m_state.clock.wallNow()) : delivery::LedgerResult{};
    if (own.status == delivery::LedgerStatus::Completed || own.status == delivery::LedgerStatus::Sealed) {
        answerFromRecord(key, request, own);
        return;
    }
    if (request.lookups.empty()) {
        refuse(key,
               request,
               core::makeUnknownOutcomeError(core::ErrorKind::OutcomeUnknown, "the ticket's owner cannot be reached and no record tells the outcome"));
        return;
    }
    const CallKey call = m_state.nextCallKey();
    m_calls[call] = PendingCall{key, Asking::Inherited};
    m_state.emit(CallLedger{call, request.lookups.back().peerAddress, LedgerLookup{request.ticketText}});
    request.lookups.pop_back();
}

bool RequestController::handle(const LedgerResponseReceived &answered)
{
    const auto call = m_calls.find(answered.key);
    if (call == m_calls.end()) {
        return false;
    }
    const PendingCall pending = call->second;
    m_calls.erase(call);
    const auto found = m_requests.find(pending.request);
    if (found == m_requests.end()) {
        return true;
    }
    Request &request = found->second;
    switch (pending.asking) {
    case Asking::Intent:
    case Asking::IntentAgain:
        intentAnswered(pending.request, request, pending.asking, answered.result);
        break;
    case Asking::Seal:
        sealAnswered(pending.request, request, answered.result);
        break;
    case Asking::Inherited: {
        const bool told =
            answered.result && (answered.result->status == delivery::LedgerStatus::Completed || answered.result->status == delivery::LedgerStatus::Sealed);
        if (told) {
            answerFromRecord(pending.request, request, *answered.result);
        } else {
            askInherited(pending.request, request);
        }
        break;
    }
    }
    return true;
}

void RequestController::handle(const ForwardToOwnerFinished &answered)
{
    const auto found = m_requests.find(answered.key);
    if (found == m_requests.end()) {
        return;
    }
    if (answered.relayed) {
        finish(answered.key);
        return;
    }
    const auto ticket = m_state.ticketCodec.decode(found->second.ticketText);
    askSeal(answered.key, found->second, ticket.value());
}

void RequestController::answerFromRecord(RequestKey key, Request &request, const delivery::LedgerResult &answer)
{
    request.ledgerConsulted = true;
    if (answer.status == delivery::LedgerStatus::Sealed) {
        refuse(key, request, core::makeError(core::ErrorKind::TicketSealed, "the ticket was closed before it ran"), true);
        return;
    }
    if (!answer.requestHash.empty() && answer.requestHash != request.body.requestHash) {
        refuse(key, request, core::makeError(core::ErrorKind::TicketConflict, "the ticket was used with another body"));
        return;
    }
    const delivery::RecordedOutcome outcome = answer.outcome.value_or(delivery::RecordedOutcome{});
    switch (outcome.kind) {
    case delivery::OutcomeKind::NotRun:
        refuse(key, request, core::makeError(core::ErrorKind::TicketSealed, "it did not run under this ticket"), true);
        return;
    case delivery::OutcomeKind::Unknown:
        refuse(key, request, core::makeUnknownOutcomeError(core::ErrorKind::OutcomeUnknown, "it may have run; no answer came"));
        return;
    case delivery::OutcomeKind::Completed:
        break;
    }
    if (!outcome.responseRetained) {
        refuse(key, request, core::makeUnknownOutcomeError(core::ErrorKind::OutcomeUnknown, "it ran, but its answer is no longer kept"));
        return;
    }
    m_state.emit(ReplayResponse{key, outcome});
    finish(key);
}

//-----------------------------------------------------------------------------
// Routing and holding
//-----------------------------------------------------------------------------

void RequestController::route(RequestKey key, Request &request, bool mayHold)
{
    routing::RoutingRequest question;
    question.model = request.body.model;
    question.service = request.head.service;
    question.weights = request.weights;
    question.residency = request.residency;
    question.prefixBlocks = request.body.prefixBlocks;
    question.promptTokens = request.body.promptTokens;
    question.localOnly = !request.head.via.empty() || request.head.forwarded;
    question.excludedUpstreams = request.triedUpstreams;
    question.excludedDomains = request.triedDomains;
    const auto choice = routing::choose(m_router, question, m_state.upstreamTable, m_state.now());
    if (!choice) {
        core::Error error = request.mayHaveRun
            ? core::makeUnknownOutcomeError(core::ErrorKind::UpstreamFailed, "every upstream that was tried broke off")
            : core::makeError(core::ErrorKind::NoUpstream, "no upstream for " + roomName(request.head, request.body) + " can be used from here");
        error.retryAfter = RetryLater;
        refuse(key, request, std::move(error));
        return;
    }
    if (auto error = tooLate(request, choice->chosen)) {
        refuse(key, request, std::move(*error));
        return;
    }
    if (mayHold && tryHold(key, request, *choice)) {
        return;
    }
    core::Duration delay{0};
    if (request.attempts > 0) {
        const auto jitter = 50 + m_state.random(101); // percent
        delay = BackoffBase * (std::int64_t{1} << std::min<std::size_t>(request.attempts - 1, 5)) * jitter / 100;
    }
    dispatch(key, request, *choice, delay);
}

std::optional<core::Error> RequestController::tooLate(const Request &request, const routing::ScoredCandidate &scored) const
{
    const core::Duration left = request.deadline - m_state.now();
    const bool urgent = request.requestClass.urgency == config::Urgency::Urgent;
    const bool background = request.requestClass.urgency == config::Urgency::Background;
    const double share = urgent || request.requestClass.mayWait ? 1.0 : (background ? BackgroundWaitShare : NormalWaitShare);
    const auto most = std::chrono::duration_cast<core::Duration>(left * share);
    if (left > core::Duration(0) && scored.timeToFirstToken <= left && scored.predictedWait <= most) {
        return std::nullopt;
    }
    core::Error error = core::makeError(left > core::Duration(0) ? core::ErrorKind::Overloaded : core::ErrorKind::DeadlineExceeded,
                                        "the predicted wait is " + std::to_string(toMs(scored.timeToFirstToken).count()) + " ms, "
                                            + std::to_string(toMs(left).count()) + " ms are left");
    if (request.mayHaveRun) {
        error.outcome = core::Outcome::Unknown;
    }
    error.retryAfter = std::max(RetryLater, toMs(scored.predictedWait));
    return error;
}

core::TimePoint RequestController::latestStart(const Request &request, const routing::ScoredCandidate &scored) const
{
    const core::Duration work = scored.timeToFirstToken + TokenTime * static_cast<std::int64_t>(request.body.maxTokens);
    return request.deadline - work * 3 / 2 - HoldMargin;
}

bool RequestController::hasSlack(const routing::RoutingDecision &choice)
{
    if (choice.chosen.upstream.empty()) {
        return false; // what may wait is not sent to another domain for want of slack
    }
    const routing::Upstream *upstream = m_state.upstreamTable.find(choice.chosen.upstream);
    const std::uint32_t slots = std::max<std::uint32_t>(1, upstream->report.slots);
    return static_cast<double>(upstream->occupancy() + 1) <= m_state.settings.holdReleaseOccupancy * slots;
}

bool RequestController::tryHold(RequestKey key, Request &request, const routing::RoutingDecision &choice)
{
    if (!request.requestClass.mayWait || hasSlack(choice) || m_state.draining) {
        return false;
    }
    const core::TimePoint latest = latestStart(request, choice.chosen);
    if (latest <= m_state.now()) {
        return false;
    }
    request.room = roomName(request.head, request.body);
    auto room = m_rooms.try_emplace(request.room, m_state.settings.admissionQueueCapacity).first;
    logDecision(request, &choice, "hold", "no slack");
    const auto refused = room->second.add(limits::QueuedRequest{request.requestClass.urgency, latest, key.value});
    if (refused) {
        const RequestKey loser(*refused);
        Request &other = m_requests.at(loser);
        other.room.clear();
        core::Error error = core::makeError(core::ErrorKind::Overloaded, "the waiting room is full");
        error.retryAfter = RetryLater;
        refuse(loser, other, std::move(error));
    }
    return true;
}

void RequestController::releaseIntoSlack()
{
    for (auto &[name, room] : m_rooms) {
        for (const limits::QueuedRequestKey due : room.popDue(m_state.now())) {
            const RequestKey key(due);
            Request &request = m_requests.at(key);
            request.room.clear();
            route(key, request, false);
        }
        for (std::size_t i = 0; i < ReleasesAtOnce && room.front(); ++i) {
            const RequestKey key(*room.front());
            Request &request = m_requests.at(key);
            room.remove(key.value);
            request.room.clear();
            route(key, request, true); // holds it again when there is no slack
            const auto held = m_requests.find(key);
            if (held != m_requests.end() && !held->second.room.empty()) {
                break;
            }
        }
    }
}

void RequestController::rejectHeldRequests()
{
    for (auto &[name, room] : m_rooms) {
        for (const limits::QueuedRequestKey held : room.popAll()) {
            const RequestKey key(held);
            Request &request = m_requests.at(key);
            request.room.clear();
            core::Error error = core::makeError(core::ErrorKind::Draining, "this instance is shutting down");
            error.retryAfter = std::chrono::milliseconds(10);
            refuse(key, request, std::move(error));
        }
    }
}

std::size_t RequestController::heldCount() const
{
    std::size_t count = 0;
    for (const auto &[name, room] : m_rooms) {
        count += room.size();
    }
    return count;
}

void RequestController::tick()
{
    releaseIntoSlack();
}

//-----------------------------------------------------------------------------
// Attempts
//-----------------------------------------------------------------------------

std::variant<LocalTarget, PeerTarget> RequestController::targetOf(const Request &request, const routing::ScoredCandidate &scored)
{
    if (!scored.upstream.empty()) {
        return LocalTarget{scored.upstream, m_state.upstreamTable.find(scored.upstream)->descriptor.address};
    }
    routing::RemotePool *pool = m_state.upstreamTable.findRemotePool(request.body.model, request.head.service, scored.domain);
    ++pool->sentSinceUpdate;
    // The prompt's prefix picks the entry, so that its upstream choice meets the same warm cache.
    const std::uint64_t pick = request.body.prefixBlocks.empty() ? m_state.random() : request.body.prefixBlocks.front();
    const routing::RemoteInstance &entry = pool->instances[pick % pool->instances.size()];
    return PeerTarget{entry.instance, entry.peerAddress, scored.domain};
}

void RequestController::dispatch(RequestKey key, Request &request, const routing::RoutingDecision &choice, core::Duration delay)
{
    ++request.attempts;
    request.running = choice.chosen;
    if (!choice.chosen.upstream.empty()) {
        m_state.upstreamTable.recordAttemptStart(choice.chosen.upstream);
        m_state.upstreamTable.addCachedBlocks(choice.chosen.upstream, request.body.prefixBlocks);
    }
    Dispatch dispatch;
    dispatch.key = key;
    dispatch.attempt =
        request.head.originAttempt.empty() ? core::AttemptId(request.decision.text + "-" + std::to_string(request.attempts)) : request.head.originAttempt;
    dispatch.decision = request.decision;
    dispatch.target = targetOf(request, choice.chosen);
    dispatch.region = choice.chosen.region;
    dispatch.priority = static_cast<int>(request.requestClass.urgency);
    dispatch.repeatable = request.repeatable;
    dispatch.timeLeft = toMs(request.deadline - m_state.now());
    dispatch.backoff = toMs(delay);
    dispatch.resumeOffset = request.tokensRelayed;
    dispatch.revision = m_state.config.head().revision;
    logDecision(request, &choice, "dispatch", request.attempts > 1 ? "retry" : "first");
    m_state.emit(std::move(dispatch));
}

void RequestController::handle(const FirstTokenReceived &seen)
{
    const auto found = m_requests.find(seen.key);
    if (found != m_requests.end() && found->second.running && !found->second.running->upstream.empty()) {
        m_state.upstreamTable.recordFirstToken(found->second.running->upstream, seen.elapsed, found->second.running->timeToFirstToken);
    }
}

void RequestController::noteAttemptEnd(const Request &request, const AttemptEnded &ended)
{
    if (!request.running || request.running->upstream.empty()) {
        return;
    }
    const bool healthy = ended.result == AttemptResult::Completed || ended.result == AttemptResult::ClientDisconnected;
    m_state.upstreamTable.recordAttemptEnd(request.running->upstream, healthy, m_state.now());
}

bool RequestController::mayRetry(const Request &request, const AttemptEnded &ended)
{
    const bool truthful = ended.result == AttemptResult::NotRun || request.repeatable;
    const bool clean = !ended.responseStarted || (request.repeatable && request.body.stream && ended.tokensRelayed > 0);
    const bool ownsAttempts = request.head.originAttempt.empty(); // else the origin decides
    return truthful && clean && ownsAttempts && !m_state.draining && request.attempts < m_state.settings.maxAttempts && m_state.now() < request.deadline
        && m_retries.tryRetry();
}

void RequestController::handle(const AttemptEnded &ended)
{
    const auto found = m_requests.find(ended.key);
    if (found == m_requests.end()) {
        return;
    }
    Request &request = found->second;
    noteAttemptEnd(request, ended);
    request.mayHaveRun = request.mayHaveRun || ended.result == AttemptResult::Incomplete;
    request.tokensRelayed = ended.tokensRelayed;
    if (ended.result == AttemptResult::Completed) {
        finishLedger(request, ended.outcome.value_or(delivery::RecordedOutcome{delivery::OutcomeKind::Completed, 200, {}, {}, false}));
        finish(ended.key);
        releaseIntoSlack();
        return;
    }
    if (ended.result == AttemptResult::ClientDisconnected) {
        finishLedger(request, delivery::RecordedOutcome{request.running ? delivery::OutcomeKind::Unknown : delivery::OutcomeKind::NotRun, 0, {}, {}, true});
        finish(ended.key);
        return;
    }
    if (request.running) {
        if (request.running->upstream.empty()) {
            request.triedDomains.insert(request.running->domain);
        } else {
            request.triedUpstreams.insert(request.running->upstream);
        }
    }
    if (mayRetry(request, ended)) {
        request.running.reset();
        route(ended.key, request, false);
        return;
    }
    core::Error error = core::makeError(core::ErrorKind::UpstreamFailed, ended.message);
    if (m_state.now() >= request.deadline) {
        error = core::makeError(core::ErrorKind::DeadlineExceeded, "the deadline passed: " + ended.message);
    } else if (request.mayHaveRun && !request.repeatable) {
        error = core::makeError(core::ErrorKind::OutcomeUnknown, ended.message);
    }
    error.outcome = request.mayHaveRun ? core::Outcome::Unknown : core::Outcome::NotRun;
    refuse(ended.key, request, std::move(error));
}

//-----------------------------------------------------------------------------
// Endings
//-----------------------------------------------------------------------------

void RequestController::finishLedger(const Request &request, delivery::RecordedOutcome outcome)
{
    if (!request.ticket) {
        return;
    }
    m_state.ownerLedger.recordOutcome(*request.ticket, outcome);
    const membership::Member *witness = m_state.findMember(request.ticket->witness.id);
    if (witness != nullptr && witness->incarnation == request.ticket->witness.incarnation) {
        m_state.emit(CallLedger{m_state.nextCallKey(), witness->peerAddress, LedgerOutcome{request.ticketText, std::move(outcome)}});
    }
    releaseWaiters(request);
}

void RequestController::releaseWaiters(const Request &request)
{
    const auto waiters = m_ticketWaiters.find(delivery::ticketRecordKey(*request.ticket));
    if (waiters == m_ticketWaiters.end()) {
        return;
    }
    const std::vector<RequestKey> keys = std::move(waiters->second);
    m_ticketWaiters.erase(waiters);
    const delivery::Ticket ticket = *request.ticket;
    for (const RequestKey &key : keys) {
        const auto found = m_requests.find(key);
        if (found != m_requests.end()) {
            answerFromRecord(key, found->second, m_state.ownerLedger.lookup(ticket));
        }
    }
}

void RequestController::refuse(RequestKey key, Request &request, core::Error error, bool freshTicket)
{
    const bool ledgerConsulted = request.ticket || request.ledgerConsulted;
    if (!request.repeatable && !ledgerConsulted) {
        error = settleRefusal(request.head, std::move(error));
    }
    if (request.ticket) {
        const bool ran = error.outcome == core::Outcome::Unknown;
        finishLedger(request, delivery::RecordedOutcome{ran ? delivery::OutcomeKind::Unknown : delivery::OutcomeKind::NotRun, 0, {}, {}, true});
    }
    RejectRequest refusal{key, std::move(error), {}, {}, request.decision};
    const bool mayHaveOne = freshTicket || (request.ticket && refusal.error.outcome == core::Outcome::NotRun);
    if (mayHaveOne) {
        refusal.replacementTicket = m_state.issueTicket(request.workspace);
    }
    if (m_state.draining) {
        if (const config::WorkspacePolicy *policy = m_state.config.findPolicy(request.workspace)) {
            refusal.alternateEntryUrls = m_state.alternateEntryUrls(*policy);
        }
    }
    logDecision(request, nullptr, "refuse", std::string(core::toString(refusal.error.kind)) + ": " + refusal.error.message);
    m_state.emit(std::move(refusal));
    finish(key);
}

void RequestController::finish(RequestKey key)
{
    const auto found = m_requests.find(key);
    if (found == m_requests.end()) {
        return;
    }
    if (found->second.counted) {
        m_state.limits.release(found->second.workspace);
    }
    if (!found->second.room.empty()) {
        m_rooms.at(found->second.room).remove(key.value);
    }
    m_requests.erase(found);
}

void RequestController::logDecision(const Request &request, const routing::RoutingDecision *choice, std::string result, std::string detail)
{
    LogRoutingDecision logged;
    logged.decision = request.decision;
    logged.request = request.head.id;
    logged.workspace = request.workspace;
    logged.requestClass = request.requestClass.id;
    logged.model = request.body.model;
    logged.service = request.head.service;
    if (choice != nullptr) {
        logged.choice = *choice;
    }
    logged.result = std::move(result);
    logged.detail = std::move(detail);
    logged.revision = m_state.config.head().revision;
    m_state.emit(std::move(logged));
}

core::DecisionId RequestController::drawDecision()
{
    return core::DecisionId(m_prefix + "-" + std::to_string(m_nextDecision++));
}

} // namespace arbutus::node
