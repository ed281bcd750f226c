// Attempts over HTTP and over the peer protocol.
//
// Sections:
//   Common       headers and attempt results
//   Local        attempts on an upstream in this instance's failure domain
//   Peer         attempts through an instance in another failure domain

#include "arbutus/gateway/attempt.h"

#include "arbutus/gateway/ssestreamfilter.h"
#include "arbutus/http/truncation.h"
#include "arbutus/http/via.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>

namespace arbutus::gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto PeerConnectTimeout = 250ms;          // for connecting to an instance in another failure domain
constexpr std::size_t MaxEventBytes = 1024 * 1024;  // of one event of a stream
constexpr std::size_t MaxRecordedBytes = 64 * 1024; // larger response bodies are not retained in the ledger

//-----------------------------------------------------------------------------
// Common
//-----------------------------------------------------------------------------

node::AttemptEnded makeAttemptEnded(const AttemptRequest &request, node::AttemptResult result, std::string message)
{
    node::AttemptEnded ended;
    ended.key = request.key;
    ended.result = result;
    ended.message = std::move(message);
    ended.tokensRelayed = request.previouslyRelayedTokens;
    ended.responseStarted = request.previouslyRelayedTokens > 0;
    return ended;
}

void addDecisionHeaders(http::Response &response, const node::Dispatch &dispatch, const std::string &region, const std::string &upstream)
{
    response.headers["X-Region"] = region;
    response.headers["X-Upstream"] = upstream;
    response.headers["X-Config-Revision"] = std::to_string(dispatch.configRevision.value);
    response.headers["X-Decision-Id"] = dispatch.decision.text;
}

delivery::RecordedOutcome makeRecordedOutcome(unsigned status, const std::string &contentType, const std::string &body)
{
    delivery::RecordedOutcome outcome{delivery::OutcomeKind::Completed, status, contentType, body, true};
    if (body.size() > MaxRecordedBytes) {
        outcome.responseBody.clear();
        outcome.responseRetained = false;
    }
    return outcome;
}

/// Result of an attempt whose client disconnected. The request ran, so this is not NotRun.
node::AttemptEnded makeClientDisconnected(const AttemptRequest &request)
{
    return makeAttemptEnded(request, node::AttemptResult::ClientDisconnected, "the client closed its connection");
}

std::chrono::milliseconds remainingTimeout(std::chrono::milliseconds limit, const node::Dispatch &dispatch, core::TimePoint startedAt, const core::Clock &clock)
{
    const auto used = std::chrono::duration_cast<std::chrono::milliseconds>(clock.steadyNow() - startedAt);
    return std::max(1ms, std::min(limit, dispatch.remainingTime - used));
}

/// Lets the attempt in progress be cancelled for the lifetime of the object.
class ScopedCancel
{
public:
    ScopedCancel(const AttemptRequest &request, std::function<void()> cancel)
        : m_control(request.control)
    {
        m_control->cancel = std::move(cancel);
    }
    ScopedCancel(const ScopedCancel &) = delete;
    ScopedCancel &operator=(const ScopedCancel &) = delete;
    ~ScopedCancel()
    {
        m_control->cancel = {};
    }

private:
    std::shared_ptr<AttemptControl> m_control;
};

/// Reports the silences of one stream while it is relayed, and cancels the attempt if the node asks for it during one.
class SilenceMonitor
{
public:
    SilenceMonitor(const AttemptContext &context, const AttemptRequest &request, std::function<void()> cancel)
        : m_control(request.control)
        , m_state(std::make_shared<State>(context))
    {
        m_state->event.key = request.key;
        m_state->cancel = std::move(cancel);
        m_control->cancelIfSilent = [state = m_state] {
            if (state->silent && !std::exchange(state->cancelled, true)) {
                state->cancel();
            }
        };
        m_state->wait();
    }
    SilenceMonitor(const SilenceMonitor &) = delete;
    SilenceMonitor &operator=(const SilenceMonitor &) = delete;
    ~SilenceMonitor()
    {
        m_control->cancelIfSilent = {};
        m_state->active = false;
        m_state->timer.cancel();
    }

