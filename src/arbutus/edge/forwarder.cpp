// Processing of a request, from parsing its headers to the response.
//
// Sections:
//   Request state   state of one request
//   Acceptance      headers, route, body
//   Placement       retry loop over placements
//   Sending         to an upstream or a peer
//   Relay           buffered responses and streams
//   Responses       error responses and the request log

#include "arbutus/edge/forwarder.h"
#include "arbutus/core/overloaded.h"
#include "arbutus/edge/sserelay.h"
#include "arbutus/http/truncation.h"

#include <charconv>
#include <cmath>

namespace arbutus::edge {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// Headers of requests and responses between instances. They are never forwarded to clients or upstreams.
constexpr const char *OriginHeader = "X-Gateway-Origin";           // instance that received the client's request
constexpr const char *ServiceHeader = "X-Gateway-Service";         // service chosen by that instance
constexpr const char *SendCountHeader = "X-Gateway-Sends";         // upstream sends so far
constexpr const char *PossibleExecutionsHeader = "X-Gateway-Runs"; // sends after which an upstream may have executed the request
constexpr const char *ResumeHeader = "X-Gateway-Resume";           // last event id that the client has
constexpr const char *OutcomeHeader = "X-Gateway-Outcome";         // response header with one of the values below
constexpr std::string_view OutcomeAnswered = "answered";
constexpr std::string_view OutcomeNotExecuted = "not_run";
constexpr std::string_view OutcomeUnknown = "unknown";
constexpr std::string_view OutcomeQuarantined = "quarantined"; // not run, and no upstream may run it
constexpr std::array PeerHeaders = {OriginHeader, ServiceHeader, SendCountHeader, PossibleExecutionsHeader, ResumeHeader, OutcomeHeader};

/// Returns whether the status, when sent by a gateway, guarantees that the request was not executed.
bool impliesNotExecuted(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Ids of the parts of a prompt that other requests may share, for the log.
std::string sharedPartIds(const std::vector<routing::PromptPart> &prompt)
{
    std::string out;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        out += (i == 0 ? "" : ",") + routing::toString(prompt[i].id);
    }
    return out;
}

std::size_t parseCount(const std::string &text)
{
    std::size_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string formatSeconds(core::Duration duration)
{
    char text[32];
    (void)std::snprintf(text, sizeof text, "%.2f", std::chrono::duration<double>(duration).count());
    return text;
}

} // namespace

//-----------------------------------------------------------------------------
// Request state
//-----------------------------------------------------------------------------

struct Forwarder::RequestState
{
    RequestState(http::Exchange &clientExchange, core::TimePoint now)
        : exchange(clientExchange)
        , receivedAt(now)
    {
    }

    http::Exchange &exchange;
    http::Request request; // without PeerHeaders
    RequestHead head;
    routing::RequestFingerprint fingerprint;
    catalog::CatalogPointer catalog;
    const catalog::Route *route = nullptr;
    core::ServiceId service;
    bool fromPeer = false;
    std::string origin; // instance that received the client's request
    core::TimePoint receivedAt;
    core::TimePoint completionDeadline{}; // for the complete response
    core::TimePoint latencyDeadline{};
    core::TimePoint responseDeadline{}; // for the first event or a buffered response; later ones are useless to the client
    std::shared_ptr<CancellationToken> cancellation = std::make_shared<CancellationToken>();
    std::set<core::UpstreamId> excludedUpstreams;
    std::set<core::UpstreamId> brokenUpstreams; // whose connection ended before the response was complete
    std::set<core::RegionId> excludedRegions;
    std::size_t placements = 0;
    std::size_t sendCount = 0;                     // requests that reached an upstream
    std::size_t possibleExecutions = 0;            // sends after which an upstream may have executed the request
    std::optional<http::Response> upstreamFailure; // error response of an upstream, forwarded if no retry succeeds
    bool responseStarted = false;                  // the stream's response head was sent to the client
    std::optional<SseRelay> sseRelay;
    core::Duration retryAfter{};
    std::optional<routing::CrashCause> quarantinedCause; // because of which the request is refused
    std::string lastFailure;                             // reason of the last failed send, for the log
    core::UpstreamId lastUpstream;
    std::string lastAddress;
    core::TimePoint lastSentAt{};      // of the last request to an upstream
    std::string lastMaxRequestRate;    // that the last response named, for the log
    std::string lastBodyEnd;           // how the last response marked the end of its body, for the log
    std::size_t partialEventBytes = 0; // received after the last complete event of the last stream, for the log
    core::TimePoint firstEventTime{};
    core::TimePoint lastEventTime{};
    core::Duration maxEventGap{}; // longest gap between events of the stream

