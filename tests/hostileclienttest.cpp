// Clients, upstreams and a store that keep to no limit, at the program arbutus-gateway over loopback.
//
// Each row starts the program with small limits, lets a crowd loose on one of its listeners, and sends one ordinary request while the
// crowd is still connected. The checks do not depend on the machine's speed: the process lives, its memory, its descriptors and what the
// kernel holds for its connections stay within bounds, the ordinary request is answered, and nothing of the crowd has run.
//
// Q: Why is there no share of served requests?
// A: It would depend on the machine. That requests are served under load is the subject of other tests.
//
// Q: Why does the table have rows that earlier releases passed?
// A: They share the code with those that failed, at other listeners or in other parts of a message.

#include "arbutus/core/base64.h"
#include "arbutus/http/client.h"
#include "arbutus/http/server.h"
#include "support/gatewayprocess.h"
#include "support/hostilecrowd.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <map>
#include <optional>
#include <thread>

using namespace arbutus;
using namespace std::chrono_literals;
using tests::CrowdOptions;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t CrowdSize = 24;
constexpr std::size_t IdleCrowdSize = 300;                  // more than the process may open
constexpr std::size_t BytesPerClient = 8 * 1024 * 1024;     // that a client sends at most
constexpr std::size_t BytesPerAnswer = 8 * 1024 * 1024;     // the same of an upstream or the store
constexpr std::size_t MaxMemoryKiB = 64 * 1024;             // of the process, of which it takes about a quarter without any request
constexpr std::size_t DescriptorLimit = 256;                // of the process
constexpr std::size_t MaxDescriptors = 224;                 // the rest is left for answers
constexpr std::size_t MaxQueuedBytesPerClient = 512 * 1024; // that the kernel holds for an accepted connection
constexpr std::size_t BlockBytes = 32 * 1024;
constexpr std::size_t MaxBodyBytes = 100'000;
constexpr std::size_t MaxHeadBytes = 16'384;
constexpr auto CallTimeout = 60s; // so that the test ends if the process hangs
const std::string HostileAttempt = "hostile";

enum class Listener { Clients, Peers, Directory, Readiness, Metrics };

/// How the store answers once it is let loose.
enum class StoreBehavior { Sound, EndlessHead, EndlessTrailers, EndlessExtension, EndlessBody, EndlessPages };

std::string repeat(const std::string &text, std::size_t bytes)
{
    std::string out;
    while (out.size() < bytes) {
        out += text;
    }
    return out;
}

//-----------------------------------------------------------------------------
// Stand-ins
//-----------------------------------------------------------------------------

/// The store and the upstream, on a thread of their own.
class StandIns
{
public:
    StandIns()
        : m_store(
            m_loop.get_executor(), http::Endpoint{"127.0.0.1", 0}, {}, [this](http::Exchange &exchange) { return serveStore(exchange); }, nullptr)
        , m_upstream(
              m_loop.get_executor(), http::Endpoint{"127.0.0.1", 0}, {}, [this](http::Exchange &exchange) { return serveUpstream(exchange); }, nullptr)
    {
        m_thread = std::thread([this] { m_loop.run(); });
    }
    StandIns(const StandIns &) = delete;
    StandIns &operator=(const StandIns &) = delete;
    ~StandIns()
    {
        m_loop.stop();
        m_thread.join();
    }

    [[nodiscard]] std::string storeAddress() const
    {
        return "127.0.0.1:" + std::to_string(m_store.port());
    }

    std::atomic<StoreBehavior> storeBehavior{StoreBehavior::Sound};
    std::atomic<std::size_t> hostileRuns{0};     // requests of the crowd that the upstream has received whole
    std::atomic<std::size_t> hostileAnswers{0};  // of the store, that have ended
    std::atomic<std::size_t> finishedStreams{0}; // endless ones of the upstream that the gateway has ended

private:
    using Awaitable = asio::awaitable<void>;

    Awaitable wait(std::chrono::milliseconds duration)
    {
        asio::steady_timer timer(m_loop, duration);
        co_await timer.async_wait(asio::use_awaitable);
    }

