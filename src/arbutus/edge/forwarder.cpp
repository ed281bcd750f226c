// One request from its headers to its answer.
//
// Sections:
//   Job         what is known of one request
//   Accepting   headers, route, body
//   Placing     the loop over places
//   Sending     to an upstream, to a peer
//   Answers     whole ones and streams
//   Endings     refusals, failures, logs

#include "arbutus/edge/forwarder.h"
#include "arbutus/core/overloaded.h"
#include "arbutus/edge/sserelay.h"

#include <charconv>
#include <cmath>

namespace arbutus::edge {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// Headers between instances; set by the sender on the peers' listener, and never passed on.
constexpr const char *HopOrigin = "X-Gateway-Origin";   // instance that the caller is connected to
constexpr const char *HopService = "X-Gateway-Service"; // that it has chosen
constexpr const char *HopSends = "X-Gateway-Sends";     // sends to upstreams so far
constexpr const char *HopRuns = "X-Gateway-Runs";       // of these, upstreams that may have run it
constexpr const char *HopResume = "X-Gateway-Resume";   // last event that the caller has
constexpr const char *HopOutcome = "X-Gateway-Outcome"; // in the answer: see the values below
constexpr std::string_view OutcomeAnswered = "answered";
constexpr std::string_view OutcomeNotRun = "not_run";
constexpr std::string_view OutcomeUnknown = "unknown";
constexpr std::array HopHeaders = {HopOrigin, HopService, HopSends, HopRuns, HopResume, HopOutcome};

/// Statuses by which a gateway promises that a request has not run.
bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::size_t countOf(const std::string &text)
{
    std::size_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string secondsText(core::Duration duration)
{
    char text[32];
    (void)std::snprintf(text, sizeof text, "%.2f", std::chrono::duration<double>(duration).count());
    return text;
}

} // namespace

//-----------------------------------------------------------------------------
// Job
//-----------------------------------------------------------------------------

struct Forwarder::RequestState
{
    RequestState(http::Exchange &theExchange, core::TimePoint now)
        : exchange(theExchange)
        , arrivedAt(now)
    {
    }

    http::Exchange &exchange;
    http::Request request; // without headers between instances
    RequestHead head;
    catalog::CatalogPointer catalog;
    const catalog::Route *route = nullptr;
    core::ServiceId service;
    bool fromPeer = false;
    std::string origin; // instance that the caller is connected to
    core::TimePoint arrivedAt;
    core::TimePoint endAt{}; // the caller gets its answer by then
    core::TimePoint onTimeUntil{};
    core::TimePoint usefulUntil{}; // a first event, or an answer, after that is worth nothing
    std::shared_ptr<CancellationToken> token = std::make_shared<CancellationToken>();
    std::set<core::UpstreamId> tried;
    std::set<core::RegionId> triedRegions;
    std::size_t placements = 0;
    std::size_t sends = 0;                         // that reached an upstream
    std::size_t runs = 0;                          // that an upstream may have run
    std::optional<http::Response> upstreamFailure; // its own answer, to be given if nothing better comes
    bool begun = false;                            // the head of a stream is with the caller
    std::optional<SseRelay> events;
    core::Duration retryAfter{};
    std::string lastWhy; // of the last failed send, for the log
    core::UpstreamId lastUpstream;
    std::string lastAddress;
    core::TimePoint firstEventAt{};
    core::TimePoint lastEventAt{};
    core::Duration longestPause{}; // between events of the stream

    [[nodiscard]] bool mayRepeat() const
    {
        return route->executionSemantics == catalog::ExecutionSemantics::Repeatable;
    }
    [[nodiscard]] bool stream() const
    {
        return route->responseMode == catalog::ResponseMode::Stream;
    }
    [[nodiscard]] routing::PlacementId workId() const
    {
        return routing::PlacementId(head.attemptId + "/" + std::to_string(placements));
    }
};

Forwarder::Forwarder(
    InstanceContext &context, Fleet &fleet, MetadataCache &beliefs, PlacementService &placement, std::uint64_t seed, ForwarderSettings settings)
    : m_context(context)
    , m_fleet(fleet)
    , m_beliefs(beliefs)
    , m_placement(placement)
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
    return request.headers.contains(HopOrigin);
}