    /// Ends a silence, and begins none until recordData(): a client that reads slowly does not make its upstream silent.
    void pause()
    {
        m_state->silent = false;
        m_state->paused = true;
    }
    /// Ends a silence; the client now has `tokensRelayed` tokens.
    void recordData(std::size_t tokensRelayed, bool responseStarted)
    {
        m_state->silent = false;
        m_state->paused = false;
        m_state->event.tokensRelayed = tokensRelayed;
        m_state->event.responseStarted = responseStarted;
        m_state->wait();
    }
    [[nodiscard]] bool cancelled() const
    {
        return m_state->cancelled;
    }

private:
    struct State : std::enable_shared_from_this<State>
    {
        explicit State(const AttemptContext &attemptContext)
            : timer(attemptContext.executor)
            , period(attemptContext.streamIdleTimeout)
            , onSilence(attemptContext.onSilence)
        {
        }
        void wait()
        {
            timer.expires_after(period);
            timer.async_wait([self = shared_from_this()](const boost::system::error_code &code) {
                const bool superseded = self->timer.expiry() > asio::steady_timer::clock_type::now(); // data arrived in the same turn
                if (!code && self->active && !superseded && !self->paused) {
                    self->silent = true;
                    self->onSilence(self->event);
                    self->wait(); // asks again: a retry may become possible later
                }
            });
        }

        asio::steady_timer timer;
        std::chrono::milliseconds period;
        std::function<void(node::StreamSilent)> onSilence;
        std::function<void()> cancel;
        node::StreamSilent event;
        bool active = true;
        bool silent = false;
        bool paused = false;
        bool cancelled = false;
    };

    std::shared_ptr<AttemptControl> m_control;
    std::shared_ptr<State> m_state;
};

//-----------------------------------------------------------------------------
// Local
//-----------------------------------------------------------------------------

http::Request makeUpstreamRequest(const AttemptRequest &request, const node::Dispatch &dispatch)
{
    http::Request out = request.httpRequest;
    out.headers["X-Request-Id"] = request.id.text;
    out.headers["X-Attempt-Id"] = dispatch.attempt.text;
    out.headers["X-Workspace"] = request.workspace.text;
    out.headers["Via"] = http::formatVia(http::splitCommaSeparated(request.via));
    out.headers["X-Priority"] = std::to_string(dispatch.priority);
    if (dispatch.resumeOffset > 0) {
        out.headers["X-Resume-Offset"] = std::to_string(dispatch.resumeOffset);
    }
    return out;
}

/// Result of a call that failed before a complete response was received. NotRun only if no connection was established.
node::AttemptEnded makeCallFailure(const AttemptRequest &request, const http::CallError &error)
{
    const auto result = error.stage == http::CallStage::Connect ? node::AttemptResult::NotRun : node::AttemptResult::Incomplete;
    return makeAttemptEnded(request, result, "upstream: " + error.message);
}

/// Checks the status and headers of a response; returns a result if the attempt ends here, nothing if the body is to be read.
std::optional<node::AttemptEnded> checkResponseHead(const AttemptRequest &request, const node::Dispatch &dispatch, const http::Response &head)
{
    const bool notRun = http::headerValue(head.headers, "X-Not-Run") == "1";
    const std::string id = http::headerValue(head.headers, "X-Attempt-Id");
    const bool mayOmitId = notRun; // a kept connection has carried no response without an id, of which this one could be a copy
    if (id != dispatch.attempt.text && !(id.empty() && mayOmitId)) {
        return makeAttemptEnded(request, node::AttemptResult::Incomplete, "the response carries the id of another attempt");
    }
    if (notRun && head.status >= 500) {
        return makeAttemptEnded(request, node::AttemptResult::NotRun, "the upstream rejected the request with status " + std::to_string(head.status));
    }
    if (notRun) {
        return std::nullopt; // a client error, relayed unchanged
    }
    if (head.status >= 500 && dispatch.repeatable) {
        return makeAttemptEnded(request, node::AttemptResult::Incomplete, "the upstream responded with status " + std::to_string(head.status));
    }
    return std::nullopt;
}

