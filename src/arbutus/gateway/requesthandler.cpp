// Client API paths and request processing.
//
// Sections:
//   Parsing      headers and bodies
//   Responses    entries, models, rejections
//   Requests     admission and execution of actions
//   Forwarding   requests forwarded by other instances

#include "arbutus/gateway/requesthandler.h"

#include "arbutus/core/hash.h"
#include "arbutus/core/json.h"
#include "arbutus/core/prefixblocks.h"
#include "arbutus/core/prompt.h"
#include "arbutus/core/scopedelement.h"
#include "arbutus/http/via.h"
#include "arbutus/observe/logline.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace arbutus::gateway {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

struct RequestHandler::RequestContext
{
    node::RequestKey key;
    node::RequestHead head;
    AttemptRequest attempt;
    core::TimePoint startedAt{};
};

namespace {

constexpr std::string_view ServicePrefix = "/v1/services/";
constexpr std::size_t MaxRequestIdBytes = 128;
constexpr std::size_t DefaultMaxTokens = 256; // assumed for requests without max_tokens

/// Hop-by-hop headers and headers interpreted by the gateway; they are not forwarded to upstreams.
constexpr std::array NonForwardedHeaders{
    std::string_view("Authorization"),
    std::string_view("Connection"),
    std::string_view("Content-Length"),
    std::string_view("Expect"),
    std::string_view("Host"),
    std::string_view("Idempotency-Key"),
    std::string_view("Keep-Alive"),
    std::string_view("Proxy-Authorization"),
    std::string_view("TE"),
    std::string_view("Trailer"),
    std::string_view("Transfer-Encoding"),
    std::string_view("Upgrade"),
    std::string_view("Via"),
    std::string_view("X-Attempt-Id"),
    std::string_view("X-Deadline-Ms"),
    std::string_view("X-Not-Run"),
    std::string_view("X-Priority"),
    std::string_view("X-Request-Class"),
    std::string_view("X-Request-Id"),
    std::string_view("X-Resume-Offset"),
    std::string_view("X-Shown-Id"),
    std::string_view("X-Ticket"),
    std::string_view("X-Workspace"),
};

//-----------------------------------------------------------------------------
// Parsing
//-----------------------------------------------------------------------------

bool isValidRequestId(std::string_view text)
{
    return !text.empty() && text.size() <= MaxRequestIdBytes
        && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':'; });
}

std::string bearerHash(const http::Headers &headers)
{
    static constexpr std::string_view Scheme = "Bearer ";
    const std::string value = http::headerValue(headers, "Authorization");
    return value.starts_with(Scheme) ? core::sha256Hex(std::string_view(value).substr(Scheme.size())) : std::string();
}

core::Result<std::optional<std::chrono::milliseconds>> parseDeadline(const http::Headers &headers)
{
    const std::string text = http::headerValue(headers, "X-Deadline-Ms");
    if (text.empty()) {
        return std::optional<std::chrono::milliseconds>();
    }
    std::int64_t value = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    if (read.ec != std::errc() || read.ptr != text.data() + text.size() || value < 1) {
        return core::makeError(core::ErrorKind::BadRequest, "X-Deadline-Ms: found \"" + text + "\", allowed is a whole number of milliseconds above 0");
    }
    return std::optional(std::chrono::milliseconds(value));
}

core::Result<node::RequestBody> parseModelRequestBody(const http::Request &request)
{
    BOOST_OUTCOME_TRY(const json::object body, core::parseJsonObject(request.body));
    node::RequestBody out;
    out.model = core::ModelId(core::jsonString(body, "model"));
    if (out.model.empty()) {
        return core::makeError(core::ErrorKind::BadRequest, "the body is missing the \"model\" field");
    }
    const std::int64_t tokens = core::jsonInteger(body, "max_tokens", DefaultMaxTokens);
    if (tokens < 1) {
        return core::makeError(core::ErrorKind::BadRequest, "max_tokens: found " + std::to_string(tokens) + ", allowed is 1 or more");
    }
    const std::string prompt = core::extractPrompt(body);
    out.stream = core::jsonBool(body, "stream");
    out.maxTokens = static_cast<std::size_t>(tokens);
    out.promptTokens = core::estimateTokens(prompt.size());
    out.prefixBlocks = core::prefixBlockHashes(prompt);
    return out;
}

