// Entry discovery, tickets and request attempts of the simulated client.

#include "arbutus/loadtool/caller.h"
#include "arbutus/core/asyncsleep.h"

#include "arbutus/core/json.h"

#include <boost/json.hpp>

#include <algorithm>

namespace arbutus::loadtool {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxAttempts = 6;
constexpr auto InitialRetryDelay = 100ms; // before the second attempt; doubled for each further one
constexpr auto ControlRequestTimeout = 1'000ms;
constexpr std::size_t TicketBatchSize = 16;

std::string choiceText(const json::object &choice, bool stream)
{
    if (const json::value *delta = choice.if_contains(stream ? "delta" : "message"); delta != nullptr && delta->is_object()) {
        return core::jsonString(delta->as_object(), "content");
    }
    return core::jsonString(choice, "text");
}

void readUsage(const json::object &body, RequestRecord &record)
{
    const json::object &usage = core::jsonObject(body, "usage");
    record.promptTokens = static_cast<std::size_t>(core::jsonInteger(usage, "prompt_tokens"));
    record.cachedTokens = static_cast<std::size_t>(core::jsonInteger(core::jsonObject(usage, "prompt_tokens_details"), "cached_tokens"));
}

/// Whether a complete answer is the expected one for the plan.
bool matchesPlan(const RequestPlan &plan, const std::string &body, RequestRecord &record)
{
    const auto parsed = core::parseJsonObject(body);
    if (!parsed) {
        return false;
    }
    if (plan.isServiceCall) {
        return core::jsonString(parsed.value(), "echo") == plan.expectedEcho && core::jsonString(parsed.value(), "request_id") == plan.requestId;
    }
    readUsage(parsed.value(), record);
    const json::array &choices = core::jsonArray(parsed.value(), "choices");
    const std::string text = choices.empty() ? std::string() : choiceText(choices.front().as_object(), false);
    const auto words = static_cast<std::size_t>(std::count(text.begin(), text.end(), ' ')) + 1;
    record.tokens = words;
    return text.starts_with("echo:" + plan.expectedEcho) && words == plan.maxTokens;
}

} // namespace

CallerGroup::CallerGroup(asio::any_io_executor executor, const core::Clock &clock, const Topology &topology, const WorkspaceSpec &workspace, std::string region)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_topology(topology)
    , m_workspace(workspace)
    , m_region(std::move(region))
{
}

std::string CallerGroup::entryAt(std::size_t index) const
{
    return m_entries.empty() ? std::string() : m_entries[index % m_entries.size()];
}

