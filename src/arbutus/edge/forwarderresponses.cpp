// Error responses and the request log.

#include "arbutus/edge/forwarderstate.h"

namespace arbutus::edge {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view StreamBroken = "stream_broken"; // completion of a stream that was cut

/// Returns whether the status, when sent by a gateway, guarantees that the request was not executed.
bool impliesNotExecuted(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string formatSeconds(core::Duration duration)
{
    char text[32];
    (void)std::snprintf(text, sizeof text, "%.2f", std::chrono::duration<double>(duration).count());
    return text;
}

} // namespace

void Forwarder::setPeerHeaders(const RequestState &state, std::string_view outcome, http::Response &response)
{
    const std::string upstream = http::headerValue(response.headers, UpstreamHeader);
    const std::string upstreamRun = http::headerValue(response.headers, StartTimeHeader);
    for (const char *name : PeerHeaders) {
        response.headers.erase(name);
    }
    if (state.fromPeer) {
        if (!upstream.empty()) {
            response.headers[UpstreamHeader] = upstream;
        }
        if (!upstreamRun.empty()) {
            response.headers[StartTimeHeader] = upstreamRun;
        }
        response.headers[OutcomeHeader] = std::string(outcome);
        if (state.catalog) {
            response.headers[CatalogHeader] = std::to_string(state.catalog->version().value);
        }
        response.headers[SendCountHeader] = std::to_string(state.sendCount);
        response.headers[PossibleExecutionsHeader] = std::to_string(state.possibleExecutions);
        if (state.requiredVersion) {
            response.headers[VersionHeader] = state.requiredVersion->text;
        }
    }
}

asio::awaitable<void> Forwarder::respond(RequestState &state, http::Response &response)
{
    response.headers = m_context.adapter.clientHeaders(response.headers);
    setPeerHeaders(state, OutcomeAnswered, response);
    co_await state.exchange.respond(response);
}

asio::awaitable<void> Forwarder::respondWithFailure(RequestState &state, bool timedOut)
{
    if (state.responseStarted) { // aborting the connection shows the client that the stream is incomplete
        state.exchange.abort();
        logCompletion(state, 200, StreamBroken);
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
    if (!state.mayHaveExecuted && state.quarantinedCause) {
        co_await refuseNotExecuted(state, core::ErrorKind::Quarantined, m_settings.quarantineRetryAfter);
        co_return;
    }
    countResumption(state, state.isVersionGone ? "version_gone" : state.mayHaveExecuted ? "failed" : "no_room");
    if (!state.mayHaveExecuted && state.isVersionGone) {
        co_await refuseNotExecuted(state, core::ErrorKind::Overloaded, m_settings.versionGoneRetryAfter);
        co_return;
    }
    if (!state.mayHaveExecuted && state.isOverQuota) {
        co_await respondWithError(state, 429, core::ErrorKind::RateLimited, state.lastFailure, state.retryAfter);
        co_return;
    }
    if (!state.mayHaveExecuted) {
        std::string message = "request was not executed: no upstream is available in time";
        if (!state.lastFailure.empty()) { // not a conditional expression in the call: GCC 12 destroys temporaries of one in a co_await twice
            message = "request was not executed: " + state.lastFailure;
        }
        const core::ErrorKind kind = state.endedByShutdown ? core::ErrorKind::Draining : core::ErrorKind::Overloaded;
        co_await respondWithError(state, 503, kind, message, state.retryAfter);
        co_return;
    }
    if (state.endedByShutdown) {
        co_await respondWithError(state, 504, core::ErrorKind::Draining, "the instance is shutting down; the request may have been executed", {});
        co_return;
    }
    if (timedOut) {
        co_await respondWithError(state, 504, core::ErrorKind::DeadlineExceeded, "no response before the deadline; the request may have been executed", {});
        co_return;
    }
    co_await respondWithError(state, 502, core::ErrorKind::UpstreamFailed, "no complete response from the upstream; the request may have been executed", {});
}

asio::awaitable<void> Forwarder::refuseNotExecuted(RequestState &state, core::ErrorKind kind, core::Duration retryAfter)
{
    const std::string message = "request was not executed: " + state.lastFailure;
    co_await respondWithError(state, 503, kind, message, retryAfter);
}

asio::awaitable<void>
Forwarder::respondWithError(RequestState &state, unsigned status, core::ErrorKind kind, const std::string &message, core::Duration retryAfter)
{
    core::Error error = core::makeError(kind, message);
    error.outcome = status == 502 || status == 504 ? core::Outcome::Unknown : core::Outcome::NotRun;
    http::Response response = http::jsonResponse(status, core::toJson(error));
    if (status == 503 || status == 429) {
        constexpr core::Duration MinRetryAfter = milliseconds(100);
        response.headers["Retry-After"] = formatSeconds(std::max(retryAfter, MinRetryAfter));
    }
    const std::string_view outcome = kind == core::ErrorKind::Quarantined ? OutcomeQuarantined
        : error.outcome == core::Outcome::NotRun                          ? OutcomeNotExecuted
                                                                          : OutcomeUnknown;
    setPeerHeaders(state, outcome, response);
    co_await state.exchange.respond(response);
    logCompletion(state, status, error.message);
}

void Forwarder::countForWorkspace(const RequestState &state, unsigned status, std::string_view completion)
{
    if (state.fromPeer) { // the origin counts it
        return;
    }
    if (status == 401) {
        m_context.metrics.incrementCounter("arbutus_unknown_credentials_total");
    }
    if (state.workspace == nullptr) {
        return;
    }
    constexpr unsigned Ok = 200;
    constexpr unsigned FirstFailure = 300;
    const char *outcome = status == 0                      ? "client_gone"
        : completion == StreamBroken                       ? "failed"
        : status >= Ok && status < FirstFailure            ? "served"
        : state.isOverQuota && !state.mayHaveExecuted      ? "over_quota"
        : !state.mayHaveExecuted && !state.upstreamFailure ? "refused"
                                                           : "failed";
    std::string labels = "workspace=\"" + observe::escapeLabel(state.workspace->id.text) + "\"";
    labels += ",outcome=\"" + std::string(outcome) + "\"";
    m_context.metrics.incrementCounter("arbutus_workspace_requests_total", labels);
}

void Forwarder::logCompletion(const RequestState &state, unsigned status, std::string_view outcome)
{
    const auto elapsed = m_context.now() - state.receivedAt;
    const std::string route = state.route == nullptr ? "" : state.route->id.text;
    m_context.metrics.incrementCounter("arbutus_requests_total", "status=\"" + std::to_string(status) + "\"");
    m_context.metrics.observeDuration("arbutus_request_seconds", "", elapsed);
    countForWorkspace(state, status, outcome);
    m_context.writeLog(observe::LogLine("request")
                           .add("request", state.head.attemptId)
                           .add("origin", state.origin)
                           .add("route", route)
                           .add("workspace", state.match().workspaceId())
                           .add("service", state.service)
                           .add("configuration", state.acceptedCatalog)
                           .add("status", status)
                           .add("outcome", outcome)
                           .add("reason", state.lastFailure)
                           .add("upstream", state.lastUpstream)
                           .add("took_ms", core::toMilliseconds(elapsed))
                           .add("placements", state.placements)
                           .add("upstream_sends", state.sendCount)
                           .add("resumes", state.head.resumedAttemptId)
                           .add("resumed_after", state.head.lastEventId)
                           .add("first_event_ms", state.firstEventTime == core::TimePoint{} ? 0 : core::toMilliseconds(state.firstEventTime - state.receivedAt))
                           .add("max_event_gap_ms", core::toMilliseconds(state.maxEventGap))
                           .add("events", state.sseRelay ? state.sseRelay->forwardedEventCount() : 0));
}

} // namespace arbutus::edge
