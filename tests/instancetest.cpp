// One instance with its threads and queues over loopback: every request that it has read gets a response.
//
// The tests hold the decision thread in its clock, so that queues fill up and events arrive in a known order.

#include "arbutus/config/edit.h"
#include "arbutus/core/asyncsleep.h"
#include "arbutus/core/hash.h"
#include "arbutus/gateway/eventloop.h"
#include "arbutus/gateway/gateway.h"
#include "arbutus/http/client.h"
#include "arbutus/metadata/kvclient.h"
#include "arbutus/peer/client.h"
#include "arbutus/standin/platform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <thread>

using namespace arbutus;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace json = boost::json;

namespace {

constexpr std::size_t EventQueueCapacity = 8;
constexpr auto ResponseTimeout = 8s; // of a client
constexpr auto SettleTime = 300ms;   // for events that the tests cannot observe
constexpr auto StreamIdleTimeout = 250ms;
constexpr auto Silence = 4 * StreamIdleTimeout; // of an upstream that goes on
constexpr auto Hang = 60'000ms;                 // longer than the client waits
const std::string WorkspaceKey = "a workspace key";

/// System clock that can hold the decision thread: the first thread to read it other than the one that created it.
class HoldingClock final : public core::Clock
{
public:
    [[nodiscard]] core::TimePoint steadyNow() const override
    {
        std::unique_lock lock(m_mutex);
        const auto caller = std::this_thread::get_id();
        if (caller != m_owner && !m_decisionThread) {
            m_decisionThread = caller;
        }
        if (caller == m_decisionThread && m_held) {
            m_waiting = true;
            m_changed.notify_all();
            m_changed.wait(lock, [this] { return !m_held; });
            m_waiting = false;
        }
        return m_clock.steadyNow();
    }
    [[nodiscard]] core::WallTime wallNow() const override
    {
        return m_clock.wallNow();
    }
    /// Returns when the decision thread has stopped.
    void hold()
    {
        std::unique_lock lock(m_mutex);
        m_held = true;
        m_changed.wait(lock, [this] { return m_waiting; });
    }
    void release()
    {
        const std::lock_guard lock(m_mutex);
        m_held = false;
        m_changed.notify_all();
    }

private:
    core::SystemClock m_clock;
    const std::thread::id m_owner = std::this_thread::get_id();
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    mutable std::optional<std::thread::id> m_decisionThread;
    mutable bool m_waiting = false;
    bool m_held = false;
};

/// A simulated platform behind a proxy that can hold transactions, which write claims.
class HoldingPlatform
{
public:
    HoldingPlatform()
        : m_platform(m_thread.executor(), m_clock, standin::PlatformOptions{http::Endpoint{"127.0.0.1", 0}})
        , m_proxy(
              m_thread.executor(), http::Endpoint{"127.0.0.1", 0}, http::ServerLimits{}, [this](http::Exchange &exchange) { return handle(exchange); }, nullptr)
    {
        m_thread.start();
    }
    HoldingPlatform(const HoldingPlatform &) = delete;
    HoldingPlatform &operator=(const HoldingPlatform &) = delete;
    ~HoldingPlatform()
    {
        m_thread.stop();
    }

    [[nodiscard]] http::Endpoint endpoint() const
    {
        return http::Endpoint{"127.0.0.1", m_proxy.port()};
    }

    std::atomic<bool> holdTransactions{false};
    std::atomic<std::size_t> receivedTransactions{0};
    std::atomic<std::size_t> answeredTransactions{0};

private:
    asio::awaitable<void> handle(http::Exchange &exchange)
    {
        (void)co_await exchange.readBody();
        const http::Request request = exchange.request();
        const bool isTransaction = request.path() == "/v3/kv/txn";
        receivedTransactions += isTransaction ? 1 : 0;
        while (isTransaction && holdTransactions) {
            co_await core::asyncSleep(1ms);
        }
        const http::Endpoint target{"127.0.0.1", m_platform.port()};
        const auto response = co_await http::fetch(m_thread.executor(), target, request, 1s);
        if (!response) {
            exchange.abort();
            co_return;
        }
        co_await exchange.respond(response.value());
        answeredTransactions += isTransaction ? 1 : 0;
    }