asio::awaitable<void> CallerGroup::refreshEntries()
{
    if (m_refreshing && !m_entries.empty()) {
        co_return;
    }
    m_refreshing = true;
    // Any entry can return the list. Known entries are tried first, then the own region's, then those of other regions.
    std::vector<std::string> candidates = m_entries;
    for (const bool local : {true, false}) {
        for (const GatewaySpec &gateway : m_topology.gateways) {
            if ((gateway.region == m_region) == local) {
                candidates.push_back("127.0.0.1:" + std::to_string(gateway.callersPort));
            }
        }
    }
    for (const std::string &entry : candidates) {
        http::Request request;
        request.target = "/v1/entries?workspace=" + m_workspace.name;
        request.headers["Authorization"] = "Bearer " + m_workspace.key;
        const auto answer = co_await http::fetch(m_executor, http::parseEndpoint(entry), request, ControlRequestTimeout);
        const auto body = answer && answer.value().status == 200 ? core::parseJsonObject(answer.value().body)
                                                                 : core::Result<json::object>(core::makeError(core::ErrorKind::PeerFailed, ""));
        if (!body) {
            continue;
        }
        std::vector<std::string> entries;
        std::vector<std::string> remoteEntries;
        for (const json::value &line : core::jsonArray(body.value(), "entries")) {
            const bool local = core::jsonString(line.as_object(), "region") == m_region; // the client knows its own region
            (local ? entries : remoteEntries).push_back(core::jsonString(line.as_object(), "url"));
        }
        const std::size_t preferredCount = entries.empty() ? remoteEntries.size() : entries.size();
        entries.insert(entries.end(), remoteEntries.begin(), remoteEntries.end());
        if (entries.empty()) {
            continue;
        }
        m_entries = std::move(entries);
        m_preferredEntryCount = preferredCount;
        m_entriesExpireAt = m_clock.steadyNow() + std::chrono::milliseconds(core::jsonInteger(body.value(), "lifetime_ms", 10'000));
        break;
    }
    m_refreshing = false;
}

asio::awaitable<std::string> CallerGroup::takeTicket()
{
    for (std::size_t i = 0; i < MaxAttempts; ++i) {
        if (m_clock.steadyNow() >= m_ticketsExpireAt) {
            m_tickets.clear();
        }
        if (!m_tickets.empty()) {
            std::string ticket = std::move(m_tickets.front());
            m_tickets.pop_front();
            co_return ticket;
        }
        http::Request request;
        request.method = "POST";
        request.target = "/v1/tickets?workspace=" + m_workspace.name + "&count=" + std::to_string(TicketBatchSize);
        request.headers["Authorization"] = "Bearer " + m_workspace.key;
        const auto answer = co_await http::fetch(m_executor, http::parseEndpoint(entryAt(i)), request, ControlRequestTimeout);
        const auto body = answer && answer.value().status == 200 ? core::parseJsonObject(answer.value().body)
                                                                 : core::Result<json::object>(core::makeError(core::ErrorKind::PeerFailed, ""));
        if (body) {
            for (const json::value &ticket : core::jsonArray(body.value(), "tickets")) {
                m_tickets.emplace_back(ticket.as_string());
            }
            m_ticketsExpireAt = m_clock.steadyNow() + std::chrono::milliseconds(core::jsonInteger(body.value(), "expires_in_ms") / 2);
        }
    }
    co_return std::string();
}

void CallerGroup::readRejection(const http::Response &answer, AttemptResult &result, RequestRecord &record)
{
    const auto body = core::parseJsonObject(answer.body);
    const json::object error = body ? core::jsonObject(body.value(), "error") : json::object{};
    record.errorKind = core::jsonString(error, "kind", "status_" + std::to_string(answer.status));
    result.notExecuted = core::jsonString(error, "outcome") == "not_run";
    result.newTicket = http::headerValue(answer.headers, "X-Ticket");
    const std::string retryAfterMs = http::headerValue(answer.headers, "Retry-After-Ms");
    result.retryAfter = std::chrono::milliseconds(retryAfterMs.empty() ? 0 : std::atoll(retryAfterMs.c_str()));
}

asio::awaitable<CallerGroup::AttemptResult>
CallerGroup::readStream(const RequestPlan &plan, http::Call &call, const http::Response & /*head*/, core::TimePoint due, RequestRecord &record)
{
    AttemptResult result;
    std::string pending;
    std::string text;
    bool complete = false;
    bool first = true;
    core::TimePoint last = m_clock.steadyNow();
    std::size_t tokens = 0;
    while (!complete) {
        auto piece = co_await call.readSome(plan.deadline);
        if (!piece || piece.value().empty()) {
            break;
        }
        const core::TimePoint now = m_clock.steadyNow();
        if (first) {
            record.timeToFirstToken = now - due;
            first = false;
        } else {
            record.longestGap = std::max(record.longestGap, now - last);
        }
        last = now;
        pending += piece.value();
        std::size_t end = 0;
        while ((end = pending.find("\n\n")) != std::string::npos) {
            const std::string event = pending.substr(0, end);
            pending.erase(0, end + 2);
            if (event == "data: [DONE]") {
                complete = true;
                break;
            }
            const auto body = core::parseJsonObject(std::string_view(event).substr(std::min<std::size_t>(6, event.size())));
            if (!body || body.value().contains("error")) {
                continue;
            }
            const json::array &choices = core::jsonArray(body.value(), "choices");
            const std::string token = choices.empty() ? std::string() : choiceText(choices.front().as_object(), true);
            tokens += token.empty() ? 0 : 1;
            text += token;
            if (body.value().contains("usage")) {
                readUsage(body.value(), record);
            }
        }
    }
    record.tokens = tokens;
    result.answered = complete;
    if (complete) {
        record.mismatched = !text.starts_with("echo:" + plan.expectedEcho) || tokens != plan.maxTokens;
    }
    co_return result;
}

asio::awaitable<CallerGroup::AttemptResult>
CallerGroup::sendAttempt(const RequestPlan &plan, const std::string &entry, const std::string &ticket, core::TimePoint due, RequestRecord &record)
{
    AttemptResult result;
    http::Request request;
    request.method = "POST";
    request.target = plan.path;
    request.headers["Content-Type"] = "application/json";
    request.headers["Authorization"] = "Bearer " + m_workspace.key;
    request.headers["X-Workspace"] = m_workspace.name;
    request.headers["X-Request-Class"] = plan.requestClass;
    request.headers["X-Request-Id"] = plan.requestId;
    request.headers["X-Deadline-Ms"] = std::to_string(plan.deadline.count());
    if (!ticket.empty()) {
        request.headers["X-Ticket"] = ticket;
    }
    if (plan.useIdempotencyKey) {
        request.headers["Idempotency-Key"] = plan.requestId;
    }
    request.body = plan.body;
    http::Call call(m_executor, http::parseEndpoint(entry));
    auto head = co_await call.start(request, plan.deadline + 1'000ms);
    if (!head) {
        result.connectionFailed = true;
        result.notExecuted = head.error().stage == http::CallStage::Connect;
        record.errorKind = "connection";
        co_return result;
    }
    const http::Response &answer = head.value();
    if (answer.status == 200 && plan.stream && http::headerValue(answer.headers, "Content-Type").starts_with("text/event-stream")) {
        record.region = http::headerValue(answer.headers, "X-Region");
        record.upstream = http::headerValue(answer.headers, "X-Upstream");
        co_return co_await readStream(plan, call, answer, due, record);
    }
    auto body = co_await call.readAll(plan.deadline);
    if (!body) {
        result.connectionFailed = true;
        co_return result;
    }
    http::Response response = answer;
    response.body = std::move(body.value());
    if (response.status != 200) {
        readRejection(response, result, record);
        co_return result;
    }
    result.answered = true;
    record.timeToFirstToken = m_clock.steadyNow() - due;
    record.region = http::headerValue(response.headers, "X-Region");
    record.upstream = http::headerValue(response.headers, "X-Upstream");
    record.replayed = !http::headerValue(response.headers, "X-Replayed").empty();
    record.mismatched = !matchesPlan(plan, response.body, record);
    co_return result;
}

asio::awaitable<RequestRecord> CallerGroup::run(RequestPlan plan)
{
    const core::TimePoint due = m_clock.steadyNow();
    RequestRecord record;
    record.requestId = plan.requestId;
    record.workspace = m_workspace.name;
    record.requestClass = plan.requestClass;
    record.isServiceCall = plan.isServiceCall;
    record.isRepeatable = plan.isRepeatable;
    record.callerRegion = m_region;
    if (m_entries.empty() || m_clock.steadyNow() >= m_entriesExpireAt) {
        co_await refreshEntries();
    }
    std::string ticket;
    if (!plan.isRepeatable && !plan.useIdempotencyKey) {
        ticket = co_await takeTicket();
    }
    const std::size_t firstEntry = m_nextEntry++ % m_preferredEntryCount;
    std::chrono::milliseconds retryDelay = InitialRetryDelay;
    const core::TimePoint deadline = due + plan.deadline;
    for (std::size_t i = 0; i < MaxAttempts && m_clock.steadyNow() < deadline; ++i) {
        ++record.attempts;
        const std::string entry = entryAt(firstEntry + i);
        const AttemptResult result = co_await sendAttempt(plan, entry, ticket, due, record);
        if (result.answered) {
            record.outcome = ClientOutcome::Answered;
            break;
        }
        record.outcome = result.notExecuted && record.allNotExecuted ? ClientOutcome::Refused : ClientOutcome::Unknown;
        record.allNotExecuted = record.allNotExecuted && result.notExecuted;
        if (!plan.isRepeatable && result.notExecuted && !result.connectionFailed) {
            record.outcome = ClientOutcome::Refused; // the ledger's result covers every attempt with this ticket
            record.allNotExecuted = true;
        }
        const bool canRetry = plan.isRepeatable || result.notExecuted || result.connectionFailed || !ticket.empty() || plan.useIdempotencyKey;
        if (!canRetry) {
            break;
        }
        if (!result.newTicket.empty() && result.notExecuted) {
            ticket = result.newTicket;
        }
        if (result.connectionFailed || record.errorKind == "draining") {
            m_tickets.clear(); // they may belong to an entry that is gone
            co_await refreshEntries();
        }
        co_await core::asyncSleep(std::max(retryDelay, std::min<std::chrono::milliseconds>(result.retryAfter, 2'000ms)));
        retryDelay *= 2;
    }
    record.total = m_clock.steadyNow() - due;
    record.late = record.outcome == ClientOutcome::Answered && record.total > plan.deadline;
    co_return record;
}

} // namespace arbutus::loadtool