asio::awaitable<node::AttemptEnded> relayBufferedResponse(const AttemptContext &context,
                                                          const AttemptRequest &request,
                                                          const node::Dispatch &dispatch,
                                                          const std::string &upstream,
                                                          http::Call &call,
                                                          http::Response head,
                                                          core::TimePoint startedAt,
                                                          http::Exchange &exchange)
{
    auto body = co_await call.readAll(remainingTimeout(dispatch.remainingTime, dispatch, startedAt, context.clock));
    if (!body) {
        co_return makeCallFailure(request, body.error());
    }
    head.body = std::move(body.value());
    if (http::isTruncated(head, call.bodyEnd())) {
        std::string message = "upstream: the response body was cut off after " + std::to_string(head.body.size()) + " bytes";
        co_return makeAttemptEnded(request, node::AttemptResult::Incomplete, std::move(message));
    }
    http::Response response;
    response.status = head.status;
    response.headers["Content-Type"] = http::headerValue(head.headers, "Content-Type");
    addDecisionHeaders(response, dispatch, context.region.text, upstream);
    response.body = std::move(head.body);
    const bool delivered = co_await exchange.respond(response);
    node::AttemptEnded ended = makeAttemptEnded(request, node::AttemptResult::Completed, delivered ? "" : "the client closed its connection");
    ended.outcome = makeRecordedOutcome(response.status, response.headers["Content-Type"], response.body);
    ended.responseStarted = true;
    co_return ended;
}

