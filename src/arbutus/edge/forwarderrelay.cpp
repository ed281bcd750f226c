// Buffered responses and streams of upstreams and peers.

#include "arbutus/edge/forwarderstate.h"
#include "arbutus/edge/hoplimits.h"
#include "arbutus/http/truncation.h"

namespace arbutus::edge {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

bool mayBeEventStream(const http::Headers &headers)
{
    return http::headerValue(headers, "Content-Type").empty() || http::isEventStream(headers);
}

std::optional<routing::StartTime> parseStartTime(const std::string &text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(routing::StartTime(value)) : std::nullopt;
}

} // namespace

asio::awaitable<Forwarder::SendResult> Forwarder::handlePeerResponse(RequestState &state, Attempt &attempt)
{
    const http::Headers &headers = attempt.head->value().headers;
    attempt.peerOutcome = http::headerValue(headers, OutcomeHeader);
    noteCatalogVersion(attempt.peer, headers);
    const unsigned status = attempt.head->value().status;
    if (attempt.peerOutcome.empty() && isRejectedByListener(status)) { // not an upstream's response
        state.settleGrant(attempt, 0);
        exclude(state, attempt);
        attempt.failure = "rejected by the listener of peer " + attempt.peer.text;
        co_return SendResult::NotExecuted;
    }
    const auto countSince = [&](const char *header, std::size_t before, std::size_t ifNotStated) {
        if (!headers.contains(header)) {
            return ifNotStated;
        }
        const std::size_t count = parseCount(http::headerValue(headers, header));
        return count > before ? count - before : 0;
    };
    state.sendCount += countSince(SendCountHeader, attempt.sendsBefore, 1);
    const std::size_t reported = countSince(PossibleExecutionsHeader, attempt.executionsBefore, attempt.grantedExecutions);
    // The peer of a stream may go on at further upstreams after it has reported.
    const bool isFinal = !state.isStreaming() || attempt.peerOutcome != OutcomeAnswered;
    state.settleGrant(attempt, isFinal ? reported : std::max(reported, attempt.grantedExecutions));
    if (attempt.peerOutcome == OutcomeQuarantined) {
        state.quarantinedCause = state.fingerprint;
        attempt.failure = "peer " + attempt.peer.text + " reports a quarantined request or prompt part";
        co_return SendResult::NotExecuted;
    }
    if (attempt.peerOutcome == OutcomeNotExecuted) {
        exclude(state, attempt);
        attempt.failure = "not executed by peer " + attempt.peer.text;
        co_return SendResult::NotExecuted;
    }
    if (attempt.peerOutcome == OutcomeUnknown) {
        exclude(state, attempt);
        attempt.failure = "outcome unknown at peer " + attempt.peer.text;
        co_return failedSendResult(state);
    }
    if (attempt.peerOutcome.empty() && status >= 400) {
        exclude(state, attempt);
        attempt.failure = "peer " + attempt.peer.text + " states no outcome with status " + std::to_string(status);
        co_return failedSendResult(state);
    }
    co_return co_await handleResponse(state, attempt);
}

void Forwarder::recordUpstream(Attempt &attempt)
{
    http::Headers &headers = attempt.head->value().headers;
    if (attempt.isToPeer()) {
        attempt.upstream = core::UpstreamId(http::headerValue(headers, UpstreamHeader)); // a peer of an older release states none
        attempt.knownRun = parseStartTime(http::headerValue(headers, StartTimeHeader));
        return;
    }
    headers[UpstreamHeader] = attempt.upstream.text;
    headers.erase(StartTimeHeader);
    if (attempt.knownRun) {
        headers[StartTimeHeader] = std::to_string(attempt.knownRun->value);
    }
}

ResponseHead Forwarder::recordStatements(const RequestState &state, Attempt &attempt)
{
    ResponseHead parsed = m_context.adapter.parseResponse(attempt.head->value(), state.head.attemptId);
    const bool isFromUpstream = parsed.kind != ResponseKind::Misdirected && parsed.kind != ResponseKind::Unverified;
    recordUpstream(attempt);
    attempt.maxRequestRate = parsed.maxRequestRate ? std::to_string(*parsed.maxRequestRate) : parsed.invalidMaxRequestRate;
    attempt.saysLeaving = parsed.isLeaving;
    attempt.rest = parsed.rest ? std::to_string(core::toMilliseconds(*parsed.rest)) : parsed.invalidRest;
    if (isFromUpstream && parsed.isLeaving && !attempt.upstream.empty()) {
        m_placement.recordLeaving(attempt.upstream, attempt.knownRun, attempt.isToPeer() ? attempt.peer.text : "response");
    }
    if (!attempt.isToPeer() && isFromUpstream) {
        if (parsed.invalidMaxRequestRate.empty()) {
            m_placement.recordResponse(attempt.upstream, parsed.maxRequestRate, attempt.sentAt);
        }
        if (parsed.rest) {
            m_placement.recordRest(attempt.upstream, attempt.knownRun, *parsed.rest);
        }
    }
    return parsed;
}