//-----------------------------------------------------------------------------
// Accepting
//-----------------------------------------------------------------------------

asio::awaitable<void> Forwarder::handleRequest(http::Exchange &exchange)
{
    RequestState job(exchange, m_context.now());
    job.request = exchange.request();
    for (const char *name : HopHeaders) {
        job.request.headers.erase(name); // only instances may set these
    }
    if (co_await acceptRequest(job)) {
        co_await placeAndSend(job);
    }
}

asio::awaitable<void> Forwarder::handleForwardedRequest(http::Exchange &exchange)
{
    RequestState job(exchange, m_context.now());
    job.request = exchange.request();
    job.fromPeer = true;
    job.origin = http::headerValue(job.request.headers, HopOrigin);
    job.service = core::ServiceId(http::headerValue(job.request.headers, HopService));
    job.sends = countOf(http::headerValue(job.request.headers, HopSends));
    job.runs = countOf(http::headerValue(job.request.headers, HopRuns));
    const std::string resume = http::headerValue(job.request.headers, HopResume);
    for (const char *name : HopHeaders) {
        job.request.headers.erase(name);
    }
    if (!resume.empty()) {
        job.events.emplace(resume);
    }
    if (co_await acceptRequest(job)) {
        co_await placeAndSend(job);
    }
}

asio::awaitable<bool> Forwarder::acceptRequest(RequestState &job)
{
    job.catalog = m_beliefs.catalog();
    auto head = m_context.adapter.parseRequest(job.request);
    if (!head) {
        co_await respondWithError(job, 400, core::ErrorKind::BadRequest, head.error().message, {});
        co_return false;
    }
    job.head = std::move(head.value());
    if (!job.catalog) {
        co_await respondWithError(job, 503, core::ErrorKind::PlatformDown, "no configuration is known yet", m_settings.noCatalogRetryAfter);
        co_return false;
    }
    job.route = job.catalog->matchRoute(job.head.host, job.head.path);
    if (job.route == nullptr) {
        co_await respondWithError(job, 404, core::ErrorKind::NotFound, "no route matches", {});
        co_return false;
    }
    if (job.fromPeer && !job.route->allowsRegion(m_context.settings.region)) {
        co_await respondWithError(job, 503, core::ErrorKind::ResidencyRefused, "the route may not be served in this region", {});
        co_return false;
    }
    if (job.service.empty()) {
        job.service = job.route->serviceFor(job.head.attemptId);
    }
    const auto read = co_await job.exchange.readBody();
    if (!read) {
        co_await respondWithError(job, core::httpStatus(read.error().kind), read.error().kind, read.error().message, {});
        co_return false;
    }
    job.request.body = job.exchange.request().body;
    auto wait = job.route->timeout;
    if (job.head.timeout) {
        wait = std::min(wait, *job.head.timeout - m_settings.deadlineMargin);
    }
    job.endAt = job.arrivedAt + wait;
    job.onTimeUntil = job.arrivedAt + job.route->latencyObjective;
    job.usefulUntil = job.endAt;
    if (job.stream()) { // callers leave a stream whose first event does not come
        const auto patience =
            std::max({m_settings.minAbandonmentTime,
                      milliseconds(std::llround(m_settings.abandonmentObjectiveFactor * static_cast<double>(job.route->latencyObjective.count()))),
                      milliseconds(std::llround(m_settings.abandonmentGapFactor * static_cast<double>(job.route->maxEventGap.count())))});
        job.usefulUntil = std::min(job.endAt, job.arrivedAt + patience - m_settings.abandonmentMargin);
    }
    job.exchange.onClientDisconnect([token = job.token] { token->cancel(); });
    co_return true;
}

//-----------------------------------------------------------------------------
// Placing
//-----------------------------------------------------------------------------