http::Request withoutGatewayHeaders(const http::Request &request)
{
    http::Request out = request;
    for (const std::string_view name : NonForwardedHeaders) {
        const auto found = out.headers.find(name);
        if (found != out.headers.end()) {
            out.headers.erase(found);
        }
    }
    return out;
}

//-----------------------------------------------------------------------------
// Responses
//-----------------------------------------------------------------------------

http::Response errorResponse(const core::Error &error)
{
    http::Response response = http::jsonResponse(core::httpStatus(error.kind), core::toJson(error));
    response.headers["X-Outcome"] = std::string(core::toString(error.outcome));
    if (error.retryAfter.count() > 0) {
        const auto seconds = (error.retryAfter.count() + 999) / 1000;
        response.headers["Retry-After"] = std::to_string(std::max<std::int64_t>(1, seconds));
        response.headers["Retry-After-Ms"] = std::to_string(error.retryAfter.count());
    }
    return response;
}

std::string joinWithCommas(const std::vector<std::string> &items)
{
    std::string out;
    for (const std::string &item : items) {
        out += (out.empty() ? "" : ", ") + item;
    }
    return out;
}

void addAlternativeHeaders(http::Response &response, const std::string &replacementTicket, const std::vector<std::string> &entries)
{
    if (!replacementTicket.empty()) {
        response.headers["X-Ticket"] = replacementTicket;
    }
    if (!entries.empty()) {
        response.headers["X-Entries"] = joinWithCommas(entries);
    }
}

std::string entriesBody(const node::EntriesResponse &entriesResponse, bool ticketsOnly)
{
    json::object body;
    json::array tickets;
    for (const std::string &ticket : entriesResponse.tickets) {
        tickets.emplace_back(ticket);
    }
    if (ticketsOnly) {
        body["tickets"] = std::move(tickets);
        body["expires_in_ms"] = entriesResponse.ticketsExpireIn.count();
        return json::serialize(body);
    }
    json::array entries;
    for (const node::EntryPoint &entry : entriesResponse.entries) {
        entries.push_back(json::object{{"id", entry.id.text}, {"region", entry.region.text}, {"failure_domain", entry.domain.text}, {"url", entry.url}});
    }
    body["entries"] = std::move(entries);
    body["lifetime_ms"] = 10'000;
    if (!tickets.empty()) {
        body["ticket"] = tickets.front();
        body["ticket_expires_in_ms"] = entriesResponse.ticketsExpireIn.count();
    }
    return json::serialize(body);
}

std::string modelsBody(const std::set<core::ModelId> &models)
{
    json::array data;
    for (const core::ModelId &model : models) {
        data.push_back(json::object{{"id", model.text}, {"object", "model"}, {"owned_by", "arbutusglade"}});
    }
    return json::serialize(json::object{{"object", "list"}, {"data", std::move(data)}});
}

} // namespace

RequestHandler::RequestHandler(AttemptContext attemptContext, DecisionLoop &decisionLoop, observe::Metrics &metrics)
    : m_attemptContext(std::move(attemptContext))
    , m_decisionLoop(decisionLoop)
    , m_metrics(metrics)
    , m_mailboxes(m_attemptContext.executor)
{
}

void RequestHandler::deliverAction(RequestAction action)
{
    if (const auto *cancellation = std::get_if<node::CancelAttempt>(&action)) {
        const auto control = m_attemptControls.find(cancellation->key);
        if (control != m_attemptControls.end() && control->second->cancelIfSilent) {
            control->second->cancelIfSilent();
        }
        return;
    }
    m_mailboxes.deliver(std::move(action));
}

void RequestHandler::endOpenRequests()
{
    m_isEnding = true;
    const std::set<http::Exchange *> bodyReads = *m_bodyReads; // cancelling may change both
    for (http::Exchange *exchange : bodyReads) {
        exchange->cancelBodyRead();
    }
    const auto controls = m_attemptControls;
    for (const auto &[key, control] : controls) {
        if (control->cancel) {
            control->cancel();
        }
    }
}

void RequestHandler::recordOutcome(const RequestContext &context, std::string_view outcome)
{
    const std::string labels = "class=\"" + context.head.requestClass.text + "\",outcome=\"" + std::string(outcome) + "\"";
    m_metrics.incrementCounter("arbutus_requests_total", labels);
    m_metrics.observeDuration("arbutus_request_seconds", labels, m_attemptContext.clock.steadyNow() - context.startedAt);
}