asio::awaitable<node::AttemptEnded> relaySseStream(const AttemptContext &context,
                                                   const AttemptRequest &request,
                                                   const node::Dispatch &dispatch,
                                                   const std::string &upstream,
                                                   http::Call &call,
                                                   http::Response head,
                                                   core::TimePoint startedAt,
                                                   http::Exchange &exchange)
{
    SseStreamFilter filter(dispatch.attempt, request.clientVisibleId);
    std::string recordedBody;
    bool clientConnected = true;
    SilenceMonitor silence(context, request, [&call] { call.cancel(); });
    while (!filter.complete()) {
        auto chunk = co_await call.readSome(remainingTimeout(dispatch.remainingTime, dispatch, startedAt, context.clock));
        const bool ended = !chunk || chunk.value().empty();
        const std::string events = ended ? std::string() : filter.feed(chunk.value());
        const bool tooLong = filter.partialEventBytes() > MaxEventBytes;
        const bool tooLate = context.clock.steadyNow() - startedAt >= dispatch.remainingTime;
        if (filter.idMismatch() || ended || tooLong || (tooLate && !filter.complete())) {
            const std::string message = silence.cancelled() ? "the stream was silent and another attempt replaces it"
                : filter.idMismatch()                       ? "the stream carries the id of another attempt"
                : tooLong                                   ? "an event of the stream exceeds the maximum size"
                : tooLate                                   ? "the stream did not end before the deadline"
                                                            : "the stream ended before its end marker" + (chunk ? std::string() : ": " + chunk.error().message);
            node::AttemptEnded failedAttempt = makeAttemptEnded(request, node::AttemptResult::Incomplete, message);
            failedAttempt.tokensRelayed += filter.tokenCount();
            failedAttempt.responseStarted = exchange.responseStarted();
            co_return failedAttempt;
        }
        if (events.empty()) {
            continue;
        }
        silence.pause();
        if (!exchange.responseStarted()) {
            http::Response response;
            response.status = head.status;
            response.headers["Content-Type"] = http::headerValue(head.headers, "Content-Type");
            addDecisionHeaders(response, dispatch, context.region.text, upstream);
            clientConnected = co_await exchange.beginResponse(response);
            context.onFirstToken(node::FirstTokenReceived{request.key, context.clock.steadyNow() - startedAt});
        }
        clientConnected = clientConnected && co_await exchange.writeChunk(events);
        if (recordedBody.size() <= MaxRecordedBytes) {
            recordedBody += events;
        }
        if (!clientConnected) {
            co_return makeClientDisconnected(request);
        }
        silence.recordData(request.previouslyRelayedTokens + filter.tokenCount(), exchange.responseStarted());
    }
    if (!co_await exchange.endResponse()) {
        co_return makeClientDisconnected(request);
    }
    // Reads the end of the body so that the connection can be reused.
    const auto rest = co_await call.readSome(remainingTimeout(1'000ms, dispatch, startedAt, context.clock));
    (void)rest;
    node::AttemptEnded ended = makeAttemptEnded(request, node::AttemptResult::Completed, "");
    ended.outcome = makeRecordedOutcome(head.status, "text/event-stream", recordedBody);
    ended.tokensRelayed += filter.tokenCount();
    ended.responseStarted = true;
    co_return ended;
}

asio::awaitable<node::AttemptEnded> runLocalAttempt(
    const AttemptContext &context, const AttemptRequest &request, const node::Dispatch &dispatch, const node::LocalTarget &target, http::Exchange &exchange)
{
    const core::TimePoint startedAt = context.clock.steadyNow();
    http::CallOptions options;
    options.pool = dispatch.repeatable ? &context.connectionPool : nullptr;
    options.acceptConnectionClose = true;
    options.matchResponse = [id = dispatch.attempt.text](const http::Headers &headers) { // checkResponseHead() judges the others
        return http::headerValue(headers, "X-Attempt-Id") == id ? http::ResponseMatch::ThisRequest : http::ResponseMatch::NoRequest;
    };
    http::Call call(context.executor, http::parseEndpoint(target.address), std::move(options));
    const ScopedCancel cancel(request, [&call] { call.cancel(); });
    const http::Request out = makeUpstreamRequest(request, dispatch);
    auto head = co_await call.start(out, remainingTimeout(dispatch.remainingTime, dispatch, startedAt, context.clock));
    if (!head) {
        co_return makeCallFailure(request, head.error());
    }
    if (auto earlyResult = checkResponseHead(request, dispatch, head.value())) {
        co_return std::move(*earlyResult);
    }
    const bool isEventStream = http::headerValue(head.value().headers, "Content-Type").starts_with("text/event-stream");
    if (exchange.responseStarted() && !isEventStream) {
        std::string message = "a response with status " + std::to_string(head.value().status) + " does not continue the stream that has begun";
        co_return makeAttemptEnded(request, node::AttemptResult::Incomplete, std::move(message));
    }
    if (isEventStream && request.streaming && !request.isServiceCall) {
        co_return co_await relaySseStream(context, request, dispatch, target.upstream.text, call, std::move(head.value()), startedAt, exchange);
    }
    if (!request.isServiceCall) {
        context.onFirstToken(node::FirstTokenReceived{request.key, core::Duration(0)});
    }
    co_return co_await relayBufferedResponse(context, request, dispatch, target.upstream.text, call, std::move(head.value()), startedAt, exchange);
}

//-----------------------------------------------------------------------------
// Peer
//-----------------------------------------------------------------------------

using ChunkResult = std::optional<peer::ForwardChunk>;

/// Reads the next chunk of a peer's response; resumes on `executor`.
asio::awaitable<ChunkResult> readPeerChunk(asio::any_io_executor executor, std::shared_ptr<peer::ForwardStream> stream)
{
    auto initiate = [executor, stream](auto handler) {
        auto sharedHandler = std::make_shared<decltype(handler)>(std::move(handler));
        stream->read([executor, sharedHandler](ChunkResult chunk) {
            asio::post(executor, [sharedHandler, chunk = std::move(chunk)]() mutable { std::move (*sharedHandler)(std::move(chunk)); });
        });
    };
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(ChunkResult)>(initiate, asio::use_awaitable);
}

asio::awaitable<bool> connectPeer(asio::any_io_executor executor, peer::Client &peers, std::string address)
{
    auto initiate = [executor, &peers, address](auto handler) {
        auto sharedHandler = std::make_shared<decltype(handler)>(std::move(handler));
        peers.connect(address, PeerConnectTimeout, [executor, sharedHandler](bool connected) {
            asio::post(executor, [sharedHandler, connected]() mutable { std::move (*sharedHandler)(connected); });
        });
    };
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(bool)>(initiate, asio::use_awaitable);
}

peer::ForwardCall makeForwardCall(const AttemptContext &context, const AttemptRequest &request, std::chrono::milliseconds remainingTime)
{
    peer::ForwardCall call;
    call.request = request.httpRequest;
    for (const auto &[name, value] : request.peerHeaders) {
        call.request.headers[name] = value;
    }
    call.origin = context.self;
    call.originRegion = context.region;
    call.via = request.via;
    call.remainingTime = remainingTime;
    return call;
}

/// Result of relaying a peer's response.
struct PeerRelayResult
{
    bool complete = false; // the response ended with its end marker; also true for a rejection
    bool rejected = false; // the peer rejected the request; nothing has been relayed
    bool notRun = false;   // the peer's rejection states that the request did not run
    bool clientConnected = true;
    unsigned status = 0;
    std::string contentType;
    std::string body; // of a stream, a bounded copy for the ledger; otherwise the complete body
    std::size_t tokens = 0;
};

/// Relays a peer's response to the client. With `interceptRejections`, a rejection is returned instead of being relayed.
asio::awaitable<PeerRelayResult> relayPeerResponse(const AttemptContext &context,
                                                   const AttemptRequest &request,
                                                   std::shared_ptr<peer::ForwardStream> stream,
                                                   bool interceptRejections,
                                                   http::Exchange &exchange)
{
    PeerRelayResult relayed;
    http::Response head;
    std::optional<SilenceMonitor> silence; // of a stream that has begun
    while (true) {
        ChunkResult chunk = co_await readPeerChunk(context.executor, stream);
        if (!chunk) {
            co_return relayed; // the stream ended without its end marker
        }
        if (chunk->hasHead) {
            head = chunk->head;
            relayed.status = head.status;
            relayed.contentType = http::headerValue(head.headers, "Content-Type");
            const std::string outcome = http::headerValue(head.headers, "X-Outcome");
            relayed.rejected = interceptRejections && !outcome.empty();
            relayed.notRun = outcome == "not_run";
        }
        const bool streamed = relayed.contentType.starts_with("text/event-stream") && !relayed.rejected;
        if (exchange.responseStarted() && !streamed && !relayed.rejected) { // it does not continue the stream that has begun
            stream->cancel();
            co_return relayed;
        }
        if (streamed && !chunk->body.empty()) {
            if (silence) {
                silence->pause();
            }
            if (!exchange.responseStarted()) {
                relayed.clientConnected = co_await exchange.beginResponse(head);
            }
            relayed.clientConnected = relayed.clientConnected && co_await exchange.writeChunk(chunk->body);
            for (std::size_t at = chunk->body.find("\"finish_reason\":null"); at != std::string::npos;
                 at = chunk->body.find("\"finish_reason\":null", at + 1)) {
                ++relayed.tokens;
            }
            if (!relayed.clientConnected) {
                co_return relayed;
            }
            if (!silence) {
                silence.emplace(context, request, [stream] { stream->cancel(); });
            }
            silence->recordData(request.previouslyRelayedTokens + relayed.tokens, true);
        }
        if (!streamed || relayed.body.size() <= MaxRecordedBytes) {
            relayed.body += chunk->body;
        }
        if (!chunk->last) {
            continue;
        }
        relayed.complete = true;
        if (relayed.rejected) {
            co_return relayed;
        }
        if (streamed) {
            relayed.clientConnected = co_await exchange.endResponse();
        } else {
            head.body = relayed.body;
            relayed.clientConnected = co_await exchange.respond(head);
        }
        co_return relayed;
    }
}

asio::awaitable<node::AttemptEnded> runPeerAttempt(
    const AttemptContext &context, const AttemptRequest &request, const node::Dispatch &dispatch, const node::PeerTarget &target, http::Exchange &exchange)
{
    if (!co_await connectPeer(context.executor, context.peerClient, target.address)) {
        node::AttemptEnded ended = makeAttemptEnded(request, node::AttemptResult::NotRun, "instance " + target.instance.id.text + " is unreachable");
        ended.peerRefused = true;
        co_return ended;
    }
    peer::ForwardCall call = makeForwardCall(context, request, dispatch.remainingTime);
    call.attemptId = dispatch.attempt;
    call.decisionId = dispatch.decision;
    call.configRevision = dispatch.configRevision;
    call.request.headers["X-Resume-Offset"] = std::to_string(dispatch.resumeOffset);
    call.request.headers["X-Shown-Id"] = request.clientVisibleId;
    const auto stream = context.peerClient.forward(target.address, call);
    const ScopedCancel cancel(request, [stream] { stream->cancel(); });
    PeerRelayResult relayed = co_await relayPeerResponse(context, request, stream, true, exchange);
    if (!relayed.clientConnected) {
        co_return makeClientDisconnected(request);
    }
    if (relayed.rejected) {
        const std::string message = "instance " + target.instance.id.text + " rejected the request: " + relayed.body;
        node::AttemptEnded ended = makeAttemptEnded(request, relayed.notRun ? node::AttemptResult::NotRun : node::AttemptResult::Incomplete, message);
        ended.peerRefused = true;
        co_return ended;
    }
    if (!relayed.complete) {
        node::AttemptEnded ended = makeAttemptEnded(
            request, node::AttemptResult::Incomplete, "the response through instance " + target.instance.id.text + " ended before its end marker");
        ended.tokensRelayed += relayed.tokens;
        ended.responseStarted = exchange.responseStarted();
        co_return ended;
    }
    node::AttemptEnded ended = makeAttemptEnded(request, node::AttemptResult::Completed, "");
    ended.outcome = makeRecordedOutcome(relayed.status, relayed.contentType, relayed.body);
    ended.tokensRelayed += relayed.tokens;
    ended.responseStarted = true;
    co_return ended;
}

} // namespace

asio::awaitable<node::AttemptEnded>
runAttempt(const AttemptContext &context, const AttemptRequest &request, const node::Dispatch &dispatch, http::Exchange &exchange)
{
    if (dispatch.backoff > 0ms) {
        asio::steady_timer timer(context.executor, dispatch.backoff);
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (const auto *local = std::get_if<node::LocalTarget>(&dispatch.target)) {
        co_return co_await runLocalAttempt(context, request, dispatch, *local, exchange);
    }
    co_return co_await runPeerAttempt(context, request, dispatch, std::get<node::PeerTarget>(dispatch.target), exchange);
}

asio::awaitable<node::ForwardToOwnerFinished>
forwardToTicketOwner(const AttemptContext &context, const AttemptRequest &request, const node::ForwardToOwner &forward, http::Exchange &exchange)
{
    node::ForwardToOwnerFinished result;
    result.key = request.key;
    if (!co_await connectPeer(context.executor, context.peerClient, forward.address)) {
        co_return result;
    }
    const peer::ForwardCall call = makeForwardCall(context, request, forward.remainingTime);
    const auto stream = context.peerClient.forward(forward.address, call);
    const ScopedCancel cancel(request, [stream] { stream->cancel(); });
    const PeerRelayResult relayed = co_await relayPeerResponse(context, request, stream, false, exchange);
    result.relayed = relayed.complete || !relayed.clientConnected;
    if (!result.relayed && exchange.responseStarted()) {
        // A partial response cannot be retracted. Report the error and abort, so that the client does not take it as complete.
        const core::Error error = core::makeUnknownOutcomeError(core::ErrorKind::UpstreamFailed, "the response through the ticket's owner is incomplete");
        const std::string event = "data: " + core::toJson(error) + "\n\n";
        co_await exchange.writeChunk(event);
        exchange.abort();
        result.relayed = true;
    }
    co_return result;
}

} // namespace arbutus::gateway