    /// Writes `head`, and then `part` until the reader has ended the connection or got as much as it may.
    static Awaitable writeEndless(http::Exchange &exchange, std::string head, std::string part)
    {
        const std::string block = repeat(part, BlockBytes);
        bool isOpen = co_await exchange.writeRaw(head);
        for (std::size_t bytes = 0; isOpen && bytes < BytesPerAnswer; bytes += block.size()) {
            isOpen = co_await exchange.writeRaw(block);
        }
        exchange.abort();
    }

    /// Answer whose part of that name has no end; empty: there is no such answer.
    static std::pair<std::string, std::string> endlessAnswer(const std::string &part, const std::string &headers)
    {
        const std::string begin = "HTTP/1.1 200 OK\r\n" + headers;
        const std::string chunked = begin + "Transfer-Encoding: chunked\r\n\r\n";
        const std::map<std::string, std::pair<std::string, std::string>> answers = {
            {"endless-head", {begin, "X-More: x\r\n"}},
            {"endless-trailers", {chunked + "4\r\nbody\r\n0\r\n", "X-More: x\r\n"}},
            {"endless-extension", {chunked + "4;x=", "x"}},
            {"endless-body", {chunked, "4\r\nbody\r\n"}},
            {"endless-events", {begin + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", "d\r\ndata: event\n\n\r\n"}},
        };
        const auto found = answers.find(part);
        return found == answers.end() ? std::pair<std::string, std::string>() : found->second;
    }

    [[nodiscard]] json::array items(const std::string &prefix) const
    {
        const std::string route = R"(,"host":"h.example","timeout_ms":30000,"target_latency_ms":1000,"priority":1,"service":"s","max_attempts":1)";
        const std::map<std::string, std::string> values = {
            {"op/config",
             R"({"version":1,"routes":[{"name":"again","path_prefix":"/again/","route_type":"safe")" + route
                 + R"(},{"name":"stream","path_prefix":"/stream/","route_type":"streaming","resumable":false)" + route
                 + R"(}],"services":[{"name":"s"}],"limits":{"max_header_bytes":)" + std::to_string(MaxHeadBytes) + R"(,"max_body_bytes":)"
                 + std::to_string(MaxBodyBytes) + R"(,"header_timeout_ms":15000,"idle_timeout_ms":15000}})"},
            {"servers/a",
             R"({"service":"s","address":"127.0.0.1:)" + std::to_string(m_upstream.port())
                 + R"(","zone":"z","slots":256,"state":"ready","cold_remaining_ms":0,"version":"v","sequence":1})"},
        };
        json::array out;
        for (const auto &[key, value] : values) {
            if (key.starts_with(prefix)) {
                out.push_back(json::object{{"key", key}, {"value", core::base64Encode(value)}, {"revision", 1}, {"created", 1}, {"lease", 0}});
            }
        }
        return out;
    }