    [[nodiscard]] bool isRepeatable() const
    {
        return route->executionSemantics == catalog::ExecutionSemantics::Repeatable;
    }
    [[nodiscard]] bool isStreaming() const
    {
        return route->responseMode == catalog::ResponseMode::Stream;
    }
    [[nodiscard]] routing::PlacementId placementId() const
    {
        return routing::PlacementId(head.attemptId + "/" + std::to_string(placements));
    }
};

Forwarder::Forwarder(InstanceContext &context,
                     Fleet &fleet,
                     MetadataCache &metadataCache,
                     PlacementService &placement,
                     QuarantineService &quarantine,
                     std::uint64_t seed,
                     ForwarderSettings settings)
    : m_context(context)
    , m_fleet(fleet)
    , m_metadataCache(metadataCache)
    , m_placement(placement)
    , m_quarantine(quarantine)
    , m_settings(settings)
    , m_retryBudget(limits::SharedRetryBudgetSettings{context.settings.retryRatio, context.settings.minRetries, context.settings.retryWindow})
    , m_random(seed)
{
}

void Forwarder::closeIdleConnections(const std::string &address)
{
    m_upstreamConnections.closeIdleConnections(http::parseEndpoint(address));
}

bool Forwarder::isForwardedRequest(const http::Request &request)
{
    return request.headers.contains(OriginHeader);
}

//-----------------------------------------------------------------------------
// Acceptance
//-----------------------------------------------------------------------------

asio::awaitable<void> Forwarder::handleRequest(http::Exchange &exchange)
{
    RequestState state(exchange, m_context.now());
    state.request = exchange.request();
    for (const char *name : PeerHeaders) {
        state.request.headers.erase(name); // reserved for requests between instances
    }
    if (co_await acceptRequest(state)) {
        co_await placeAndSend(state);
    }
}

asio::awaitable<void> Forwarder::handleForwardedRequest(http::Exchange &exchange)
{
    RequestState state(exchange, m_context.now());
    state.request = exchange.request();
    state.fromPeer = true;
    state.origin = http::headerValue(state.request.headers, OriginHeader);
    state.service = core::ServiceId(http::headerValue(state.request.headers, ServiceHeader));
    state.sendCount = parseCount(http::headerValue(state.request.headers, SendCountHeader));
    state.possibleExecutions = parseCount(http::headerValue(state.request.headers, PossibleExecutionsHeader));
    const std::string lastEventId = http::headerValue(state.request.headers, ResumeHeader);
    for (const char *name : PeerHeaders) {
        state.request.headers.erase(name);
    }
    if (!lastEventId.empty()) {
        state.sseRelay.emplace(lastEventId);
    }
    if (co_await acceptRequest(state)) {
        co_await placeAndSend(state);
    }
}

asio::awaitable<bool> Forwarder::acceptRequest(RequestState &state)
{
    state.catalog = m_metadataCache.catalog();
    auto head = m_context.adapter.parseRequest(state.request);
    if (!head) {
        co_await respondWithError(state, 400, core::ErrorKind::BadRequest, head.error().message, {});
        co_return false;
    }
    state.head = std::move(head.value());
    if (!state.catalog) {
        co_await respondWithError(state, 503, core::ErrorKind::PlatformDown, "no configuration is loaded yet", m_settings.noCatalogRetryAfter);
        co_return false;
    }
    state.route = state.catalog->matchRoute(state.head.host, state.head.path);
    if (state.route == nullptr) {
        co_await respondWithError(state, 404, core::ErrorKind::NotFound, "no route matches the host and path", {});
        co_return false;
    }
    if (state.fromPeer && !state.route->allowsRegion(m_context.settings.region)) {
        co_await respondWithError(state, 503, core::ErrorKind::ResidencyRefused, "the route must not be served in this region", {});
        co_return false;
    }
    if (state.service.empty()) {
        state.service = state.route->serviceFor(state.head.attemptId);
    }
    const auto bodyRead = co_await state.exchange.readBody();
    if (!bodyRead) {
        co_await respondWithError(state, core::httpStatus(bodyRead.error().kind), bodyRead.error().kind, bodyRead.error().message, {});
        co_return false;
    }
    state.request.body = state.exchange.request().body;
    state.fingerprint = routing::RequestFingerprint::of({state.request.method, state.head.host, state.request.target, state.head.prompt, state.request.body});
    auto timeout = state.route->timeout;
    if (state.head.timeout) {
        timeout = std::min(timeout, *state.head.timeout - m_settings.deadlineMargin);
    }
    state.completionDeadline = state.receivedAt + timeout;
    state.latencyDeadline = state.receivedAt + state.route->latencyObjective;
    state.responseDeadline = state.completionDeadline;
    if (state.isStreaming()) { // clients abandon a stream whose first event takes too long
        const auto abandonmentTime =
            std::max({m_settings.minAbandonmentTime,
                      milliseconds(std::llround(m_settings.abandonmentObjectiveFactor * static_cast<double>(state.route->latencyObjective.count()))),
                      milliseconds(std::llround(m_settings.abandonmentGapFactor * static_cast<double>(state.route->maxEventGap.count())))});
        state.responseDeadline = std::min(state.completionDeadline, state.receivedAt + abandonmentTime - m_settings.abandonmentMargin);
    }
    state.exchange.onClientDisconnect([cancellation = state.cancellation] { cancellation->cancel(); });
    co_return true;
}

//-----------------------------------------------------------------------------
// Placement
//-----------------------------------------------------------------------------

routing::PlacementRequest Forwarder::makePlacementRequest(RequestState &state)
{
    ++state.placements;
    routing::PlacementRequest placementRequest;
    placementRequest.id = state.placementId();
    placementRequest.service = state.service;
    placementRequest.priority = state.route->priority;
    placementRequest.latencyDeadline = state.latencyDeadline;
    placementRequest.responseDeadline = state.responseStarted ? state.completionDeadline : state.responseDeadline;
    placementRequest.completionDeadline = state.completionDeadline;
    placementRequest.prompt = state.head.prompt;
    placementRequest.fingerprint = state.fingerprint;
    placementRequest.promptTokens = state.head.promptTokens;
    placementRequest.outputTokens = state.head.expectedOutputTokens;
    placementRequest.allowOtherRegions = !state.fromPeer;
    placementRequest.allowedRegions = state.route->homeRegions;
    placementRequest.excludedUpstreams = state.excludedUpstreams;
    placementRequest.excludedRegions = state.excludedRegions;
    return placementRequest;
}

bool Forwarder::canRetry(RequestState &state)
{
    const core::TimePoint now = m_context.now();
    if (state.cancellation->cancelled || state.placements >= m_settings.maxPlacements
        || now >= (state.responseStarted ? state.completionDeadline : state.responseDeadline)) {
        return false;
    }
    if (state.possibleExecutions >= state.route->maxUpstreamsPerAttempt || m_quarantine.countCrashed(state.brokenUpstreams) >= m_settings.maxCrashedUpstreams) {
        return false;
    }
    return state.sendCount == 0 || m_retryBudget.remaining(state.service, m_fleet.knownMemberCount(), now) >= 1;
}

bool Forwarder::isQuarantined(RequestState &state)
{
    if (!state.quarantinedCause) {
        state.quarantinedCause = m_quarantine.findQuarantined(state.head.prompt, state.fingerprint);
        if (state.quarantinedCause) {
            const bool isRequest = std::holds_alternative<routing::RequestFingerprint>(*state.quarantinedCause);
            state.lastFailure =
                (isRequest ? "request " : "prompt part ") + routing::toString(*state.quarantinedCause) + " is quarantined because it crashes upstreams";
        }
    }
    return state.quarantinedCause.has_value();
}

asio::awaitable<void> Forwarder::placeAndSend(RequestState &state)
{
    bool mayHaveExecuted = false;
    while (!isQuarantined(state)) {
        routing::PlacementRequest placementRequest = makePlacementRequest(state);
        const routing::PlacementDecision decision = co_await m_placement.place(placementRequest, state.cancellation);
        if (state.cancellation->cancelled) {
            logCompletion(state, 0, "client_disconnected");
            co_return;
        }
        SendResult result = SendResult::NotExecuted;
        if (const auto *granted = std::get_if<routing::Granted>(&decision)) {
            result = co_await sendToUpstream(state, *granted);
        } else if (const auto *redirected = std::get_if<routing::Redirected>(&decision)) {
            const core::RegionId region = redirected->region;
            result = co_await sendToPeer(state, region);
        } else if (const auto *refused = std::get_if<routing::Refused>(&decision)) {
            state.retryAfter = refused->retryAfter;
            if (refused->reason == routing::RefusalReason::Quarantined && !isQuarantined(state)) { // this instance has not received the record yet
                state.quarantinedCause = state.fingerprint;
                state.lastFailure = "the dispatcher reports a quarantined request or prompt part";
            }
            break;
        }
        if (result == SendResult::Finished) {
            co_return;
        }
        if (state.cancellation->cancelled) {
            logCompletion(state, 0, "client_disconnected");
            co_return;
        }
        mayHaveExecuted = mayHaveExecuted || result != SendResult::NotExecuted;
        if (state.brokenUpstreams.size() >= m_settings.maxCrashedUpstreams) {
            co_await m_quarantine.waitForExamination(state.brokenUpstreams);
        }
        if (result == SendResult::NotRetryable || !canRetry(state)) {
            break;
        }
    }
    co_await respondWithFailure(state, mayHaveExecuted, m_context.now() >= state.completionDeadline);
}

//-----------------------------------------------------------------------------
// Sending
//-----------------------------------------------------------------------------

Forwarder::SendResult Forwarder::failedSendResult(const RequestState &state) const
{
    return state.isRepeatable() ? SendResult::Retryable : SendResult::NotRetryable;
}

Forwarder::SendResult Forwarder::recordIncompleteResponse(RequestState &state, std::string reason, routing::SendOutcome &outcome) const
{
    outcome = routing::SendOutcome::Incomplete;
    state.lastFailure = std::move(reason);
    state.excludedUpstreams.insert(state.lastUpstream);
    return failedSendResult(state);
}

asio::awaitable<Forwarder::SendResult> Forwarder::sendToUpstream(RequestState &state, const routing::Granted &granted)
{
    const core::TimePoint now = m_context.now();
    const routing::PlacementId placementId = state.placementId();
    state.lastUpstream = granted.upstream;
    state.lastAddress = granted.address;
    state.lastSentAt = now;
    const routing::RegistryEntry *entry = m_metadataCache.registry().find(granted.upstream);
    if (entry != nullptr && !entry->isUsable()) { // a dispatcher that was suspended may know less than this instance
        m_placement.recordCompletion(placementId, routing::SendOutcome::NeverSent);
        state.excludedUpstreams.insert(granted.upstream);
        state.lastFailure = "placed at an upstream that is leaving or gone";
        m_context.writeLog(
            observe::LogLine("placement_rejected").add("request", placementId).add("upstream", granted.upstream).add("reason", state.lastFailure));
        co_return SendResult::NotExecuted;
    }
    if (isQuarantined(state)) { // since the request was placed
        m_placement.recordCompletion(placementId, routing::SendOutcome::NeverSent);
        co_return SendResult::NotExecuted;
    }
    if (state.sendCount == 0) {
        m_retryBudget.recordFirstSend(state.service, now);
    } else if (!m_retryBudget.tryRetry(state.service, m_fleet.knownMemberCount(), now)) {
        m_placement.recordCompletion(placementId, routing::SendOutcome::NeverSent);
        state.lastFailure = "retry budget exhausted";
        co_return SendResult::NotExecuted;
    }
    const catalog::Service *service = state.catalog->findService(state.service);
    UpstreamRequestOptions requestOptions;
    requestOptions.expectedUpstream = granted.upstream;
    requestOptions.timeout = std::chrono::duration_cast<milliseconds>(state.completionDeadline - now);
    requestOptions.priority = state.route->priority;
    requestOptions.isModelEngine = service != nullptr && service->engine.has_value();
    if (state.sseRelay) {
        requestOptions.resumeAfterEventId = state.sseRelay->lastEventId();
    }
    http::Request request = state.request;
    request.headers = m_context.adapter.upstreamHeaders(state.request, requestOptions);

    bool connected = false;
    http::CallOptions options;
    options.pool = &m_upstreamConnections;
    options.retryOnStaleConnection = false; // retries are decided by this class
    options.acceptConnectionClose = true;
    if (!state.isStreaming()) {
        options.maxBodyBytes = m_settings.maxBufferedBodyBytes;
    }
    options.maxIdleTime = state.isRepeatable() ? m_settings.repeatableMaxIdleTime : m_settings.atMostOnceMaxIdleTime;
    options.connectTimeout = m_settings.upstreamConnectTimeout;
    options.matchesResponse = [&](const http::Headers &headers) { return m_context.adapter.isResponseTo(headers, state.head.attemptId); };
    options.onConnected = [&](bool isNewConnection) {
        connected = true;
        m_context.metrics.incrementCounter("arbutus_upstream_sends_total", isNewConnection ? "connection=\"new\"" : "connection=\"kept\"");
    };
    const http::Endpoint endpoint = http::parseEndpoint(granted.address);
    http::Call call(m_context.executor, endpoint, std::move(options));
    state.cancellation->onCancel = [&call] { call.cancel(); };

    const milliseconds remaining = std::max(milliseconds(1), requestOptions.timeout);
    milliseconds firstByteTimeout = remaining;
    if (state.isRepeatable()) {
        const auto predicted = std::chrono::duration<double, std::milli>(granted.predictedLatency).count();
        firstByteTimeout =
            std::min(remaining, std::max(m_settings.minFirstByteTimeout, milliseconds(std::llround(m_settings.firstByteTimeoutFactor * predicted))));
    }
    auto head = co_await call.start(request, firstByteTimeout);
    SendResult result = SendResult::NotExecuted;
    routing::SendOutcome outcome = routing::SendOutcome::Unreachable;
    state.sendCount += connected ? 1 : 0;
    state.lastMaxRequestRate.clear();
    state.lastBodyEnd.clear();
    state.partialEventBytes = 0;
    if (head) {
        result = co_await handleResponse(state, call, head.value(), false, outcome);
    } else if (state.cancellation->cancelled) {
        outcome = routing::SendOutcome::ClientDisconnected;
        state.possibleExecutions += connected ? 1 : 0;
        result = failedSendResult(state);
    } else {
        state.lastFailure = head.error().message;
        const bool staleConnection = head.error().connectionReused && !head.error().timedOut;
        if (connected) {
            ++state.possibleExecutions;
            outcome = head.error().timedOut ? routing::SendOutcome::TimedOut : routing::SendOutcome::Incomplete;
            outcome = staleConnection ? routing::SendOutcome::NeverSent : outcome; // a stale pooled connection is not counted against the upstream
            result = failedSendResult(state);
        }
        if (!staleConnection) {
            state.excludedUpstreams.insert(granted.upstream);
        } else if (state.isRepeatable()) {
            --state.possibleExecutions; // the request is sent to the same upstream again
        }
    }
    state.cancellation->onCancel = nullptr;
    m_placement.recordCompletion(placementId, outcome);
    const bool eventReceived = state.firstEventTime >= now;
    const bool broken = outcome == routing::SendOutcome::Incomplete || (connected && !head && !head.error().timedOut && !state.cancellation->cancelled);
    if (broken) { // also on a kept connection, whose end may be that of the upstream
        state.brokenUpstreams.insert(granted.upstream);
        m_quarantine.recordBreak(granted.upstream, granted.address, BrokenRequest{state.head.prompt, state.fingerprint, head && !eventReceived, now});
    } else if (outcome == routing::SendOutcome::Completed || outcome == routing::SendOutcome::ServerError) {
        m_quarantine.recordCompletion(state.fingerprint);
    }
    if (outcome == routing::SendOutcome::Incomplete) {
        m_context.metrics.incrementCounter("arbutus_upstream_breaks_total", eventReceived ? "stage=\"events\"" : head ? "stage=\"head\"" : "stage=\"sent\"");
    }
    m_context.writeLog(observe::LogLine("upstream_attempt_finished")
                           .add("request", placementId)
                           .add("upstream", granted.upstream)
                           .add("outcome", routing::toString(outcome))
                           .add("reason", state.lastFailure)
                           .add("named_rate", state.lastMaxRequestRate)
                           .add("body_end", state.lastBodyEnd)
                           .add("partial_event_bytes", state.partialEventBytes)
                           .add("prompt_parts", outcome == routing::SendOutcome::Incomplete ? sharedPartIds(state.head.prompt) : "")
                           .add("fingerprint", broken ? routing::toString(state.fingerprint) : "")
                           .add("took_ms", core::toMilliseconds(m_context.now() - now))
                           .add("first_event_ms", state.firstEventTime > now ? core::toMilliseconds(state.firstEventTime - now) : 0)
                           .add("predicted_ms", core::toMilliseconds(granted.predictedLatency))
                           .add("upstream_sends", state.sendCount)
                           .add("runs", state.possibleExecutions));
    co_return result;
}

std::optional<membership::Member> Forwarder::pickPeer(const core::RegionId &region)
{
    const auto &members = m_fleet.dispatcherRanking(region);
    double total = 0;
    for (const membership::Member &member : members) {
        total += member.capacity;
    }
    double threshold = total * (static_cast<double>(m_random()) / 4294967296.0); // 2^32
    for (const membership::Member &member : members) {
        threshold -= member.capacity;
        if (threshold < 0) {
            return member;
        }
    }
    return members.empty() ? std::nullopt : std::optional(members.back());
}

asio::awaitable<Forwarder::SendResult> Forwarder::sendToPeer(RequestState &state, const core::RegionId &region)
{
    const core::TimePoint now = m_context.now();
    const auto peer = pickPeer(region);
    if (!peer) {
        state.excludedRegions.insert(region);
        state.lastFailure = "no instance in region " + region.text;
        co_return SendResult::NotExecuted;
    }
    const auto remaining = std::chrono::duration_cast<milliseconds>(state.completionDeadline - now);
    http::Request request = state.request;
    request.headers = m_context.adapter.peerHeaders(state.request, std::max(milliseconds(1), remaining - m_settings.crossRegionOverhead / 2));
    request.headers[OriginHeader] = m_context.settings.instanceId.text;
    request.headers[ServiceHeader] = state.service.text;
    request.headers[SendCountHeader] = std::to_string(state.sendCount);
    request.headers[PossibleExecutionsHeader] = std::to_string(state.possibleExecutions);
    if (state.sseRelay && !state.sseRelay->lastEventId().empty()) {
        request.headers[ResumeHeader] = state.sseRelay->lastEventId();
    }
    bool connected = false;
    http::CallOptions options;
    options.pool = &m_peerConnections;
    options.retryOnStaleConnection = false;
    options.maxIdleTime = m_settings.peerMaxIdleTime;
    options.connectTimeout = m_settings.peerConnectTimeout;
    options.onConnected = [&](bool) { connected = true; };
    if (!state.isStreaming()) {
        options.maxBodyBytes = m_settings.maxBufferedBodyBytes;
    }
    const http::Endpoint endpoint = http::parseEndpoint(peer->peerAddress);
    http::Call call(m_context.executor, endpoint, std::move(options));
    state.cancellation->onCancel = [&call] { call.cancel(); };
    auto head = co_await call.start(request, std::max(milliseconds(1), remaining));
    state.lastBodyEnd.clear();
    state.partialEventBytes = 0;
    SendResult result = SendResult::NotExecuted;
    routing::SendOutcome outcome = routing::SendOutcome::Unreachable;
    std::string peerOutcome;
    if (head) {
        peerOutcome = http::headerValue(head.value().headers, OutcomeHeader);
        state.sendCount = std::max(state.sendCount, parseCount(http::headerValue(head.value().headers, SendCountHeader)));
        state.possibleExecutions = std::max(state.possibleExecutions, parseCount(http::headerValue(head.value().headers, PossibleExecutionsHeader)));
        if (peerOutcome == OutcomeQuarantined) {
            state.quarantinedCause = state.fingerprint;
            state.lastFailure = "peer " + peer->id.text + " reports a quarantined request or prompt part";
        } else if (peerOutcome == OutcomeNotExecuted) {
            state.excludedRegions.insert(region);
            state.lastFailure = "not executed by peer " + peer->id.text;
        } else if (peerOutcome == OutcomeUnknown) {
            state.excludedRegions.insert(region);
            state.lastFailure = "outcome unknown at peer " + peer->id.text;
            result = failedSendResult(state);
        } else {
            result = co_await handleResponse(state, call, head.value(), true, outcome);
        }
    } else {
        state.lastFailure = head.error().message;
        state.excludedRegions.insert(region);
        if (connected) { // the peer may have forwarded it
            ++state.possibleExecutions;
            ++state.sendCount;
            result = failedSendResult(state);
        }
    }
    state.cancellation->onCancel = nullptr;
    m_context.writeLog(observe::LogLine("peer_attempt_finished")
                           .add("request", state.placementId())
                           .add("peer", peer->id)
                           .add("region", region)
                           .add("outcome", peerOutcome)
                           .add("reason", state.lastFailure)
                           .add("body_end", state.lastBodyEnd)
                           .add("partial_event_bytes", state.partialEventBytes)
                           .add("took_ms", core::toMilliseconds(m_context.now() - now)));
    co_return result;
}

//-----------------------------------------------------------------------------
// Relay
//-----------------------------------------------------------------------------

asio::awaitable<Forwarder::SendResult>
Forwarder::handleResponse(RequestState &state, http::Call &call, http::Response &head, bool fromPeer, routing::SendOutcome &outcome)
{
    const ResponseHead parsed = m_context.adapter.parseResponse(head, state.head.attemptId);
    state.lastBodyEnd = http::toString(call.bodyEnd());
    const bool isFromUpstream = parsed.kind != ResponseKind::Misdirected && parsed.kind != ResponseKind::Unverified;
    if (!fromPeer && isFromUpstream && parsed.invalidMaxRequestRate.empty()) {
        m_placement.recordResponse(state.lastUpstream, parsed.maxRequestRate, state.lastSentAt);
    }
    state.lastMaxRequestRate = parsed.maxRequestRate ? std::to_string(*parsed.maxRequestRate) : parsed.invalidMaxRequestRate;
    m_context.metrics.incrementCounter("arbutus_upstream_responses_total", "body_end=\"" + state.lastBodyEnd + "\"");
    switch (parsed.kind) {
    case ResponseKind::NotExecuted:
    case ResponseKind::Misdirected: {
        constexpr auto BodyTimeout = milliseconds(200); // reading the short body lets the connection be reused
        const auto body = co_await call.readAll(BodyTimeout);
        state.lastFailure = body ? "rejected by the upstream" : "rejected by the upstream; reading the response body failed: " + body.error().message;
        state.excludedUpstreams.insert(state.lastUpstream);
        outcome = routing::SendOutcome::Rejected;
        if (parsed.kind == ResponseKind::Misdirected) {
            outcome = routing::SendOutcome::Unreachable; // another upstream has the address
            closeIdleConnections(state.lastAddress);
        }
        co_return SendResult::NotExecuted;
    }
    case ResponseKind::Unverified:
        call.cancel();
        state.possibleExecutions += fromPeer ? 0 : 1; // a peer reports its own count
        co_return recordIncompleteResponse(state, "response is not verified as coming from the upstream", outcome);
    case ResponseKind::ErrorStatus:
    case ResponseKind::Success:
        break;
    }
    state.possibleExecutions += fromPeer ? 0 : 1;
    const bool hasOtherType = !http::headerValue(head.headers, "Content-Type").empty() && !http::isEventStream(head.headers);
    if (state.isStreaming() && parsed.kind == ResponseKind::Success && !hasOtherType) {
        co_return co_await relayStream(state, call, head, fromPeer, outcome);
    }
    co_return co_await relayBuffered(state, call, head, fromPeer, outcome);
}

asio::awaitable<Forwarder::SendResult>
Forwarder::relayBuffered(RequestState &state, http::Call &call, http::Response &head, bool fromPeer, routing::SendOutcome &outcome)
{
    const bool success = head.status >= 200 && head.status < 300;
    auto body = co_await call.readAll(std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(state.completionDeadline - m_context.now())));
    if (!body) {
        outcome = state.cancellation->cancelled ? routing::SendOutcome::ClientDisconnected : routing::SendOutcome::Incomplete;
        state.lastFailure = "incomplete response body: " + body.error().message;
        state.excludedUpstreams.insert(state.lastUpstream);
        co_return failedSendResult(state);
    }
    head.body = std::move(body.value());
    if (http::isTruncated(head, call.bodyEnd())) {
        co_return recordIncompleteResponse(state, "response body was cut off after " + std::to_string(head.body.size()) + " bytes", outcome);
    }
    if (success) {
        outcome = routing::SendOutcome::Completed;
        if (!fromPeer) {
            m_quarantine.recordFirstEvent(state.head.prompt);
        }
        const unsigned status = head.status;
        co_await respond(state, head);
        logCompletion(state, status, fromPeer ? "answered_by_peer" : "answered");
        co_return SendResult::Finished;
    }
    outcome = routing::SendOutcome::ServerError;
    state.lastFailure = "status " + std::to_string(head.status);
    state.excludedUpstreams.insert(state.lastUpstream);
    state.upstreamFailure = std::move(head);
    co_return failedSendResult(state);
}

