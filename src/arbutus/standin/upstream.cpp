// Wire of the upstream stand-in.
//
// Sections:
//   Answers      generated text and its JSON
//   Calls        completions and plain services
//   Control      orders, reports, cache events
//   Switches     faults and the journal

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

constexpr auto ReportPeriod = 50ms;       // how often /load is taken
constexpr auto WeightTimeout = 120s;      // one download
constexpr auto StallLength = 3600s;       // a stalled stream
constexpr std::size_t DefaultTokens = 64; // when max_tokens is absent

//-----------------------------------------------------------------------------
// Answers
//-----------------------------------------------------------------------------

std::string hex(std::uint64_t number)
{
    std::array<char, 17> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number, 16).ptr;
    return {buffer.data(), end};
}

/// Token `index` of the answer to a prompt: the same for every engine, so that streams can be resumed.
std::string tokenText(std::uint64_t promptHash, std::size_t index)
{
    if (index == 0) {
        return "echo:" + hex(promptHash);
    }
    return " " + hex(core::hash64(std::to_string(index), promptHash) & 0xffffU);
}

std::string event(const json::object &object)
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
    return event(envelope(id, chat ? "chat.completion.chunk" : "text_completion", std::move(choice)));
}

std::string lastEvent(const std::string &id, bool chat, json::object usage)
{
    json::object choice{{"index", 0}, {"finish_reason", "length"}};
    if (chat) {
        choice["delta"] = json::object{};
    } else {
        choice["text"] = "";
    }
    json::object last = envelope(id, chat ? "chat.completion.chunk" : "text_completion", std::move(choice));
    last["usage"] = std::move(usage);
    return event(last) + "data: [DONE]\n\n";
}

std::string wholeBody(const std::string &id, bool chat, const std::string &text, json::object usage)
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

http::Response notRun(unsigned status, const std::string &message)
{
    http::Response response = http::jsonResponse(status, json::serialize(json::object{{"error", json::object{{"message", message}}}}));
    response.headers["X-Not-Run"] = "1";
    return response;
}

} // namespace

struct Upstream::Run
{
    std::string requestId;
    std::string attemptId;
    std::string workspace;
    std::string path;
    bool chat = false;
};

struct Upstream::Stream
{
    explicit Stream(asio::any_io_executor executor)
        : signal(executor)
    {
    }

    asio::steady_timer signal;
    std::uint64_t promptHash = 0;
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0;
    std::size_t firstToken = 0;
    std::size_t emitted = 0; // index after the last token that the engine made
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
    , m_work(executor)
{
    auto handler = [this](http::Exchange &exchange) { return handle(exchange); };
    m_server = std::make_unique<http::Server>(executor, m_options.listen, http::ServerLimits{}, handler, nullptr);
    asio::co_spawn(executor, engineLoop(), asio::detached);
    asio::co_spawn(executor, reportLoop(), asio::detached);
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
        co_await exchange.respond(notRun(400, read.error().message));
        co_return;
    }
    if (path == "/faults") {
        if (post) {
            const auto parsed = core::parseJsonObject(exchange.request().body);
            if (parsed) {
                setFaults(parsed.value());
            }
        }
        co_await exchange.respond(http::jsonResponse(200, json::serialize(showFaults())));
    } else if (path == "/journal") {
        http::Response response;
        response.headers["Content-Type"] = "application/jsonl";
        response.body = m_journal;
        co_await exchange.respond(response);
    } else if (path == "/load") {
        co_await exchange.respond(http::jsonResponse(200, laggedLoad()));
    } else if (path == "/state") {
        co_await exchange.respond(http::jsonResponse(200, json::serialize(loadNow())));
    } else if (path == "/events") {
        const std::string since = exchange.request().queryParameter("since");
        co_await exchange.respond(http::jsonResponse(200, cacheEvents(std::strtoull(since.c_str(), nullptr, 10))));
    } else if (path == "/orders") {
        co_await order(exchange);
    } else if (path == "/cache/export") {
        const std::string blocks = exportedBlocks();
        co_await exchange.respond(http::jsonResponse(200, blocks));
    } else if (path == "/cache/import") {
        importBlocks(exchange.request().body);
        co_await exchange.respond(http::jsonResponse(200, "{}"));
    } else if (m_options.model) {
        co_await complete(exchange);
    } else {
        co_await callService(exchange);
    }
}

