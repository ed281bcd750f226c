// HTTP handlers of the simulated upstream.
//
// Sections:
//   Responses    generated text and its JSON encoding
//   Calls        completions and service calls
//   Control      placement commands, load reports, prefix cache
//   Faults       journal and fault injection

#include "arbutus/standin/upstream.h"
#include "arbutus/core/asyncsleep.h"

#include "arbutus/core/hash.h"
#include "arbutus/core/json.h"
#include "arbutus/core/prefixblocks.h"
#include "arbutus/core/prompt.h"
#include "arbutus/http/client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <charconv>

namespace arbutus::standin {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr auto LoadReportInterval = 50ms;    // how often a load report is recorded
constexpr auto WeightFetchTimeout = 120s;    // for one model
constexpr auto StallDuration = 3600s;        // how long a stalled stream sends nothing
constexpr std::size_t DefaultMaxTokens = 64; // used if max_tokens is absent

//-----------------------------------------------------------------------------
// Responses
//-----------------------------------------------------------------------------

std::string hex(std::uint64_t number)
{
    std::array<char, 17> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number, 16).ptr;
    return {buffer.data(), end};
}

/// Text of token `index`. It depends only on the prompt, so a stream can be resumed on another engine.
std::string tokenText(std::uint64_t promptHash, std::size_t index)
{
    if (index == 0) {
        return "echo:" + hex(promptHash);
    }
    return " " + hex(core::hash64(std::to_string(index), promptHash) & 0xffffU);
}

std::string sseEvent(const json::object &object)
{
    return "data: " + json::serialize(object) + "\n\n";
}

json::object envelope(const std::string &id, const char *object, json::object choice)
{
    return json::object{{"id", id}, {"object", object}, {"choices", json::array{std::move(choice)}}};
}

std::string tokenEvent(const std::string &id, bool chat, const std::string &text)
{
    json::object choice{{"index", 0}, {"finish_reason", nullptr}};
    if (chat) {
        choice["delta"] = json::object{{"content", text}};
    } else {
        choice["text"] = text;
    }
    return sseEvent(envelope(id, chat ? "chat.completion.chunk" : "text_completion", std::move(choice)));
}

std::string finalEvents(const std::string &id, bool chat, json::object usage)
{
    json::object choice{{"index", 0}, {"finish_reason", "length"}};
    if (chat) {
        choice["delta"] = json::object{};
    } else {
        choice["text"] = "";
    }
    json::object last = envelope(id, chat ? "chat.completion.chunk" : "text_completion", std::move(choice));
    last["usage"] = std::move(usage);
    return sseEvent(last) + "data: [DONE]\n\n";
}