asio::awaitable<void> RequestHandler::sendEntries(http::Exchange &exchange, bool ticketsOnly)
{
    const auto opened = m_mailboxes.open();
    const auto mailbox = opened.second;
    node::EntriesRequested entriesRequest;
    entriesRequest.key = opened.first;
    entriesRequest.workspace = core::WorkspaceId(exchange.request().queryParameter("workspace"));
    entriesRequest.bearerKeyHash = bearerHash(exchange.request().headers);
    const std::string count = exchange.request().queryParameter("count");
    entriesRequest.ticketCount = ticketsOnly && !count.empty() ? std::strtoul(count.c_str(), nullptr, 10) : 1;
    if (!m_decisionLoop.tryPost(entriesRequest)) {
        m_mailboxes.close(opened.first);
        const http::Response rejection = errorResponse(core::makeError(core::ErrorKind::Overloaded, "the decision queue is full"));
        co_await exchange.respond(rejection);
        co_return;
    }
    const RequestAction action = co_await mailbox->next();
    m_mailboxes.close(opened.first);
    const auto &entriesResponse = std::get<node::EntriesResponse>(action);
    const http::Response response =
        entriesResponse.error ? errorResponse(*entriesResponse.error) : http::jsonResponse(200, entriesBody(entriesResponse, ticketsOnly));
    co_await exchange.respond(response);
}

asio::awaitable<void> RequestHandler::sendModels(http::Exchange &exchange)
{
    const auto opened = m_mailboxes.open();
    const auto mailbox = opened.second;
    const core::WorkspaceId workspace(http::headerValue(exchange.request().headers, "X-Workspace"));
    const std::string hash = bearerHash(exchange.request().headers);
    auto models = std::make_shared<std::set<core::ModelId>>();
    node::EntriesResponse completion; // resumes this coroutine and carries an error; the models are passed in `models`
    completion.key = opened.first;
    const auto executor = m_attemptContext.executor;
    const bool posted = m_decisionLoop.tryPostQuery([this, executor, workspace, hash, models, completion](const node::Node &node) mutable {
        const config::WorkspacePolicy *policy = node.state().config.findPolicy(workspace);
        if (policy == nullptr) {
            completion.error = core::makeError(core::ErrorKind::UnknownWorkspace, "unknown workspace \"" + workspace.text + "\"");
        } else if (std::find(policy->apiKeyHashes.begin(), policy->apiKeyHashes.end(), hash) == policy->apiKeyHashes.end()) {
            completion.error = core::makeError(core::ErrorKind::Unauthorized, "the API key does not belong to workspace " + workspace.text);
        } else {
            *models = policy->models;
        }
        asio::post(executor, [this, completion] { deliverAction(completion); });
    });
    if (!posted) {
        completion.error = core::makeError(core::ErrorKind::Overloaded, "the decision queue is full");
        mailbox->put(completion);
    }
    const RequestAction action = co_await mailbox->next();
    m_mailboxes.close(opened.first);
    const auto &received = std::get<node::EntriesResponse>(action);
    const http::Response response = received.error ? errorResponse(*received.error) : http::jsonResponse(200, modelsBody(*models));
    co_await exchange.respond(response);
}

asio::awaitable<void> RequestHandler::sendRejection(http::Exchange &exchange, const RequestContext &context, const node::RejectRequest &rejection)
{
    if (exchange.responseStarted() && context.head.forwarded) { // the origin may continue the stream at another upstream
        exchange.abort();
        co_return;
    }
    if (exchange.responseStarted()) {
        // Part of the response has been sent. Report the error inside the stream and abort it, so that the client does not
        // take the response as complete.
        const std::string event = "data: " + core::toJson(rejection.error) + "\n\n";
        co_await exchange.writeChunk(event);
        exchange.abort();
        co_return;
    }
    http::Response response = errorResponse(rejection.error);
    response.headers["X-Decision-Id"] = rejection.decision.text;
    addAlternativeHeaders(response, rejection.replacementTicket, rejection.alternateEntryUrls);
    co_await exchange.respond(response);
}

//-----------------------------------------------------------------------------
// Requests
//-----------------------------------------------------------------------------