Upstream::Run Upstream::describeRun(const http::Request &request) const
{
    Run run;
    run.requestId = http::headerValue(request.headers, "X-Request-Id");
    run.attemptId = http::headerValue(request.headers, "X-Attempt-Id");
    run.workspace = http::headerValue(request.headers, "X-Workspace");
    run.path = request.path();
    run.chat = run.path == "/v1/chat/completions";
    return run;
}

asio::awaitable<void> Upstream::complete(http::Exchange &exchange)
{
    const Run run = describeRun(exchange.request());
    const auto parsed = core::parseJsonObject(exchange.request().body);
    if (!parsed) {
        co_await exchange.respond(notRun(400, parsed.error().message));
        co_return;
    }
    const json::object &body = parsed.value();
    if (run.path != "/v1/chat/completions" && run.path != "/v1/completions") {
        co_await exchange.respond(notRun(404, "no such path"));
        co_return;
    }
    if (m_faults.refuse || !m_models.contains(core::jsonString(body, "model"))) {
        co_await exchange.respond(notRun(503, m_faults.refuse ? "refusing" : "model not loaded"));
        co_return;
    }
    if (m_faults.dropBefore) {
        exchange.abort();
        co_return;
    }
    const std::string prompt = core::extractPrompt(body);
    auto stream = std::make_shared<Stream>(m_executor);
    stream->promptHash = core::hash64(prompt);
    stream->promptTokens = core::estimateTokens(prompt.size());
    stream->maxTokens = static_cast<std::size_t>(std::max<std::int64_t>(1, core::jsonInteger(body, "max_tokens", DefaultTokens)));
    stream->firstToken = static_cast<std::size_t>(std::strtoull(http::headerValue(exchange.request().headers, "X-Resume-Offset").c_str(), nullptr, 10));
    stream->emitted = stream->firstToken;
    Sequence sequence;
    const std::string priority = http::headerValue(exchange.request().headers, "X-Priority");
    sequence.priority = priority.empty() ? 1 : std::atoi(priority.c_str());
    sequence.promptTokens = stream->promptTokens;
    sequence.blocks = core::prefixBlockHashes(prompt);
    sequence.firstToken = stream->firstToken;
    sequence.maxTokens = stream->maxTokens;
    stream->cachedTokens = m_engine.cachedBlocks(sequence.blocks) * core::PrefixBlockBytes / core::BytesPerToken;
    const SequenceId id = m_engine.submit(std::move(sequence));
    m_streams[id] = stream;
    m_work.cancel();
    journal(run, "started");
    if (core::jsonBool(body, "stream")) {
        co_await streamTokens(exchange, run, stream);
    } else {
        co_await wholeAnswer(exchange, run, stream);
    }
    const bool finished = stream->emitted >= stream->maxTokens;
    journal(run, finished ? "finished" : "cancelled");
    m_engine.cancel(id);
    m_streams.erase(id);
}

asio::awaitable<void> Upstream::streamTokens(http::Exchange &exchange, const Run &run, const std::shared_ptr<Stream> &stream)
{
    const std::string id = m_faults.wrongId ? m_lastAttempt + "-other" : run.attemptId;
    m_lastAttempt = run.attemptId;
    http::Response head;
    head.headers["Content-Type"] = "text/event-stream";
    head.headers["X-Attempt-Id"] = id;
    if (m_faults.lateMs > 0) {
        co_await core::asyncSleep(std::chrono::milliseconds(m_faults.lateMs));
    }
    bool open = co_await exchange.beginResponse(head);
    std::size_t sent = stream->firstToken;
    while (open && sent < stream->maxTokens) {
        while (sent == stream->emitted) {
            boost::system::error_code code;
            stream->signal.expires_after(std::chrono::seconds(60));
            co_await stream->signal.async_wait(asio::redirect_error(asio::use_awaitable, code));
        }
        std::string piece;
        for (; sent < stream->emitted; ++sent) {
            const std::string text = tokenText(stream->promptHash, sent);
            piece += tokenEvent(id, run.chat, text);
        }
        open = co_await exchange.writeChunk(piece);
        const auto count = static_cast<std::int64_t>(sent);
        if (m_faults.closeAfter > 0 && count >= m_faults.closeAfter) {
            exchange.abort();
            co_return;
        }
        if (m_faults.stallAfter > 0 && count >= m_faults.stallAfter) {
            co_await core::asyncSleep(StallLength);
        }
    }
    if (!open) {
        co_return;
    }
    const std::string last = lastEvent(id, run.chat, usage(stream->promptTokens, stream->cachedTokens, stream->maxTokens));
    co_await exchange.writeChunk(last);
    co_await exchange.endResponse();
}

