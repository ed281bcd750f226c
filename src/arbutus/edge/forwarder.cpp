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
#include "arbutus/edge/eventrelay.h"

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

struct Forwarder::Job
{
    Job(http::Exchange &theExchange, core::TimePoint now)
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
    std::shared_ptr<CancelToken> token = std::make_shared<CancelToken>();
    std::set<core::UpstreamId> tried;
    std::set<core::RegionId> triedRegions;
    std::size_t placements = 0;
    std::size_t sends = 0;                         // that reached an upstream
    std::size_t runs = 0;                          // that an upstream may have run
    std::optional<http::Response> upstreamFailure; // its own answer, to be given if nothing better comes
    bool begun = false;                            // the head of a stream is with the caller
    std::optional<EventRelay> events;
    core::Duration retryAfter{};
    std::string lastWhy; // of the last failed send, for the log
    core::UpstreamId lastUpstream;
    std::string lastAddress;
    core::TimePoint firstEventAt{};
    core::TimePoint lastEventAt{};
    core::Duration longestPause{}; // between events of the stream

    [[nodiscard]] bool mayRepeat() const
    {
        return route->repeat == catalog::Repeat::Repeatable;
    }
    [[nodiscard]] bool stream() const
    {
        return route->shape == catalog::AnswerShape::Stream;
    }
    [[nodiscard]] routing::WorkId workId() const
    {
        return routing::WorkId(head.attempt + "/" + std::to_string(placements));
    }
};

Forwarder::Forwarder(Context &context, Fleet &fleet, Beliefs &beliefs, Placement &placement, std::uint64_t seed, ForwarderSettings settings)
    : m_context(context)
    , m_fleet(fleet)
    , m_beliefs(beliefs)
    , m_placement(placement)
    , m_settings(settings)
    , m_budget(limits::SharedRetryBudgetSettings{context.settings.retryRatio, context.settings.retrySlack, context.settings.retryWindow})
    , m_random(seed)
{
}

void Forwarder::closeIdle(const std::string &address)
{
    m_upstreams.closeIdle(http::parseEndpoint(address));
}

bool Forwarder::isHop(const http::Request &request)
{
    return request.headers.contains(HopOrigin);
}

//-----------------------------------------------------------------------------
// Accepting
//-----------------------------------------------------------------------------

asio::awaitable<void> Forwarder::serve(http::Exchange &exchange)
{
    Job job(exchange, m_context.now());
    job.request = exchange.request();
    for (const char *name : HopHeaders) {
        job.request.headers.erase(name); // only instances may set these
    }
    if (co_await accept(job)) {
        co_await run(job);
    }
}

asio::awaitable<void> Forwarder::servePeer(http::Exchange &exchange)
{
    Job job(exchange, m_context.now());
    job.request = exchange.request();
    job.fromPeer = true;
    job.origin = http::headerOf(job.request.headers, HopOrigin);
    job.service = core::ServiceId(http::headerOf(job.request.headers, HopService));
    job.sends = countOf(http::headerOf(job.request.headers, HopSends));
    job.runs = countOf(http::headerOf(job.request.headers, HopRuns));
    const std::string resume = http::headerOf(job.request.headers, HopResume);
    for (const char *name : HopHeaders) {
        job.request.headers.erase(name);
    }
    if (!resume.empty()) {
        job.events.emplace(resume);
    }
    if (co_await accept(job)) {
        co_await run(job);
    }
}