routing::PlacementRequest Forwarder::makePlacementRequest(RequestState &job)
{
    ++job.placements;
    routing::PlacementRequest ask;
    ask.id = job.workId();
    ask.service = job.service;
    ask.priority = job.route->priority;
    ask.latencyDeadline = job.onTimeUntil;
    ask.responseDeadline = job.begun ? job.endAt : job.usefulUntil;
    ask.completionDeadline = job.endAt;
    ask.prompt = job.head.prompt;
    ask.promptTokens = job.head.promptTokens;
    ask.outputTokens = job.head.expectedOutputTokens;
    ask.allowOtherRegions = !job.fromPeer;
    ask.allowedRegions = job.route->homeRegions;
    ask.excludedUpstreams = job.tried;
    ask.excludedRegions = job.triedRegions;
    return ask;
}

bool Forwarder::canRetry(RequestState &job)
{
    const core::TimePoint now = m_context.now();
    if (job.token->cancelled || job.placements >= m_settings.maxPlacements || now >= (job.begun ? job.endAt : job.usefulUntil)) {
        return false;
    }
    if (job.runs >= job.route->maxUpstreamsPerAttempt) {
        return false;
    }
    return job.sends == 0 || m_retryBudget.remaining(job.service, m_fleet.knownMemberCount(), now) >= 1;
}

asio::awaitable<void> Forwarder::placeAndSend(RequestState &job)
{
    bool mayHaveRun = false;
    while (true) {
        routing::PlacementRequest ask = makePlacementRequest(job);
        const routing::PlacementDecision verdict = co_await m_placement.place(ask, job.token);
        if (job.token->cancelled) {
            logCompletion(job, 0, "client_disconnected");
            co_return;
        }
        SendResult sent = SendResult::NotExecuted;
        if (const auto *granted = std::get_if<routing::Granted>(&verdict)) {
            sent = co_await sendToUpstream(job, *granted);
        } else if (const auto *elsewhere = std::get_if<routing::Redirected>(&verdict)) {
            const core::RegionId region = elsewhere->region;
            sent = co_await sendToPeer(job, region);
        } else if (const auto *refused = std::get_if<routing::Refused>(&verdict)) {
            job.retryAfter = refused->retryAfter;
            break;
        }
        if (sent == SendResult::Finished) {
            co_return;
        }
        if (job.token->cancelled) {
            logCompletion(job, 0, "client_disconnected");
            co_return;
        }
        mayHaveRun = mayHaveRun || sent != SendResult::NotExecuted;
        if (sent == SendResult::NotRetryable || !canRetry(job)) {
            break;
        }
    }
    co_await respondWithFailure(job, mayHaveRun, m_context.now() >= job.endAt);
}

//-----------------------------------------------------------------------------
// Sending
//-----------------------------------------------------------------------------

Forwarder::SendResult Forwarder::failedSendResult(const RequestState &job) const
{
    return job.mayRepeat() ? SendResult::Retryable : SendResult::NotRetryable;
}