asio::awaitable<Forwarder::SendResult> Forwarder::handleResponse(RequestState &state, Attempt &attempt)
{
    http::Response &head = attempt.head->value();
    const ResponseHead parsed = recordStatements(state, attempt);
    attempt.bodyEnd = http::toString(attempt.call->bodyEnd());
    attempt.isUnnamed = m_context.adapter.matchResponse(head.headers, state.head.attemptId) == http::ResponseMatch::NoRequest;
    if (!attempt.isToPeer() && attempt.isUnnamed) {
        m_context.metrics.incrementCounter("arbutus_unnamed_responses_total", attempt.isOnNewConnection ? "connection=\"new\"" : "connection=\"kept\"");
    }
    if (!attempt.isToPeer()) {
        m_paths.recordResponse(attempt.upstream);
    }
    m_context.metrics.incrementCounter("arbutus_upstream_responses_total", "body_end=\"" + attempt.bodyEnd + "\"");
    switch (parsed.kind) {
    case ResponseKind::NotExecuted:
    case ResponseKind::Misdirected: {
        // A copy of a rejection on another connection cannot be told from one of this request; a new connection has carried none.
        const bool provesNothing = !attempt.isToPeer() && attempt.isUnnamed && !attempt.isOnNewConnection;
        state.possibleExecutions -= attempt.isToPeer() || provesNothing ? 0 : 1;
        constexpr auto BodyTimeout = milliseconds(200); // reading the short body lets the connection be reused
        const auto body = co_await attempt.call->readAll(BodyTimeout);
        attempt.failure = body ? "rejected by the upstream" : "rejected by the upstream; reading the response body failed: " + body.error().message;
        exclude(state, attempt);
        attempt.outcome = routing::SendOutcome::Rejected;
        if (parsed.kind == ResponseKind::Misdirected) {
            attempt.outcome = routing::SendOutcome::Unreachable; // another upstream has the address
            closeIdleConnections(attempt.address);
        }
        if (provesNothing) {
            attempt.failure = "rejected on a kept connection by a response that names no attempt; the request may have been executed";
            co_return failedSendResult(state);
        }
        co_return SendResult::NotExecuted;
    }
    case ResponseKind::Unverified:
        co_return recordFailedAttempt(state, attempt, routing::SendOutcome::Incomplete, "response is not verified as coming from the upstream");
    case ResponseKind::ErrorStatus:
    case ResponseKind::Success:
        break;
    }
    if (state.isStreaming() && parsed.kind == ResponseKind::Success && mayBeStream(state, head.headers)) {
        co_return co_await relayStream(state, attempt);
    }
    if (state.responseStarted && parsed.kind == ResponseKind::Success) { // it cannot continue the stream that has begun
        co_return recordFailedAttempt(state, attempt, routing::SendOutcome::Incomplete, "response is not an event stream");
    }
    co_return co_await relayBuffered(state, attempt);
}