asio::awaitable<void> RequestHandler::handleRequest(http::Exchange &exchange)
{
    const std::string path = exchange.request().path();
    const std::string &method = exchange.request().method;
    if (path == "/v1/entries" && method == "GET") {
        co_await sendEntries(exchange, false);
        co_return;
    }
    if (path == "/v1/tickets" && method == "POST") {
        const auto bodyResult = co_await exchange.readBody();
        (void)bodyResult;
        co_await sendEntries(exchange, true);
        co_return;
    }
    if (path == "/v1/models" && method == "GET") {
        co_await sendModels(exchange);
        co_return;
    }
    RequestContext context;
    context.attempt.isServiceCall = path.starts_with(ServicePrefix);
    const bool isModelRequest = (path == "/v1/chat/completions" || path == "/v1/completions") && method == "POST";
    if (!isModelRequest && !context.attempt.isServiceCall) {
        const http::Response rejection = errorResponse(core::makeError(core::ErrorKind::NotFound, "unknown path " + method + " " + path));
        co_await exchange.respond(rejection);
        co_return;
    }
    context.head.bearerKeyHash = bearerHash(exchange.request().headers);
    context.head.via = http::parseViaInstances(http::headerValue(exchange.request().headers, "Via"));
    co_await processRequest(exchange, context);
}

asio::awaitable<void> RequestHandler::processRequest(http::Exchange &exchange, RequestContext &context)
{
    const http::Headers &headers = exchange.request().headers;
    const auto opened = m_mailboxes.open();
    const auto mailbox = opened.second;
    context.key = opened.first;
    context.startedAt = m_attemptContext.clock.steadyNow();
    context.head.workspace = core::WorkspaceId(http::headerValue(headers, "X-Workspace"));
    context.head.requestClass = core::ClassId(http::headerValue(headers, "X-Request-Class"));
    context.head.ticket = http::headerValue(headers, "X-Ticket");
    const std::string idempotencyKey = http::headerValue(headers, "Idempotency-Key");
    if (!idempotencyKey.empty()) {
        context.head.idempotencyKeyHash = core::sha256Hex(context.head.workspace.text + "\n" + idempotencyKey);
    }
    if (context.attempt.isServiceCall) {
        const std::string rest = exchange.request().path().substr(ServicePrefix.size());
        context.head.service = core::ServiceId(rest.substr(0, rest.find('/')));
        const std::string &method = exchange.request().method;
        context.head.safeMethod = method == "GET" || method == "HEAD" || method == "OPTIONS";
    }
    std::string id = http::headerValue(headers, "X-Request-Id");
    if (id.empty()) {
        id = m_attemptContext.self.id.text + "-" + std::to_string(m_attemptContext.self.incarnation.value) + "-r" + std::to_string(m_nextId++);
    }
    context.head.id = core::RequestId(id);
    const auto deadline = parseDeadline(headers);
    std::optional<core::Error> earlyError;
    if (!isValidRequestId(id)) {
        earlyError = core::makeError(core::ErrorKind::BadRequest, "X-Request-Id: allowed are 1 to 128 letters, digits and the characters -_.:");
    } else if (!deadline) {
        earlyError = deadline.error();
    } else {
        context.head.deadline = deadline.value();
        if (!m_decisionLoop.tryPost(node::RequestHeadReceived{context.key, context.head})) {
            earlyError = core::makeError(core::ErrorKind::Overloaded, "the decision queue is full");
            earlyError->retryAfter = 1'000ms;
        }
    }
    if (earlyError) {
        const bool mayHaveRun = !context.head.ticket.empty() || !context.head.idempotencyKeyHash.empty();
        earlyError->outcome = mayHaveRun ? core::Outcome::Unknown : core::Outcome::NotRun;
        m_mailboxes.close(context.key);
        recordOutcome(context, core::toString(earlyError->outcome));
        const http::Response response = errorResponse(*earlyError);
        co_await exchange.respond(response);
        co_return;
    }
    const RequestAction admissionAction = co_await mailbox->next();
    const auto &admission = std::get<node::AdmissionDecision>(admissionAction);
    if (admission.error) {
        m_mailboxes.close(context.key);
        recordOutcome(context, core::toString(admission.error->outcome));
        http::Response response = errorResponse(*admission.error);
        response.headers["X-Config-Revision"] = std::to_string(admission.configRevision.value);
        addAlternativeHeaders(response, admission.replacementTicket, admission.alternateEntryUrls);
        co_await exchange.respond(response);
        co_return;
    }
    if (co_await readBody(exchange, context)) {
        m_attemptControls[context.key] = context.attempt.control;
        co_await processActions(exchange, context, *mailbox);
        m_attemptControls.erase(context.key);
    } else {
        const RequestAction action = co_await mailbox->next();
        recordOutcome(context, "bad_body");
        co_await sendRejection(exchange, context, std::get<node::RejectRequest>(action));
    }
    m_mailboxes.close(context.key);
}