asio::awaitable<Forwarder::SendResult> Forwarder::sendToUpstream(RequestState &job, const routing::Granted &granted)
{
    const core::TimePoint now = m_context.now();
    const routing::PlacementId work = job.workId();
    job.lastUpstream = granted.upstream;
    job.lastAddress = granted.address;
    if (job.sends == 0) {
        m_retryBudget.recordFirstSend(job.service, now);
    } else if (!m_retryBudget.tryRetry(job.service, m_fleet.knownMemberCount(), now)) {
        m_placement.recordCompletion(work, routing::SendOutcome::NeverSent);
        job.lastWhy = "retry budget spent";
        co_return SendResult::NotExecuted;
    }
    const catalog::Service *service = job.catalog->findService(job.service);
    UpstreamRequestOptions terms;
    terms.expectedUpstream = granted.upstream;
    terms.timeout = std::chrono::duration_cast<milliseconds>(job.endAt - now);
    terms.priority = job.route->priority;
    terms.isModelEngine = service != nullptr && service->engine.has_value();
    if (job.events) {
        terms.resumeAfterEventId = job.events->lastEventId();
    }
    http::Request request = job.request;
    request.headers = m_context.adapter.upstreamHeaders(job.request, terms);

    bool connected = false;
    http::CallOptions options;
    options.pool = &m_upstreamConnections;
    options.retryOnStaleConnection = false; // a second send is this class's decision
    options.maxIdleTime = job.mayRepeat() ? m_settings.repeatableMaxIdleTime : m_settings.atMostOnceMaxIdleTime;
    options.connectTimeout = m_settings.upstreamConnectTimeout;
    options.matchesResponse = [&](const http::Headers &headers) { return m_context.adapter.isResponseTo(headers, job.head.attemptId); };
    options.onConnected = [&](bool opened) {
        connected = true;
        m_context.metrics.incrementCounter("arbutus_upstream_sends_total", opened ? "connection=\"new\"" : "connection=\"kept\"");
    };
    const http::Endpoint endpoint = http::parseEndpoint(granted.address);
    http::Call call(m_context.executor, endpoint, std::move(options));
    job.token->onCancel = [&call] { call.cancel(); };

    const milliseconds left = std::max(milliseconds(1), terms.timeout);
    milliseconds silence = left;
    if (job.mayRepeat()) {
        const auto predicted = std::chrono::duration<double, std::milli>(granted.predictedLatency).count();
        silence = std::min(left, std::max(m_settings.minFirstByteTimeout, milliseconds(std::llround(m_settings.firstByteTimeoutFactor * predicted))));
    }
    auto head = co_await call.start(request, silence);
    SendResult sent = SendResult::NotExecuted;
    routing::SendOutcome ending = routing::SendOutcome::Unreachable;
    job.sends += connected ? 1 : 0;
    if (head) {
        sent = co_await handleResponse(job, call, head.value(), false, ending);
    } else if (job.token->cancelled) {
        ending = routing::SendOutcome::ClientDisconnected;
        job.runs += connected ? 1 : 0;
        sent = failedSendResult(job);
    } else {
        job.lastWhy = head.error().message;
        const bool stale = head.error().connectionReused && !head.error().timedOut;
        if (connected) {
            ++job.runs;
            ending = head.error().timedOut ? routing::SendOutcome::TimedOut : routing::SendOutcome::Incomplete;
            ending = stale ? routing::SendOutcome::NeverSent : ending; // the connection was old; says nothing of the upstream
            sent = failedSendResult(job);
        }
        if (!stale) {
            job.tried.insert(granted.upstream);
        } else if (job.mayRepeat()) {
            --job.runs; // the same upstream gets it again
        }
    }
    job.token->onCancel = nullptr;
    m_placement.recordCompletion(work, ending);
    m_context.writeLog(observe::LogLine("upstream_attempt_finished")
                           .add("request", work)
                           .add("upstream", granted.upstream)
                           .add("outcome", routing::toString(ending))
                           .add("reason", job.lastWhy)
                           .add("took_ms", core::toMilliseconds(m_context.now() - now))
                           .add("first_event_ms", job.firstEventAt > now ? core::toMilliseconds(job.firstEventAt - now) : 0)
                           .add("predicted_ms", core::toMilliseconds(granted.predictedLatency))
                           .add("upstream_sends", job.sends)
                           .add("runs", job.runs));
    co_return sent;
}

std::optional<membership::Member> Forwarder::pickPeer(const core::RegionId &region)
{
    const auto &members = m_fleet.dispatcherRanking(region);
    double total = 0;
    for (const membership::Member &member : members) {
        total += member.capacity;
    }
    double point = total * (static_cast<double>(m_random()) / 4294967296.0); // 2^32
    for (const membership::Member &member : members) {
        point -= member.capacity;
        if (point < 0) {
            return member;
        }
    }
    return members.empty() ? std::nullopt : std::optional(members.back());
}