asio::awaitable<Forwarder::SendResult> Forwarder::relayBuffered(RequestState &state, Attempt &attempt)
{
    http::Response &head = attempt.head->value();
    const unsigned status = head.status;
    auto body = co_await attempt.call->readAll(std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(state.completionDeadline - m_context.now())));
    if (!body && attempt.responseHold->isDenied()) {
        co_return recordNoMemory(state, attempt);
    }
    if (!body) {
        const bool unneeded = state.cancellation->cancelled || attempt.unneeded;
        const auto outcome = unneeded ? routing::SendOutcome::ClientDisconnected : routing::SendOutcome::Incomplete;
        co_return recordFailedAttempt(state, attempt, outcome, "incomplete response body: " + body.error().message);
    }
    head.body = std::move(body.value());
    attempt.responseHold->keep();
    if (http::isTruncated(head, attempt.call->bodyEnd())) {
        std::string reason = "response body was cut off after " + std::to_string(head.body.size()) + " bytes";
        co_return recordFailedAttempt(state, attempt, routing::SendOutcome::Incomplete, std::move(reason));
    }
    if (status >= 200 && status < 300) {
        attempt.outcome = routing::SendOutcome::Completed;
        attempt.delivered = true;
        m_durations.record(state.route->id, m_context.now() - attempt.sentAt, state.head.expectedOutputTokens);
        if (!attempt.isToPeer()) {
            m_quarantine.recordFirstEvent(state.head.prompt);
        }
        co_await respond(state, head);
        state.lastUpstream = attempt.upstream;
        logCompletion(state, status, attempt.isToPeer() ? "answered_by_peer" : "answered");
        co_return SendResult::Finished;
    }
    const SendResult result = recordFailedAttempt(state, attempt, routing::SendOutcome::ServerError, "status " + std::to_string(status));
    state.upstreamFailure = std::move(head);
    state.upstreamFailureHold = attempt.responseHold;
    co_return result;
}

Forwarder::SendResult Forwarder::recordNoMemory(RequestState &state, Attempt &attempt) const
{
    m_context.metrics.incrementCounter("arbutus_bodies_without_memory_total", "kind=\"response\"");
    m_context.writeLog(observe::LogLine("response_without_memory")
                           .add("request", attempt.placement)
                           .add("upstream", attempt.upstream)
                           .add("peer", attempt.peer)
                           .add("held_bytes", m_bodies->usedBytes()));
    return recordFailedAttempt(state, attempt, routing::SendOutcome::ServerError, "the response takes more memory than there is for it");
}

bool Forwarder::mayBeStream(const RequestState &state, const http::Headers &headers)
{
    const bool isStated = http::isEventStream(headers);
    return state.responseStarted ? isStated == state.isEventStreamStated && mayBeEventStream(headers) : mayBeEventStream(headers);
}

bool Forwarder::fitsStream(const RequestState &state, const Attempt &attempt)
{
    return !state.requiredVersion || (*state.requiredVersion == attempt.version && state.service == attempt.service);
}

bool Forwarder::mayHaveChangedVersion(const Attempt &attempt) const
{
    const routing::RegistryEntry *entry = attempt.isToPeer() ? nullptr : m_metadataCache.registry().find(attempt.upstream);
    return entry != nullptr && entry->announcement.version != attempt.version;
}

asio::awaitable<void> Forwarder::beginStream(RequestState &state, const Attempt &attempt)
{
    const http::Response &head = attempt.head->value();
    if (!state.sseRelay) {
        state.sseRelay.emplace(state.head.lastEventId);
    } else {
        state.sseRelay->resume();
    }
    if (std::exchange(state.responseStarted, true)) {
        co_return;
    }
    state.isEventStreamStated = http::isEventStream(head.headers);
    http::Response response;
    response.status = head.status;
    response.headers = m_context.adapter.clientHeaders(head.headers);
    if (state.fromPeer && !state.requiredVersion) {
        state.requiredVersion = attempt.version; // the other instance learns it from this response head
    }
    setPeerHeaders(state, OutcomeAnswered, response);
    if (!co_await state.exchange.beginResponse(response)) {
        state.cancellation->cancel();
    }
}

void Forwarder::recordOutput(RequestState &state, Attempt &attempt)
{
    const core::TimePoint now = m_context.now();
    if (state.sseRelay->forwardedEventCount() > 1 && state.lastEventTime != core::TimePoint{}) {
        state.maxEventGap = std::max(state.maxEventGap, now - state.lastEventTime);
    }
    state.lastEventTime = now;
    if (state.replacementToken) {
        state.replacementToken->cancel(); // the upstream is no longer silent
    }
    if (attempt.firstEventAt == core::TimePoint{}) {
        attempt.firstEventAt = now;
        if (!state.requiredVersion) {
            state.requiredVersion = attempt.version;
            state.service = attempt.service; // the route may have moved while the attempt was silent
        }
        std::optional<routing::StreamRecord> record;
        if (state.isRepeatable()) {
            record = routing::StreamRecord{state.streamId(), routing::StreamOrigin{state.service, *state.requiredVersion}, now};
        }
        m_placement.recordFirstEvent(attempt.placement, std::move(record));
        if (state.firstEventTime == core::TimePoint{}) {
            countResumption(state, "continued");
        }
        if (!attempt.isToPeer()) {
            m_quarantine.recordFirstEvent(state.head.prompt);
        }
        state.firstEventTime = now;
        m_context.metrics.observeDuration("arbutus_first_event_seconds", "", now - state.receivedAt);
        attempt.eventsAtFirst = state.sseRelay->forwardedEventCount();
    } else {
        attempt.streamTiming.events = static_cast<std::uint32_t>(state.sseRelay->forwardedEventCount() - attempt.eventsAtFirst);
        attempt.streamTiming.duration = now - attempt.firstEventAt;
        attempt.streamTiming.maxGap = std::max(attempt.streamTiming.maxGap, now - attempt.lastEventAt);
    }
    attempt.lastEventAt = now;
}

