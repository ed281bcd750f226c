// Attempts over HTTP and over the peers' protocol.
//
// Sections:
//   Common       headers, endings
//   Direct       to an upstream of the own failure domain
//   Peer         through an instance of another failure domain

#include "arbutus/gateway/attempt.h"

#include "arbutus/gateway/ssestreamfilter.h"
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

constexpr auto ConnectTimeout = 250ms;           // to an instance of another domain
constexpr auto TokenSilence = 10'000ms;          // longest pause inside a stream
constexpr std::size_t RecordedBytes = 64 * 1024; // most of an answer that is kept for the ledger

//-----------------------------------------------------------------------------
// Common
//-----------------------------------------------------------------------------

node::AttemptEnded endedAs(const AttemptRequest &request, node::AttemptResult end, std::string message)
{
    node::AttemptEnded ended;
    ended.key = request.key;
    ended.result = end;
    ended.message = std::move(message);
    ended.tokensRelayed = request.previouslyRelayedTokens;
    ended.responseStarted = request.previouslyRelayedTokens > 0;
    return ended;
}

void addDecisionHeaders(http::Response &response, const node::Dispatch &dispatch, const std::string &region, const std::string &upstream)
{
    response.headers["X-Region"] = region;
    response.headers["X-Upstream"] = upstream;
    response.headers["X-Config-Revision"] = std::to_string(dispatch.revision.value);
    response.headers["X-Decision-Id"] = dispatch.decision.text;
}

delivery::RecordedOutcome recordOf(unsigned status, const std::string &contentType, const std::string &body)
{
    delivery::RecordedOutcome outcome{delivery::OutcomeKind::Completed, status, contentType, body, true};
    if (body.size() > RecordedBytes) {
        outcome.responseBody.clear();
        outcome.responseRetained = false;
    }
    return outcome;
}

/// Outcome of a caller that did not take the answer: it ran.
node::AttemptEnded callerGone(const AttemptRequest &request)
{
    return endedAs(request, node::AttemptResult::ClientDisconnected, "the caller closed its connection");
}

std::chrono::milliseconds within(std::chrono::milliseconds most, const node::Dispatch &dispatch, core::TimePoint startedAt, const core::Clock &clock)
{
    const auto used = std::chrono::duration_cast<std::chrono::milliseconds>(clock.steadyNow() - startedAt);
    return std::max(1ms, std::min(most, dispatch.timeLeft - used));
}

//-----------------------------------------------------------------------------
// Direct
//-----------------------------------------------------------------------------

http::Request upstreamRequest(const AttemptRequest &request, const node::Dispatch &dispatch)
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

/// How a call that brought no status ended.
node::AttemptEnded failedCall(const AttemptRequest &request, const http::CallError &failure)
{
    const auto end = failure.stage == http::CallStage::Connect ? node::AttemptResult::NotRun : node::AttemptResult::Incomplete;
    return endedAs(request, end, "upstream: " + failure.message);
}

/// Judges status and headers; nothing = the body is to be read.
std::optional<node::AttemptEnded> judgeHead(const AttemptRequest &request, const node::Dispatch &dispatch, const http::Response &head)
{
    const bool notRun = http::headerValue(head.headers, "X-Not-Run") == "1";
    if (notRun && head.status >= 500) {
        return endedAs(request, node::AttemptResult::NotRun, "the upstream refused with status " + std::to_string(head.status));
    }
    if (notRun) {
        return std::nullopt; // a caller's error, told as it is
    }
    const std::string id = http::headerValue(head.headers, "X-Attempt-Id");
    if (id != dispatch.attempt.text) {
        return endedAs(request, node::AttemptResult::Incomplete, "the answer carries another attempt's id");
    }
    if (head.status >= 500 && dispatch.repeatable) {
        return endedAs(request, node::AttemptResult::Incomplete, "the upstream answered with status " + std::to_string(head.status));
    }
    return std::nullopt;
}