asio::awaitable<void> Upstream::wholeAnswer(http::Exchange &exchange, const Run &run, const std::shared_ptr<Stream> &stream)
{
    const std::string id = m_faults.wrongId ? m_lastAttempt + "-other" : run.attemptId;
    m_lastAttempt = run.attemptId;
    while (stream->emitted < stream->maxTokens) {
        boost::system::error_code code;
        stream->signal.expires_after(std::chrono::seconds(60));
        co_await stream->signal.async_wait(asio::redirect_error(asio::use_awaitable, code));
    }
    if (m_faults.lateMs > 0) {
        co_await core::asyncSleep(std::chrono::milliseconds(m_faults.lateMs));
    }
    if (m_faults.dropAfter) {
        exchange.abort();
        co_return;
    }
    std::string text;
    for (std::size_t i = 0; i < stream->maxTokens; ++i) {
        text += tokenText(stream->promptHash, i);
    }
    const std::string body = wholeBody(id, run.chat, text, usage(stream->promptTokens, stream->cachedTokens, stream->maxTokens));
    http::Response response = http::jsonResponse(200, body);
    response.headers["X-Attempt-Id"] = id;
    co_await exchange.respond(response);
}

asio::awaitable<void> Upstream::callService(http::Exchange &exchange)
{
    const Run run = describeRun(exchange.request());
    if (m_faults.refuse) {
        co_await exchange.respond(notRun(503, "refusing"));
        co_return;
    }
    if (m_faults.dropBefore) {
        exchange.abort();
        co_return;
    }
    journal(run, "started");
    co_await core::asyncSleep(std::chrono::milliseconds(m_faults.serviceMs + m_faults.lateMs));
    journal(run, "finished");
    if (m_faults.dropAfter) {
        exchange.abort();
        co_return;
    }
    const std::string body = serviceBody(m_options.id, exchange.request().body, run.requestId);
    http::Response response = http::jsonResponse(200, body);
    response.headers["X-Attempt-Id"] = m_faults.wrongId ? run.attemptId + "-other" : run.attemptId;
    co_await exchange.respond(response);
}

//-----------------------------------------------------------------------------
// Control
//-----------------------------------------------------------------------------

asio::awaitable<void> Upstream::order(http::Exchange &exchange)
{
    const auto parsed = core::parseJsonObject(exchange.request().body);
    if (!parsed) {
        co_await exchange.respond(notRun(400, parsed.error().message));
        co_return;
    }
    const json::object &order = parsed.value();
    const auto fencing = static_cast<std::uint64_t>(core::jsonInteger(order, "fencing"));
    if (m_options.checksFencing && fencing < m_fencing) {
        co_await exchange.respond(notRun(409, "fencing number " + std::to_string(fencing) + " is older than " + std::to_string(m_fencing)));
        co_return;
    }
    m_fencing = std::max(m_fencing, fencing);
    const std::string kind = core::jsonString(order, "order");
    const std::string model = core::jsonString(order, "model");
    if ((kind == "load" || kind == "adapter" || kind == "version") && !m_models.contains(model)) {
        if (m_options.weightStore.port != 0) {
            http::Request request;
            request.target = "/weights/" + model;
            const auto fetched = co_await http::fetch(m_executor, m_options.weightStore, request, WeightTimeout);
            if (!fetched) {
                co_await exchange.respond(notRun(503, "weight store: " + fetched.error().message));
                co_return;
            }
        }
        m_models.insert(model);
    } else if (kind == "unload") {
        m_models.erase(model);
    } else if (kind == "role") {
        m_role = core::jsonString(order, "role", "mixed");
    }
    co_await exchange.respond(http::jsonResponse(200, json::serialize(loadNow())));
}

asio::awaitable<void> Upstream::engineLoop()
{
    while (true) {
        const StepResult result = m_engine.step(m_clock.steadyNow());
        if (result.length.count() == 0) {
            boost::system::error_code code;
            m_work.expires_after(1h);
            co_await m_work.async_wait(asio::redirect_error(asio::use_awaitable, code));
            continue;
        }
        co_await core::asyncSleep(std::chrono::duration_cast<core::Duration>(result.length * m_faults.slowFactor));
        for (const auto &[id, index] : result.emitted) {
            const auto found = m_streams.find(id);
            if (found != m_streams.end()) {
                found->second->emitted = index + 1;
                found->second->signal.cancel();
            }
        }
    }
}