asio::awaitable<bool> Forwarder::accept(Job &job)
{
    job.catalog = m_beliefs.catalog();
    auto head = m_context.dialect.readRequest(job.request);
    if (!head) {
        co_await refuse(job, 400, core::ErrorKind::BadRequest, head.error().message, {});
        co_return false;
    }
    job.head = std::move(head.value());
    if (!job.catalog) {
        co_await refuse(job, 503, core::ErrorKind::PlatformDown, "no configuration is known yet", m_settings.noCatalogRetry);
        co_return false;
    }
    job.route = job.catalog->match(job.head.host, job.head.path);
    if (job.route == nullptr) {
        co_await refuse(job, 404, core::ErrorKind::NotFound, "no route matches", {});
        co_return false;
    }
    if (job.fromPeer && !job.route->allows(m_context.settings.region)) {
        co_await refuse(job, 503, core::ErrorKind::ResidencyRefused, "the route may not be served in this region", {});
        co_return false;
    }
    if (job.service.empty()) {
        job.service = job.route->serviceFor(job.head.attempt);
    }
    const auto read = co_await job.exchange.readBody();
    if (!read) {
        co_await refuse(job, core::httpStatus(read.error().kind), read.error().kind, read.error().message, {});
        co_return false;
    }
    job.request.body = job.exchange.request().body;
    auto wait = job.route->timeout;
    if (job.head.deadline) {
        wait = std::min(wait, *job.head.deadline - m_settings.deadlineMargin);
    }
    job.endAt = job.arrivedAt + wait;
    job.onTimeUntil = job.arrivedAt + job.route->objective;
    job.usefulUntil = job.endAt;
    if (job.stream()) { // callers leave a stream whose first event does not come
        const auto patience = std::max({m_settings.patienceLeast,
                                        milliseconds(std::llround(m_settings.objectivePatience * static_cast<double>(job.route->objective.count()))),
                                        milliseconds(std::llround(m_settings.gapPatience * static_cast<double>(job.route->pauseMost.count())))});
        job.usefulUntil = std::min(job.endAt, job.arrivedAt + patience - m_settings.patienceMargin);
    }
    job.exchange.onCallerGone([token = job.token] { token->cancel(); });
    co_return true;
}

//-----------------------------------------------------------------------------
// Placing
//-----------------------------------------------------------------------------

routing::Ask Forwarder::askOf(Job &job)
{
    ++job.placements;
    routing::Ask ask;
    ask.id = job.workId();
    ask.service = job.service;
    ask.priority = job.route->priority;
    ask.onTimeUntil = job.onTimeUntil;
    ask.usefulUntil = job.begun ? job.endAt : job.usefulUntil;
    ask.endsAt = job.endAt;
    ask.prompt = job.head.prompt;
    ask.promptTokens = job.head.promptTokens;
    ask.outputTokens = job.head.outputTokens;
    ask.mayLeave = !job.fromPeer;
    ask.regions = job.route->homes;
    ask.excluded = job.tried;
    ask.excludedRegions = job.triedRegions;
    return ask;
}

bool Forwarder::mayTryAgain(Job &job)
{
    const core::TimePoint now = m_context.now();
    if (job.token->cancelled || job.placements >= m_settings.sendsMost || now >= (job.begun ? job.endAt : job.usefulUntil)) {
        return false;
    }
    if (job.runs >= job.route->upstreamsMost) {
        return false;
    }
    return job.sends == 0 || m_budget.left(job.service, m_fleet.known(), now) >= 1;
}

asio::awaitable<void> Forwarder::run(Job &job)
{
    bool mayHaveRun = false;
    while (true) {
        routing::Ask ask = askOf(job);
        const routing::Verdict verdict = co_await m_placement.place(ask, job.token);
        if (job.token->cancelled) {
            logEnd(job, 0, "caller_left");
            co_return;
        }
        Sent sent = Sent::NotRun;
        if (const auto *granted = std::get_if<routing::Granted>(&verdict)) {
            sent = co_await sendToUpstream(job, *granted);
        } else if (const auto *elsewhere = std::get_if<routing::Elsewhere>(&verdict)) {
            const core::RegionId region = elsewhere->region;
            sent = co_await sendToPeer(job, region);
        } else if (const auto *refused = std::get_if<routing::Refused>(&verdict)) {
            job.retryAfter = refused->retryAfter;
            break;
        }
        if (sent == Sent::Finished) {
            co_return;
        }
        if (job.token->cancelled) {
            logEnd(job, 0, "caller_left");
            co_return;
        }
        mayHaveRun = mayHaveRun || sent != Sent::NotRun;
        if (sent == Sent::Lost || !mayTryAgain(job)) {
            break;
        }
    }
    co_await giveUp(job, mayHaveRun, m_context.now() >= job.endAt);
}