asio::awaitable<core::Result<void>> RequestHandler::readWholeBody(http::Exchange &exchange)
{
    const core::ScopedElement<http::Exchange *> reading(m_bodyReads, &exchange);
    co_return co_await exchange.readBody();
}

asio::awaitable<bool> RequestHandler::readBody(http::Exchange &exchange, RequestContext &context)
{
    auto read = co_await readWholeBody(exchange);
    if (!read && m_isEnding) {
        core::Error error = core::makeError(core::ErrorKind::Draining, "the instance is shutting down and the body has not arrived");
        error.outcome = read.error().outcome;
        read = error;
    }
    if (!read) {
        m_decisionLoop.post(node::RequestBodyFailed{context.key, read.error()});
        co_return false;
    }
    const http::Request &request = exchange.request();
    auto parsedBody = context.attempt.isServiceCall ? core::Result<node::RequestBody>(node::RequestBody{}) : parseModelRequestBody(request);
    if (!parsedBody) {
        m_decisionLoop.post(node::RequestBodyFailed{context.key, parsedBody.error()});
        co_return false;
    }
    node::RequestBody body = std::move(parsedBody.value());
    body.requestHash = core::sha256Hex(request.method + " " + request.target + "\n" + request.body);
    AttemptRequest &attempt = context.attempt;
    attempt.key = context.key;
    attempt.id = context.head.id;
    attempt.workspace = context.head.workspace;
    attempt.httpRequest = withoutGatewayHeaders(request);
    attempt.streaming = body.stream;
    attempt.via = joinWithCommas(context.head.via) + (context.head.via.empty() ? "" : ", ") + m_attemptContext.self.id.text;
    for (const char *name : {"X-Request-Class", "X-Ticket", "X-Workspace", "Idempotency-Key"}) {
        const std::string value = http::headerValue(request.headers, name);
        if (!value.empty()) {
            attempt.peerHeaders[name] = value;
        }
    }
    attempt.peerHeaders["X-Request-Id"] = context.head.id.text;
    m_decisionLoop.post(node::RequestBodyReceived{context.key, std::move(body)});
    co_return true;
}

asio::awaitable<void> RequestHandler::processActions(http::Exchange &exchange, RequestContext &context, Mailbox &mailbox)
{
    while (true) {
        const RequestAction action = co_await mailbox.next();
        if (const auto *dispatch = std::get_if<node::Dispatch>(&action)) {
            if (context.attempt.clientVisibleId.empty()) {
                context.attempt.clientVisibleId = dispatch->attempt.text;
            }
            if (dispatch->resumeOffset > 0) {
                context.attempt.previouslyRelayedTokens = dispatch->resumeOffset;
            }
            node::AttemptEnded ended = co_await runAttempt(m_attemptContext, context.attempt, *dispatch, exchange);
            const node::AttemptResult result = ended.result;
            m_decisionLoop.post(std::move(ended));
            if (result == node::AttemptResult::Completed || result == node::AttemptResult::ClientDisconnected) {
                recordOutcome(context, result == node::AttemptResult::Completed ? "answered" : "caller_gone");
                co_return;
            }
        } else if (const auto *forward = std::get_if<node::ForwardToOwner>(&action)) {
            node::ForwardToOwnerFinished forwardResult = co_await forwardToTicketOwner(m_attemptContext, context.attempt, *forward, exchange);
            const bool relayed = forwardResult.relayed;
            m_decisionLoop.post(forwardResult);
            if (relayed) {
                recordOutcome(context, "owner_answered");
                co_return;
            }
        } else if (const auto *replay = std::get_if<node::ReplayResponse>(&action)) {
            http::Response response;
            response.status = replay->outcome.httpStatus;
            response.headers["Content-Type"] = replay->outcome.contentType;
            response.headers["X-Replayed"] = "1";
            response.headers["X-Region"] = m_attemptContext.region.text;
            response.body = replay->outcome.responseBody;
            recordOutcome(context, "replayed");
            co_await exchange.respond(response);
            co_return;
        } else if (const auto *rejection = std::get_if<node::RejectRequest>(&action)) {
            recordOutcome(context, core::toString(rejection->error.outcome));
            co_await sendRejection(exchange, context, *rejection);
            co_return;
        }
    }
}

