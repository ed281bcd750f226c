// Paths and conversations.
//
// Sections:
//   Reading      headers and bodies
//   Answers      entries, models, refusals
//   Requests     judged, conducted
//   Forwards     requests of other instances

#include "arbutus/gateway/requesthandler.h"

#include "arbutus/core/hash.h"
#include "arbutus/core/json.h"
#include "arbutus/core/prefixblocks.h"
#include "arbutus/core/prompt.h"
#include "arbutus/http/via.h"
#include "arbutus/observe/logline.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
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
constexpr std::size_t LongestId = 128;     // bytes of a caller's request id
constexpr std::size_t DefaultTokens = 256; // planned where a request names no max_tokens
constexpr auto RingRetry = 5ms;            // until an event that must not be lost is posted again

/// Headers that are ours or belong to one connection; they are not passed on to upstreams.
constexpr std::array NotPassedOn{
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
// Reading
//-----------------------------------------------------------------------------

bool isIdText(std::string_view text)
{
    return !text.empty() && text.size() <= LongestId
        && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':'; });
}

std::string bearerHash(const http::Headers &headers)
{
    static constexpr std::string_view Scheme = "Bearer ";
    const std::string value = http::headerValue(headers, "Authorization");
    return value.starts_with(Scheme) ? core::sha256Hex(std::string_view(value).substr(Scheme.size())) : std::string();
}

core::Result<std::optional<std::chrono::milliseconds>> readDeadline(const http::Headers &headers)
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