//-----------------------------------------------------------------------------
// Sending
//-----------------------------------------------------------------------------

Forwarder::Sent Forwarder::failed(const Job &job) const
{
    return job.mayRepeat() ? Sent::MayRepeat : Sent::Lost;
}

asio::awaitable<Forwarder::Sent> Forwarder::sendToUpstream(Job &job, const routing::Granted &granted)
{
    const core::TimePoint now = m_context.now();
    const routing::WorkId work = job.workId();
    job.lastUpstream = granted.upstream;
    job.lastAddress = granted.address;
    if (job.sends == 0) {
        m_budget.noteFirst(job.service, now);
    } else if (!m_budget.trySpend(job.service, m_fleet.known(), now)) {
        m_placement.ended(work, routing::WorkEnding::NeverSent);
        job.lastWhy = "retry budget spent";
        co_return Sent::NotRun;
    }
    const catalog::Service *service = job.catalog->service(job.service);
    SendTerms terms;
    terms.upstream = granted.upstream;
    terms.deadline = std::chrono::duration_cast<milliseconds>(job.endAt - now);
    terms.priority = job.route->priority;
    terms.engine = service != nullptr && service->engine.has_value();
    if (job.events) {
        terms.resumeAfter = job.events->lastEvent();
    }
    http::Request request = job.request;
    request.headers = m_context.dialect.upstreamHeaders(job.request, terms);

    bool connected = false;
    http::CallOptions options;
    options.pool = &m_upstreams;
    options.repeatable = false; // a second send is this class's decision
    options.idleMost = job.mayRepeat() ? m_settings.repeatableIdle : m_settings.onceIdle;
    options.connectTimeout = m_settings.upstreamConnect;
    options.isMine = [&](const http::Headers &headers) { return m_context.dialect.isAnswerTo(headers, job.head.attempt); };
    options.onConnected = [&](bool opened) {
        connected = true;
        m_context.metrics.count("arbutus_upstream_sends_total", opened ? "connection=\"new\"" : "connection=\"kept\"");
    };
    const http::Endpoint endpoint = http::parseEndpoint(granted.address);
    http::Call call(m_context.executor, endpoint, std::move(options));
    job.token->wake = [&call] { call.cancel(); };

    const milliseconds left = std::max(milliseconds(1), terms.deadline);
    milliseconds silence = left;
    if (job.mayRepeat()) {
        const auto predicted = std::chrono::duration<double, std::milli>(granted.predicted).count();
        silence = std::min(left, std::max(m_settings.silenceLeast, milliseconds(std::llround(m_settings.silenceFactor * predicted))));
    }
    auto head = co_await call.start(request, silence);
    Sent sent = Sent::NotRun;
    routing::WorkEnding ending = routing::WorkEnding::Unreachable;
    job.sends += connected ? 1 : 0;
    if (head) {
        sent = co_await takeAnswer(job, call, head.value(), false, ending);
    } else if (job.token->cancelled) {
        ending = routing::WorkEnding::CallerLeft;
        job.runs += connected ? 1 : 0;
        sent = failed(job);
    } else {
        job.lastWhy = head.error().message;
        const bool stale = head.error().reused && !head.error().timedOut;
        if (connected) {
            ++job.runs;
            ending = head.error().timedOut ? routing::WorkEnding::Silent : routing::WorkEnding::Broken;
            ending = stale ? routing::WorkEnding::NeverSent : ending; // the connection was old; says nothing of the upstream
            sent = failed(job);
        }
        if (!stale) {
            job.tried.insert(granted.upstream);
        } else if (job.mayRepeat()) {
            --job.runs; // the same upstream gets it again
        }
    }
    job.token->wake = nullptr;
    m_placement.ended(work, ending);
    m_context.write(observe::LogLine("sent")
                        .add("request", work)
                        .add("upstream", granted.upstream)
                        .add("ending", routing::toString(ending))
                        .add("why", job.lastWhy)
                        .add("took_ms", core::toMilliseconds(m_context.now() - now))
                        .add("first_event_ms", job.firstEventAt > now ? core::toMilliseconds(job.firstEventAt - now) : 0)
                        .add("predicted_ms", core::toMilliseconds(granted.predicted))
                        .add("sends", job.sends)
                        .add("runs", job.runs));
    co_return sent;
}