//-----------------------------------------------------------------------------
// Forwarding
//-----------------------------------------------------------------------------

namespace {

/// Exchange that sends the response to the instance that forwarded the request.
class PeerExchange final : public http::Exchange
{
public:
    PeerExchange(asio::any_io_executor executor, std::shared_ptr<peer::ForwardSession> session)
        : m_executor(std::move(executor))
        , m_session(std::move(session))
    {
    }

    [[nodiscard]] const http::Request &request() const override
    {
        return m_session->request;
    }
    asio::awaitable<core::Result<void>> readBody() override
    {
        co_return core::success();
    }
    asio::awaitable<bool> respond(const http::Response &response) override
    {
        m_started = true;
        bool open = co_await sendHead(response);
        open = open && co_await writeChunk(response.body);
        open = open && co_await endResponse();
        co_return open;
    }
    asio::awaitable<bool> beginResponse(const http::Response &response) override
    {
        m_started = true;
        co_return co_await sendHead(response);
    }
    asio::awaitable<bool> writeChunk(std::string_view chunk) override
    {
        auto initiate = [this, chunk](auto handler) { m_session->sendBody(chunk, completion(std::move(handler))); };
        co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(bool)>(initiate, asio::use_awaitable);
    }
    asio::awaitable<bool> endResponse() override
    {
        m_session->finish(true);
        m_finished = true;
        co_return true;
    }
    [[nodiscard]] bool responseStarted() const override
    {
        return m_started;
    }
    void abort() override
    {
        if (!m_finished) {
            m_session->finish(false);
            m_finished = true;
        }
    }

private:
    asio::awaitable<bool> sendHead(http::Response response)
    {
        auto initiate = [this, response](auto handler) { m_session->sendHead(response, completion(std::move(handler))); };
        co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(bool)>(initiate, asio::use_awaitable);
    }

    template<class CompletionHandler>
    std::function<void(bool)> completion(CompletionHandler handler)
    {
        auto sharedHandler = std::make_shared<CompletionHandler>(std::move(handler));
        return [executor = m_executor, sharedHandler](bool succeeded) {
            asio::post(executor, [sharedHandler, succeeded]() mutable { std::move (*sharedHandler)(succeeded); });
        };
    }

    asio::any_io_executor m_executor;
    std::shared_ptr<peer::ForwardSession> m_session;
    bool m_started = false;
    bool m_finished = false;
};

} // namespace

void RequestHandler::handleForwardedRequest(std::shared_ptr<peer::ForwardSession> session)
{
    auto serveForward = [this, session]() -> asio::awaitable<void> {
        PeerExchange exchange(m_attemptContext.executor, session);
        RequestContext context;
        context.attempt.isServiceCall = session->request.path().starts_with(ServicePrefix);
        context.attempt.clientVisibleId = http::headerValue(session->request.headers, "X-Shown-Id");
        context.head.forwarded = true;
        context.head.via = http::splitCommaSeparated(session->via);
        context.head.originAttempt = session->attemptId;
        session->request.headers["X-Deadline-Ms"] = std::to_string(std::max<std::int64_t>(1, session->remainingTime.count()));
        const std::string offset = http::headerValue(session->request.headers, "X-Resume-Offset");
        context.attempt.previouslyRelayedTokens = 0;
        context.head.resumeOffset = std::strtoul(offset.c_str(), nullptr, 10);
        co_await processRequest(exchange, context);
        exchange.abort(); // no effect if the response was finished
    };
    asio::post(m_attemptContext.executor, [this, serveForward] { asio::co_spawn(m_attemptContext.executor, serveForward, asio::detached); });
}

} // namespace arbutus::gateway
