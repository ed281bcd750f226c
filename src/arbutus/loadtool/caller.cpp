// Entries, tickets, tries.

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

constexpr std::size_t MostTries = 6;
constexpr auto FirstPause = 100ms; // before the second try, doubled from then on
constexpr auto EntriesTimeout = 1'000ms;
constexpr std::size_t TicketBatch = 16;

std::string textOf(const json::object &choice, bool stream)
{
    if (const json::value *delta = choice.if_contains(stream ? "delta" : "message"); delta != nullptr && delta->is_object()) {
        return core::jsonString(delta->as_object(), "content");
    }
    return core::jsonString(choice, "text");
}

void noteUsage(const json::object &body, Record &record)
{
    const json::object &usage = core::jsonObject(body, "usage");
    record.promptTokens = static_cast<std::size_t>(core::jsonInteger(usage, "prompt_tokens"));
    record.cachedTokens = static_cast<std::size_t>(core::jsonInteger(core::jsonObject(usage, "prompt_tokens_details"), "cached_tokens"));
}

/// Whether a whole answer is the one to this plan.
bool isOwnAnswer(const Plan &plan, const std::string &body, Record &record)
{
    const auto parsed = core::parseJsonObject(body);
    if (!parsed) {
        return false;
    }
    if (plan.service) {
        return core::jsonString(parsed.value(), "echo") == plan.expectedEcho && core::jsonString(parsed.value(), "request_id") == plan.requestId;
    }
    noteUsage(parsed.value(), record);
    const json::array &choices = core::jsonArray(parsed.value(), "choices");
    const std::string text = choices.empty() ? std::string() : textOf(choices.front().as_object(), false);
    const auto words = static_cast<std::size_t>(std::count(text.begin(), text.end(), ' ')) + 1;
    record.tokens = words;
    return text.starts_with("echo:" + plan.expectedEcho) && words == plan.maxTokens;
}

} // namespace

CallerGroup::CallerGroup(asio::any_io_executor executor, const core::Clock &clock, const Topology &topology, const WorkspaceLine &workspace, std::string region)
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
    // Any entry can be asked; the own region's are tried first, then the others.
    std::vector<std::string> askable = m_entries;
    for (const bool own : {true, false}) {
        for (const GatewayLine &gateway : m_topology.gateways) {
            if ((gateway.region == m_region) == own) {
                askable.push_back("127.0.0.1:" + std::to_string(gateway.callersPort));
            }
        }
    }
    for (const std::string &entry : askable) {
        http::Request request;
        request.target = "/v1/entries?workspace=" + m_workspace.name;
        request.headers["Authorization"] = "Bearer " + m_workspace.key;
        const auto answer = co_await http::fetch(m_executor, http::parseEndpoint(entry), request, EntriesTimeout);
        const auto body = answer && answer.value().status == 200 ? core::parseJsonObject(answer.value().body)
                                                                 : core::Result<json::object>(core::makeError(core::ErrorKind::PeerFailed, ""));
        if (!body) {
            continue;
        }
        std::vector<std::string> entries;
        std::vector<std::string> others;
        for (const json::value &line : core::jsonArray(body.value(), "entries")) {
            const bool own = core::jsonString(line.as_object(), "region") == m_region; // a caller knows where it is
            (own ? entries : others).push_back(core::jsonString(line.as_object(), "url"));
        }
        const std::size_t near = entries.empty() ? others.size() : entries.size();
        entries.insert(entries.end(), others.begin(), others.end());
        if (entries.empty()) {
            continue;
        }
        m_entries = std::move(entries);
        m_near = near;
        m_entriesUntil = m_clock.steadyNow() + std::chrono::milliseconds(core::jsonInteger(body.value(), "lifetime_ms", 10'000));
        break;
    }
    m_refreshing = false;
}

asio::awaitable<std::string> CallerGroup::takeTicket()
{
    for (std::size_t i = 0; i < MostTries; ++i) {
        if (m_clock.steadyNow() >= m_ticketsUntil) {
            m_tickets.clear();
        }
        if (!m_tickets.empty()) {
            std::string ticket = std::move(m_tickets.front());
            m_tickets.pop_front();
            co_return ticket;
        }
        http::Request request;
        request.method = "POST";
        request.target = "/v1/tickets?workspace=" + m_workspace.name + "&count=" + std::to_string(TicketBatch);
        request.headers["Authorization"] = "Bearer " + m_workspace.key;
        const auto answer = co_await http::fetch(m_executor, http::parseEndpoint(entryAt(i)), request, EntriesTimeout);
        const auto body = answer && answer.value().status == 200 ? core::parseJsonObject(answer.value().body)
                                                                 : core::Result<json::object>(core::makeError(core::ErrorKind::PeerFailed, ""));
        if (body) {
            for (const json::value &ticket : core::jsonArray(body.value(), "tickets")) {
                m_tickets.emplace_back(ticket.as_string());
            }
            m_ticketsUntil = m_clock.steadyNow() + std::chrono::milliseconds(core::jsonInteger(body.value(), "expires_in_ms") / 2);
        }
    }
    co_return std::string();
}

void CallerGroup::noteRefusal(const http::Response &answer, Try &tried, Record &record)
{
    const auto body = core::parseJsonObject(answer.body);
    const json::object error = body ? core::jsonObject(body.value(), "error") : json::object{};
    record.errorKind = core::jsonString(error, "kind", "status_" + std::to_string(answer.status));
    tried.notRun = core::jsonString(error, "outcome") == "not_run";
    tried.freshTicket = http::headerValue(answer.headers, "X-Ticket");
    const std::string pauseMs = http::headerValue(answer.headers, "Retry-After-Ms");
    tried.retryAfter = std::chrono::milliseconds(pauseMs.empty() ? 0 : std::atoll(pauseMs.c_str()));
}

asio::awaitable<CallerGroup::Try>
CallerGroup::readStream(const Plan &plan, http::Call &call, const http::Response & /*head*/, core::TimePoint due, Record &record)
{
    Try tried;
    std::string pending;
    std::string text;
    bool whole = false;
    bool first = true;
    core::TimePoint last = m_clock.steadyNow();
    std::size_t tokens = 0;
    while (!whole) {
        auto piece = co_await call.readSome(plan.deadline);
        if (!piece || piece.value().empty()) {
            break;
        }
        const core::TimePoint now = m_clock.steadyNow();
        if (first) {
            record.firstToken = now - due;
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
                whole = true;
                break;
            }
            const auto body = core::parseJsonObject(std::string_view(event).substr(std::min<std::size_t>(6, event.size())));
            if (!body || body.value().contains("error")) {
                continue;
            }
            const json::array &choices = core::jsonArray(body.value(), "choices");
            const std::string token = choices.empty() ? std::string() : textOf(choices.front().as_object(), true);
            tokens += token.empty() ? 0 : 1;
            text += token;
            if (body.value().contains("usage")) {
                noteUsage(body.value(), record);
            }
        }
    }
    record.tokens = tokens;
    tried.answered = whole;
    if (whole) {
        record.crossed = !text.starts_with("echo:" + plan.expectedEcho) || tokens != plan.maxTokens;
    }
    co_return tried;
}