asio::awaitable<Forwarder::SendResult> Forwarder::relayStream(RequestState &state, Attempt &attempt)
{
    const unsigned status = attempt.head->value().status;
    attempt.isWriting = true;
    co_await beginStream(state, attempt);
    attempt.isWriting = false;
    attempt.lastProgressAt = m_context.now();
    while (true) {
        if (state.cancellation->cancelled) {
            attempt.outcome = routing::SendOutcome::ClientDisconnected;
            co_return SendResult::NotRetryable;
        }
        if (state.sseRelay->partialEventBytes() > m_settings.maxEventBytes) {
            co_return recordFailedAttempt(
                state, attempt, routing::SendOutcome::Incomplete, "an event exceeds the maximum size after event " + state.sseRelay->lastEventId());
        }
        if (m_context.now() >= state.completionDeadline) { // also if bytes that complete no event keep arriving
            co_return recordFailedAttempt(
                state, attempt, routing::SendOutcome::TimedOut, "no complete event in time after event " + state.sseRelay->lastEventId());
        }
        const milliseconds timeout = std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(state.completionDeadline - m_context.now()));
        auto chunk = co_await attempt.call->readSome(timeout);
        attempt.partialEventBytes = state.sseRelay->partialEventBytes();
        if (attempt.responseHold->isDenied()) {
            co_return recordNoMemory(state, attempt);
        }
        if (!chunk) {
            const auto outcome = state.cancellation->cancelled ? routing::SendOutcome::ClientDisconnected
                : chunk.error().timedOut                       ? routing::SendOutcome::TimedOut
                                                               : routing::SendOutcome::Incomplete;
            std::string reason = "stream interrupted after event " + state.sseRelay->lastEventId() + ": " + chunk.error().message;
            co_return recordFailedAttempt(state, attempt, outcome, std::move(reason));
        }
        if (!fitsStream(state, attempt) || (attempt.firstEventAt == core::TimePoint{} && mayHaveChangedVersion(attempt))) {
            std::string reason = "response of software version " + attempt.version.text + " does not continue the stream after event ";
            reason += state.sseRelay->lastEventId();
            co_return recordFailedAttempt(state, attempt, routing::SendOutcome::Unreachable, std::move(reason));
        }
        const bool complete = chunk.value().empty();
        const std::string output = complete ? state.sseRelay->finish(attempt.call->bodyEnd()) : state.sseRelay->feed(chunk.value());
        if (!attempt.responseHold->resize(state.sseRelay->partialEventBytes())) {
            co_return recordNoMemory(state, attempt);
        }
        if (!output.empty()) {
            recordOutput(state, attempt);
            attempt.isWriting = true;
            const bool written = co_await state.exchange.writeChunk(output);
            attempt.isWriting = false;
            attempt.lastProgressAt = m_context.now();
            if (!written) {
                state.cancellation->cancel();
                continue;
            }
        }
        if (state.sseRelay->hasGap() || state.sseRelay->isTruncated()) {
            std::string reason = state.sseRelay->hasGap() ? "stream has a gap after event " : "stream was cut off after event ";
            reason += state.sseRelay->lastEventId();
            co_return recordFailedAttempt(state, attempt, routing::SendOutcome::Incomplete, std::move(reason));
        }
        if (complete) {
            attempt.outcome = routing::SendOutcome::Completed;
            attempt.delivered = true;
            m_durations.record(state.route->id, m_context.now() - attempt.sentAt, state.head.expectedOutputTokens);
            co_await state.exchange.endResponse();
            state.lastUpstream = attempt.upstream;
            logCompletion(state, status, attempt.isToPeer() ? "streamed_by_peer" : "streamed");
            co_return SendResult::Finished;
        }
    }
}

} // namespace arbutus::edge