asio::awaitable<Forwarder::SendResult> Forwarder::sendToPeer(RequestState &job, const core::RegionId &region)
{
    const core::TimePoint now = m_context.now();
    const auto peer = pickPeer(region);
    if (!peer) {
        job.triedRegions.insert(region);
        job.lastWhy = "no instance in " + region.text;
        co_return SendResult::NotExecuted;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(job.endAt - now);
    http::Request request = job.request;
    request.headers = m_context.adapter.peerHeaders(job.request, std::max(milliseconds(1), left - m_settings.crossRegionOverhead / 2));
    request.headers[HopOrigin] = m_context.settings.instanceId.text;
    request.headers[HopService] = job.service.text;
    request.headers[HopSends] = std::to_string(job.sends);
    request.headers[HopRuns] = std::to_string(job.runs);
    if (job.events && !job.events->lastEventId().empty()) {
        request.headers[HopResume] = job.events->lastEventId();
    }
    bool connected = false;
    http::CallOptions options;
    options.pool = &m_peerConnections;
    options.retryOnStaleConnection = false;
    options.maxIdleTime = m_settings.peerMaxIdleTime;
    options.connectTimeout = m_settings.peerConnectTimeout;
    options.onConnected = [&](bool) { connected = true; };
    const http::Endpoint endpoint = http::parseEndpoint(peer->peerAddress);
    http::Call call(m_context.executor, endpoint, std::move(options));
    job.token->onCancel = [&call] { call.cancel(); };
    auto head = co_await call.start(request, std::max(milliseconds(1), left));
    SendResult sent = SendResult::NotExecuted;
    routing::SendOutcome ending = routing::SendOutcome::Unreachable;
    std::string outcome;
    if (head) {
        outcome = http::headerValue(head.value().headers, HopOutcome);
        job.sends = std::max(job.sends, countOf(http::headerValue(head.value().headers, HopSends)));
        job.runs = std::max(job.runs, countOf(http::headerValue(head.value().headers, HopRuns)));
        if (outcome == OutcomeNotRun) {
            job.triedRegions.insert(region);
            job.lastWhy = "refused by " + peer->id.text;
        } else if (outcome == OutcomeUnknown) {
            job.triedRegions.insert(region);
            job.lastWhy = "unknown at " + peer->id.text;
            sent = failedSendResult(job);
        } else {
            sent = co_await handleResponse(job, call, head.value(), true, ending);
        }
    } else {
        job.lastWhy = head.error().message;
        job.triedRegions.insert(region);
        if (connected) { // the peer may have sent it on
            ++job.runs;
            ++job.sends;
            sent = failedSendResult(job);
        }
    }
    job.token->onCancel = nullptr;
    m_context.writeLog(observe::LogLine("peer_attempt_finished")
                           .add("request", job.workId())
                           .add("peer", peer->id)
                           .add("region", region)
                           .add("outcome", outcome)
                           .add("reason", job.lastWhy)
                           .add("took_ms", core::toMilliseconds(m_context.now() - now)));
    co_return sent;
}

//-----------------------------------------------------------------------------
// Answers
//-----------------------------------------------------------------------------

asio::awaitable<Forwarder::SendResult>
Forwarder::handleResponse(RequestState &job, http::Call &call, http::Response &head, bool fromPeer, routing::SendOutcome &ending)
{
    const ResponseHead said = m_context.adapter.parseResponse(head, job.head.attemptId);
    switch (said.kind) {
    case ResponseKind::NotExecuted:
    case ResponseKind::Misdirected: {
        constexpr auto RestTimeout = milliseconds(200); // of a short body, so that the connection can be kept
        const auto rest = co_await call.readAll(RestTimeout);
        job.lastWhy = rest ? "turned away" : "turned away, " + rest.error().message;
        job.tried.insert(job.lastUpstream);
        ending = routing::SendOutcome::Rejected;
        if (said.kind == ResponseKind::Misdirected) {
            ending = routing::SendOutcome::Unreachable; // another upstream has the address
            closeIdleConnections(job.lastAddress);
        }
        co_return SendResult::NotExecuted;
    }
    case ResponseKind::Unverified:
        call.cancel();
        job.runs += fromPeer ? 0 : 1; // a peer tells its count
        job.tried.insert(job.lastUpstream);
        job.lastWhy = "the answer does not show that the upstream gave it";
        ending = routing::SendOutcome::Incomplete;
        co_return failedSendResult(job);
    case ResponseKind::ErrorStatus:
    case ResponseKind::Success:
        break;
    }
    job.runs += fromPeer ? 0 : 1;
    if (job.stream() && said.kind == ResponseKind::Success) {
        co_return co_await relayStream(job, call, head, fromPeer, ending);
    }
    co_return co_await relayBuffered(job, call, head, fromPeer, ending);
}

asio::awaitable<Forwarder::SendResult>
Forwarder::relayBuffered(RequestState &job, http::Call &call, http::Response &head, bool fromPeer, routing::SendOutcome &ending)
{
    const bool success = head.status >= 200 && head.status < 300;
    auto body = co_await call.readAll(std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(job.endAt - m_context.now())));
    if (!body) {
        ending = job.token->cancelled ? routing::SendOutcome::ClientDisconnected : routing::SendOutcome::Incomplete;
        job.lastWhy = "answer not whole: " + body.error().message;
        job.tried.insert(job.lastUpstream);
        co_return failedSendResult(job);
    }
    head.body = std::move(body.value());
    if (success) {
        ending = routing::SendOutcome::Completed;
        const unsigned status = head.status;
        co_await respond(job, head);
        logCompletion(job, status, fromPeer ? "answered_by_peer" : "answered");
        co_return SendResult::Finished;
    }
    ending = routing::SendOutcome::ServerError;
    job.lastWhy = "status " + std::to_string(head.status);
    job.tried.insert(job.lastUpstream);
    job.upstreamFailure = std::move(head);
    co_return failedSendResult(job);
}