asio::awaitable<Forwarder::SendResult>
Forwarder::relayStream(RequestState &state, http::Call &call, http::Response &head, bool fromPeer, routing::SendOutcome &outcome)
{
    if (!state.sseRelay) {
        state.sseRelay.emplace(state.head.lastEventId);
    } else {
        state.sseRelay->resume();
    }
    if (!state.responseStarted) {
        state.responseStarted = true;
        http::Response response;
        response.status = head.status;
        response.headers = m_context.adapter.clientHeaders(head.headers);
        if (state.fromPeer) {
            response.headers[OutcomeHeader] = std::string(OutcomeAnswered);
            response.headers[SendCountHeader] = std::to_string(state.sendCount);
            response.headers[PossibleExecutionsHeader] = std::to_string(state.possibleExecutions);
        } else {
            for (const char *name : PeerHeaders) {
                response.headers.erase(name);
            }
        }
        if (!co_await state.exchange.beginResponse(response)) {
            state.cancellation->cancel();
        }
    }
    bool isFirstOutput = true;
    core::TimePoint lastOutputAt = m_context.now();
    while (true) {
        if (state.cancellation->cancelled) {
            call.cancel();
            outcome = routing::SendOutcome::ClientDisconnected;
            co_return SendResult::NotRetryable;
        }
        core::TimePoint deadline = state.completionDeadline;
        if (state.isRepeatable()) {
            deadline = std::min(deadline, lastOutputAt + m_settings.streamIdleTimeout); // bytes that complete no event do not extend it
        }
        if (m_context.now() >= deadline || state.sseRelay->partialEventBytes() > m_settings.maxEventBytes) {
            call.cancel();
            const bool tooLong = state.sseRelay->partialEventBytes() > m_settings.maxEventBytes;
            std::string reason = tooLong ? "an event exceeds the maximum size after event " : "no complete event in time after event ";
            reason += state.sseRelay->lastEventId();
            const SendResult result = recordIncompleteResponse(state, std::move(reason), outcome);
            outcome = tooLong ? outcome : routing::SendOutcome::TimedOut;
            co_return result;
        }
        const milliseconds timeout = std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(deadline - m_context.now()));
        auto chunk = co_await call.readSome(timeout);
        state.partialEventBytes = state.sseRelay->partialEventBytes();
        if (!chunk) {
            outcome = state.cancellation->cancelled ? routing::SendOutcome::ClientDisconnected
                : chunk.error().timedOut            ? routing::SendOutcome::TimedOut
                                                    : routing::SendOutcome::Incomplete;
            state.lastFailure = "stream interrupted after event " + state.sseRelay->lastEventId() + ": " + chunk.error().message;
            state.excludedUpstreams.insert(state.lastUpstream);
            co_return failedSendResult(state);
        }
        const bool complete = chunk.value().empty();
        std::string output = complete ? state.sseRelay->finish(call.bodyEnd()) : state.sseRelay->feed(chunk.value());
        if (!output.empty()) {
            const core::TimePoint now = m_context.now();
            if (state.sseRelay->forwardedEventCount() > 1 && state.lastEventTime != core::TimePoint{}) {
                state.maxEventGap = std::max(state.maxEventGap, now - state.lastEventTime);
            }
            state.lastEventTime = now;
            lastOutputAt = now;
            if (std::exchange(isFirstOutput, false)) {
                m_placement.recordFirstEvent(state.placementId());
                if (!fromPeer) {
                    m_quarantine.recordFirstEvent(state.head.prompt);
                }
                state.firstEventTime = now;
                m_context.metrics.observeDuration("arbutus_first_event_seconds", "", m_context.now() - state.receivedAt);
            }
            if (!co_await state.exchange.writeChunk(output)) {
                state.cancellation->cancel();
                continue;
            }
        }
        if (state.sseRelay->hasGap() || state.sseRelay->isTruncated()) {
            call.cancel();
            std::string reason = state.sseRelay->hasGap() ? "stream has a gap after event " : "stream was cut off after event ";
            reason += state.sseRelay->lastEventId();
            co_return recordIncompleteResponse(state, std::move(reason), outcome);
        }
        if (complete) {
            outcome = routing::SendOutcome::Completed;
            co_await state.exchange.endResponse();
            logCompletion(state, head.status, fromPeer ? "streamed_by_peer" : "streamed");
            co_return SendResult::Finished;
        }
    }
}

