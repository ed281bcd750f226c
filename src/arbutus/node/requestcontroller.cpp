// Processing of requests.
//
// Sections:
//   Heads and bodies
//   Tickets
//   Routing and queueing
//   Attempts
//   Completion

#include "arbutus/node/requestcontroller.h"

#include "arbutus/core/hash.h"
#include "arbutus/membership/rendezvous.h"

#include <algorithm>

namespace arbutus::node {

namespace {

constexpr std::size_t MaxTicketsPerResponse = 64;
constexpr core::Duration BackoffBase = std::chrono::milliseconds(20);        // doubled with each attempt, jittered
constexpr core::Duration PlannedTokenTime = std::chrono::milliseconds(15);   // planned for each token of a queued request
constexpr core::Duration QueueSafetyMargin = std::chrono::milliseconds(500); // added to the predicted duration of a queued request
constexpr double NormalWaitShare = 0.5;                                      // part of the remaining time that may be spent waiting for a slot
constexpr double BackgroundWaitShare = 0.25;
constexpr std::size_t MaxReleasesPerPass = 64;
constexpr std::chrono::milliseconds DefaultRetryAfter{1'000}; // advised if no better estimate is available

std::string queueNameFor(const RequestHead &head, const RequestBody &body)
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
    , m_retryBudget(state.settings.retryBudgetRatio)
    , m_idPrefix(state.self().id.text + "-" + std::to_string(state.self().incarnation.value))
{
}

//-----------------------------------------------------------------------------
// Heads and bodies
//-----------------------------------------------------------------------------

void RequestController::handle(const RequestHeadReceived &event)
{
    FilterContext context{event.head};
    AdmissionDecision admission;
    admission.key = event.key;
    admission.error = applyFilters(m_filters, context, m_state);
    admission.configRevision = m_state.config.head().revision;
    if (admission.error) {
        admission.error = resolveOutcome(event.head, std::move(*admission.error));
        if (!event.head.ticket.empty() && admission.error->outcome == core::Outcome::NotRun) {
            admission.replacementTicket = m_state.issueTicket(event.head.workspace);
        }
        const config::WorkspacePolicy *policy = context.policy != nullptr ? context.policy : m_state.config.findPolicy(event.head.workspace);
        const bool otherEntryMayAccept = admission.error->kind == core::ErrorKind::Draining || admission.error->kind == core::ErrorKind::ResidencyRefused;
        if (policy != nullptr && otherEntryMayAccept) {
            admission.alternateEntryUrls = m_state.alternateEntryUrls(*policy);
        }
        m_state.emit(std::move(admission));
        return;
    }
    Request request;
    request.head = event.head;
    request.workspace = context.policy->workspace;
    request.requestClass = *context.requestClass;
    request.weights = context.policy->weights;
    request.residency = context.policy->residency;
    request.deadline = m_state.now() + context.deadline;
    request.repeatable = context.repeatable;
    request.holdsLimitSlot = context.holdsLimitSlot;
    request.tokensRelayed = event.head.resumeOffset;
    request.decision = nextDecisionId();
    m_requests[event.key] = std::move(request);
    m_state.emit(std::move(admission));
}

void RequestController::handle(const RequestBodyReceived &event)
{
    const auto found = m_requests.find(event.key);
    if (found == m_requests.end()) {
        return;
    }
    Request &request = found->second;
    request.body = event.body;
    const config::WorkspacePolicy *policy = m_state.config.findPolicy(request.workspace); // read again: a newer revision may be stricter
    if (policy == nullptr || !policy->residency.contains(m_state.self().region)) {
        reject(event.key,
               request,
               core::makeError(core::ErrorKind::ResidencyRefused, "the workspace was removed or its residency changed while the body was read"));
        return;
    }
    request.residency = policy->residency;
    if (request.head.service.empty() && !policy->models.contains(request.body.model)) {
        reject(
            event.key,
            request,
            core::makeError(core::ErrorKind::UnknownModel, "model \"" + request.body.model.text + "\" is not enabled for workspace " + request.workspace.text));
        return;
    }
    if (!request.head.service.empty() && !policy->services.contains(request.head.service)) {
        reject(event.key,
               request,
               core::makeError(core::ErrorKind::UnknownService,
                               "service \"" + request.head.service.text + "\" is not enabled for workspace " + request.workspace.text));
        return;
    }
    m_retryBudget.recordFirstAttempt();
    if (request.head.service.empty()) {
        m_state.modelDemand.recordRequest(request.body.model, m_state.now());
    }
    if (request.repeatable || !request.head.originAttempt.empty()) {
        route(event.key, request, true);
        return;
    }
    startWithTicket(event.key, request);
}

void RequestController::handle(const EntriesRequested &event)
{
    EntriesResponse response{event.key, {}, {}, {}, m_state.settings.ticketLifetime};
    const RequestHead head = [&] {
        RequestHead requestHead;
        requestHead.workspace = event.workspace;
        requestHead.bearerKeyHash = event.bearerKeyHash;
        return requestHead;
    }();
    FilterContext context{head};
    response.error = AuthenticationFilter::apply(context, m_state);
    if (response.error) {
        m_state.emit(std::move(response));
        return;
    }
    response.entries = m_state.entriesFor(*context.policy);
    const bool regionAllowed = context.policy->residency.contains(m_state.self().region);
    for (std::size_t i = 0; regionAllowed && !m_state.draining && i < std::min(event.ticketCount, MaxTicketsPerResponse); ++i) {
        response.tickets.push_back(m_state.issueTicket(event.workspace));
    }
    m_state.emit(std::move(response));
}

void RequestController::handle(const RequestBodyFailed &event)
{
    const auto found = m_requests.find(event.key);
    if (found != m_requests.end()) {
        reject(event.key, found->second, event.error);
    }
}

//-----------------------------------------------------------------------------
// Tickets
//-----------------------------------------------------------------------------

core::Error RequestController::resolveOutcome(const RequestHead &head, core::Error error)
{
    const bool mayHaveRunBefore = !head.ticket.empty() || !head.idempotencyKeyHash.empty();
    if (!mayHaveRunBefore || !head.originAttempt.empty() || error.outcome == core::Outcome::Unknown) {
        return error;
    }
    const auto ticket = m_state.ticketCodec.decode(head.ticket);
    if (!head.ticket.empty() && ticket && m_state.ownerLedger.close(ticket.value())) {
        return error; // it was never started and never will be
    }
    error.outcome = core::Outcome::Unknown;
    error.remedy = "send the request again with the same ticket or Idempotency-Key; an earlier attempt may have run. " + error.remedy;
    return error;
}

void RequestController::startWithTicket(RequestKey key, Request &request)
{
    if (request.head.ticket.empty()) {
        request.ticketText = m_state.issueTicket(request.workspace);
        if (request.ticketText.empty()) {
            reject(key, request, core::makeError(core::ErrorKind::Draining, "this instance is shutting down"));
            return;
        }
        m_state.emit(ClaimIdempotencyKey{key, "claim/" + request.head.idempotencyKeyHash, request.ticketText});
        return;
    }
    request.ticketText = request.head.ticket;
    const auto ticket = m_state.ticketCodec.decode(request.ticketText);
    if (!ticket) { // did not run; for a removed signing key the error's outcome is unknown
        request.ledgerConsulted = true;
        reject(key, request, ticket.error());
        return;
    }
    if (ticket.value().workspace != request.workspace) {
        request.ledgerConsulted = true;
        reject(key, request, core::makeError(core::ErrorKind::TicketInvalid, "the ticket was issued for another workspace"));
        return;
    }
    const core::InstanceRef self{m_state.self().id, m_state.self().incarnation};
    if (ticket.value().owner == self) {
        startAsOwner(key, request, ticket.value());
        return;
    }
    const membership::Member *owner = m_state.findMember(ticket.value().owner.id);
    const bool sameIncarnation = owner != nullptr && owner->incarnation == ticket.value().owner.incarnation;
    const bool mayForward = request.head.via.empty(); // forwarded at most once
    if (sameIncarnation && mayForward && owner->condition != membership::MemberCondition::Dead && request.residency.contains(owner->region)) {
        m_state.emit(ForwardToOwner{key, ticket.value().owner, owner->peerAddress, toMs(request.deadline - m_state.now())});
        return;
    }
    requestSeal(key, request, ticket.value());
}

void RequestController::handle(const IdempotencyKeyClaimed &event)
{
    const auto found = m_requests.find(event.key);
    if (found == m_requests.end()) {
        return;
    }
    Request &request = found->second;
    if (!event.ticket) { // an earlier request with the same key may have run, so reject() does not report "not run"
        reject(
            event.key, request, core::makeError(core::ErrorKind::PlatformDown, "the Idempotency-Key could not be claimed because the platform is unreachable"));
        return;
    }
    request.head.ticket = *event.ticket;
    startWithTicket(event.key, request);
}

void RequestController::startAsOwner(RequestKey key, Request &request, const delivery::Ticket &ticket)
{
    request.ledgerConsulted = true;
    switch (m_state.ownerLedger.start(ticket, request.body.requestHash, m_state.clock.wallNow())) {
    case delivery::StartResult::RecordIntent:
        request.ticket = ticket;
        requestIntent(key, request, LedgerCallPurpose::Intent);
        return;
    case delivery::StartResult::Dispatch:
        request.ticket = ticket;
        route(key, request, true);
        return;
    case delivery::StartResult::InFlight:
        m_ticketWaiters[delivery::ticketRecordKey(ticket)].push_back(key);
        return;
    case delivery::StartResult::Conflict:
        reject(key, request, core::makeError(core::ErrorKind::TicketConflict, "the ticket was already used for a request with a different body"));
        return;
    case delivery::StartResult::Completed:
    case delivery::StartResult::Closed:
        respondFromRecord(key, request, m_state.ownerLedger.lookup(ticket));
        return;
    case delivery::StartResult::Expired:
        reject(key, request, core::makeError(core::ErrorKind::TicketInvalid, "the ticket has expired"), true);
        return;
    case delivery::StartResult::LedgerFull:
        reject(key, request, core::makeError(core::ErrorKind::Overloaded, "the ticket ledger of this instance is full"));
        return;
    case delivery::StartResult::RecordPurged:
    case delivery::StartResult::NotOwner:
        break;
    }
    reject(key, request, core::makeUnknownOutcomeError(core::ErrorKind::OutcomeUnknown, "the ticket's record has been purged"));
}

void RequestController::requestIntent(RequestKey key, Request &request, LedgerCallPurpose purpose)
{
    const membership::Member *witness = m_state.findMember(request.ticket->witness.id);
    if (witness == nullptr || witness->incarnation != request.ticket->witness.incarnation || witness->condition == membership::MemberCondition::Dead) {
        handleIntentResponse(key, request, LedgerCallPurpose::IntentRetry, std::nullopt);
        return;
    }
    const CallKey call = m_state.nextCallKey();
    m_pendingCalls[call] = PendingCall{key, purpose};
    m_state.emit(CallLedger{call, witness->peerAddress, LedgerIntent{request.ticketText, request.body.requestHash}});
}

void RequestController::handleIntentResponse(RequestKey key, Request &request, LedgerCallPurpose purpose, const std::optional<delivery::LedgerResult> &result)
{
    if (!result && purpose == LedgerCallPurpose::Intent) {
        requestIntent(key, request, LedgerCallPurpose::IntentRetry); // idempotent
        return;
    }
    const auto status = result ? std::optional(result->status) : std::nullopt;
    if (m_state.ownerLedger.handleWitnessResponse(*request.ticket, status)) {
        route(key, request, true);
        return;
    }
    const std::string reason = result ? "the ticket was closed before the request ran" : "the ticket's witness is unreachable";
    respondToTicketWaiters(request);
    reject(key, request, core::makeError(core::ErrorKind::TicketSealed, reason), true);
}

void RequestController::requestSeal(RequestKey key, Request &request, const delivery::Ticket &ticket)
{
    const core::InstanceRef self{m_state.self().id, m_state.self().incarnation};
    if (ticket.witness == self) {
        handleSealResponse(key, request, m_state.witnessLedger.seal(ticket, m_state.clock.wallNow()));
        return;
    }
    const membership::Member *witness = m_state.findMember(ticket.witness.id);
    if (witness == nullptr || witness->incarnation != ticket.witness.incarnation || witness->condition == membership::MemberCondition::Dead) {
        handleSealResponse(key, request, std::nullopt);
        return;
    }
    const CallKey call = m_state.nextCallKey();
    m_pendingCalls[call] = PendingCall{key, LedgerCallPurpose::Seal};
    m_state.emit(CallLedger{call, witness->peerAddress, LedgerSeal{request.ticketText}});
}

void RequestController::handleSealResponse(RequestKey key, Request &request, const std::optional<delivery::LedgerResult> &result)
{
    const bool isFinal = result && (result->status == delivery::LedgerStatus::Completed || result->status == delivery::LedgerStatus::Sealed);
    if (isFinal) {
        respondFromRecord(key, request, *result);
        return;
    }
    // The witness cannot report a final state: a drained instance may have handed the record over to another member.
    std::vector<membership::Member> members;
    for (const membership::Member &member : m_state.membershipView.availableMembers()) {
        if (member.id != m_state.self().id) {
            members.push_back(member);
        }
    }
    request.membersToQuery = membership::rankMembers(request.ticketText, std::move(members));
    lookUpHandedOverRecord(key, request);
}

void RequestController::lookUpHandedOverRecord(RequestKey key, Request &request)
{
    const auto ticket = m_state.ticketCodec.decode(request.ticketText);
    const delivery::LedgerResult own = ticket ? m_state.successorLedger.lookup(ticket.value(), m_state.clock.wallNow()) : delivery::LedgerResult{};
    if (own.status == delivery::LedgerStatus::Completed || own.status == delivery::LedgerStatus::Sealed) {
        respondFromRecord(key, request, own);
        return;
    }
    if (request.membersToQuery.empty()) {
        reject(key,
               request,
               core::makeUnknownOutcomeError(core::ErrorKind::OutcomeUnknown, "the ticket's owner is unreachable and no record of the outcome was found"));
        return;
    }
    const CallKey call = m_state.nextCallKey();
    m_pendingCalls[call] = PendingCall{key, LedgerCallPurpose::HandedOverRecord};
    m_state.emit(CallLedger{call, request.membersToQuery.back().peerAddress, LedgerLookup{request.ticketText}});
    request.membersToQuery.pop_back();
}

bool RequestController::handle(const LedgerResponseReceived &event)
{
    const auto call = m_pendingCalls.find(event.key);
    if (call == m_pendingCalls.end()) {
        return false;
    }
    const PendingCall pending = call->second;
    m_pendingCalls.erase(call);
    const auto found = m_requests.find(pending.request);
    if (found == m_requests.end()) {
        return true;
    }
    Request &request = found->second;
    switch (pending.purpose) {
    case LedgerCallPurpose::Intent:
    case LedgerCallPurpose::IntentRetry:
        handleIntentResponse(pending.request, request, pending.purpose, event.result);
        break;
    case LedgerCallPurpose::Seal:
        handleSealResponse(pending.request, request, event.result);
        break;
    case LedgerCallPurpose::HandedOverRecord: {
        const bool isFinal =
            event.result && (event.result->status == delivery::LedgerStatus::Completed || event.result->status == delivery::LedgerStatus::Sealed);
        if (isFinal) {
            respondFromRecord(pending.request, request, *event.result);
        } else {
            lookUpHandedOverRecord(pending.request, request);
        }
        break;
    }
    }
    return true;
}

void RequestController::handle(const ForwardToOwnerFinished &event)
{
    const auto found = m_requests.find(event.key);
    if (found == m_requests.end()) {
        return;
    }
    if (event.relayed) {
        finish(event.key);
        return;
    }
    const auto ticket = m_state.ticketCodec.decode(found->second.ticketText);
    requestSeal(event.key, found->second, ticket.value());
}

void RequestController::respondFromRecord(RequestKey key, Request &request, const delivery::LedgerResult &result)
{
    request.ledgerConsulted = true;
    if (result.status == delivery::LedgerStatus::Sealed) {
        reject(key, request, core::makeError(core::ErrorKind::TicketSealed, "the ticket was closed before the request ran"), true);
        return;
    }
    if (!result.requestHash.empty() && result.requestHash != request.body.requestHash) {
        reject(key, request, core::makeError(core::ErrorKind::TicketConflict, "the ticket was already used for a request with a different body"));
        return;
    }
    const delivery::RecordedOutcome outcome = result.outcome.value_or(delivery::RecordedOutcome{});
    switch (outcome.kind) {
    case delivery::OutcomeKind::NotRun:
        reject(key, request, core::makeError(core::ErrorKind::TicketSealed, "the request did not run with this ticket"), true);
        return;
    case delivery::OutcomeKind::Unknown:
        reject(key, request, core::makeUnknownOutcomeError(core::ErrorKind::OutcomeUnknown, "the request may have run; no response was received"));
        return;
    case delivery::OutcomeKind::Completed:
        break;
    }
    if (!outcome.responseRetained) {
        reject(key, request, core::makeUnknownOutcomeError(core::ErrorKind::OutcomeUnknown, "the request ran, but its response is no longer stored"));
        return;
    }
    m_state.emit(ReplayResponse{key, outcome});
    finish(key);
}

//-----------------------------------------------------------------------------
// Routing and queueing
//-----------------------------------------------------------------------------

routing::RoutingRequest RequestController::makeRoutingRequest(const Request &request) const
{
    routing::RoutingRequest routingRequest;
    routingRequest.model = request.body.model;
    routingRequest.service = request.head.service;
    routingRequest.weights = request.weights;
    routingRequest.allowedRegions = request.residency;
    routingRequest.prefixBlocks = request.body.prefixBlocks;
    routingRequest.promptTokens = request.body.promptTokens;
    routingRequest.localOnly = !request.head.via.empty() || request.head.forwarded;
    routingRequest.excludedUpstreams = request.triedUpstreams;
    routingRequest.excludedDomains = request.triedDomains;
    return routingRequest;
}

void RequestController::route(RequestKey key, Request &request, bool mayQueue)
{
    const auto choice = routing::choose(m_router, makeRoutingRequest(request), m_state.upstreamTable, m_state.now());
    if (!choice) {
        core::Error error = request.mayHaveRun
            ? core::makeUnknownOutcomeError(core::ErrorKind::UpstreamFailed, "every attempted upstream failed before it completed the response")
            : core::makeError(core::ErrorKind::NoUpstream, "no upstream available for " + queueNameFor(request.head, request.body));
        error.retryAfter = DefaultRetryAfter;
        reject(key, request, std::move(error));
        return;
    }
    if (auto error = checkDeadline(request, choice->chosen)) {
        reject(key, request, std::move(*error));
        return;
    }
    if (mayQueue && tryEnqueue(key, request, *choice)) {
        return;
    }
    core::Duration delay{0};
    if (request.attempts > 0) {
        const auto jitter = 50 + m_state.random(101); // percent
        delay = BackoffBase * (std::int64_t{1} << std::min<std::size_t>(request.attempts - 1, 5)) * jitter / 100;
    }
    dispatch(key, request, *choice, delay);
}

std::optional<core::Error> RequestController::checkDeadline(const Request &request, const routing::ScoredCandidate &scored) const
{
    const core::Duration remaining = request.deadline - m_state.now();
    const bool urgent = request.requestClass.urgency == config::Urgency::Urgent;
    const bool background = request.requestClass.urgency == config::Urgency::Background;
    const double waitShare = urgent || request.requestClass.queueable ? 1.0 : (background ? BackgroundWaitShare : NormalWaitShare);
    const auto maxWait = std::chrono::duration_cast<core::Duration>(remaining * waitShare);
    if (remaining > core::Duration(0) && scored.timeToFirstToken <= remaining && scored.predictedWait <= maxWait) {
        return std::nullopt;
    }
    core::Error error = core::makeError(remaining > core::Duration(0) ? core::ErrorKind::Overloaded : core::ErrorKind::DeadlineExceeded,
                                        "the predicted time to the first token is " + std::to_string(toMs(scored.timeToFirstToken).count()) + " ms, "
                                            + std::to_string(toMs(remaining).count()) + " ms remain until the deadline");
    if (request.mayHaveRun) {
        error.outcome = core::Outcome::Unknown;
    }
    error.retryAfter = std::max(DefaultRetryAfter, toMs(scored.predictedWait));
    return error;
}

core::TimePoint RequestController::latestDispatchTime(const Request &request, const routing::ScoredCandidate &scored) const
{
    const core::Duration predictedDuration = scored.timeToFirstToken + PlannedTokenTime * static_cast<std::int64_t>(request.body.maxTokens);
    return request.deadline - predictedDuration * 3 / 2 - QueueSafetyMargin;
}

bool RequestController::hasCapacity(const routing::RoutingDecision &choice)
{
    if (choice.chosen.upstream.empty()) {
        return false; // a request that may wait is not sent to another domain for lack of capacity
    }
    const routing::Upstream *upstream = m_state.upstreamTable.find(choice.chosen.upstream);
    const std::uint32_t slots = std::max<std::uint32_t>(1, upstream->report.slots);
    return static_cast<double>(upstream->occupancy() + 1) <= m_state.settings.queueReleaseOccupancy * slots;
}

bool RequestController::tryEnqueue(RequestKey key, Request &request, const routing::RoutingDecision &choice)
{
    if (!request.requestClass.queueable || hasCapacity(choice) || m_state.draining) {
        return false;
    }
    const core::TimePoint latestDispatch = latestDispatchTime(request, choice.chosen);
    if (latestDispatch <= m_state.now()) {
        return false;
    }
    request.queueName = queueNameFor(request.head, request.body);
    auto queue = m_queues.try_emplace(request.queueName, m_state.settings.admissionQueueCapacity).first;
    logDecision(request, &choice, "hold", "no free capacity");
    const auto evicted = queue->second.add(limits::QueuedRequest{request.requestClass.urgency, latestDispatch, key.value});
    if (evicted) {
        const RequestKey evictedKey(*evicted);
        Request &evictedRequest = m_requests.at(evictedKey);
        evictedRequest.queueName.clear();
        core::Error error = core::makeError(core::ErrorKind::Overloaded, "the admission queue is full");
        error.retryAfter = DefaultRetryAfter;
        reject(evictedKey, evictedRequest, std::move(error));
    }
    return true;
}

void RequestController::releaseQueuedRequests()
{
    for (auto &[name, queue] : m_queues) {
        for (const limits::QueuedRequestKey dueKey : queue.popDue(m_state.now())) {
            const RequestKey key(dueKey);
            Request &request = m_requests.at(key);
            request.queueName.clear();
            route(key, request, false);
        }
        for (std::size_t i = 0; i < MaxReleasesPerPass && queue.front(); ++i) {
            const RequestKey key(*queue.front());
            Request &request = m_requests.at(key);
            queue.remove(key.value);
            request.queueName.clear();
            route(key, request, true); // queues it again if there is no capacity
            const auto queued = m_requests.find(key);
            if (queued != m_requests.end() && !queued->second.queueName.empty()) {
                break;
            }
        }
    }
}

void RequestController::rejectQueuedRequests()
{
    for (auto &[name, queue] : m_queues) {
        for (const limits::QueuedRequestKey queued : queue.popAll()) {
            const RequestKey key(queued);
            Request &request = m_requests.at(key);
            request.queueName.clear();
            core::Error error = core::makeError(core::ErrorKind::Draining, "this instance is shutting down");
            error.retryAfter = std::chrono::milliseconds(10);
            reject(key, request, std::move(error));
        }
    }
}

std::size_t RequestController::queuedCount() const
{
    std::size_t count = 0;
    for (const auto &[name, queue] : m_queues) {
        count += queue.size();
    }
    return count;
}

void RequestController::tick()
{
    releaseQueuedRequests();
}

//-----------------------------------------------------------------------------
// Attempts
//-----------------------------------------------------------------------------

std::variant<LocalTarget, PeerTarget> RequestController::makeTarget(const Request &request, const routing::ScoredCandidate &scored)
{
    if (!scored.upstream.empty()) {
        return LocalTarget{scored.upstream, m_state.upstreamTable.find(scored.upstream)->descriptor.address};
    }
    routing::RemotePool *pool = m_state.upstreamTable.findRemotePool(request.body.model, request.head.service, scored.domain);
    ++pool->sentSinceUpdate;
    // The prompt's prefix selects the entry, so that prompts with the same prefix reach the same warm cache.
    const std::uint64_t selector = request.body.prefixBlocks.empty() ? m_state.random() : request.body.prefixBlocks.front();
    const routing::RemoteInstance &entry = pool->instances[selector % pool->instances.size()];
    return PeerTarget{entry.instance, entry.peerAddress, scored.domain};
}

void RequestController::dispatch(RequestKey key, Request &request, const routing::RoutingDecision &choice, core::Duration delay)
{
    ++request.attempts;
    request.attemptTarget = choice.chosen;
    if (!choice.chosen.upstream.empty()) {
        m_state.upstreamTable.recordAttemptStart(choice.chosen.upstream);
        m_state.upstreamTable.addCachedBlocks(choice.chosen.upstream, request.body.prefixBlocks);
    }
    Dispatch dispatch;
    dispatch.key = key;
    dispatch.attempt =
        request.head.originAttempt.empty() ? core::AttemptId(request.decision.text + "-" + std::to_string(request.attempts)) : request.head.originAttempt;
    dispatch.decision = request.decision;
    dispatch.target = makeTarget(request, choice.chosen);
    dispatch.region = choice.chosen.region;
    dispatch.priority = static_cast<int>(request.requestClass.urgency);
    dispatch.repeatable = request.repeatable;
    dispatch.remainingTime = toMs(request.deadline - m_state.now());
    dispatch.backoff = toMs(delay);
    dispatch.resumeOffset = request.tokensRelayed;
    dispatch.configRevision = m_state.config.head().revision;
    logDecision(request, &choice, "dispatch", request.attempts > 1 ? "retry" : "first");
    m_state.emit(std::move(dispatch));
}

void RequestController::handle(const FirstTokenReceived &event)
{
    const auto found = m_requests.find(event.key);
    if (found != m_requests.end() && found->second.attemptTarget && !found->second.attemptTarget->upstream.empty()) {
        m_state.upstreamTable.recordFirstToken(found->second.attemptTarget->upstream, event.elapsed, found->second.attemptTarget->timeToFirstToken);
    }
}

void RequestController::recordAttemptEnd(const Request &request, const AttemptEnded &event)
{
    if (!request.attemptTarget || request.attemptTarget->upstream.empty()) {
        return;
    }
    const bool upstreamHealthy = event.result == AttemptResult::Completed || event.result == AttemptResult::ClientDisconnected;
    m_state.upstreamTable.recordAttemptEnd(request.attemptTarget->upstream, upstreamHealthy, m_state.now());
}

bool RequestController::mayRetry(const Request &request, const AttemptEnded &event) const
{
    const bool safeToRepeat = event.result == AttemptResult::NotRun || request.repeatable;
    const bool responseResumable = !event.responseStarted || (request.repeatable && request.body.stream && event.tokensRelayed > 0);
    const bool isOrigin = request.head.originAttempt.empty(); // otherwise the origin decides
    return safeToRepeat && responseResumable && isOrigin && !m_state.draining && request.attempts < m_state.settings.maxAttempts
        && m_state.now() < request.deadline;
}

void RequestController::handle(const StreamSilent &event)
{
    const auto found = m_requests.find(event.key);
    if (found == m_requests.end() || !found->second.attemptTarget) {
        return;
    }
    Request &request = found->second;
    if (!request.retryReserved) {
        AttemptEnded silentAttempt;
        silentAttempt.tokensRelayed = event.tokensRelayed;
        silentAttempt.responseStarted = event.responseStarted;
        routing::RoutingRequest routingRequest = makeRoutingRequest(request);
        routingRequest.excludedUpstreams.insert(request.attemptTarget->upstream);
        if (request.attemptTarget->upstream.empty()) {
            routingRequest.excludedDomains.insert(request.attemptTarget->domain);
        }
        const auto choice = routing::choose(m_router, routingRequest, m_state.upstreamTable, m_state.now());
        if (!choice || checkDeadline(request, choice->chosen) || !mayRetry(request, silentAttempt) || !m_retryBudget.tryRetry()) {
            return;
        }
        request.retryReserved = true;
    }
    m_state.emit(CancelAttempt{event.key});
}

void RequestController::handle(const AttemptEnded &event)
{
    const auto found = m_requests.find(event.key);
    if (found == m_requests.end()) {
        return;
    }
    Request &request = found->second;
    recordAttemptEnd(request, event);
    request.mayHaveRun = request.mayHaveRun || event.result == AttemptResult::Incomplete;
    request.tokensRelayed = event.tokensRelayed;
    if (event.result == AttemptResult::Completed) {
        recordFinalOutcome(request, event.outcome.value_or(delivery::RecordedOutcome{delivery::OutcomeKind::Completed, 200, {}, {}, false}));
        finish(event.key);
        releaseQueuedRequests();
        return;
    }
    if (event.result == AttemptResult::ClientDisconnected) {
        recordFinalOutcome(request,
                           delivery::RecordedOutcome{request.attemptTarget ? delivery::OutcomeKind::Unknown : delivery::OutcomeKind::NotRun, 0, {}, {}, true});
        finish(event.key);
        return;
    }
    if (request.attemptTarget) {
        if (request.attemptTarget->upstream.empty()) {
            request.triedDomains.insert(request.attemptTarget->domain);
        } else {
            request.triedUpstreams.insert(request.attemptTarget->upstream);
        }
    }
    const bool retryReserved = std::exchange(request.retryReserved, false);
    if (mayRetry(request, event) && (retryReserved || m_retryBudget.tryRetry())) {
        request.attemptTarget.reset();
        route(event.key, request, false);
        return;
    }
    core::Error error = core::makeError(core::ErrorKind::UpstreamFailed, event.message);
    if (m_state.now() >= request.deadline) {
        error = core::makeError(core::ErrorKind::DeadlineExceeded, "the deadline passed: " + event.message);
    } else if (request.mayHaveRun && !request.repeatable) {
        error = core::makeError(core::ErrorKind::OutcomeUnknown, event.message);
    }
    error.outcome = request.mayHaveRun ? core::Outcome::Unknown : core::Outcome::NotRun;
    reject(event.key, request, std::move(error));
}

//-----------------------------------------------------------------------------
// Completion
//-----------------------------------------------------------------------------

void RequestController::recordFinalOutcome(const Request &request, delivery::RecordedOutcome outcome)
{
    if (!request.ticket) {
        return;
    }
    m_state.ownerLedger.recordOutcome(*request.ticket, outcome);
    const membership::Member *witness = m_state.findMember(request.ticket->witness.id);
    if (witness != nullptr && witness->incarnation == request.ticket->witness.incarnation) {
        m_state.emit(CallLedger{m_state.nextCallKey(), witness->peerAddress, LedgerOutcome{request.ticketText, std::move(outcome)}});
    }
    respondToTicketWaiters(request);
}

void RequestController::respondToTicketWaiters(const Request &request)
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
            respondFromRecord(key, found->second, m_state.ownerLedger.lookup(ticket));
        }
    }
}