    core::SystemClock m_clock;
    gateway::EventLoopThread m_thread;
    standin::Platform m_platform;
    http::Server m_proxy;
};

/// Model upstreams whose streams fall silent and go on. They share the list of silences, one for each call.
class SilentUpstreams
{
public:
    SilentUpstreams(std::size_t count, std::vector<std::chrono::milliseconds> silences)
        : m_silences(std::move(silences))
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_servers.push_back(std::make_unique<http::Server>(
                m_thread.executor(),
                http::Endpoint{"127.0.0.1", 0},
                http::ServerLimits{},
                [this](http::Exchange &exchange) { return handle(exchange); },
                nullptr));
        }
        m_thread.start();
    }
    SilentUpstreams(const SilentUpstreams &) = delete;
    SilentUpstreams &operator=(const SilentUpstreams &) = delete;
    ~SilentUpstreams()
    {
        m_thread.stop();
    }

    [[nodiscard]] std::vector<std::uint16_t> ports() const
    {
        std::vector<std::uint16_t> out;
        out.reserve(m_servers.size());
        for (const auto &server : m_servers) {
            out.push_back(server->port());
        }
        return out;
    }
    [[nodiscard]] std::size_t callCount() const
    {
        return m_callCount;
    }

    std::atomic<bool> failsAfterFirst{false}; // breaks off each counted call but the first before it responds
    std::atomic<std::size_t> paddingBytes{0}; // of each token of a counted call

    static constexpr std::size_t TokenCount = 8;
    static constexpr std::size_t TokensBeforeSilence = 2;
    static std::string tokenText(std::size_t index)
    {
        return "token" + std::to_string(index);
    }

private:
    asio::awaitable<void> handle(http::Exchange &exchange)
    {
        (void)co_await exchange.readBody();
        const http::Request &request = exchange.request();
        if (request.method == "GET") {
            const http::Response report = http::jsonResponse(200, R"({"running":0,"waiting":0,"slots":16,"models":["m"],"events":[]})");
            co_await exchange.respond(report);
            co_return;
        }
        const bool isCounted = request.body.find("counted") != std::string::npos;
        const std::size_t call = isCounted ? m_callCount++ : m_silences.size();
        if (failsAfterFirst && isCounted && call > 0) {
            exchange.abort();
            co_return;
        }
        const std::string attempt = http::headerValue(request.headers, "X-Attempt-Id");
        http::Response head;
        head.headers["Content-Type"] = "text/event-stream";
        head.headers["X-Attempt-Id"] = attempt;
        co_await exchange.beginResponse(head);
        const std::size_t first = std::strtoul(http::headerValue(request.headers, "X-Resume-Offset").c_str(), nullptr, 10);
        for (std::size_t i = first; i < TokenCount; ++i) {
            if (i == first + TokensBeforeSilence && call < m_silences.size()) {
                co_await core::asyncSleep(m_silences[call]);
            }
            const std::string event = R"(data: {"id":")" + attempt + R"(","choices":[{"finish_reason":null,"delta":{"content":")" + tokenText(i)
                + std::string(isCounted ? paddingBytes.load() : 0, 'x') + "\"}}]}\n\n";
            co_await exchange.writeChunk(event);
        }
        const std::string end = "data: [DONE]\n\n";
        co_await exchange.writeChunk(end);
        co_await exchange.endResponse();
    }

    std::vector<std::chrono::milliseconds> m_silences;
    std::atomic<std::size_t> m_callCount{0};
    gateway::EventLoopThread m_thread;
    std::vector<std::unique_ptr<http::Server>> m_servers;
};

/// Model upstreams on plain sockets. They share the list of answers, one for each call whose body holds "counted"; the last one is also
/// that of further calls.
class ScriptedUpstreams
{
public:
    ScriptedUpstreams(std::size_t count, std::vector<std::string> answers)
        : m_answers(std::move(answers))
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_acceptors.push_back(std::make_unique<Tcp::acceptor>(m_thread.executor(), Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)));
            asio::co_spawn(m_thread.executor(), acceptLoop(*m_acceptors.back()), asio::detached);
        }
        m_thread.start();
    }
    ScriptedUpstreams(const ScriptedUpstreams &) = delete;
    ScriptedUpstreams &operator=(const ScriptedUpstreams &) = delete;
    ~ScriptedUpstreams()
    {
        m_thread.stop();
    }

    [[nodiscard]] std::vector<std::uint16_t> ports() const
    {
        std::vector<std::uint16_t> out;
        out.reserve(m_acceptors.size());
        for (const auto &acceptor : m_acceptors) {
            out.push_back(acceptor->local_endpoint().port());
        }
        return out;
    }
    /// Number of calls, with the body `body`, that it began to run.
    [[nodiscard]] std::size_t runCount(const std::string &body) const
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(std::count(m_runs.begin(), m_runs.end(), body));
    }
    [[nodiscard]] std::size_t callCount() const
    {
        return m_callCount;
    }

    static constexpr std::size_t TokenCount = 6;
    static std::string tokenEvent(const std::string &attempt, std::size_t index)
    {
        return R"(data: {"id":")" + attempt + R"(","choices":[{"finish_reason":null,"delta":{"content":"token)" + std::to_string(index) + "\"}}]}\n\n";
    }