//-----------------------------------------------------------------------------
// Responses
//-----------------------------------------------------------------------------

asio::awaitable<void> Forwarder::respond(RequestState &state, http::Response &response)
{
    response.headers = m_context.adapter.clientHeaders(response.headers);
    for (const char *name : PeerHeaders) {
        response.headers.erase(name);
    }
    if (state.fromPeer) {
        response.headers[OutcomeHeader] = std::string(OutcomeAnswered);
        response.headers[SendCountHeader] = std::to_string(state.sendCount);
        response.headers[PossibleExecutionsHeader] = std::to_string(state.possibleExecutions);
    }
    co_await state.exchange.respond(response);
}

asio::awaitable<void> Forwarder::respondWithFailure(RequestState &state, bool mayHaveExecuted, bool timedOut)
{
    if (state.responseStarted) { // aborting the connection shows the client that the stream is incomplete
        state.exchange.abort();
        logCompletion(state, 200, "stream_broken");
        co_return;
    }
    const bool wronglyImpliesNotExecuted = state.upstreamFailure && impliesNotExecuted(state.upstreamFailure->status) && !state.isRepeatable();
    if (state.upstreamFailure && !wronglyImpliesNotExecuted) {
        const unsigned status = state.upstreamFailure->status;
        co_await respond(state, *state.upstreamFailure);
        logCompletion(state, status, "upstream_failure");
        co_return;
    }
    if (state.quarantinedCause) {
        m_context.metrics.incrementCounter("arbutus_quarantine_refusals_total");
    }
    if (!mayHaveExecuted && state.quarantinedCause) {
        co_await respondWithError(state, 503, core::ErrorKind::Quarantined, "request was not executed: " + state.lastFailure, m_settings.quarantineRetryAfter);
        co_return;
    }
    if (!mayHaveExecuted) {
        std::string message = "request was not executed: no upstream is available in time";
        if (!state.lastFailure.empty()) { // not a conditional expression in the call: GCC 12 destroys temporaries of one in a co_await twice
            message = "request was not executed: " + state.lastFailure;
        }
        co_await respondWithError(state, 503, core::ErrorKind::Overloaded, message, state.retryAfter);
        co_return;
    }
    if (timedOut) {
        co_await respondWithError(state, 504, core::ErrorKind::DeadlineExceeded, "no response before the deadline; the request may have been executed", {});
        co_return;
    }
    co_await respondWithError(state, 502, core::ErrorKind::UpstreamFailed, "no complete response from the upstream; the request may have been executed", {});
}