asio::awaitable<node::AttemptEnded> relayWhole(const AttemptContext &context,
                                               const AttemptRequest &request,
                                               const node::Dispatch &dispatch,
                                               const std::string &upstream,
                                               http::Call &call,
                                               http::Response head,
                                               core::TimePoint startedAt,
                                               http::Exchange &exchange)
{
    auto body = co_await call.readAll(within(dispatch.timeLeft, dispatch, startedAt, context.clock));
    if (!body) {
        co_return failedCall(request, body.error());
    }
    http::Response answer;
    answer.status = head.status;
    answer.headers["Content-Type"] = http::headerValue(head.headers, "Content-Type");
    addDecisionHeaders(answer, dispatch, context.region.text, upstream);
    answer.body = std::move(body.value());
    const bool taken = co_await exchange.respond(answer);
    node::AttemptEnded ended = endedAs(request, node::AttemptResult::Completed, taken ? "" : "the caller closed its connection");
    ended.outcome = recordOf(answer.status, answer.headers["Content-Type"], answer.body);
    ended.responseStarted = true;
    co_return ended;
}

asio::awaitable<node::AttemptEnded> relayStream(const AttemptContext &context,
                                                const AttemptRequest &request,
                                                const node::Dispatch &dispatch,
                                                const std::string &upstream,
                                                http::Call &call,
                                                http::Response head,
                                                core::TimePoint startedAt,
                                                http::Exchange &exchange)
{
    SseStreamFilter checker(dispatch.attempt, request.clientVisibleId);
    std::string record;
    bool open = true;
    while (!checker.complete()) {
        auto piece = co_await call.readSome(within(TokenSilence, dispatch, startedAt, context.clock));
        const bool ended = !piece || piece.value().empty();
        const std::string events = ended ? std::string() : checker.feed(piece.value());
        if (checker.idMismatch() || ended) {
            const std::string why = checker.idMismatch() ? "the stream carries another attempt's id"
                                                         : "the stream stopped before its end" + (piece ? std::string() : ": " + piece.error().message);
            node::AttemptEnded broken = endedAs(request, node::AttemptResult::Incomplete, why);
            broken.tokensRelayed += checker.tokenCount();
            broken.responseStarted = exchange.responseStarted();
            co_return broken;
        }
        if (events.empty()) {
            continue;
        }
        if (!exchange.responseStarted()) {
            http::Response answer;
            answer.status = head.status;
            answer.headers["Content-Type"] = http::headerValue(head.headers, "Content-Type");
            addDecisionHeaders(answer, dispatch, context.region.text, upstream);
            open = co_await exchange.beginResponse(answer);
            context.onFirstToken(node::FirstTokenReceived{request.key, context.clock.steadyNow() - startedAt});
        }
        open = open && co_await exchange.writeChunk(events);
        if (record.size() <= RecordedBytes) {
            record += events;
        }
        if (!open) {
            co_return callerGone(request);
        }
    }
    if (!co_await exchange.endResponse()) {
        co_return callerGone(request);
    }
    const auto rest = co_await call.readSome(within(1'000ms, dispatch, startedAt, context.clock)); // the end of the body, so that the connection can be kept
    (void)rest;
    node::AttemptEnded ended = endedAs(request, node::AttemptResult::Completed, "");
    ended.outcome = recordOf(head.status, "text/event-stream", record);
    ended.tokensRelayed += checker.tokenCount();
    ended.responseStarted = true;
    co_return ended;
}

asio::awaitable<node::AttemptEnded> runDirect(
    const AttemptContext &context, const AttemptRequest &request, const node::Dispatch &dispatch, const node::LocalTarget &target, http::Exchange &exchange)
{
    const core::TimePoint startedAt = context.clock.steadyNow();
    http::Call call(context.executor, http::parseEndpoint(target.address), dispatch.repeatable ? &context.connectionPool : nullptr);
    const http::Request out = upstreamRequest(request, dispatch);
    auto head = co_await call.start(out, within(dispatch.timeLeft, dispatch, startedAt, context.clock));
    if (!head) {
        co_return failedCall(request, head.error());
    }
    if (auto judged = judgeHead(request, dispatch, head.value())) {
        co_return std::move(*judged);
    }
    const bool events = http::headerValue(head.value().headers, "Content-Type").starts_with("text/event-stream");
    if (events && request.streaming && !request.isServiceCall) {
        co_return co_await relayStream(context, request, dispatch, target.upstream.text, call, std::move(head.value()), startedAt, exchange);
    }
    if (!request.isServiceCall) {
        context.onFirstToken(node::FirstTokenReceived{request.key, core::Duration(0)});
    }
    co_return co_await relayWhole(context, request, dispatch, target.upstream.text, call, std::move(head.value()), startedAt, exchange);
}

//-----------------------------------------------------------------------------
// Peer
//-----------------------------------------------------------------------------

using PartResult = std::optional<peer::ForwardChunk>;

/// Next piece of a peer's answer, on our executor.
asio::awaitable<PartResult> readPart(asio::any_io_executor executor, std::shared_ptr<peer::ForwardStream> stream)
{
    auto initiate = [executor, stream](auto handler) {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        stream->read([executor, shared](PartResult part) {
            asio::post(executor, [shared, part = std::move(part)]() mutable { std::move (*shared)(std::move(part)); });
        });
    };
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(PartResult)>(initiate, asio::use_awaitable);
}

asio::awaitable<bool> connectPeer(asio::any_io_executor executor, peer::Client &peers, std::string address)
{
    auto initiate = [executor, &peers, address](auto handler) {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        peers.connect(address, ConnectTimeout, [executor, shared](bool connected) {
            asio::post(executor, [shared, connected]() mutable { std::move (*shared)(connected); });
        });
    };
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(bool)>(initiate, asio::use_awaitable);
}

peer::ForwardCall forwardCall(const AttemptContext &context, const AttemptRequest &request, std::chrono::milliseconds timeLeft)
{
    peer::ForwardCall call;
    call.request = request.httpRequest;
    for (const auto &[name, value] : request.peerHeaders) {
        call.request.headers[name] = value;
    }
    call.origin = context.self;
    call.originRegion = context.region;
    call.via = request.via;
    call.timeLeft = timeLeft;
    return call;
}

/// What a relayed peer stream came to.
struct RelayedStream
{
    bool answered = false; // a whole answer, also a whole refusal
    bool refused = false;  // the other instance refused; nothing has been relayed
    bool notRun = false;   // its word in a refusal
    bool callerOpen = true;
    unsigned status = 0;
    std::string contentType;
    std::string body; // bounded copy, for the ledger
    std::size_t tokens = 0;
};

/// Relays a peer's answer. With `holdRefusals` a refusal is not passed on but told to our caller.
asio::awaitable<RelayedStream>
relayPeer(const AttemptContext &context, std::shared_ptr<peer::ForwardStream> stream, bool holdRefusals, http::Exchange &exchange)
{
    RelayedStream relayed;
    std::string held; // a refusal's body, or the whole of an answer that is not streamed
    http::Response head;
    while (true) {
        PartResult part = co_await readPart(context.executor, stream);
        if (!part) {
            co_return relayed; // ended without its end marker
        }
        if (part->hasHead) {
            head = part->head;
            relayed.status = head.status;
            relayed.contentType = http::headerValue(head.headers, "Content-Type");
            const std::string outcome = http::headerValue(head.headers, "X-Outcome");
            relayed.refused = holdRefusals && !outcome.empty();
            relayed.notRun = outcome == "not_run";
        }
        const bool streamed = relayed.contentType.starts_with("text/event-stream") && !relayed.refused;
        if (streamed && !part->body.empty()) {
            if (!exchange.responseStarted()) {
                relayed.callerOpen = co_await exchange.beginResponse(head);
            }
            relayed.callerOpen = relayed.callerOpen && co_await exchange.writeChunk(part->body);
            for (std::size_t at = part->body.find("\"finish_reason\":null"); at != std::string::npos; at = part->body.find("\"finish_reason\":null", at + 1)) {
                ++relayed.tokens;
            }
            if (!relayed.callerOpen) {
                co_return relayed;
            }
        }
        if (!streamed || relayed.body.size() <= RecordedBytes) {
            relayed.body += part->body;
        }
        if (!part->last) {
            continue;
        }
        relayed.answered = true;
        if (relayed.refused) {
            co_return relayed;
        }
        if (streamed) {
            relayed.callerOpen = co_await exchange.endResponse();
        } else {
            head.body = relayed.body;
            relayed.callerOpen = co_await exchange.respond(head);
        }
        co_return relayed;
    }
}

asio::awaitable<node::AttemptEnded> runThroughPeer(
    const AttemptContext &context, const AttemptRequest &request, const node::Dispatch &dispatch, const node::PeerTarget &target, http::Exchange &exchange)
{
    if (!co_await connectPeer(context.executor, context.peerClient, target.address)) {
        node::AttemptEnded ended = endedAs(request, node::AttemptResult::NotRun, "instance " + target.instance.id.text + " cannot be reached");
        ended.peerRefused = true;
        co_return ended;
    }
    peer::ForwardCall call = forwardCall(context, request, dispatch.timeLeft);
    call.attemptId = dispatch.attempt;
    call.decisionId = dispatch.decision;
    call.configRevision = dispatch.revision;
    call.request.headers["X-Resume-Offset"] = std::to_string(dispatch.resumeOffset);
    call.request.headers["X-Shown-Id"] = request.clientVisibleId;
    const auto stream = context.peerClient.forward(target.address, call);
    RelayedStream relayed = co_await relayPeer(context, stream, true, exchange);
    if (!relayed.callerOpen) {
        co_return callerGone(request);
    }
    if (relayed.refused) {
        const std::string why = "instance " + target.instance.id.text + " refused: " + relayed.body;
        node::AttemptEnded ended = endedAs(request, relayed.notRun ? node::AttemptResult::NotRun : node::AttemptResult::Incomplete, why);
        ended.peerRefused = true;
        co_return ended;
    }
    if (!relayed.answered) {
        node::AttemptEnded ended =
            endedAs(request, node::AttemptResult::Incomplete, "the answer through " + target.instance.id.text + " stopped before its end");
        ended.tokensRelayed += relayed.tokens;
        ended.responseStarted = exchange.responseStarted();
        co_return ended;
    }
    node::AttemptEnded ended = endedAs(request, node::AttemptResult::Completed, "");
    ended.outcome = recordOf(relayed.status, relayed.contentType, relayed.body);
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
        co_return co_await runDirect(context, request, dispatch, *local, exchange);
    }
    co_return co_await runThroughPeer(context, request, dispatch, std::get<node::PeerTarget>(dispatch.target), exchange);
}

asio::awaitable<node::ForwardToOwnerFinished>
forwardToTicketOwner(const AttemptContext &context, const AttemptRequest &request, const node::ForwardToOwner &forward, http::Exchange &exchange)
{
    node::ForwardToOwnerFinished answered;
    answered.key = request.key;
    if (!co_await connectPeer(context.executor, context.peerClient, forward.address)) {
        co_return answered;
    }
    const peer::ForwardCall call = forwardCall(context, request, forward.timeLeft);
    const auto stream = context.peerClient.forward(forward.address, call);
    const RelayedStream relayed = co_await relayPeer(context, stream, false, exchange);
    answered.relayed = relayed.answered || !relayed.callerOpen;
    if (!answered.relayed && exchange.responseStarted()) { // a part has been relayed: only an abort tells the truth
        exchange.abort();
        answered.relayed = true;
    }
    co_return answered;
}

} // namespace arbutus::gateway