std::optional<membership::Member> Forwarder::peerIn(const core::RegionId &region)
{
    const auto &members = m_fleet.dutyOrder(region);
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

asio::awaitable<Forwarder::Sent> Forwarder::sendToPeer(Job &job, const core::RegionId &region)
{
    const core::TimePoint now = m_context.now();
    const auto peer = peerIn(region);
    if (!peer) {
        job.triedRegions.insert(region);
        job.lastWhy = "no instance in " + region.text;
        co_return Sent::NotRun;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(job.endAt - now);
    http::Request request = job.request;
    request.headers = m_context.dialect.peerHeaders(job.request, std::max(milliseconds(1), left - m_settings.hopOverhead / 2));
    request.headers[HopOrigin] = m_context.settings.id.text;
    request.headers[HopService] = job.service.text;
    request.headers[HopSends] = std::to_string(job.sends);
    request.headers[HopRuns] = std::to_string(job.runs);
    if (job.events && !job.events->lastEvent().empty()) {
        request.headers[HopResume] = job.events->lastEvent();
    }
    bool connected = false;
    http::CallOptions options;
    options.pool = &m_peers;
    options.repeatable = false;
    options.idleMost = m_settings.peerIdle;
    options.connectTimeout = m_settings.peerConnect;
    options.onConnected = [&](bool) { connected = true; };
    const http::Endpoint endpoint = http::parseEndpoint(peer->peerAddress);
    http::Call call(m_context.executor, endpoint, std::move(options));
    job.token->wake = [&call] { call.cancel(); };
    auto head = co_await call.start(request, std::max(milliseconds(1), left));
    Sent sent = Sent::NotRun;
    routing::WorkEnding ending = routing::WorkEnding::Unreachable;
    std::string outcome;
    if (head) {
        outcome = http::headerOf(head.value().headers, HopOutcome);
        job.sends = std::max(job.sends, countOf(http::headerOf(head.value().headers, HopSends)));
        job.runs = std::max(job.runs, countOf(http::headerOf(head.value().headers, HopRuns)));
        if (outcome == OutcomeNotRun) {
            job.triedRegions.insert(region);
            job.lastWhy = "refused by " + peer->id.text;
        } else if (outcome == OutcomeUnknown) {
            job.triedRegions.insert(region);
            job.lastWhy = "unknown at " + peer->id.text;
            sent = failed(job);
        } else {
            sent = co_await takeAnswer(job, call, head.value(), true, ending);
        }
    } else {
        job.lastWhy = head.error().message;
        job.triedRegions.insert(region);
        if (connected) { // the peer may have sent it on
            ++job.runs;
            ++job.sends;
            sent = failed(job);
        }
    }
    job.token->wake = nullptr;
    m_context.write(observe::LogLine("sent_to_peer")
                        .add("request", job.workId())
                        .add("peer", peer->id)
                        .add("region", region)
                        .add("outcome", outcome)
                        .add("why", job.lastWhy)
                        .add("took_ms", core::toMilliseconds(m_context.now() - now)));
    co_return sent;
}

//-----------------------------------------------------------------------------
// Answers
//-----------------------------------------------------------------------------

asio::awaitable<Forwarder::Sent> Forwarder::takeAnswer(Job &job, http::Call &call, http::Response &head, bool fromPeer, routing::WorkEnding &ending)
{
    const AnswerHead said = m_context.dialect.readAnswer(head, job.head.attempt);
    switch (said.kind) {
    case AnswerKind::TurnedAway:
    case AnswerKind::Misdirected: {
        constexpr auto RestTimeout = milliseconds(200); // of a short body, so that the connection can be kept
        const auto rest = co_await call.readAll(RestTimeout);
        job.lastWhy = rest ? "turned away" : "turned away, " + rest.error().message;
        job.tried.insert(job.lastUpstream);
        ending = routing::WorkEnding::TurnedAway;
        if (said.kind == AnswerKind::Misdirected) {
            ending = routing::WorkEnding::Unreachable; // another upstream has the address
            closeIdle(job.lastAddress);
        }
        co_return Sent::NotRun;
    }
    case AnswerKind::Unproven:
        call.cancel();
        job.runs += fromPeer ? 0 : 1; // a peer tells its count
        job.tried.insert(job.lastUpstream);
        job.lastWhy = "the answer does not show that the upstream gave it";
        ending = routing::WorkEnding::Broken;
        co_return failed(job);
    case AnswerKind::Failure:
    case AnswerKind::Success:
        break;
    }
    job.runs += fromPeer ? 0 : 1;
    if (job.stream() && said.kind == AnswerKind::Success) {
        co_return co_await relay(job, call, head, fromPeer, ending);
    }
    co_return co_await takeWhole(job, call, head, fromPeer, ending);
}

asio::awaitable<Forwarder::Sent> Forwarder::takeWhole(Job &job, http::Call &call, http::Response &head, bool fromPeer, routing::WorkEnding &ending)
{
    const bool success = head.status >= 200 && head.status < 300;
    auto body = co_await call.readAll(std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(job.endAt - m_context.now())));
    if (!body) {
        ending = job.token->cancelled ? routing::WorkEnding::CallerLeft : routing::WorkEnding::Broken;
        job.lastWhy = "answer not whole: " + body.error().message;
        job.tried.insert(job.lastUpstream);
        co_return failed(job);
    }
    head.body = std::move(body.value());
    if (success) {
        ending = routing::WorkEnding::Answered;
        const unsigned status = head.status;
        co_await answer(job, head);
        logEnd(job, status, fromPeer ? "answered_by_peer" : "answered");
        co_return Sent::Finished;
    }
    ending = routing::WorkEnding::ServerError;
    job.lastWhy = "status " + std::to_string(head.status);
    job.tried.insert(job.lastUpstream);
    job.upstreamFailure = std::move(head);
    co_return failed(job);
}

asio::awaitable<Forwarder::Sent> Forwarder::relay(Job &job, http::Call &call, http::Response &head, bool fromPeer, routing::WorkEnding &ending)
{
    if (!job.events) {
        job.events.emplace(job.head.lastEvent);
    } else {
        job.events->resume();
    }
    if (!job.begun) {
        job.begun = true;
        http::Response begin;
        begin.status = head.status;
        begin.headers = m_context.dialect.callerHeaders(head.headers);
        if (job.fromPeer) {
            begin.headers[HopOutcome] = std::string(OutcomeAnswered);
            begin.headers[HopSends] = std::to_string(job.sends);
            begin.headers[HopRuns] = std::to_string(job.runs);
        } else {
            for (const char *name : HopHeaders) {
                begin.headers.erase(name);
            }
        }
        if (!co_await job.exchange.begin(begin)) {
            job.token->cancel();
        }
    }
    bool first = true;
    while (true) {
        if (job.token->cancelled) {
            call.cancel();
            ending = routing::WorkEnding::CallerLeft;
            co_return Sent::Lost;
        }
        milliseconds wait = std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(job.endAt - m_context.now()));
        if (job.mayRepeat()) {
            wait = std::min(wait, m_settings.streamSilence);
        }
        auto piece = co_await call.readSome(wait);
        if (!piece) {
            ending = job.token->cancelled ? routing::WorkEnding::CallerLeft
                : piece.error().timedOut  ? routing::WorkEnding::Silent
                                          : routing::WorkEnding::Broken;
            job.lastWhy = "stream broken after event " + job.events->lastEvent() + ": " + piece.error().message;
            job.tried.insert(job.lastUpstream);
            co_return failed(job);
        }
        const bool whole = piece.value().empty();
        std::string out = whole ? job.events->takeRest() : job.events->take(piece.value());
        if (job.events->gap()) {
            call.cancel();
            ending = routing::WorkEnding::Broken;
            job.lastWhy = "an event is missing after " + job.events->lastEvent();
            job.tried.insert(job.lastUpstream);
            co_return failed(job);
        }
        if (!out.empty()) {
            const core::TimePoint now = m_context.now();
            if (job.events->events() > 1 && job.lastEventAt != core::TimePoint{}) {
                job.longestPause = std::max(job.longestPause, now - job.lastEventAt);
            }
            job.lastEventAt = now;
            if (std::exchange(first, false)) {
                m_placement.started(job.workId());
                job.firstEventAt = now;
                m_context.metrics.observe("arbutus_first_event_seconds", "", m_context.now() - job.arrivedAt);
            }
            if (!co_await job.exchange.write(out)) {
                job.token->cancel();
                continue;
            }
        }
        if (whole) {
            ending = routing::WorkEnding::Answered;
            co_await job.exchange.end();
            logEnd(job, head.status, fromPeer ? "streamed_by_peer" : "streamed");
            co_return Sent::Finished;
        }
    }
}