void RequestController::reject(RequestKey key, Request &request, core::Error error, bool issueReplacement)
{
    const bool ledgerConsulted = request.ticket || request.ledgerConsulted;
    if (!request.repeatable && !ledgerConsulted) {
        error = resolveOutcome(request.head, std::move(error));
    }
    if (request.ticket) {
        const bool mayHaveRun = error.outcome == core::Outcome::Unknown;
        recordFinalOutcome(request, delivery::RecordedOutcome{mayHaveRun ? delivery::OutcomeKind::Unknown : delivery::OutcomeKind::NotRun, 0, {}, {}, true});
    }
    RejectRequest rejection{key, std::move(error), {}, {}, request.decision};
    const bool offerReplacement = issueReplacement || (request.ticket && rejection.error.outcome == core::Outcome::NotRun);
    if (offerReplacement) {
        rejection.replacementTicket = m_state.issueTicket(request.workspace);
    }
    if (m_state.draining) {
        if (const config::WorkspacePolicy *policy = m_state.config.findPolicy(request.workspace)) {
            rejection.alternateEntryUrls = m_state.alternateEntryUrls(*policy);
        }
    }
    logDecision(request, nullptr, "refuse", std::string(core::toString(rejection.error.kind)) + ": " + rejection.error.message);
    m_state.emit(std::move(rejection));
    finish(key);
}

void RequestController::finish(RequestKey key)
{
    const auto found = m_requests.find(key);
    if (found == m_requests.end()) {
        return;
    }
    if (found->second.holdsLimitSlot) {
        m_state.limits.release(found->second.workspace);
    }
    if (!found->second.queueName.empty()) {
        m_queues.at(found->second.queueName).remove(key.value);
    }
    m_requests.erase(found);
}

void RequestController::logDecision(const Request &request, const routing::RoutingDecision *choice, std::string result, std::string detail)
{
    LogRoutingDecision record;
    record.decision = request.decision;
    record.request = request.head.id;
    record.workspace = request.workspace;
    record.requestClass = request.requestClass.id;
    record.model = request.body.model;
    record.service = request.head.service;
    if (choice != nullptr) {
        record.choice = *choice;
    }
    record.result = std::move(result);
    record.detail = std::move(detail);
    record.configRevision = m_state.config.head().revision;
    m_state.emit(std::move(record));
}

core::DecisionId RequestController::nextDecisionId()
{
    return core::DecisionId(m_idPrefix + "-" + std::to_string(m_nextDecisionNumber++));
}

} // namespace arbutus::node