std::string completionBody(const std::string &id, bool chat, const std::string &text, json::object usage)
{
    json::object choice{{"index", 0}, {"finish_reason", "length"}};
    if (chat) {
        choice["message"] = json::object{{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    json::object body = envelope(id, chat ? "chat.completion" : "text_completion", std::move(choice));
    body["usage"] = std::move(usage);
    return json::serialize(body);
}

std::string serviceBody(const std::string &service, const std::string &request, const std::string &requestId)
{
    const json::object body{{"ok", true}, {"service", service}, {"echo", hex(core::hash64(request))}, {"request_id", requestId}};
    return json::serialize(body);
}

json::object usage(std::size_t promptTokens, std::size_t cachedTokens, std::size_t tokens)
{
    return json::object{{"prompt_tokens", promptTokens},
                        {"completion_tokens", tokens},
                        {"total_tokens", promptTokens + tokens},
                        {"prompt_tokens_details", json::object{{"cached_tokens", cachedTokens}}}};
}

http::Response notExecutedResponse(unsigned status, const std::string &message)
{
    http::Response response = http::jsonResponse(status, json::serialize(json::object{{"error", json::object{{"message", message}}}}));
    response.headers["X-Not-Run"] = "1";
    return response;
}

} // namespace

struct Upstream::CallInfo
{
    std::string requestId;
    std::string attemptId;
    std::string workspace;
    std::string path;
    bool chat = false;
};

struct Upstream::Generation
{
    explicit Generation(asio::any_io_executor executor)
        : tokenAvailable(executor)
    {
    }

    asio::steady_timer tokenAvailable;
    std::uint64_t promptHash = 0;
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0;
    std::size_t resumeOffset = 0;
    std::size_t emittedEnd = 0; // one past the index of the last generated token
    std::size_t maxTokens = 0;
};

//-----------------------------------------------------------------------------
// Calls
//-----------------------------------------------------------------------------

Upstream::Upstream(asio::any_io_executor executor, const core::Clock &clock, UpstreamOptions options)
    : m_executor(executor)
    , m_clock(clock)
    , m_options(std::move(options))
    , m_engine(m_options.engine)
    , m_models(m_options.models)
    , m_workAvailable(executor)
{
    auto handler = [this](http::Exchange &exchange) { return handle(exchange); };
    m_server = std::make_unique<http::Server>(executor, m_options.listen, http::ServerLimits{}, handler, nullptr);
    asio::co_spawn(executor, engineLoop(), asio::detached);
    asio::co_spawn(executor, loadReportLoop(), asio::detached);
}

Upstream::~Upstream() = default;

std::uint16_t Upstream::port() const
{
    return m_server->port();
}

asio::awaitable<void> Upstream::handle(http::Exchange &exchange)
{
    const std::string path = exchange.request().path();
    const bool post = exchange.request().method == "POST";
    const auto read = co_await exchange.readBody();
    if (!read) {
        co_await exchange.respond(notExecutedResponse(400, read.error().message));
        co_return;
    }
    if (path == "/faults") {
        if (post) {
            const auto parsed = core::parseJsonObject(exchange.request().body);
            if (parsed) {
                setFaults(parsed.value());
            }
        }
        co_await exchange.respond(http::jsonResponse(200, json::serialize(faultsToJson())));
    } else if (path == "/journal") {
        http::Response response;
        response.headers["Content-Type"] = "application/jsonl";
        response.body = m_journal;
        co_await exchange.respond(response);
    } else if (m_faults.response.active()) {
        FaultyExchange faultyExchange(exchange, m_faults.response);
        co_await handleCall(faultyExchange);
    } else {
        co_await handleCall(exchange);
    }
}

asio::awaitable<void> Upstream::handleCall(http::Exchange &exchange)
{
    const std::string path = exchange.request().path();
    if (path == "/load") {
        co_await exchange.respond(http::jsonResponse(200, delayedLoad()));
    } else if (path == "/state") {
        co_await exchange.respond(http::jsonResponse(200, json::serialize(currentLoad())));
    } else if (path == "/events") {
        const std::string since = exchange.request().queryParameter("since");
        co_await exchange.respond(http::jsonResponse(200, cacheEvents(std::strtoull(since.c_str(), nullptr, 10))));
    } else if (path == "/orders") {
        co_await handleCommand(exchange);
    } else if (path == "/cache/export") {
        const std::string blocks = cacheToJson();
        co_await exchange.respond(http::jsonResponse(200, blocks));
    } else if (path == "/cache/import") {
        importCache(exchange.request().body);
        co_await exchange.respond(http::jsonResponse(200, "{}"));
    } else if (m_options.isModelEngine) {
        co_await handleCompletion(exchange);
    } else {
        co_await handleServiceCall(exchange);
    }
}

Upstream::CallInfo Upstream::readCallInfo(const http::Request &request) const
{
    CallInfo call;
    call.requestId = http::headerValue(request.headers, "X-Request-Id");
    call.attemptId = http::headerValue(request.headers, "X-Attempt-Id");
    call.workspace = http::headerValue(request.headers, "X-Workspace");
    call.path = request.path();
    call.chat = call.path == "/v1/chat/completions";
    return call;
}

asio::awaitable<void> Upstream::handleCompletion(http::Exchange &exchange)
{
    const CallInfo call = readCallInfo(exchange.request());
    const auto parsed = core::parseJsonObject(exchange.request().body);
    if (!parsed) {
        co_await exchange.respond(notExecutedResponse(400, parsed.error().message));
        co_return;
    }
    const json::object &body = parsed.value();
    if (call.path != "/v1/chat/completions" && call.path != "/v1/completions") {
        co_await exchange.respond(notExecutedResponse(404, "unknown path"));
        co_return;
    }
    if (m_faults.rejectCalls || !m_models.contains(core::jsonString(body, "model"))) {
        co_await exchange.respond(notExecutedResponse(503, m_faults.rejectCalls ? "refusing" : "model is not loaded"));
        co_return;
    }
    if (m_faults.closeBeforeExecution) {
        exchange.abort();
        co_return;
    }
    const std::string prompt = core::extractPrompt(body);
    auto generation = std::make_shared<Generation>(m_executor);
    generation->promptHash = core::hash64(prompt);
    generation->promptTokens = core::estimateTokens(prompt.size());
    generation->maxTokens = static_cast<std::size_t>(std::max<std::int64_t>(1, core::jsonInteger(body, "max_tokens", DefaultMaxTokens)));
    generation->resumeOffset = static_cast<std::size_t>(std::strtoull(http::headerValue(exchange.request().headers, "X-Resume-Offset").c_str(), nullptr, 10));
    generation->emittedEnd = generation->resumeOffset;
    Sequence sequence;
    const std::string priority = http::headerValue(exchange.request().headers, "X-Priority");
    sequence.priority = priority.empty() ? 1 : std::atoi(priority.c_str());
    sequence.promptTokens = generation->promptTokens;
    sequence.blocks = core::prefixBlockHashes(prompt);
    sequence.resumeOffset = generation->resumeOffset;
    sequence.maxTokens = generation->maxTokens;
    generation->cachedTokens = m_engine.cachedBlocks(sequence.blocks) * core::PrefixBlockBytes / core::BytesPerToken;
    const SequenceId id = m_engine.submit(std::move(sequence));
    m_generations[id] = generation;
    m_workAvailable.cancel();
    appendJournal(call, "started");
    if (core::jsonBool(body, "stream")) {
        co_await sendStream(exchange, call, generation);
    } else {
        co_await sendCompletion(exchange, call, generation);
    }
    const bool finished = generation->emittedEnd >= generation->maxTokens;
    appendJournal(call, finished ? "finished" : "cancelled");
    m_engine.cancel(id);
    m_generations.erase(id);
}

asio::awaitable<void> Upstream::sendStream(http::Exchange &exchange, const CallInfo &call, const std::shared_ptr<Generation> &generation)
{
    const std::string id = m_faults.wrongAttemptId ? m_lastAttemptId + "-other" : call.attemptId;
    m_lastAttemptId = call.attemptId;
    http::Response head;
    head.headers["Content-Type"] = "text/event-stream";
    head.headers["X-Attempt-Id"] = id;
    if (m_faults.responseDelayMs > 0) {
        co_await core::asyncSleep(std::chrono::milliseconds(m_faults.responseDelayMs));
    }
    bool open = co_await exchange.beginResponse(head);
    std::size_t sent = generation->resumeOffset;
    while (open && sent < generation->maxTokens) {
        while (sent == generation->emittedEnd) {
            boost::system::error_code code;
            generation->tokenAvailable.expires_after(std::chrono::seconds(60));
            co_await generation->tokenAvailable.async_wait(asio::redirect_error(asio::use_awaitable, code));
        }
        std::string piece;
        for (; sent < generation->emittedEnd; ++sent) {
            const std::string text = tokenText(generation->promptHash, sent);
            piece += tokenEvent(id, call.chat, text);
        }
        open = co_await exchange.writeChunk(piece);
        const auto count = static_cast<std::int64_t>(sent);
        if (m_faults.closeAfterTokens > 0 && count >= m_faults.closeAfterTokens) {
            exchange.abort();
            co_return;
        }
        if (m_faults.stallAfterTokens > 0 && count >= m_faults.stallAfterTokens) {
            co_await core::asyncSleep(StallDuration);
        }
    }
    if (!open) {
        co_return;
    }
    const std::string last = finalEvents(id, call.chat, usage(generation->promptTokens, generation->cachedTokens, generation->maxTokens));
    co_await exchange.writeChunk(last);
    co_await exchange.endResponse();
}

asio::awaitable<void> Upstream::sendCompletion(http::Exchange &exchange, const CallInfo &call, const std::shared_ptr<Generation> &generation)
{
    const std::string id = m_faults.wrongAttemptId ? m_lastAttemptId + "-other" : call.attemptId;
    m_lastAttemptId = call.attemptId;
    while (generation->emittedEnd < generation->maxTokens) {
        boost::system::error_code code;
        generation->tokenAvailable.expires_after(std::chrono::seconds(60));
        co_await generation->tokenAvailable.async_wait(asio::redirect_error(asio::use_awaitable, code));
    }
    if (m_faults.responseDelayMs > 0) {
        co_await core::asyncSleep(std::chrono::milliseconds(m_faults.responseDelayMs));
    }
    if (m_faults.closeAfterExecution) {
        exchange.abort();
        co_return;
    }
    std::string text;
    for (std::size_t i = 0; i < generation->maxTokens; ++i) {
        text += tokenText(generation->promptHash, i);
    }
    const std::string body = completionBody(id, call.chat, text, usage(generation->promptTokens, generation->cachedTokens, generation->maxTokens));
    http::Response response = http::jsonResponse(200, body);
    response.headers["X-Attempt-Id"] = id;
    co_await exchange.respond(response);
}

asio::awaitable<void> Upstream::handleServiceCall(http::Exchange &exchange)
{
    const CallInfo call = readCallInfo(exchange.request());
    if (m_faults.rejectCalls) {
        co_await exchange.respond(notExecutedResponse(503, "refusing"));
        co_return;
    }
    if (m_faults.closeBeforeExecution) {
        exchange.abort();
        co_return;
    }
    appendJournal(call, "started");
    co_await core::asyncSleep(std::chrono::milliseconds(m_faults.serviceDurationMs + m_faults.responseDelayMs));
    appendJournal(call, "finished");
    if (m_faults.closeAfterExecution) {
        exchange.abort();
        co_return;
    }
    const std::string body = serviceBody(m_options.id, exchange.request().body, call.requestId);
    http::Response response = http::jsonResponse(200, body);
    response.headers["X-Attempt-Id"] = m_faults.wrongAttemptId ? call.attemptId + "-other" : call.attemptId;
    co_await exchange.respond(response);
}

//-----------------------------------------------------------------------------
// Control
//-----------------------------------------------------------------------------

asio::awaitable<void> Upstream::handleCommand(http::Exchange &exchange)
{
    const auto parsed = core::parseJsonObject(exchange.request().body);
    if (!parsed) {
        co_await exchange.respond(notExecutedResponse(400, parsed.error().message));
        co_return;
    }
    const json::object &command = parsed.value();
    const auto fencingToken = static_cast<std::uint64_t>(core::jsonInteger(command, "fencing"));
    if (m_options.checksFencing && fencingToken < m_highestFencingToken) {
        co_await exchange.respond(
            notExecutedResponse(409, "fencing token " + std::to_string(fencingToken) + " is lower than " + std::to_string(m_highestFencingToken)));
        co_return;
    }
    m_highestFencingToken = std::max(m_highestFencingToken, fencingToken);
    const std::string kind = core::jsonString(command, "order");
    const std::string model = core::jsonString(command, "model");
    if ((kind == "load" || kind == "adapter" || kind == "version") && !m_models.contains(model)) {
        if (m_options.weightStore.port != 0) {
            http::Request request;
            request.target = "/weights/" + model;
            const auto fetched = co_await http::fetch(m_executor, m_options.weightStore, request, WeightFetchTimeout);
            if (!fetched) {
                co_await exchange.respond(notExecutedResponse(503, "cannot fetch model weights: " + fetched.error().message));
                co_return;
            }
        }
        m_models.insert(model);
    } else if (kind == "unload") {
        m_models.erase(model);
    } else if (kind == "role") {
        m_role = core::jsonString(command, "role", "mixed");
    }
    co_await exchange.respond(http::jsonResponse(200, json::serialize(currentLoad())));
}

asio::awaitable<void> Upstream::engineLoop()
{
    while (true) {
        const StepResult result = m_engine.step(m_clock.steadyNow());
        if (result.duration.count() == 0) {
            boost::system::error_code code;
            m_workAvailable.expires_after(1h);
            co_await m_workAvailable.async_wait(asio::redirect_error(asio::use_awaitable, code));
            continue;
        }
        co_await core::asyncSleep(std::chrono::duration_cast<core::Duration>(result.duration * m_faults.slowFactor));
        for (const auto &[id, index] : result.emitted) {
            const auto found = m_generations.find(id);
            if (found != m_generations.end()) {
                found->second->emittedEnd = index + 1;
                found->second->tokenAvailable.cancel();
            }
        }
    }
}

asio::awaitable<void> Upstream::loadReportLoop()
{
    while (true) {
        const core::TimePoint now = m_clock.steadyNow();
        m_loadReports.emplace_back(now, json::serialize(currentLoad()));
        while (m_loadReports.size() > 1 && m_loadReports[1].first <= now - std::chrono::milliseconds(m_faults.loadLagMs)) {
            m_loadReports.pop_front();
        }
        co_await core::asyncSleep(LoadReportInterval);
    }
}

json::object Upstream::currentLoad() const
{
    json::array models;
    for (const std::string &model : m_models) {
        models.emplace_back(model);
    }
    return json::object{{"id", m_options.id},
                        {"running", m_engine.running()},
                        {"waiting", m_engine.waiting()},
                        {"slots", m_options.engine.slots},
                        {"step_us", (m_options.engine.stepBase + m_options.engine.stepPerSequence * static_cast<std::int64_t>(m_engine.running())).count()},
                        {"models", std::move(models)},
                        {"role", m_role},
                        {"leaving", m_faults.leaving}};
}

std::string Upstream::cacheToJson() const
{
    json::array blocks;
    for (const std::uint64_t block : m_engine.exportCache()) {
        blocks.emplace_back(block);
    }
    return json::serialize(json::object{{"blocks", std::move(blocks)}});
}

void Upstream::importCache(std::string_view text)
{
    const auto parsed = core::parseJsonObject(text);
    if (!parsed) {
        return;
    }
    std::vector<std::uint64_t> blocks;
    for (const json::value &block : core::jsonArray(parsed.value(), "blocks")) {
        if (block.is_number()) {
            blocks.push_back(block.to_number<std::uint64_t>());
        }
    }
    m_engine.importCache(blocks, m_clock.steadyNow());
}

std::string Upstream::delayedLoad() const
{
    return m_loadReports.empty() ? json::serialize(currentLoad()) : m_loadReports.front().second;
}

std::string Upstream::cacheEvents(std::uint64_t since) const
{
    const core::TimePoint visibleUntil = m_clock.steadyNow() - std::chrono::milliseconds(m_faults.eventLagMs);
    json::array events;
    for (const CacheEvent &event : m_engine.cacheEvents()) {
        const double draw = static_cast<double>(core::hash64(std::to_string(event.number)) % 1000) / 1000.0;
        if (event.number <= since || event.at > visibleUntil || draw < m_faults.eventLossRate) {
            continue;
        }
        events.push_back(json::object{{"number", event.number}, {"stored", event.stored}, {"block", event.block}});
    }
    return json::serialize(json::object{{"events", std::move(events)}});
}

//-----------------------------------------------------------------------------
// Faults
//-----------------------------------------------------------------------------

void Upstream::appendJournal(const CallInfo &call, std::string_view phase)
{
    const auto at = m_clock.wallNow().time_since_epoch().count();
    const json::object line{
        {"request_id", call.requestId}, {"attempt_id", call.attemptId}, {"workspace", call.workspace}, {"path", call.path}, {"phase", phase}, {"at_ms", at}};
    m_journal += json::serialize(line) + "\n";
}

void Upstream::setFaults(const json::object &faults)
{
    m_faults.rejectCalls = core::jsonBool(faults, "refuse", m_faults.rejectCalls);
    m_faults.closeBeforeExecution = core::jsonBool(faults, "drop_before", m_faults.closeBeforeExecution);
    m_faults.closeAfterExecution = core::jsonBool(faults, "drop_after", m_faults.closeAfterExecution);
    m_faults.wrongAttemptId = core::jsonBool(faults, "wrong_id", m_faults.wrongAttemptId);
    m_faults.leaving = core::jsonBool(faults, "leaving", m_faults.leaving);
    m_faults.slowFactor = core::jsonNumber(faults, "slow_factor", m_faults.slowFactor);
    m_faults.responseDelayMs = core::jsonInteger(faults, "late_ms", m_faults.responseDelayMs);
    m_faults.stallAfterTokens = core::jsonInteger(faults, "stall_after", m_faults.stallAfterTokens);
    m_faults.closeAfterTokens = core::jsonInteger(faults, "close_after", m_faults.closeAfterTokens);
    m_faults.loadLagMs = core::jsonInteger(faults, "report_lag_ms", m_faults.loadLagMs);
    m_faults.eventLagMs = core::jsonInteger(faults, "event_lag_ms", m_faults.eventLagMs);
    m_faults.eventLossRate = core::jsonNumber(faults, "event_gap", m_faults.eventLossRate);
    m_faults.serviceDurationMs = core::jsonInteger(faults, "service_ms", m_faults.serviceDurationMs);
    readResponseFaults(faults, m_faults.response);
}

json::object Upstream::faultsToJson() const
{
    json::object faults{{"refuse", m_faults.rejectCalls},
                        {"drop_before", m_faults.closeBeforeExecution},
                        {"drop_after", m_faults.closeAfterExecution},
                        {"wrong_id", m_faults.wrongAttemptId},
                        {"leaving", m_faults.leaving},
                        {"slow_factor", m_faults.slowFactor},
                        {"late_ms", m_faults.responseDelayMs},
                        {"stall_after", m_faults.stallAfterTokens},
                        {"close_after", m_faults.closeAfterTokens},
                        {"report_lag_ms", m_faults.loadLagMs},
                        {"event_lag_ms", m_faults.eventLagMs},
                        {"event_gap", m_faults.eventLossRate},
                        {"service_ms", m_faults.serviceDurationMs}};
    writeResponseFaults(m_faults.response, faults);
    return faults;
}

} // namespace arbutus::standin