asio::awaitable<Forwarder::SendResult>
Forwarder::relayStream(RequestState &job, http::Call &call, http::Response &head, bool fromPeer, routing::SendOutcome &ending)
{
    if (!job.events) {
        job.events.emplace(job.head.lastEventId);
    } else {
        job.events->resume();
    }
    if (!job.begun) {
        job.begun = true;
        http::Response begin;
        begin.status = head.status;
        begin.headers = m_context.adapter.clientHeaders(head.headers);
        if (job.fromPeer) {
            begin.headers[HopOutcome] = std::string(OutcomeAnswered);
            begin.headers[HopSends] = std::to_string(job.sends);
            begin.headers[HopRuns] = std::to_string(job.runs);
        } else {
            for (const char *name : HopHeaders) {
                begin.headers.erase(name);
            }
        }
        if (!co_await job.exchange.beginResponse(begin)) {
            job.token->cancel();
        }
    }
    bool first = true;
    while (true) {
        if (job.token->cancelled) {
            call.cancel();
            ending = routing::SendOutcome::ClientDisconnected;
            co_return SendResult::NotRetryable;
        }
        milliseconds wait = std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(job.endAt - m_context.now()));
        if (job.mayRepeat()) {
            wait = std::min(wait, m_settings.streamIdleTimeout);
        }
        auto piece = co_await call.readSome(wait);
        if (!piece) {
            ending = job.token->cancelled ? routing::SendOutcome::ClientDisconnected
                : piece.error().timedOut  ? routing::SendOutcome::TimedOut
                                          : routing::SendOutcome::Incomplete;
            job.lastWhy = "stream broken after event " + job.events->lastEventId() + ": " + piece.error().message;
            job.tried.insert(job.lastUpstream);
            co_return failedSendResult(job);
        }
        const bool whole = piece.value().empty();
        std::string out = whole ? job.events->finish() : job.events->feed(piece.value());
        if (job.events->hasGap()) {
            call.cancel();
            ending = routing::SendOutcome::Incomplete;
            job.lastWhy = "an event is missing after " + job.events->lastEventId();
            job.tried.insert(job.lastUpstream);
            co_return failedSendResult(job);
        }
        if (!out.empty()) {
            const core::TimePoint now = m_context.now();
            if (job.events->forwardedEventCount() > 1 && job.lastEventAt != core::TimePoint{}) {
                job.longestPause = std::max(job.longestPause, now - job.lastEventAt);
            }
            job.lastEventAt = now;
            if (std::exchange(first, false)) {
                m_placement.recordFirstEvent(job.workId());
                job.firstEventAt = now;
                m_context.metrics.observeDuration("arbutus_first_event_seconds", "", m_context.now() - job.arrivedAt);
            }
            if (!co_await job.exchange.writeChunk(out)) {
                job.token->cancel();
                continue;
            }
        }
        if (whole) {
            ending = routing::SendOutcome::Completed;
            co_await job.exchange.endResponse();
            logCompletion(job, head.status, fromPeer ? "streamed_by_peer" : "streamed");
            co_return SendResult::Finished;
        }
    }
}

//-----------------------------------------------------------------------------
// Endings
//-----------------------------------------------------------------------------