    Awaitable serveStore(http::Exchange &exchange)
    {
        const auto read = co_await exchange.readBody();
        const std::string path = exchange.request().path();
        const StoreBehavior behavior = storeBehavior;
        json::object body{{"store_revision", 1}, {"revision", 1}, {"lease", 1}, {"ttl_ms", 60'000}, {"events", json::array()}};
        if (path == "/-/kv-watch") {
            co_await wait(behavior == StoreBehavior::Sound ? 200ms : 10ms);
        }
        http::Response response;
        if (behavior != StoreBehavior::Sound && path == "/-/kv-watch") {
            response.status = 410; // which makes the instance read all
        } else if (behavior != StoreBehavior::Sound && path == "/-/kv-range") {
            const std::map<StoreBehavior, std::string> parts = {{StoreBehavior::EndlessHead, "endless-head"},
                                                                {StoreBehavior::EndlessTrailers, "endless-trailers"},
                                                                {StoreBehavior::EndlessExtension, "endless-extension"},
                                                                {StoreBehavior::EndlessBody, "endless-body"}};
            if (const auto part = parts.find(behavior); part != parts.end()) {
                const auto [head, repeated] = endlessAnswer(part->second, "");
                co_await writeEndless(exchange, head, repeated);
                ++hostileAnswers;
                co_return;
            }
            constexpr std::size_t ItemsPerPage = 64;
            constexpr std::size_t ValueBytes = 12'000;
            json::array page;
            for (std::size_t i = 0; i < ItemsPerPage; ++i) {
                std::string number = std::to_string(m_nextKey++);
                number.insert(0, 10 - number.size(), '0');
                page.push_back(json::object{
                    {"key", "servers/" + number}, {"value", core::base64Encode(std::string(ValueBytes, 'x'))}, {"revision", 1}, {"created", 1}, {"lease", 0}});
            }
            body["items"] = std::move(page);
            body["has_more"] = true;
            ++hostileAnswers;
        } else {
            body["items"] = items(exchange.request().queryParameter("path_prefix"));
            body["has_more"] = false;
        }
        response.headers["Content-Type"] = "application/json";
        response.body = json::serialize(body);
        co_await exchange.respond(response);
    }

    Awaitable serveUpstream(http::Exchange &exchange)
    {
        const auto read = co_await exchange.readBody();
        const http::Request &request = exchange.request();
        const std::string attempt = http::headerValue(request.headers, "X-Attempt-Id");
        if (attempt.starts_with(HostileAttempt)) {
            ++hostileRuns;
        }
        const std::string behavior = http::headerValue(request.headers, "X-Behave");
        if (behavior == "held") {
            co_await wait(5s);
        }
        const auto [head, part] = endlessAnswer(behavior, "X-Attempt-Id: " + attempt + "\r\nX-Response-Stamp: stamp\r\n");
        if (!head.empty()) {
            co_await writeEndless(exchange, head, part);
            ++finishedStreams;
            co_return;
        }
        http::Response response;
        response.headers = {{"X-Attempt-Id", attempt}, {"X-Response-Stamp", "stamp"}};
        response.body = "answer of " + std::to_string(request.body.size());
        co_await exchange.respond(response);
    }

    asio::io_context m_loop{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work = asio::make_work_guard(m_loop);
    std::size_t m_nextKey = 0; // of endless pages
    http::Server m_store;
    http::Server m_upstream;
    std::thread m_thread;
};

http::CallResult<http::Response> call(const http::Endpoint &endpoint, const http::Request &request)
{
    asio::io_context loop{1};
    std::optional<http::CallResult<http::Response>> result;
    auto operation = [&]() -> asio::awaitable<void> {
        http::CallOptions options;
        options.connectTimeout = CallTimeout;
        result.emplace(co_await http::fetch(loop.get_executor(), endpoint, request, CallTimeout, std::move(options)));
    };
    asio::co_spawn(loop, operation, asio::detached);
    loop.run();
    return std::move(*result);
}

//-----------------------------------------------------------------------------
// A route gateway
//-----------------------------------------------------------------------------

struct Fixture
{
    StandIns standIns;
    std::vector<std::uint16_t> ports = tests::freePorts(5);
    std::optional<tests::GatewayProcess> process;

    Fixture()
    {
        const auto address = [this](Listener listener) { return "\"127.0.0.1:" + std::to_string(endpoint(listener).port) + "\"\n"; };
        process.emplace("[route_gateway]\nid = \"n\"\nfailure_domain = \"z\"\nregion = \"x\"\n[domains]\nz = \"x\"\n[listen]\ncallers = "
                            + address(Listener::Clients) + "directory = " + address(Listener::Directory) + "readiness = " + address(Listener::Readiness)
                            + "peers = " + address(Listener::Peers) + "metrics = " + address(Listener::Metrics) + "[store]\naddress = \""
                            + standIns.storeAddress() + "\"\n[memory]\nbodies_mb = 4\n",
                        tests::GatewayProcessOptions{DescriptorLimit});
        http::Request probe;
        probe.target = "/-/readiness";
        while (process->isAlive()) {
            const auto response = call(endpoint(Listener::Readiness), probe);
            if (response && response.value().status == 200) {
                return;
            }
            std::this_thread::sleep_for(20ms);
        }
        FAIL("the process has ended: " << process->log());
    }

    [[nodiscard]] http::Endpoint endpoint(Listener listener) const
    {
        return {"127.0.0.1", ports[static_cast<std::size_t>(listener)]};
    }

    /// A request for `target`, with the headers of an ordinary one.
    static std::string head(const std::string &method, const std::string &target, const std::string &headers)
    {
        return method + " " + target + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + HostileAttempt + "\r\nX-Gateway-Origin: other\r\n"
            + "X-Gateway-Service: s\r\n" + headers;
    }

    [[nodiscard]] http::CallResult<http::Response> sendOrdinary() const
    {
        http::Request request;
        request.method = "POST";
        request.target = "/again/x";
        request.headers = {{"Host", "h.example"}, {"X-Attempt-Id", "ordinary"}, {"X-Deadline-Ms", "30000"}};
        request.body = "body";
        return call(endpoint(Listener::Clients), request);
    }

    /// Whether the process is gone or takes so much memory that the machine is at risk.
    [[nodiscard]] bool isLost()
    {
        constexpr std::size_t LostAt = 4;
        return !process->isAlive() || process->peakMemoryKiB() > LostAt * MaxMemoryKiB;
    }

    /// What must hold while the crowd is connected.
    void check(std::size_t crowdSize)
    {
        REQUIRE(process->isAlive());
        CHECK(process->openDescriptors() <= MaxDescriptors);
        CHECK(tests::queuedBytes(ports) <= crowdSize * MaxQueuedBytesPerClient);
        const auto ordinary = sendOrdinary();
        CHECK(process->isAlive());
        CHECK(process->peakMemoryKiB() <= MaxMemoryKiB);
        INFO((ordinary ? std::string("answered") : ordinary.error().message));
        REQUIRE(ordinary);
        CHECK(ordinary.value().status == 200);
        CHECK(ordinary.value().body == "answer of 4");
    }
};

struct Attack
{
    std::string name;
    CrowdOptions crowd;
};

Attack attackNamed(const std::string &name)
{
    const std::string chunked = Fixture::head("POST", "/again/x", "Transfer-Encoding: chunked\r\n\r\n");
    const std::string whole = Fixture::head("POST", "/again/x", "Content-Length: 4\r\n\r\nbody");
    const std::string header = "X-More: x\r\n";
    CrowdOptions out;
    out.size = CrowdSize;
    out.maxBytes = BytesPerClient;
    if (name == "trailers without end") {
        out.first = chunked + "4\r\nbody\r\n0\r\n";
        out.repeated = header;
    } else if (name == "one trailer without end") {
        out.first = chunked + "4\r\nbody\r\n0\r\nX-More: ";
        out.repeated = "x";
    } else if (name == "a chunk extension without end") {
        out.first = chunked + "4;x=";
        out.repeated = "x";
    } else if (name == "an extension at each chunk") {
        out.first = chunked;
        out.repeated = "1;x=" + std::string(1000, 'x') + "\r\ny\r\n";
    } else if (name == "tiny chunks without end") {
        out.first = chunked;
        out.repeated = "1\r\ny\r\n";
    } else if (name == "a head without end") {
        out.first = Fixture::head("POST", "/again/x", "");
        out.repeated = header;
    } else if (name == "a target without end") {
        out.first = "GET /";
        out.repeated = "x";
    } else if (name == "a body over the limit") {
        out.first = Fixture::head("POST", "/again/x", "Content-Length: 1000000000\r\n\r\n");
        out.repeated = "x";
    } else if (name == "pipelined requests, answers unread") {
        out.first = "GET /none HTTP/1.1\r\nHost: h\r\n\r\n";
        out.repeated = out.first;
        out.reads = false;
    } else if (name == "bytes after a request that is being answered") {
        out.first = Fixture::head("POST", "/again/x", "X-Behave: held\r\nContent-Length: 4\r\n\r\nbody");
        out.repeated = "x";
    } else if (name == "a stream that is not read") {
        out.first = Fixture::head("GET", "/stream/x", "X-Behave: endless-events\r\n\r\n");
        out.reads = false;
    } else if (name == "no bytes") {
        out.size = IdleCrowdSize;
    } else if (name == "half a head") {
        out.size = IdleCrowdSize;
        out.first = "POST /again/x HTTP/1.1\r\nHost:";
    } else if (name == "connections kept after an answer") {
        out.size = IdleCrowdSize;
        out.first = "GET /none HTTP/1.1\r\nHost: h\r\n\r\n";
    } else {
        FAIL("no such attack: " << name);
    }
    return {name, out};
}

std::string toString(Listener listener)
{
    const std::array<std::string, 5> names{"clients", "peers", "directory", "readiness", "metrics"};
    return names.at(static_cast<std::size_t>(listener));
}

} // namespace

TEST_CASE("clients that keep to no limit end no process and take no memory without bound", "[hostile]")
{
    const auto listener = GENERATE(Listener::Clients, Listener::Peers, Listener::Directory, Listener::Readiness, Listener::Metrics);
    const auto [name, mayRun, onlyAtClients] = GENERATE(table<std::string, bool, bool>({
        {"trailers without end", false, false},
        {"one trailer without end", false, false},
        {"a chunk extension without end", false, false},
        {"an extension at each chunk", false, false},
        {"tiny chunks without end", false, false},
        {"a head without end", false, false},
        {"a target without end", false, false},
        {"a body over the limit", false, false},
        {"pipelined requests, answers unread", false, false},
        {"bytes after a request that is being answered", true, true},
        {"a stream that is not read", true, true},
        {"no bytes", false, false},
        {"half a head", false, false},
        {"connections kept after an answer", false, false},
    }));
    if (onlyAtClients && listener != Listener::Clients) {
        return;
    }
    const Attack attack = attackNamed(name);
    INFO("listener " << toString(listener) << ", attack: " << name);
    Fixture fixture;
    tests::HostileCrowd crowd(fixture.endpoint(listener), attack.crowd);
    crowd.run([&] { return fixture.isLost(); });
    fixture.check(attack.crowd.size);
    if (!mayRun) {
        CHECK(fixture.standIns.hostileRuns == 0);
    }
}

TEST_CASE("upstreams whose answers have no end take no memory without bound", "[hostile]")
{
    const auto part = GENERATE(as<std::string>{}, "endless-head", "endless-trailers", "endless-extension", "endless-body");
    const auto route = GENERATE(as<std::string>{}, "again", "stream");
    CAPTURE(part, route);
    Fixture fixture;
    CrowdOptions options;
    options.size = CrowdSize;
    options.first = Fixture::head("POST", "/" + route + "/x", "X-Behave: " + part + "\r\nContent-Length: 4\r\n\r\nbody");
    tests::HostileCrowd crowd(fixture.endpoint(Listener::Clients), options);
    crowd.run([&] { return fixture.isLost() || fixture.standIns.finishedStreams >= CrowdSize; });
    fixture.check(CrowdSize);
}

TEST_CASE("a store whose answers have no end takes no memory without bound", "[hostile]")
{
    const auto behavior = GENERATE(
        StoreBehavior::EndlessHead, StoreBehavior::EndlessTrailers, StoreBehavior::EndlessExtension, StoreBehavior::EndlessBody, StoreBehavior::EndlessPages);
    CAPTURE(static_cast<int>(behavior));
    constexpr std::size_t Answers = 16;
    constexpr std::size_t Pages = 128;
    Fixture fixture;
    fixture.standIns.storeBehavior = behavior;
    const std::size_t enough = behavior == StoreBehavior::EndlessPages ? Pages : Answers;
    while (!fixture.isLost() && fixture.standIns.hostileAnswers < enough) {
        std::this_thread::sleep_for(20ms);
    }
    fixture.check(0);
}

// Each part is near its limit, and nothing else is in progress.
TEST_CASE("a request at the limits of the configuration is served", "[hostile]")
{
    const auto [name, extension, trailerCount, isTiny] = GENERATE(table<std::string, std::size_t, std::size_t, bool>({
        {"one chunk", 0, 0, false},
        {"a long extension", 4'000, 0, false},
        {"long trailers", 0, 400, false},
        {"all in chunks of one byte", 0, 400, true},
    }));
    CAPTURE(name);
    Fixture fixture;
    std::string request = "POST /again/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: ordinary\r\nX-Deadline-Ms: 30000\r\nX-Long: " + std::string(15'000, 'x')
        + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    if (isTiny) {
        request += repeat("1\r\ny\r\n", MaxBodyBytes * 6);
    } else {
        constexpr std::string_view SizeInHex = "186a0";
        request += std::string(SizeInHex) + (extension > 0 ? ";x=" + std::string(extension, 'x') : "") + "\r\n" + std::string(MaxBodyBytes, 'y') + "\r\n";
    }
    request += "0\r\n" + repeat("X-Trailer: " + std::string(20, 'x') + "\r\n", trailerCount * 33) + "\r\n";
    CrowdOptions options;
    options.size = 1;
    options.first = request;
    tests::HostileCrowd client(fixture.endpoint(Listener::Clients), options);
    client.run([&] { return fixture.isLost() || client.statusCount("200") == 1; });
    CHECK(client.statusCount("200") == 1);
}

// Its listeners share the server's code; requests need no platform to be refused.
TEST_CASE("the product's own interface withstands clients that keep to no limit", "[hostile]")
{
    const auto isAdmin = GENERATE(false, true);
    const auto name = GENERATE(as<std::string>{},
                               "trailers without end",
                               "a chunk extension without end",
                               "tiny chunks without end",
                               "a head without end",
                               "pipelined requests, answers unread",
                               "no bytes",
                               "half a head",
                               "connections kept after an answer");
    CAPTURE(isAdmin, name);
    const std::vector<std::uint16_t> ports = tests::freePorts(5);
    const auto address = [&ports](std::size_t index) { return "\"127.0.0.1:" + std::to_string(ports[index]) + "\"\n"; };
    tests::GatewayProcess process("[instance]\nname = \"n\"\nregion = \"x\"\nfailure_domain = \"z\"\n[listen]\ncallers = " + address(0)
                                      + "admin = " + address(1) + "peers = " + address(2) + "gossip = " + address(3)
                                      + "[peers]\ncluster_key = \"0123456789abcdef\"\n[platform]\naddresses = [\"127.0.0.1:" + std::to_string(ports[4])
                                      + "\"]\n[keys]\nadmin = \"0123456789abcdef\"\ntickets = [{id = \"k\", secret = \"0123456789abcdef\"}]\n",
                                  tests::GatewayProcessOptions{DescriptorLimit});
    const http::Endpoint clients{"127.0.0.1", ports[0]};
    const http::Endpoint admin{"127.0.0.1", ports[1]};
    http::Request health;
    health.target = "/healthz";
    while (process.isAlive() && !call(admin, health)) {
        std::this_thread::sleep_for(20ms);
    }
    Attack attack = attackNamed(name);
    const std::string path = "/again/x"; // whose body no listener reads before the request is admitted
    if (const std::size_t at = attack.crowd.first.find(path); at != std::string::npos) {
        attack.crowd.first.replace(at, path.size(), "/v1/tickets");
    }
    tests::HostileCrowd crowd(isAdmin ? admin : clients, attack.crowd);
    constexpr std::size_t LostAt = 4;
    crowd.run([&] { return !process.isAlive() || process.peakMemoryKiB() > LostAt * MaxMemoryKiB; });
    REQUIRE(process.isAlive());
    CHECK(process.openDescriptors() <= MaxDescriptors);
    CHECK(tests::queuedBytes({ports[0], ports[1]}) <= attack.crowd.size * MaxQueuedBytesPerClient);
    http::Request unknown;
    unknown.target = "/v1/unknown";
    const auto refused = call(clients, unknown);
    const auto healthy = call(admin, health);
    CHECK(process.isAlive());
    CHECK(process.peakMemoryKiB() <= MaxMemoryKiB);
    REQUIRE(refused);
    CHECK(refused.value().status == 404);
    REQUIRE(healthy);
    CHECK(healthy.value().status == 200);
}