core::Result<node::RequestBody> understandModelBody(const http::Request &request)
{
    BOOST_OUTCOME_TRY(const json::object body, core::parseJsonObject(request.body));
    node::RequestBody out;
    out.model = core::ModelId(core::jsonString(body, "model"));
    if (out.model.empty()) {
        return core::makeError(core::ErrorKind::BadRequest, "the body names no \"model\"");
    }
    const std::int64_t tokens = core::jsonInteger(body, "max_tokens", DefaultTokens);
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

http::Request endToEnd(const http::Request &request)
{
    http::Request out = request;
    for (const std::string_view name : NotPassedOn) {
        const auto found = out.headers.find(name);
        if (found != out.headers.end()) {
            out.headers.erase(found);
        }
    }
    return out;
}

//-----------------------------------------------------------------------------
// Answers
//-----------------------------------------------------------------------------

http::Response errorAnswer(const core::Error &error)
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

std::string joined(const std::vector<std::string> &items)
{
    std::string out;
    for (const std::string &item : items) {
        out += (out.empty() ? "" : ", ") + item;
    }
    return out;
}

void addAlternatives(http::Response &response, const std::string &freshTicket, const std::vector<std::string> &entries)
{
    if (!freshTicket.empty()) {
        response.headers["X-Ticket"] = freshTicket;
    }
    if (!entries.empty()) {
        response.headers["X-Entries"] = joined(entries);
    }
}

std::string entriesBody(const node::EntriesResponse &given, bool ticketsOnly)
{
    json::object body;
    json::array tickets;
    for (const std::string &ticket : given.tickets) {
        tickets.emplace_back(ticket);
    }
    if (ticketsOnly) {
        body["tickets"] = std::move(tickets);
        body["expires_in_ms"] = given.ticketsExpireIn.count();
        return json::serialize(body);
    }
    json::array entries;
    for (const node::EntryPoint &entry : given.entries) {
        entries.push_back(json::object{{"id", entry.id.text}, {"region", entry.region.text}, {"failure_domain", entry.domain.text}, {"url", entry.url}});
    }
    body["entries"] = std::move(entries);
    body["lifetime_ms"] = 10'000;
    if (!tickets.empty()) {
        body["ticket"] = tickets.front();
        body["ticket_expires_in_ms"] = given.ticketsExpireIn.count();
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

RequestHandler::RequestHandler(AttemptContext attempt, DecisionLoop &decisions, observe::Metrics &metrics)
    : m_attemptContext(std::move(attempt))
    , m_decisions(decisions)
    , m_metrics(metrics)
    , m_mailboxes(m_attemptContext.executor)
{
}

void RequestHandler::deliverAction(RequestAction action)
{
    m_mailboxes.deliver(std::move(action));
}

// GCC 12 destroys aggregate temporaries in the arguments of a co_await twice: arguments are named variables here.
asio::awaitable<void> RequestHandler::postWithRetry(node::Event event)
{
    while (!m_decisions.tryPost(event)) {
        asio::steady_timer timer(m_attemptContext.executor, RingRetry);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void RequestHandler::recordOutcome(const RequestContext &work, std::string_view outcome)
{
    const std::string labels = "class=\"" + work.head.requestClass.text + "\",outcome=\"" + std::string(outcome) + "\"";
    m_metrics.incrementCounter("arbutus_requests_total", labels);
    m_metrics.observeDuration("arbutus_request_seconds", labels, m_attemptContext.clock.steadyNow() - work.startedAt);
}

asio::awaitable<void> RequestHandler::sendEntries(http::Exchange &exchange, bool ticketsOnly)
{
    const auto opened = m_mailboxes.open();
    const auto mailbox = opened.second;
    node::EntriesRequested wanted;
    wanted.key = opened.first;
    wanted.workspace = core::WorkspaceId(exchange.request().queryParameter("workspace"));
    wanted.bearerKeyHash = bearerHash(exchange.request().headers);
    const std::string count = exchange.request().queryParameter("count");
    wanted.ticketCount = ticketsOnly && !count.empty() ? std::strtoul(count.c_str(), nullptr, 10) : 1;
    if (!m_decisions.tryPost(wanted)) {
        m_mailboxes.close(opened.first);
        const http::Response refusal = errorAnswer(core::makeError(core::ErrorKind::Overloaded, "the decisions' ring is full"));
        co_await exchange.respond(refusal);
        co_return;
    }
    const RequestAction action = co_await mailbox->next();
    m_mailboxes.close(opened.first);
    const auto &given = std::get<node::EntriesResponse>(action);
    const http::Response response = given.error ? errorAnswer(*given.error) : http::jsonResponse(200, entriesBody(given, ticketsOnly));
    co_await exchange.respond(response);
}

asio::awaitable<void> RequestHandler::sendModels(http::Exchange &exchange)
{
    const auto opened = m_mailboxes.open();
    const auto mailbox = opened.second;
    const core::WorkspaceId workspace(http::headerValue(exchange.request().headers, "X-Workspace"));
    const std::string hash = bearerHash(exchange.request().headers);
    auto models = std::make_shared<std::set<core::ModelId>>();
    node::EntriesResponse done;
    done.key = opened.first;
    const auto executor = m_attemptContext.executor;
    const bool posted = m_decisions.tryPostQuery([this, executor, workspace, hash, models, done](const node::Node &node) mutable {
        const config::WorkspacePolicy *policy = node.state().config.findPolicy(workspace);
        if (policy == nullptr) {
            done.error = core::makeError(core::ErrorKind::UnknownWorkspace, "no workspace \"" + workspace.text + "\"");
        } else if (std::find(policy->apiKeyHashes.begin(), policy->apiKeyHashes.end(), hash) == policy->apiKeyHashes.end()) {
            done.error = core::makeError(core::ErrorKind::Unauthorized, "the key is not one of workspace " + workspace.text);
        } else {
            *models = policy->models;
        }
        asio::post(executor, [this, done] { deliverAction(done); });
    });
    if (!posted) {
        done.error = core::makeError(core::ErrorKind::Overloaded, "the decisions' ring is full");
        mailbox->put(done);
    }
    const RequestAction action = co_await mailbox->next();
    m_mailboxes.close(opened.first);
    const auto &given = std::get<node::EntriesResponse>(action);
    const http::Response response = given.error ? errorAnswer(*given.error) : http::jsonResponse(200, modelsBody(*models));
    co_await exchange.respond(response);
}

asio::awaitable<void> RequestHandler::sendRefusal(http::Exchange &exchange, const node::RejectRequest &refusal)
{
    if (exchange.responseStarted()) { // a part of the answer is out: say so inside the stream, and do not end it as whole
        const std::string event = "data: " + core::toJson(refusal.error) + "\n\n";
        co_await exchange.writeChunk(event);
        exchange.abort();
        co_return;
    }
    http::Response response = errorAnswer(refusal.error);
    response.headers["X-Decision-Id"] = refusal.decision.text;
    addAlternatives(response, refusal.replacementTicket, refusal.alternateEntryUrls);
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
        const auto ignored = co_await exchange.readBody();
        (void)ignored;
        co_await sendEntries(exchange, true);
        co_return;
    }
    if (path == "/v1/models" && method == "GET") {
        co_await sendModels(exchange);
        co_return;
    }
    RequestContext work;
    work.attempt.isServiceCall = path.starts_with(ServicePrefix);
    const bool model = (path == "/v1/chat/completions" || path == "/v1/completions") && method == "POST";
    if (!model && !work.attempt.isServiceCall) {
        const http::Response refusal = errorAnswer(core::makeError(core::ErrorKind::NotFound, "no path " + method + " " + path));
        co_await exchange.respond(refusal);
        co_return;
    }
    work.head.bearerKeyHash = bearerHash(exchange.request().headers);
    work.head.via = http::parseViaInstances(http::headerValue(exchange.request().headers, "Via"));
    co_await processRequest(exchange, work);
}

asio::awaitable<void> RequestHandler::processRequest(http::Exchange &exchange, RequestContext &work)
{
    const http::Headers &headers = exchange.request().headers;
    const auto opened = m_mailboxes.open();
    const auto mailbox = opened.second;
    work.key = opened.first;
    work.startedAt = m_attemptContext.clock.steadyNow();
    work.head.workspace = core::WorkspaceId(http::headerValue(headers, "X-Workspace"));
    work.head.requestClass = core::ClassId(http::headerValue(headers, "X-Request-Class"));
    work.head.ticket = http::headerValue(headers, "X-Ticket");
    const std::string idempotencyKey = http::headerValue(headers, "Idempotency-Key");
    if (!idempotencyKey.empty()) {
        work.head.idempotencyKeyHash = core::sha256Hex(work.head.workspace.text + "\n" + idempotencyKey);
    }
    if (work.attempt.isServiceCall) {
        const std::string rest = exchange.request().path().substr(ServicePrefix.size());
        work.head.service = core::ServiceId(rest.substr(0, rest.find('/')));
        const std::string &method = exchange.request().method;
        work.head.safeMethod = method == "GET" || method == "HEAD" || method == "OPTIONS";
    }
    std::string id = http::headerValue(headers, "X-Request-Id");
    if (id.empty()) {
        id = m_attemptContext.self.id.text + "-" + std::to_string(m_attemptContext.self.incarnation.value) + "-r" + std::to_string(m_nextId++);
    }
    work.head.id = core::RequestId(id);
    const auto deadline = readDeadline(headers);
    std::optional<core::Error> early;
    if (!isIdText(id)) {
        early = core::makeError(core::ErrorKind::BadRequest, "X-Request-Id: allowed are up to 128 letters, digits and -_.:");
    } else if (!deadline) {
        early = deadline.error();
    } else {
        work.head.deadline = deadline.value();
        if (!m_decisions.tryPost(node::RequestHeadReceived{work.key, work.head})) {
            early = core::makeError(core::ErrorKind::Overloaded, "the decisions' ring is full");
            early->retryAfter = 1'000ms;
        }
    }
    if (early) {
        const bool mayHaveRun = !work.head.ticket.empty() || !work.head.idempotencyKeyHash.empty();
        early->outcome = mayHaveRun ? core::Outcome::Unknown : core::Outcome::NotRun;
        m_mailboxes.close(work.key);
        recordOutcome(work, core::toString(early->outcome));
        const http::Response response = errorAnswer(*early);
        co_await exchange.respond(response);
        co_return;
    }
    const RequestAction judgedAction = co_await mailbox->next();
    const auto &judged = std::get<node::AdmissionDecision>(judgedAction);
    if (judged.error) {
        m_mailboxes.close(work.key);
        recordOutcome(work, core::toString(judged.error->outcome));
        http::Response response = errorAnswer(*judged.error);
        response.headers["X-Config-Revision"] = std::to_string(judged.revision.value);
        addAlternatives(response, judged.replacementTicket, judged.alternateEntryUrls);
        co_await exchange.respond(response);
        co_return;
    }
    if (co_await readBody(exchange, work)) {
        co_await processActions(exchange, work, *mailbox);
    } else {
        const RequestAction action = co_await mailbox->next();
        recordOutcome(work, "bad_body");
        co_await sendRefusal(exchange, std::get<node::RejectRequest>(action));
    }
    m_mailboxes.close(work.key);
}

asio::awaitable<bool> RequestHandler::readBody(http::Exchange &exchange, RequestContext &work)
{
    const auto read = co_await exchange.readBody();
    if (!read) {
        node::Event failed = node::RequestBodyFailed{work.key, read.error()};
        co_await postWithRetry(std::move(failed));
        co_return false;
    }
    const http::Request &request = exchange.request();
    auto understood = work.attempt.isServiceCall ? core::Result<node::RequestBody>(node::RequestBody{}) : understandModelBody(request);
    if (!understood) {
        node::Event failed = node::RequestBodyFailed{work.key, understood.error()};
        co_await postWithRetry(std::move(failed));
        co_return false;
    }
    node::RequestBody body = std::move(understood.value());
    body.requestHash = core::sha256Hex(request.method + " " + request.target + "\n" + request.body);
    AttemptRequest &attempt = work.attempt;
    attempt.key = work.key;
    attempt.id = work.head.id;
    attempt.workspace = work.head.workspace;
    attempt.httpRequest = endToEnd(request);
    attempt.streaming = body.stream;
    attempt.via = joined(work.head.via) + (work.head.via.empty() ? "" : ", ") + m_attemptContext.self.id.text;
    for (const char *name : {"X-Request-Class", "X-Ticket", "X-Workspace", "Idempotency-Key"}) {
        const std::string value = http::headerValue(request.headers, name);
        if (!value.empty()) {
            attempt.peerHeaders[name] = value;
        }
    }
    attempt.peerHeaders["X-Request-Id"] = work.head.id.text;
    node::Event arrived = node::RequestBodyReceived{work.key, std::move(body)};
    co_await postWithRetry(std::move(arrived));
    co_return true;
}

asio::awaitable<void> RequestHandler::processActions(http::Exchange &exchange, RequestContext &work, Mailbox &mailbox)
{
    while (true) {
        const RequestAction action = co_await mailbox.next();
        if (const auto *dispatch = std::get_if<node::Dispatch>(&action)) {
            if (work.attempt.clientVisibleId.empty()) {
                work.attempt.clientVisibleId = dispatch->attempt.text;
            }
            if (dispatch->resumeOffset > 0) {
                work.attempt.previouslyRelayedTokens = dispatch->resumeOffset;
            }
            node::AttemptEnded ended = co_await runAttempt(m_attemptContext, work.attempt, *dispatch, exchange);
            const node::AttemptResult end = ended.result;
            node::Event event = std::move(ended);
            co_await postWithRetry(std::move(event));
            if (end == node::AttemptResult::Completed || end == node::AttemptResult::ClientDisconnected) {
                recordOutcome(work, end == node::AttemptResult::Completed ? "answered" : "caller_gone");
                co_return;
            }
        } else if (const auto *forward = std::get_if<node::ForwardToOwner>(&action)) {
            node::ForwardToOwnerFinished answered = co_await forwardToTicketOwner(m_attemptContext, work.attempt, *forward, exchange);
            const bool relayed = answered.relayed;
            node::Event event = answered;
            co_await postWithRetry(std::move(event));
            if (relayed) {
                recordOutcome(work, "owner_answered");
                co_return;
            }
        } else if (const auto *replay = std::get_if<node::ReplayResponse>(&action)) {
            http::Response response;
            response.status = replay->outcome.httpStatus;
            response.headers["Content-Type"] = replay->outcome.contentType;
            response.headers["X-Replayed"] = "1";
            response.headers["X-Region"] = m_attemptContext.region.text;
            response.body = replay->outcome.responseBody;
            recordOutcome(work, "replayed");
            co_await exchange.respond(response);
            co_return;
        } else if (const auto *refusal = std::get_if<node::RejectRequest>(&action)) {
            recordOutcome(work, core::toString(refusal->error.outcome));
            co_await sendRefusal(exchange, *refusal);
            co_return;
        }
    }
}

//-----------------------------------------------------------------------------
// Forwards
//-----------------------------------------------------------------------------

namespace {

/// The answer to another instance, as an exchange.
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
    asio::awaitable<bool> writeChunk(std::string_view piece) override
    {
        auto initiate = [this, piece](auto handler) { m_session->sendBody(piece, completion(std::move(handler))); };
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
        auto shared = std::make_shared<CompletionHandler>(std::move(handler));
        return [executor = m_executor, shared](bool good) { asio::post(executor, [shared, good]() mutable { std::move (*shared)(good); }); };
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
        RequestContext work;
        work.attempt.isServiceCall = session->request.path().starts_with(ServicePrefix);
        work.attempt.clientVisibleId = http::headerValue(session->request.headers, "X-Shown-Id");
        work.head.forwarded = true;
        work.head.via = http::splitCommaSeparated(session->via);
        work.head.originAttempt = session->attemptId;
        session->request.headers["X-Deadline-Ms"] = std::to_string(std::max<std::int64_t>(1, session->timeLeft.count()));
        const std::string offset = http::headerValue(session->request.headers, "X-Resume-Offset");
        work.attempt.previouslyRelayedTokens = 0;
        work.head.resumeOffset = std::strtoul(offset.c_str(), nullptr, 10);
        co_await processRequest(exchange, work);
        exchange.abort(); // nothing happens where the answer was finished
    };
    asio::post(m_attemptContext.executor, [this, serveForward] { asio::co_spawn(m_attemptContext.executor, serveForward, asio::detached); });
}

} // namespace arbutus::gateway