asio::awaitable<void> Forwarder::respond(RequestState &job, http::Response &response)
{
    response.headers = m_context.adapter.clientHeaders(response.headers);
    for (const char *name : HopHeaders) {
        response.headers.erase(name);
    }
    if (job.fromPeer) {
        response.headers[HopOutcome] = std::string(OutcomeAnswered);
        response.headers[HopSends] = std::to_string(job.sends);
        response.headers[HopRuns] = std::to_string(job.runs);
    }
    co_await job.exchange.respond(response);
}

asio::awaitable<void> Forwarder::respondWithFailure(RequestState &job, bool mayHaveRun, bool timedOut)
{
    if (job.begun) { // the caller sees that the stream is not whole
        job.exchange.abort();
        logCompletion(job, 200, "stream_broken");
        co_return;
    }
    const bool notRunStatus = job.upstreamFailure && promisesNotRun(job.upstreamFailure->status) && !job.mayRepeat();
    if (job.upstreamFailure && !notRunStatus) {
        const unsigned status = job.upstreamFailure->status;
        co_await respond(job, *job.upstreamFailure);
        logCompletion(job, status, "upstream_failure");
        co_return;
    }
    if (!mayHaveRun) {
        std::string why = "not run: no place in time";
        if (!job.lastWhy.empty()) { // not in the call: GCC 12 destroys conditional temporaries of a co_await twice
            why = "not run: " + job.lastWhy;
        }
        co_await respondWithError(job, 503, core::ErrorKind::Overloaded, why, job.retryAfter);
        co_return;
    }
    if (timedOut) {
        co_await respondWithError(job, 504, core::ErrorKind::DeadlineExceeded, "no answer in time; it may have run", {});
        co_return;
    }
    co_await respondWithError(job, 502, core::ErrorKind::UpstreamFailed, "no whole answer; it may have run", {});
}

asio::awaitable<void>
Forwarder::respondWithError(RequestState &job, unsigned status, core::ErrorKind kind, const std::string &message, core::Duration retryAfter)
{
    core::Error error = core::makeError(kind, message);
    error.outcome = status == 502 || status == 504 ? core::Outcome::Unknown : core::Outcome::NotRun;
    http::Response response = http::jsonResponse(status, core::toJson(error));
    if (status == 503) {
        constexpr core::Duration LeastRetry = milliseconds(100);
        response.headers["Retry-After"] = secondsText(std::max(retryAfter, LeastRetry));
    }
    if (job.fromPeer) {
        response.headers[HopOutcome] = std::string(error.outcome == core::Outcome::NotRun ? OutcomeNotRun : OutcomeUnknown);
        response.headers[HopSends] = std::to_string(job.sends);
        response.headers[HopRuns] = std::to_string(job.runs);
    }
    co_await job.exchange.respond(response);
    logCompletion(job, status, error.message);
}

void Forwarder::logCompletion(const RequestState &job, unsigned status, std::string_view outcome)
{
    const auto took = m_context.now() - job.arrivedAt;
    const std::string route = job.route == nullptr ? "" : job.route->id.text;
    m_context.metrics.incrementCounter("arbutus_requests_total", "status=\"" + std::to_string(status) + "\"");
    m_context.metrics.observeDuration("arbutus_request_seconds", "", took);
    m_context.writeLog(observe::LogLine("request")
                           .add("request", job.head.attemptId)
                           .add("origin", job.origin)
                           .add("route", route)
                           .add("service", job.service)
                           .add("configuration", job.catalog ? job.catalog->version().value : 0)
                           .add("status", status)
                           .add("outcome", outcome)
                           .add("reason", job.lastWhy)
                           .add("upstream", job.lastUpstream)
                           .add("took_ms", core::toMilliseconds(took))
                           .add("placements", job.placements)
                           .add("upstream_sends", job.sends)
                           .add("first_event_ms", job.firstEventAt == core::TimePoint{} ? 0 : core::toMilliseconds(job.firstEventAt - job.arrivedAt))
                           .add("max_event_gap_ms", core::toMilliseconds(job.longestPause))
                           .add("events", job.events ? job.events->forwardedEventCount() : 0));
}

} // namespace arbutus::edge