private:
    using Tcp = asio::ip::tcp;
    using Request = beast::http::request<beast::http::string_body>;

    static std::string chunk(const std::string &data)
    {
        std::ostringstream size;
        size << std::hex << data.size();
        return size.str() + "\r\n" + data + "\r\n";
    }
    static std::string withLength(const std::string &status, const std::string &headers, const std::string &body)
    {
        return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    static std::string streamHead(const std::string &attempt)
    {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }
    static std::string rejection(const std::string &status, const std::string &attempt)
    {
        const std::string id = attempt.empty() ? "" : "X-Attempt-Id: " + attempt + "\r\n";
        return withLength(status, "X-Not-Run: 1\r\nContent-Type: application/json\r\n" + id, R"({"error":"failure of the upstream"})");
    }

    asio::awaitable<void> acceptLoop(Tcp::acceptor &acceptor)
    {
        while (true) {
            Tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(m_thread.executor(), serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(Tcp::socket socket)
    {
        beast::flat_buffer buffer;
        std::string lastRejection; // on this connection
        bool keepsOpen = true;
        while (keepsOpen) {
            Request request;
            boost::system::error_code code;
            co_await beast::http::async_read(socket, buffer, request, asio::redirect_error(asio::use_awaitable, code));
            if (code) {
                co_return;
            }
            std::vector<std::string> pieces = {
                withLength("200 OK", "Content-Type: application/json\r\n", R"({"running":0,"waiting":0,"slots":16,"models":["m"],"events":[]})")};
            if (request.method() == beast::http::verb::post) {
                const bool isCounted = request.body().find("counted") != std::string::npos;
                const std::string answer = isCounted ? m_answers[std::min<std::size_t>(m_callCount++, m_answers.size() - 1)] : "stream";
                pieces = piecesOf(answer, request, lastRejection);
                keepsOpen = !answer.starts_with("break") && answer != "unframed" && answer != "no-http";
            }
            for (const std::string &piece : pieces) {
                co_await asio::async_write(socket, asio::buffer(piece), asio::redirect_error(asio::use_awaitable, code));
                co_await core::asyncSleep(2ms);
            }
        }
    }

    std::vector<std::string> piecesOf(const std::string &answer, const Request &request, std::string &lastRejection)
    {
        const std::string attempt(request["X-Attempt-Id"]);
        const std::string named = "X-Attempt-Id: " + attempt + "\r\n";
        const std::string offset(request["X-Resume-Offset"]);
        const std::size_t first = std::strtoul(offset.c_str(), nullptr, 10);
        const std::string text = "failure of the upstream\n\n";
        const std::string failed = "500 Internal Server Error";
        if (answer.starts_with("reject-")) { // for example "reject-503", "reject-400-named"
            constexpr std::size_t StatusAt = 7;
            constexpr std::size_t StatusLength = 3;
            lastRejection = rejection(answer.substr(StatusAt, StatusLength) + " Rejected", answer.ends_with("-named") ? attempt : "");
            return {lastRejection};
        }
        {
            const std::lock_guard lock(m_mutex);
            m_runs.push_back(request.body());
        }
        if (answer == "hang") { // until the instance closes the connection
            return {};
        }
        if (answer == "copy") { // of a rejection that was written on this connection
            const std::string body = R"({"id":")" + attempt + R"(","choices":[]})";
            return {lastRejection, withLength("200 OK", named + "Content-Type: application/json\r\n", body)};
        }
        if (answer == "text") {
            return {withLength(failed, named + "Content-Type: text/plain\r\n", text)};
        }
        if (answer == "in-pieces") {
            const std::string whole = withLength(failed, named + "Content-Type: text/plain\r\n", text);
            return {whole.substr(0, 5), whole.substr(5, 30), whole.substr(35)};
        }
        if (answer == "events") {
            return {withLength(failed, named + "Content-Type: text/event-stream\r\n", "event: error\ndata: " + text)};
        }
        if (answer == "unframed") {
            return {"HTTP/1.1 " + failed + "\r\n" + named + "\r\n" + text};
        }
        if (answer == "no-http") {
            return {text};
        }
        if (answer == "client-error") {
            return {withLength("404 Not Found", named + "Content-Type: text/plain\r\n", text)};
        }
        if (answer == "client-error-events") {
            return {withLength("404 Not Found", named + "Content-Type: text/event-stream\r\n", "event: error\ndata: " + text)};
        }
        if (answer == "success-text") {
            return {withLength("200 OK", named + "Content-Type: text/plain\r\n", text)};
        }
        if (answer == "success-json") {
            return {withLength("200 OK", named + "Content-Type: application/json\r\n", R"({"error":"failure of the upstream"})")};
        }
        if (answer == "success-events") {
            return {streamHead(attempt) + chunk("event: error\ndata: " + text) + "0\r\n\r\n"};
        }
        constexpr std::size_t TokensBeforeBreak = 2;
        std::string stream = streamHead(attempt);
        for (std::size_t i = first; i < (answer.starts_with("break") ? first + TokensBeforeBreak : TokenCount); ++i) {
            stream += chunk(tokenEvent(attempt, i));
        }
        if (answer == "break-inside") {
            stream += chunk(tokenEvent(attempt, first + TokensBeforeBreak).substr(0, 20));
        }
        return {answer.starts_with("break") ? stream : stream + chunk("data: [DONE]\n\n") + "0\r\n\r\n"};
    }

    std::vector<std::string> m_answers;
    std::atomic<std::size_t> m_callCount{0};
    mutable std::mutex m_mutex;
    std::vector<std::string> m_runs; // bodies
    gateway::EventLoopThread m_thread;
    std::vector<std::unique_ptr<Tcp::acceptor>> m_acceptors;
};

using AdjustSettings = std::function<void(gateway::Settings &)>;

gateway::Settings instanceSettings(const http::Endpoint &platform, const AdjustSettings &adjust)
{
    gateway::Settings settings;
    settings.node.self.id = core::InstanceId("gw-1");
    settings.node.self.incarnation = core::Incarnation(1);
    settings.node.self.region = core::RegionId("r");
    settings.node.self.domain = core::DomainId("d");
    settings.node.self.peerAddress = "127.0.0.1:1";
    settings.node.self.gossipAddress = "127.0.0.1:1";
    settings.node.ticketKeys = {delivery::TicketSigningKey{"k", "a ticket secret of some length"}};
    settings.clientEndpoint = settings.adminEndpoint = settings.peersEndpoint = settings.gossipEndpoint = http::Endpoint{"127.0.0.1", 0};
    settings.platformEndpoints = {platform};
    settings.adminKey = "an admin key of some length";
    settings.clusterKey = "a cluster key of some length";
    settings.eventQueueCapacity = EventQueueCapacity;
    if (adjust) {
        adjust(settings);
    }
    return settings;
}

config::LogEntry configuration()
{
    const json::object order{{"urgency", "urgent"}, {"deadline_ms", 60'000}, {"may_wait", false}, {"repeatable", false}};
    const json::object ask{{"urgency", "urgent"}, {"deadline_ms", 60'000}, {"may_wait", false}, {"repeatable", true}};
    json::object policy{{"models", json::array{"m"}},
                        {"services", json::array{"orders"}},
                        {"residency", json::array{"r"}},
                        {"home_region", "r"},
                        {"classes", json::object{{"ask", ask}, {"order", order}}},
                        {"default_class", "ask"},
                        {"limits", json::object{{"requests_per_s", 100'000}, {"burst", 100'000}, {"concurrency", 100'000}}}};
    config::Edit edit;
    edit.editId = "e";
    edit.puts = {json::object{{"kind", "template"}, {"id", "t"}, {"parameters", json::object{}}, {"policy", std::move(policy)}},
                 json::object{{"kind", "workspace"},
                              {"id", "ws"},
                              {"template", "t"},
                              {"parameters", json::object{}},
                              {"key_sha256", json::array{core::sha256Hex(WorkspaceKey)}}}};
    return config::buildLogEntry(config::ConfigState{}, edit, 0).value();
}

http::Request workspaceRequest(const std::string &method, const std::string &target, const std::string &body = {})
{
    http::Request request;
    request.method = method;
    request.target = target;
    request.headers["X-Workspace"] = "ws";
    request.headers["Authorization"] = "Bearer " + WorkspaceKey;
    request.body = body;
    return request;
}

/// A response that a client waits for.
struct PendingResponse
{
    bool done = false;
    unsigned status = 0; // 0 = no complete response
    std::string body;
};

/// An instance that has its configuration, and its clients, which run on the thread of the test.
struct InstanceFixture
{
    HoldingClock clock;
    HoldingPlatform platform;
    gateway::Gateway instance;
    asio::io_context clients{1};

    explicit InstanceFixture(const AdjustSettings &adjust = {})
        : instance(clock, instanceSettings(platform.endpoint(), adjust), [] {})
    {
        bool written = false;
        auto writeConfiguration = [&]() -> asio::awaitable<void> {
            metadata::KvClient client(clients.get_executor(), {platform.endpoint()}, "test");
            const config::LogEntry entry = configuration();
            const auto created = co_await client.create(config::logEntryKey(entry.revision), entry.serialize());
            written = created && created.value().created;
        };
        asio::co_spawn(clients, writeConfiguration, asio::detached);
        REQUIRE(runUntil([&] { return written; }));
        instance.start();
        std::shared_ptr<PendingResponse> models;
        REQUIRE(runUntil([&] {
            if (models == nullptr || (models->done && models->status != 200)) {
                models = send(workspaceRequest("GET", "/v1/models"));
            }
            return models->status == 200;
        }));
    }
    ~InstanceFixture()
    {
        clock.release();
        instance.stop();
    }
    InstanceFixture(const InstanceFixture &) = delete;
    InstanceFixture &operator=(const InstanceFixture &) = delete;

    std::shared_ptr<PendingResponse> send(const http::Request &request)
    {
        return send(http::Endpoint{"127.0.0.1", instance.clientPort()}, request);
    }
    std::shared_ptr<PendingResponse> send(const http::Endpoint &endpoint, const http::Request &request)
    {
        auto pending = std::make_shared<PendingResponse>();
        auto call = [this, pending, endpoint, request]() -> asio::awaitable<void> {
            const auto response = co_await http::fetch(clients.get_executor(), endpoint, request, ResponseTimeout);
            pending->done = true;
            pending->status = response ? response.value().status : 0;
            pending->body = response ? response.value().body : response.error().message;
        };
        asio::co_spawn(clients, std::move(call), asio::detached);
        return pending;
    }
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit = ResponseTimeout + 2s)
    {
        const auto deadline = std::chrono::steady_clock::now() + limit;
        while (!condition()) {
            if (std::chrono::steady_clock::now() >= deadline) {
                return false;
            }
            clients.restart();
            clients.run_for(5ms);
        }
        return true;
    }
    /// Sends requests to the held instance until one is rejected because the event queue is full; returns the others.
    std::vector<std::shared_ptr<PendingResponse>> fillEventQueue(const http::Request &request)
    {
        std::vector<std::shared_ptr<PendingResponse>> sent;
        for (std::size_t i = 0; i <= EventQueueCapacity; ++i) {
            sent.push_back(send(request));
        }
        const auto isDone = [](const auto &pending) { return pending->done; };
        REQUIRE(runUntil([&] { return std::any_of(sent.begin(), sent.end(), isDone); }));
        runUntil([] { return false; }, SettleTime);
        std::erase_if(sent, isDone);
        return sent;
    }
    /// Adds upstreams to the platform's list and returns when the instance uses them.
    template<class Upstreams>
    void addUpstreams(const Upstreams &upstreams)
    {
        json::array instances;
        for (const std::uint16_t number : upstreams.ports()) {
            const std::string port = std::to_string(number);
            instances.push_back(json::object{{"id", "u" + port},
                                             {"kind", "model"},
                                             {"region", "r"},
                                             {"failure_domain", "d"},
                                             {"address", "127.0.0.1:" + port},
                                             {"models", json::array{"m"}}});
        }
        http::Request listing;
        listing.method = "POST";
        listing.target = "/list";
        listing.body = json::serialize(json::object{{"instances", std::move(instances)}});
        const auto listed = send(platform.endpoint(), listing);
        REQUIRE(runUntil([&] { return listed->done; }));
        REQUIRE(listed->status == 200);
        std::shared_ptr<PendingResponse> probe;
        REQUIRE(runUntil([&] {
            if (probe == nullptr || (probe->done && probe->status != 200)) {
                probe = send(workspaceRequest("POST", "/v1/completions", R"({"model":"m","prompt":"probe","stream":true})"));
            }
            return probe->status == 200;
        }));
    }
    bool runUntilDone(const std::vector<std::shared_ptr<PendingResponse>> &sent)
    {
        return runUntil([&] { return std::all_of(sent.begin(), sent.end(), [](const auto &pending) { return pending->done; }); });
    }
};

/// Sends a request for a completion to the instance.
void sendRaw(const InstanceFixture &fixture, asio::ip::tcp::socket &client, const std::string &body)
{
    client.connect({asio::ip::make_address("127.0.0.1"), fixture.instance.clientPort()});
    const std::string head = "POST /v1/completions HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Workspace: ws\r\nAuthorization: Bearer " + WorkspaceKey
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    asio::write(client, asio::buffer(head + body));
}

/// All bytes of the response to a request for a completion.
std::string readRaw(InstanceFixture &fixture, const std::string &body)
{
    asio::ip::tcp::socket client(fixture.clients);
    sendRaw(fixture, client, body);
    std::string received;
    boost::system::error_code code;
    asio::read(client, asio::dynamic_buffer(received), code);
    return received;
}

} // namespace

TEST_CASE("the result of a claim that arrives while the event queue is full reaches its request", "[instance]")
{
    InstanceFixture fixture;
    const std::size_t earlierTransactions = fixture.platform.receivedTransactions;
    fixture.platform.holdTransactions = true;
    http::Request order = workspaceRequest("POST", "/v1/services/orders/new", "an order");
    order.headers["X-Request-Class"] = "order";
    order.headers["Idempotency-Key"] = "key";
    const auto pending = fixture.send(order);
    REQUIRE(fixture.runUntil([&] { return fixture.platform.receivedTransactions > earlierTransactions; }));
    fixture.clock.hold();
    auto sent = fixture.fillEventQueue(workspaceRequest("GET", "/v1/entries?workspace=ws"));
    REQUIRE_FALSE(sent.empty());
    fixture.platform.holdTransactions = false;
    REQUIRE(fixture.runUntil([&] { return fixture.platform.answeredTransactions == fixture.platform.receivedTransactions; }));
    fixture.runUntil([] { return false; }, SettleTime);
    fixture.clock.release();
    sent.push_back(pending);
    CHECK(fixture.runUntilDone(sent));
    for (const auto &response : sent) {
        CAPTURE(response->body);
        CHECK(response->status != 0);
    }
}

TEST_CASE("a stop answers requests whose heads wait for the decision thread", "[instance]")
{
    struct Row
    {
        http::Request request;
        bool drainFirst;
    };
    const auto row = GENERATE(values<Row>({
        {workspaceRequest("GET", "/v1/entries?workspace=ws"), false},
        {workspaceRequest("POST", "/v1/completions", R"({"model":"m","prompt":"p"})"), false},
        {workspaceRequest("GET", "/v1/entries?workspace=ws"), true},
        {workspaceRequest("POST", "/v1/completions", R"({"model":"m","prompt":"p"})"), true},
    }));
    CAPTURE(row.request.target, row.drainFirst);
    InstanceFixture fixture;
    if (row.drainFirst) {
        fixture.instance.drain();
        fixture.runUntil([] { return false; }, SettleTime);
    }
    fixture.clock.hold();
    const auto sent = fixture.fillEventQueue(row.request);
    REQUIRE_FALSE(sent.empty());
    std::thread stopping([&fixture] { fixture.instance.stop(); });
    fixture.runUntil([] { return false; }, 2 * SettleTime);
    fixture.clock.release();
    CHECK(fixture.runUntilDone(sent));
    stopping.join();
    for (const auto &response : sent) {
        CAPTURE(response->body);
        CHECK(response->status != 0);
    }
}

TEST_CASE("a stop does not leave an open request without an answer", "[instance]")
{
    struct Row
    {
        const char *name;
        const char *body;
        bool isBodyWhole;
        std::set<std::string> statuses;
    };
    const auto row = GENERATE(values<Row>({
        {"at its upstream", R"({"model":"m","prompt":"counted"})", true, {"502", "504"}},
        {"stream that has not begun", R"({"model":"m","prompt":"counted","stream":true})", true, {"502", "504"}},
        {"body that does not end", R"({"model":"m","prompt":"counted"})", false, {"503"}},
    }));
    CAPTURE(row.name);
    ScriptedUpstreams upstreams(1, {"hang"});
    InstanceFixture fixture;
    fixture.addUpstreams(upstreams);
    const std::string body(row.body);
    asio::ip::tcp::socket client(fixture.clients);
    client.connect({asio::ip::make_address("127.0.0.1"), fixture.instance.clientPort()});
    const std::string head = "POST /v1/completions HTTP/1.1\r\nHost: h\r\nX-Workspace: ws\r\nX-Deadline-Ms: 60000\r\nAuthorization: Bearer " + WorkspaceKey
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    asio::write(client, asio::buffer(head + body.substr(0, row.isBodyWhole ? body.size() : body.size() / 2)));
    if (row.isBodyWhole) {
        REQUIRE(fixture.runUntil([&] { return upstreams.callCount() == 1; }));
    } else {
        fixture.runUntil([] { return false; }, SettleTime);
    }
    fixture.instance.drain();
    fixture.instance.stop();
    client.non_blocking(true);
    std::array<char, 4096> buffer{};
    boost::system::error_code code;
    const std::string received(buffer.data(), client.read_some(asio::buffer(buffer), code));
    CAPTURE(received, code.message());
    constexpr std::size_t StatusAt = 9;
    constexpr std::size_t StatusLength = 3;
    REQUIRE(received.size() > StatusAt + StatusLength);
    CHECK(row.statuses.contains(received.substr(StatusAt, StatusLength)));
}

TEST_CASE("a stream that falls silent is given up only if another attempt can replace it", "[instance]")
{
    struct Row
    {
        std::size_t upstreams;
        std::size_t maxAttempts;
        std::vector<std::chrono::milliseconds> silences;
        std::size_t expectedCalls;
    };
    const auto row = GENERATE(values<Row>({
        {1, 3, {Silence}, 1},             // no other upstream
        {2, 1, {Silence}, 1},             // no retry left
        {2, 3, {Silence, Silence}, 2},    // the replacement falls silent too
        {2, 3, {Hang}, 2},                //
        {3, 3, {Hang, Hang}, 3},          //
        {3, 3, {Hang, Hang, Silence}, 3}, // the last attempt that is allowed
    }));
    CAPTURE(row.upstreams, row.maxAttempts, row.silences.size());
    SilentUpstreams upstreams(row.upstreams, row.silences);
    InstanceFixture fixture([&row](gateway::Settings &settings) {
        settings.node.maxAttempts = row.maxAttempts;
        settings.streamIdleTimeout = StreamIdleTimeout;
    });
    fixture.addUpstreams(upstreams);
    const auto pending = fixture.send(workspaceRequest("POST", "/v1/completions", R"({"model":"m","prompt":"counted","stream":true})"));
    CHECK(fixture.runUntil([&] { return pending->done; }));
    CAPTURE(pending->body);
    CHECK(pending->status == 200);
    std::size_t position = 0;
    for (std::size_t i = 0; i < SilentUpstreams::TokenCount; ++i) {
        const std::size_t found = pending->body.find(SilentUpstreams::tokenText(i));
        CHECK(found != std::string::npos);
        CHECK(found >= position);
        CHECK(pending->body.find(SilentUpstreams::tokenText(i), found + 1) == std::string::npos);
        position = found;
    }
    CHECK(pending->body.ends_with("data: [DONE]\n\n"));
    CHECK(upstreams.callCount() == row.expectedCalls);
}

TEST_CASE("every action reaches its request however many wait", "[instance]")
{
    const auto request = GENERATE(values<http::Request>({
        workspaceRequest("GET", "/v1/entries?workspace=ws"),
        workspaceRequest("POST", "/v1/completions", R"({"model":"m","prompt":"p"})"),
    }));
    CAPTURE(request.target);
    InstanceFixture fixture;
    fixture.clock.hold();
    const auto sent = fixture.fillEventQueue(request);
    REQUIRE_FALSE(sent.empty());
    fixture.clock.release();
    CHECK(fixture.runUntilDone(sent));
    for (const auto &response : sent) {
        CAPTURE(response->body);
        CHECK(response->status != 0);
    }
}

TEST_CASE("a silent stream goes on if the attempt that is to replace it fails", "[instance]")
{
    struct Row
    {
        const char *name;
        bool drainDuringSilence;
    };
    const auto row = GENERATE(values<Row>({{"replacement breaks off before it responds", false}, {"the instance begins to drain", true}}));
    CAPTURE(row.name);
    SilentUpstreams upstreams(2, {Silence});
    upstreams.failsAfterFirst = !row.drainDuringSilence;
    InstanceFixture fixture([](gateway::Settings &settings) {
        settings.node.maxAttempts = 2;
        settings.streamIdleTimeout = StreamIdleTimeout;
    });
    fixture.addUpstreams(upstreams);
    const auto pending = fixture.send(workspaceRequest("POST", "/v1/completions", R"({"model":"m","prompt":"counted","stream":true})"));
    if (row.drainDuringSilence) {
        REQUIRE(fixture.runUntil([&] { return upstreams.callCount() == 1; }));
        fixture.runUntil([] { return false; }, StreamIdleTimeout / 2);
        fixture.instance.drain();
    }
    CHECK(fixture.runUntil([&] { return pending->done; }));
    CAPTURE(pending->body, upstreams.callCount());
    CHECK(pending->status == 200);
    CHECK(pending->body.ends_with("data: [DONE]\n\n"));
}

TEST_CASE("a client that reads slowly does not make its stream silent", "[instance]")
{
    SilentUpstreams upstreams(2, {});
    upstreams.paddingBytes = 900'000; // the stream is larger than the socket buffers
    InstanceFixture fixture([](gateway::Settings &settings) { settings.streamIdleTimeout = StreamIdleTimeout; });
    fixture.addUpstreams(upstreams);
    asio::ip::tcp::socket client(fixture.clients);
    sendRaw(fixture, client, R"({"model":"m","prompt":"counted","stream":true})");
    std::this_thread::sleep_for(Silence);
    std::string received;
    boost::system::error_code code;
    asio::read(client, asio::dynamic_buffer(received), code);
    CAPTURE(received.size(), received.substr(0, 300), code.message());
    CHECK(received.find("data: [DONE]") != std::string::npos);
    CHECK(upstreams.callCount() == 1);
}

TEST_CASE("a client finds only tokens of its stream in it, whatever follows a stream that broke off", "[instance]")
{
    const auto begin = GENERATE(as<std::string>{}, "break", "break-inside");
    const auto next = GENERATE(as<std::string>{},
                               "text",
                               "in-pieces",
                               "events",
                               "unframed",
                               "no-http",
                               "client-error",
                               "client-error-events",
                               "success-text",
                               "success-json",
                               "success-events",
                               "reject-503",
                               "reject-503-named",
                               "reject-429",
                               "stream");
    CAPTURE(begin, next);
    ScriptedUpstreams upstreams(2, {begin, next});
    InstanceFixture fixture([](gateway::Settings &settings) { settings.node.maxAttempts = 2; });
    fixture.addUpstreams(upstreams);
    const std::string received = readRaw(fixture, R"({"model":"m","prompt":"counted","stream":true})");
    CAPTURE(received);
    CHECK(upstreams.callCount() == 2);
    CHECK(received.starts_with("HTTP/1.1 200"));
    CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(received.find("failure of the upstream") == std::string::npos);
    const bool isWhole = next == "stream";
    std::size_t position = 0;
    for (std::size_t i = 0; i < ScriptedUpstreams::TokenCount; ++i) {
        constexpr std::size_t TokensBeforeBreak = 2;
        const std::string token = "token" + std::to_string(i);
        const std::size_t found = received.find(token);
        CHECK((found != std::string::npos) == (isWhole || i < TokensBeforeBreak));
        if (found != std::string::npos) {
            CHECK(found >= position);
            CHECK(received.find(token, found + 1) == std::string::npos);
            position = found;
        }
    }
    CHECK((received.find("data: [DONE]") != std::string::npos) == isWhole);
    CHECK(received.ends_with("\r\n0\r\n\r\n") == isWhole);
}

TEST_CASE("an instance that serves a stream for another one writes no error into it", "[instance]")
{
    const auto begin = GENERATE(as<std::string>{}, "break", "break-inside");
    CAPTURE(begin);
    std::uint16_t peerPort = 0;
    {
        asio::io_context loop;
        const asio::ip::tcp::acceptor acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0});
        peerPort = acceptor.local_endpoint().port();
    }
    ScriptedUpstreams upstreams(1, {begin});
    std::string clusterKey;
    InstanceFixture fixture([&](gateway::Settings &settings) {
        settings.peersEndpoint.port = peerPort;
        clusterKey = settings.clusterKey;
    });
    fixture.addUpstreams(upstreams);
    peer::ForwardCall call;
    call.request = workspaceRequest("POST", "/v1/completions", R"({"model":"m","prompt":"counted","stream":true})");
    call.origin = core::InstanceRef{core::InstanceId("gw-2"), core::Incarnation(1)};
    call.via = "gw-2";
    call.attemptId = core::AttemptId("attempt");
    call.remainingTime = std::chrono::duration_cast<std::chrono::milliseconds>(ResponseTimeout);
    call.request.headers["X-Shown-Id"] = "attempt";
    peer::Client client(clusterKey);
    const auto stream = client.forward("127.0.0.1:" + std::to_string(peerPort), call);
    std::mutex mutex;
    std::string body;
    bool hasLast = false;
    bool done = false;
    std::function<void()> readNext = [&] {
        stream->read([&](std::optional<peer::ForwardChunk> chunk) {
            {
                const std::lock_guard lock(mutex);
                done = !chunk || chunk->last;
                hasLast = chunk && chunk->last;
                body += chunk ? chunk->body : std::string();
                if (done) {
                    return;
                }
            }
            readNext();
        });
    };
    readNext();
    CHECK(fixture.runUntil([&] {
        const std::lock_guard lock(mutex);
        return done;
    }));
    const std::lock_guard lock(mutex);
    CHECK(body == ScriptedUpstreams::tokenEvent("attempt", 0) + ScriptedUpstreams::tokenEvent("attempt", 1));
    CHECK_FALSE(hasLast);
}

TEST_CASE("a rejection that an upstream writes twice is not taken for the answer to another request", "[instance]")
{
    const auto rejection = GENERATE(as<std::string>{}, "reject-503", "reject-503-named", "reject-400", "reject-400-named");
    CAPTURE(rejection);
    constexpr std::size_t MaxAttempts = 2;
    const bool isRelayed = rejection.starts_with("reject-400"); // and no second upstream is asked
    std::vector<std::string> answers(isRelayed ? 1 : MaxAttempts, rejection);
    answers.emplace_back("copy");
    ScriptedUpstreams upstreams(2, answers);
    InstanceFixture fixture([](gateway::Settings &settings) { settings.node.maxAttempts = MaxAttempts; });
    fixture.addUpstreams(upstreams);
    const auto send = [&](const std::string &prompt) {
        const std::string body = R"({"model":"m","prompt":"counted )" + prompt + "\"}";
        const auto pending = fixture.send(workspaceRequest("POST", "/v1/completions", body));
        CHECK(fixture.runUntil([&] { return pending->done; }));
        CAPTURE(prompt, pending->body);
        if (prompt == "first") {
            CHECK(pending->status >= 400);
            return;
        }
        CHECK(pending->body.find("failure of the upstream") == std::string::npos);
        CHECK((pending->status == 200 || pending->body.find("not_run") == std::string::npos));
        if (!rejection.ends_with("-named")) { // one that names another attempt ends the attempt, whose request may be repeated
            CHECK(pending->status == 200);
            CHECK(upstreams.runCount(body) == 1);
        }
    };
    send("first");
    constexpr int LaterRequests = 4; // both upstreams get some
    for (int i = 0; i < LaterRequests; ++i) {
        send("later " + std::to_string(i));
    }
}