asio::awaitable<void> Upstream::reportLoop()
{
    while (true) {
        const core::TimePoint now = m_clock.steadyNow();
        m_reports.emplace_back(now, json::serialize(loadNow()));
        while (m_reports.size() > 1 && m_reports[1].first <= now - std::chrono::milliseconds(m_faults.reportLagMs)) {
            m_reports.pop_front();
        }
        co_await core::asyncSleep(ReportPeriod);
    }
}

json::object Upstream::loadNow() const
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

std::string Upstream::exportedBlocks() const
{
    json::array blocks;
    for (const std::uint64_t block : m_engine.exportCache()) {
        blocks.emplace_back(block);
    }
    return json::serialize(json::object{{"blocks", std::move(blocks)}});
}

void Upstream::importBlocks(std::string_view text)
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

std::string Upstream::laggedLoad() const
{
    return m_reports.empty() ? json::serialize(loadNow()) : m_reports.front().second;
}

std::string Upstream::cacheEvents(std::uint64_t since) const
{
    const core::TimePoint newest = m_clock.steadyNow() - std::chrono::milliseconds(m_faults.eventLagMs);
    json::array events;
    for (const CacheEvent &event : m_engine.cacheEvents()) {
        const double draw = static_cast<double>(core::hash64(std::to_string(event.number)) % 1000) / 1000.0;
        if (event.number <= since || event.at > newest || draw < m_faults.eventGap) {
            continue;
        }
        events.push_back(json::object{{"number", event.number}, {"stored", event.stored}, {"block", event.block}});
    }
    return json::serialize(json::object{{"events", std::move(events)}});
}

//-----------------------------------------------------------------------------
// Switches
//-----------------------------------------------------------------------------

void Upstream::journal(const Run &run, std::string_view phase)
{
    const auto at = m_clock.wallNow().time_since_epoch().count();
    const json::object line{
        {"request_id", run.requestId}, {"attempt_id", run.attemptId}, {"workspace", run.workspace}, {"path", run.path}, {"phase", phase}, {"at_ms", at}};
    m_journal += json::serialize(line) + "\n";
}

void Upstream::setFaults(const json::object &faults)
{
    m_faults.refuse = core::jsonBool(faults, "refuse", m_faults.refuse);
    m_faults.dropBefore = core::jsonBool(faults, "drop_before", m_faults.dropBefore);
    m_faults.dropAfter = core::jsonBool(faults, "drop_after", m_faults.dropAfter);
    m_faults.wrongId = core::jsonBool(faults, "wrong_id", m_faults.wrongId);
    m_faults.leaving = core::jsonBool(faults, "leaving", m_faults.leaving);
    m_faults.slowFactor = core::jsonNumber(faults, "slow_factor", m_faults.slowFactor);
    m_faults.lateMs = core::jsonInteger(faults, "late_ms", m_faults.lateMs);
    m_faults.stallAfter = core::jsonInteger(faults, "stall_after", m_faults.stallAfter);
    m_faults.closeAfter = core::jsonInteger(faults, "close_after", m_faults.closeAfter);
    m_faults.reportLagMs = core::jsonInteger(faults, "report_lag_ms", m_faults.reportLagMs);
    m_faults.eventLagMs = core::jsonInteger(faults, "event_lag_ms", m_faults.eventLagMs);
    m_faults.eventGap = core::jsonNumber(faults, "event_gap", m_faults.eventGap);
    m_faults.serviceMs = core::jsonInteger(faults, "service_ms", m_faults.serviceMs);
}

json::object Upstream::showFaults() const
{
    return json::object{{"refuse", m_faults.refuse},
                        {"drop_before", m_faults.dropBefore},
                        {"drop_after", m_faults.dropAfter},
                        {"wrong_id", m_faults.wrongId},
                        {"leaving", m_faults.leaving},
                        {"slow_factor", m_faults.slowFactor},
                        {"late_ms", m_faults.lateMs},
                        {"stall_after", m_faults.stallAfter},
                        {"close_after", m_faults.closeAfter},
                        {"report_lag_ms", m_faults.reportLagMs},
                        {"event_lag_ms", m_faults.eventLagMs},
                        {"event_gap", m_faults.eventGap},
                        {"service_ms", m_faults.serviceMs}};
}

} // namespace arbutus::standin