//-----------------------------------------------------------------------------
// Endings
//-----------------------------------------------------------------------------

asio::awaitable<void> Forwarder::answer(Job &job, http::Response &response)
{
    response.headers = m_context.dialect.callerHeaders(response.headers);
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

asio::awaitable<void> Forwarder::giveUp(Job &job, bool mayHaveRun, bool timedOut)
{
    if (job.begun) { // the caller sees that the stream is not whole
        job.exchange.abort();
        logEnd(job, 200, "stream_broken");
        co_return;
    }
    const bool notRunStatus = job.upstreamFailure && promisesNotRun(job.upstreamFailure->status) && !job.mayRepeat();
    if (job.upstreamFailure && !notRunStatus) {
        const unsigned status = job.upstreamFailure->status;
        co_await answer(job, *job.upstreamFailure);
        logEnd(job, status, "upstream_failure");
        co_return;
    }
    if (!mayHaveRun) {
        std::string why = "not run: no place in time";
        if (!job.lastWhy.empty()) { // not in the call: GCC 12 destroys conditional temporaries of a co_await twice
            why = "not run: " + job.lastWhy;
        }
        co_await refuse(job, 503, core::ErrorKind::Overloaded, why, job.retryAfter);
        co_return;
    }
    if (timedOut) {
        co_await refuse(job, 504, core::ErrorKind::DeadlineExceeded, "no answer in time; it may have run", {});
        co_return;
    }
    co_await refuse(job, 502, core::ErrorKind::UpstreamFailed, "no whole answer; it may have run", {});
}

asio::awaitable<void> Forwarder::refuse(Job &job, unsigned status, core::ErrorKind kind, const std::string &message, core::Duration retryAfter)
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
    logEnd(job, status, error.message);
}

void Forwarder::logEnd(const Job &job, unsigned status, std::string_view outcome)
{
    const auto took = m_context.now() - job.arrivedAt;
    const std::string route = job.route == nullptr ? "" : job.route->id.text;
    m_context.metrics.count("arbutus_requests_total", "status=\"" + std::to_string(status) + "\"");
    m_context.metrics.observe("arbutus_request_seconds", "", took);
    m_context.write(observe::LogLine("request")
                        .add("request", job.head.attempt)
                        .add("origin", job.origin)
                        .add("route", route)
                        .add("service", job.service)
                        .add("configuration", job.catalog ? job.catalog->version().value : 0)
                        .add("status", status)
                        .add("outcome", outcome)
                        .add("why", job.lastWhy)
                        .add("upstream", job.lastUpstream)
                        .add("took_ms", core::toMilliseconds(took))
                        .add("placements", job.placements)
                        .add("sends", job.sends)
                        .add("first_event_ms", job.firstEventAt == core::TimePoint{} ? 0 : core::toMilliseconds(job.firstEventAt - job.arrivedAt))
                        .add("longest_pause_ms", core::toMilliseconds(job.longestPause))
                        .add("events", job.events ? job.events->events() : 0));
}

} // namespace arbutus::edge