asio::awaitable<void>
Forwarder::respondWithError(RequestState &state, unsigned status, core::ErrorKind kind, const std::string &message, core::Duration retryAfter)
{
    core::Error error = core::makeError(kind, message);
    error.outcome = status == 502 || status == 504 ? core::Outcome::Unknown : core::Outcome::NotRun;
    http::Response response = http::jsonResponse(status, core::toJson(error));
    if (status == 503) {
        constexpr core::Duration MinRetryAfter = milliseconds(100);
        response.headers["Retry-After"] = formatSeconds(std::max(retryAfter, MinRetryAfter));
    }
    if (state.fromPeer) {
        response.headers[OutcomeHeader] = std::string(kind == core::ErrorKind::Quarantined         ? OutcomeQuarantined
                                                          : error.outcome == core::Outcome::NotRun ? OutcomeNotExecuted
                                                                                                   : OutcomeUnknown);
        response.headers[SendCountHeader] = std::to_string(state.sendCount);
        response.headers[PossibleExecutionsHeader] = std::to_string(state.possibleExecutions);
    }
    co_await state.exchange.respond(response);
    logCompletion(state, status, error.message);
}

void Forwarder::logCompletion(const RequestState &state, unsigned status, std::string_view outcome)
{
    const auto elapsed = m_context.now() - state.receivedAt;
    const std::string route = state.route == nullptr ? "" : state.route->id.text;
    m_context.metrics.incrementCounter("arbutus_requests_total", "status=\"" + std::to_string(status) + "\"");
    m_context.metrics.observeDuration("arbutus_request_seconds", "", elapsed);
    m_context.writeLog(observe::LogLine("request")
                           .add("request", state.head.attemptId)
                           .add("origin", state.origin)
                           .add("route", route)
                           .add("service", state.service)
                           .add("configuration", state.catalog ? state.catalog->version().value : 0)
                           .add("status", status)
                           .add("outcome", outcome)
                           .add("reason", state.lastFailure)
                           .add("upstream", state.lastUpstream)
                           .add("took_ms", core::toMilliseconds(elapsed))
                           .add("placements", state.placements)
                           .add("upstream_sends", state.sendCount)
                           .add("first_event_ms", state.firstEventTime == core::TimePoint{} ? 0 : core::toMilliseconds(state.firstEventTime - state.receivedAt))
                           .add("max_event_gap_ms", core::toMilliseconds(state.maxEventGap))
                           .add("events", state.sseRelay ? state.sseRelay->forwardedEventCount() : 0));
}

} // namespace arbutus::edge