asio::awaitable<CallerGroup::Try>
CallerGroup::tryOnce(const Plan &plan, const std::string &entry, const std::string &ticket, core::TimePoint due, Record &record)
{
    Try tried;
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
    if (plan.idempotencyKey) {
        request.headers["Idempotency-Key"] = plan.requestId;
    }
    request.body = plan.body;
    http::Call call(m_executor, http::parseEndpoint(entry));
    auto head = co_await call.start(request, plan.deadline + 1'000ms);
    if (!head) {
        tried.connectionFailed = true;
        tried.notRun = head.error().stage == http::CallStage::Connect;
        record.errorKind = "connection";
        co_return tried;
    }
    const http::Response &answer = head.value();
    if (answer.status == 200 && plan.stream && http::headerValue(answer.headers, "Content-Type").starts_with("text/event-stream")) {
        record.region = http::headerValue(answer.headers, "X-Region");
        record.upstream = http::headerValue(answer.headers, "X-Upstream");
        co_return co_await readStream(plan, call, answer, due, record);
    }
    auto body = co_await call.readAll(plan.deadline);
    if (!body) {
        tried.connectionFailed = true;
        co_return tried;
    }
    http::Response whole = answer;
    whole.body = std::move(body.value());
    if (whole.status != 200) {
        noteRefusal(whole, tried, record);
        co_return tried;
    }
    tried.answered = true;
    record.firstToken = m_clock.steadyNow() - due;
    record.region = http::headerValue(whole.headers, "X-Region");
    record.upstream = http::headerValue(whole.headers, "X-Upstream");
    record.replayed = !http::headerValue(whole.headers, "X-Replayed").empty();
    record.crossed = !isOwnAnswer(plan, whole.body, record);
    co_return tried;
}

asio::awaitable<Record> CallerGroup::run(Plan plan)
{
    const core::TimePoint due = m_clock.steadyNow();
    Record record;
    record.requestId = plan.requestId;
    record.workspace = m_workspace.name;
    record.requestClass = plan.requestClass;
    record.service = plan.service;
    record.repeatable = plan.repeatable;
    record.entryRegion = m_region;
    if (m_entries.empty() || m_clock.steadyNow() >= m_entriesUntil) {
        co_await refreshEntries();
    }
    std::string ticket;
    if (!plan.repeatable && !plan.idempotencyKey) {
        ticket = co_await takeTicket();
    }
    const std::size_t first = m_next++ % m_near;
    std::chrono::milliseconds wait = FirstPause;
    const core::TimePoint until = due + plan.deadline;
    for (std::size_t i = 0; i < MostTries && m_clock.steadyNow() < until; ++i) {
        ++record.tries;
        const std::string entry = entryAt(first + i);
        const Try tried = co_await tryOnce(plan, entry, ticket, due, record);
        if (tried.answered) {
            record.told = Told::Answered;
            break;
        }
        record.told = tried.notRun && record.onlyNotRun ? Told::Refused : Told::Unknown;
        record.onlyNotRun = record.onlyNotRun && tried.notRun;
        if (!plan.repeatable && tried.notRun && !tried.connectionFailed) {
            record.told = Told::Refused; // the ledger's word covers every try under this ticket
            record.onlyNotRun = true;
        }
        const bool mayRepeat = plan.repeatable || tried.notRun || tried.connectionFailed || !ticket.empty() || plan.idempotencyKey;
        if (!mayRepeat) {
            break;
        }
        if (!tried.freshTicket.empty() && tried.notRun) {
            ticket = tried.freshTicket;
        }
        if (tried.connectionFailed || record.errorKind == "draining") {
            m_tickets.clear(); // of an entry that may be gone
            co_await refreshEntries();
        }
        co_await core::asyncSleep(std::max(wait, std::min<std::chrono::milliseconds>(tried.retryAfter, 2'000ms)));
        wait *= 2;
    }
    record.total = m_clock.steadyNow() - due;
    record.late = record.told == Told::Answered && record.total > plan.deadline;
    co_return record;
}

} // namespace arbutus::loadtool
