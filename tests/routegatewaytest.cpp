// One instance over real loopback sockets, between callers and upstreams that misbehave in every way there is.
//
// Each fake upstream does what the request's X-Behave header says for it: "a=reset,b=ok". It keeps a list of what it ran.

#include "arbutus/edge/routegateway.h"
#include "arbutus/http/client.h"
#include "arbutus/http/server.h"
#include "platform/platformadapter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>

#include <fcntl.h>

#include <array>

using namespace arbutus;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

/// A store that holds what the test puts into it.
class FakeStore final : public metadata::MetadataStore
{
public:
    std::map<std::string, std::string> keys;
    std::uint64_t revision = 1;
    bool down = false;

    asio::awaitable<metadata::StoreResult<metadata::StoreRange>> range(std::string prefix, metadata::ReadConsistency) override
    {
        if (down) {
            co_return failure();
        }
        metadata::StoreRange out;
        out.revision = metadata::StoreRevision(revision);
        for (const auto &[key, value] : keys) {
            if (key.starts_with(prefix)) {
                out.items.push_back(metadata::StoreItem{key, value, out.revision});
            }
        }
        co_return out;
    }
    asio::awaitable<metadata::StoreResult<metadata::StoreChanges>> watch(std::string, metadata::StoreRevision after, std::chrono::milliseconds) override
    {
        if (down) {
            co_return failure();
        }
        if (after.value < revision) {
            co_return metadata::StoreError{metadata::StoreErrorKind::HistoryGone, "no history is kept"};
        }
        metadata::StoreChanges out;
        out.revision = metadata::StoreRevision(revision);
        co_return out;
    }
    asio::awaitable<metadata::StoreResult<metadata::StoreRevision>> put(std::string, std::string, metadata::LeaseId) override
    {
        co_return metadata::StoreRevision(revision);
    }
    asio::awaitable<metadata::StoreResult<metadata::LeaseId>> grantLease(std::chrono::milliseconds) override
    {
        co_return metadata::LeaseId("1");
    }
    asio::awaitable<metadata::StoreResult<void>> keepLeaseAlive(metadata::LeaseId) override
    {
        co_return boost::outcome_v2::success();
    }
    asio::awaitable<metadata::StoreResult<void>> revokeLease(metadata::LeaseId) override
    {
        co_return boost::outcome_v2::success();
    }

private:
    static metadata::StoreError failure()
    {
        return metadata::StoreError{metadata::StoreErrorKind::Unreachable, "down"};
    }
};

/// An upstream that does what it is told.
class FakeUpstream
{
public:
    FakeUpstream(asio::io_context &loop, std::string name)
        : m_loop(loop)
        , m_name(std::move(name))
        , m_acceptor(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(loop, acceptLoop(), asio::detached);
    }

    std::vector<std::string> ran;      // attempts that it began to work on
    std::vector<std::string> bodies;   // theirs
    std::vector<std::string> expected; // X-Expect-Instance of every arrival
    int connections = 0;
    int brokenOff = 0; // connections that ended while it was at work

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    using Request = beast::http::request<beast::http::string_body>;

    asio::awaitable<void> acceptLoop()
    {
        while (true) {
            Tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            ++connections;
            asio::co_spawn(m_loop, serve(std::move(socket)), asio::detached);
        }
    }

    [[nodiscard]] std::string behaviour(const Request &request) const
    {
        const std::string all(request["X-Behave"]);
        const std::size_t at = all.find(m_name + "=");
        return at == std::string::npos ? "ok" : all.substr(at + m_name.size() + 1, all.find(',', at) - at - m_name.size() - 1);
    }

    static std::string head(const std::string &status, const std::string &attempt, const std::string &rest)
    {
        return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Stamp: stamp\r\n" + rest + "\r\n";
    }
    [[nodiscard]] std::string whole(const std::string &attempt) const
    {
        const std::string body = "from " + m_name + " to " + attempt;
        return head("200 OK", attempt, "Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
    }
    static std::string events(int from, int to)
    {
        std::string out;
        for (int id = from; id <= to; ++id) {
            const std::string event = "id: " + std::to_string(id) + "\ndata: " + std::to_string(id) + "\n\n";
            char size[16];
            (void)std::snprintf(size, sizeof size, "%zx", event.size());
            out += std::string(size) + "\r\n" + event + "\r\n";
        }
        return out;
    }

    asio::awaitable<void> serve(Tcp::socket socket)
    {
        beast::flat_buffer buffer;
        while (true) {
            beast::http::request_parser<beast::http::string_body> parser;
            ErrorCode code;
            co_await beast::http::async_read_header(socket, buffer, parser, asio::redirect_error(asio::use_awaitable, code));
            if (code) {
                co_return;
            }
            expected.emplace_back(parser.get()["X-Expect-Instance"]);
            const std::string does = behaviour(parser.get());
            const std::string attempt(parser.get()["X-Attempt-Id"]);
            if (does == "early") { // answers before it has read the body
                const std::string answer = head("500 Internal Server Error", attempt, "Content-Length: 0\r\n");
                co_await asio::async_write(socket, asio::buffer(answer), asio::redirect_error(asio::use_awaitable, code));
            }
            co_await beast::http::async_read(socket, buffer, parser, asio::redirect_error(asio::use_awaitable, code));
            if (code) {
                co_return;
            }
            if (does == "early") {
                continue;
            }
            if (!co_await act(socket, does, attempt, parser.get())) {
                co_return;
            }
        }
    }

    /// Closes explicitly: a socket's destructor ignores the option.
    static void reset(Tcp::socket &socket)
    {
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    }

    /// False when the connection is to be closed.
    asio::awaitable<bool> act(Tcp::socket &socket, const std::string &does, const std::string &attempt, const Request &request)
    {
        std::string out;
        bool keep = true;
        if (does == "shed") {
            out = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        } else if (does == "misdirected") {
            out = "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: another\r\nContent-Length: 0\r\n\r\n";
        } else {
            ran.push_back(attempt);
            bodies.push_back(request.body());
            const std::string chunked = head("200 OK", attempt, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
            const std::string last(request["Last-Event-ID"]);
            const int from = last.empty() ? 1 : std::stoi(last) + 1;
            if (does == "reset") {
                reset(socket);
                co_return false;
            } else if (does == "close") {
                keep = false;
            } else if (does == "garbage") {
                out = "these bytes are no answer\r\n\r\n";
                keep = false;
            } else if (does == "truncated") {
                out = whole(attempt);
                out.resize(out.size() - 3);
                keep = false;
            } else if (does == "unframed-reset") {
                out = head("200 OK", attempt, "Connection: close\r\n") + "from " + m_name;
                keep = false;
            } else if (does == "unframed") {
                out = head("200 OK", attempt, "Connection: close\r\n") + "from " + m_name + " to " + attempt;
                keep = false;
            } else if (does == "extra") {
                out = whole(attempt) + whole("somebody-else");
            } else if (does == "foreign") { // a late answer to another request comes first
                out = whole("somebody-else") + whole(attempt);
            } else if (does == "unproven") {
                out = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nContent-Length: 2\r\n\r\nno";
            } else if (does == "encoded") {
                out = head("200 OK", attempt, "Content-Encoding: gzip\r\nContent-Length: 2\r\n") + "no";
            } else if (does == "error") {
                out = head("500 Internal Server Error", attempt, "Content-Length: 5\r\n") + "error";
            } else if (does == "busy") { // it does not say that the request has not run
                out = head("503 Service Unavailable", attempt, "Content-Length: 4\r\n") + "busy";
            } else if (does == "hang") {
                char byte = 0;
                ErrorCode code;
                co_await socket.async_read_some(asio::buffer(&byte, 1), asio::redirect_error(asio::use_awaitable, code));
                ++brokenOff;
                co_return false;
            } else if (does == "stream") {
                out = chunked + events(from, 6) + "0\r\n\r\n";
            } else if (does == "stream-break") { // in the middle of the third event
                out = chunked + events(from, 2) + "1a\r\nid: 3\nda";
                keep = false;
            } else {
                out = whole(attempt);
            }
        }
        ErrorCode code;
        co_await asio::async_write(socket, asio::buffer(out), asio::redirect_error(asio::use_awaitable, code));
        if (does == "unframed-reset") {
            asio::steady_timer timer(m_loop, 30ms); // its bytes arrive before the reset
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
            reset(socket);
        }
        co_return keep;
    }

    asio::io_context &m_loop;
    std::string m_name;
    Tcp::acceptor m_acceptor;
};

/// A port that nobody listens on, for TCP and UDP, outside the range from which the kernel gives ports to connections: one
/// from that range may be taken between this and its use.
std::uint16_t freePort(asio::io_context &loop)
{
    constexpr std::uint16_t First = 20'000;
    constexpr std::uint16_t Last = 29'999;
    static std::uint16_t next = static_cast<std::uint16_t>(First + static_cast<unsigned>(::getpid()) * 37 % (Last - First));
    while (true) {
        next = next >= Last ? First : static_cast<std::uint16_t>(next + 1);
        boost::system::error_code code;
        Tcp::acceptor acceptor(loop, Tcp::v4());
        acceptor.bind(Tcp::endpoint(asio::ip::make_address("127.0.0.1"), next), code);
        if (code) {
            continue;
        }
        asio::ip::udp::socket socket(loop, asio::ip::udp::v4());
        socket.bind(asio::ip::udp::endpoint(asio::ip::make_address("127.0.0.1"), next), code);
        if (!code) {
            return next;
        }
    }
}

std::string route(const std::string &name, const std::string &kind, const std::string &service, const std::string &more)
{
    return R"({"name":")" + name + R"(","host":"h.example","path_prefix":"/)" + name + R"(/","route_type":")" + kind + R"(","timeout_ms":4000,)"
        + R"("target_latency_ms":1000,"priority":1,"service":")" + service + R"(",)" + more + "}";
}

/// One instance with two upstreams, a and b, of service s.
struct Fixture
{
    asio::io_context loop{1};
    core::SystemClock clock;
    FakeStore store;
    platform::PlatformAdapter dialect;
    observe::LogBuffer log{clock, ::open("/dev/null", O_WRONLY | O_CLOEXEC)};
    FakeUpstream a{loop, "a"};
    FakeUpstream b{loop, "b"};
    edge::Settings settings;
    std::optional<edge::RouteGateway> instance;

    explicit Fixture(bool configured = true)
    {
        settings.instanceId = core::InstanceId("n");
        settings.failureDomain = core::DomainId("z");
        settings.region = core::RegionId("x");
        settings.regionByDomain = {{settings.failureDomain, settings.region}, {core::DomainId("far"), core::RegionId("y")}};
        for (http::Endpoint *endpoint :
             {&settings.callersEndpoint, &settings.directoryEndpoint, &settings.readinessEndpoint, &settings.metricsEndpoint, &settings.peersEndpoint}) {
            *endpoint = http::Endpoint{"127.0.0.1", freePort(loop)};
        }
        if (configured) {
            configure();
        }
        instance.emplace(loop, clock, settings, dialect, store, log, [this]() -> core::Result<edge::Settings> { return settings; });
        instance->start();
        if (configured) {
            until([this] { return get(settings.readinessEndpoint, "/-/readiness").status == 200; });
        }
    }

    void configure()
    {
        const std::string routes = route("once", "unsafe", "s", R"("max_attempts":1)") + "," + route("again", "safe", "s", R"("max_attempts":2)") + ","
            + route("stream", "streaming", "s", R"("max_attempts":1,"resumable":false)") + ","
            + route("resume", "streaming", "s", R"("max_attempts":2,"resumable":true)") + ","
            + route("away", "safe", "s", R"("max_attempts":2,"home_regions":["y"])") + "," + route("none", "safe", "nothing", R"("max_attempts":2)");
        store.keys["op/config"] = R"({"version":1,"routes":[)" + routes + R"(],"services":[{"name":"s"},{"name":"nothing"}],)"
            + R"("limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
        for (const auto &[name, upstream] : {std::pair{"a", &a}, std::pair{"b", &b}}) {
            store.keys["servers/" + std::string(name)] = R"({"service":"s","address":")" + upstream->address()
                + R"(","zone":"z","slots":6,"state":"ready","cold_remaining_ms":0,"born":1,"sequence":1})";
        }
        ++store.revision;
    }

    template<class T>
    T run(asio::awaitable<T> work)
    {
        std::optional<T> result;
        auto body = [&]() -> asio::awaitable<void> { result.emplace(co_await std::move(work)); };
        asio::co_spawn(loop, body, asio::detached);
        loop.restart();
        while (!result) {
            loop.run_one();
        }
        return std::move(*result);
    }

    void until(const std::function<bool()> &holds)
    {
        while (!holds()) {
            loop.run_one();
        }
    }

    http::Response get(const http::Endpoint &endpoint, const std::string &target)
    {
        http::Request request;
        request.target = target;
        return call(endpoint, request);
    }

    /// Status 0: no whole answer.
    http::Response call(const http::Endpoint &endpoint, const http::Request &request)
    {
        auto work = [&]() -> asio::awaitable<http::Response> {
            auto answer = co_await http::fetch(loop.get_executor(), endpoint, request, 10s);
            http::Response out;
            out.status = 0;
            if (answer) {
                out = answer.value();
            }
            co_return out;
        };
        return run(work());
    }

    http::Response ask(const std::string &routeName, const std::string &behave, const std::string &body = "body", const std::string &attempt = "attempt-1")
    {
        http::Request request;
        request.method = "POST";
        request.target = "/" + routeName + "/x?q=1";
        request.headers = {{"Host", "h.example"}, {"X-Attempt-Id", attempt}, {"X-Deadline-Ms", "3000"}, {"X-Behave", behave}};
        request.body = body;
        return call(settings.callersEndpoint, request);
    }

    [[nodiscard]] std::size_t runs() const
    {
        return a.ran.size() + b.ran.size();
    }
};

} // namespace

TEST_CASE("what a caller of a route that runs once is told, and how often it ran", "[edge]")
{
    struct Row
    {
        std::string behave; // of both upstreams
        unsigned status;
        std::size_t runs;
    };
    const auto row = GENERATE(values<Row>({
        {"ok", 200, 1},
        {"shed", 503, 0},
        {"misdirected", 503, 0},
        {"reset", 502, 1},
        {"close", 502, 1},
        {"garbage", 502, 1},
        {"truncated", 502, 1},
        {"unframed-reset", 502, 1},
        {"unframed", 200, 1},
        {"extra", 200, 1},
        {"foreign", 200, 1},
        {"unproven", 502, 1},
        {"encoded", 502, 1},
        {"error", 500, 1},
        {"busy", 502, 1}, // a 503 would promise that it has not run
        {"early", 500, 0},
    }));
    CAPTURE(row.behave);
    Fixture fixture;
    const http::Response answer = fixture.ask("once", "a=" + row.behave + ",b=" + row.behave);
    CHECK(answer.status == row.status);
    CHECK(fixture.runs() == row.runs);
    if (answer.status == 200) {
        const std::string from = fixture.a.ran.empty() ? "b" : "a";
        CHECK(answer.body == "from " + from + " to attempt-1");
        CHECK(http::headerValue(answer.headers, "X-Response-Stamp") == "stamp");
    }
    if (answer.status == 503) {
        CHECK_FALSE(http::headerValue(answer.headers, "Retry-After").empty());
    }
    if (answer.status == 502 || answer.status == 503) { // own failures must not look like an upstream's
        CHECK(http::headerValue(answer.headers, "X-Response-Stamp").empty());
    }
}

TEST_CASE("a request that may run again is served by the other upstream", "[edge]")
{
    const auto behave =
        GENERATE(as<std::string>{}, "shed", "misdirected", "reset", "close", "garbage", "truncated", "unframed-reset", "unproven", "encoded", "error", "busy");
    const auto first = GENERATE(as<std::string>{}, "a", "b"); // which of them misbehaves
    CAPTURE(behave, first);
    Fixture fixture;
    for (int i = 0; i < 4; ++i) { // both get their turn
        const std::string attempt = "attempt-" + std::to_string(i);
        const http::Response answer = fixture.ask("again", first + "=" + behave, "body", attempt);
        CHECK(answer.status == 200);
        CHECK(answer.body == "from " + std::string(first == "a" ? "b" : "a") + " to " + attempt);
    }
}

TEST_CASE("an answer that another request left behind reaches nobody", "[edge]")
{
    const auto behave = GENERATE(as<std::string>{}, "extra", "foreign");
    Fixture fixture;
    for (int i = 0; i < 6; ++i) {
        const std::string attempt = "attempt-" + std::to_string(i);
        const http::Response answer = fixture.ask("once", "a=" + behave + ",b=" + behave, "body", attempt);
        CHECK(answer.status == 200);
        CHECK(answer.body.ends_with(" to " + attempt));
    }
    CHECK(fixture.runs() == 6);
}

TEST_CASE("an upstream that answers before it has read a long body does not get other bytes as its rest", "[edge]")
{
    Fixture fixture;
    const std::string body(90'000, 'x');
    CHECK(fixture.ask("once", "a=early,b=early", body, "first").status == 500);
    const http::Response answer = fixture.ask("once", "ok", "short", "second");
    CHECK(answer.status == 200);
    REQUIRE(fixture.runs() == 1);
    CHECK((fixture.a.bodies.empty() ? fixture.b.bodies : fixture.a.bodies).front() == "short");
}

TEST_CASE("streams: whole, resumed, or visibly incomplete", "[edge]")
{
    const auto all = [](int to) {
        std::string out;
        for (int id = 1; id <= to; ++id) {
            out += "id: " + std::to_string(id) + "\ndata: " + std::to_string(id) + "\n\n";
        }
        return out;
    };
    SECTION("whole")
    {
        Fixture fixture;
        CHECK(fixture.ask("stream", "a=stream,b=stream").body == all(6));
    }
    SECTION("resumed at the other upstream")
    {
        Fixture fixture;
        const http::Response answer = fixture.ask("resume", "a=stream-break,b=stream");
        CHECK(answer.status == 200);
        CHECK(answer.body == all(6));
        const http::Response other = fixture.ask("resume", "a=stream,b=stream-break", "body", "attempt-2");
        CHECK(other.body == all(6));
    }
    SECTION("incomplete")
    {
        Fixture fixture;
        CHECK(fixture.ask("stream", "a=stream-break,b=stream-break").status == 0);
        CHECK(fixture.runs() == 1);
    }
}

TEST_CASE("a caller that leaves stops the upstream's work", "[edge]")
{
    const auto routeName = GENERATE(as<std::string>{}, "once", "again", "stream");
    Fixture fixture;
    auto leave = [&]() -> asio::awaitable<bool> {
        Tcp::socket socket(fixture.loop);
        const Tcp::endpoint target(asio::ip::make_address("127.0.0.1"), fixture.settings.callersEndpoint.port);
        co_await socket.async_connect(target, asio::use_awaitable);
        const std::string request =
            "POST /" + routeName + "/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: l\r\nX-Behave: a=hang,b=hang\r\nContent-Length: 0\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
        asio::steady_timer timer(fixture.loop);
        while (fixture.runs() == 0) {
            timer.expires_after(1ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_return true;
    };
    fixture.run(leave()); // the socket is closed here
    fixture.until([&] { return fixture.a.brokenOff + fixture.b.brokenOff == 1; });
    CHECK(fixture.runs() == 1);
}

TEST_CASE("requests that cannot be served are refused at once and truthfully", "[edge]")
{
    struct Row
    {
        std::string route;
        unsigned status;
    };
    const auto row = GENERATE(values<Row>({{"unknown", 404}, {"none", 503}, {"away", 503}}));
    CAPTURE(row.route);
    Fixture fixture;
    const http::Response answer = fixture.ask(row.route, "ok");
    CHECK(answer.status == row.status);
    CHECK(fixture.runs() == 0);
    CHECK(http::headerValue(answer.headers, "Retry-After").empty() == (row.status != 503));
}

TEST_CASE("an instance without configuration refuses with 503 and is not ready", "[edge]")
{
    Fixture fixture(false);
    CHECK(fixture.get(fixture.settings.readinessEndpoint, "/-/readiness").status == 503);
    CHECK(fixture.get(fixture.settings.directoryEndpoint, "/-/resolve?name=h&region=x&zone=z").status == 503);
    CHECK(fixture.ask("once", "ok").status == 503);
    fixture.configure();
    fixture.until([&] { return fixture.get(fixture.settings.readinessEndpoint, "/-/readiness").status == 200; });
    CHECK(fixture.ask("once", "ok").status == 200);
}

TEST_CASE("a store that is down changes nothing for requests", "[edge]")
{
    Fixture fixture;
    fixture.store.down = true;
    for (int i = 0; i < 3; ++i) {
        CHECK(fixture.ask("once", "ok", "body", "attempt-" + std::to_string(i)).status == 200);
    }
    CHECK(fixture.get(fixture.settings.readinessEndpoint, "/-/readiness").status == 200);
}

TEST_CASE("every send names the upstream that it is meant for", "[edge]")
{
    Fixture fixture;
    for (int i = 0; i < 4; ++i) {
        (void)fixture.ask("once", "ok", "body", "attempt-" + std::to_string(i));
    }
    for (const std::string &name : fixture.a.expected) {
        CHECK(name == "a");
    }
    for (const std::string &name : fixture.b.expected) {
        CHECK(name == "b");
    }
}

TEST_CASE("requests whose end could be read in two ways are refused before they are handled", "[edge]")
{
    const auto headers = GENERATE(as<std::string>{},
                                  "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                                  "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
                                  "Content-Length: 5\r\nContent-Length: 6\r\n",
                                  "Content-Length: 5, 6\r\n",
                                  "Content-Length: +5\r\n",
                                  "Transfer-Encoding: identity\r\n",
                                  "Transfer-Encoding: chunked, identity\r\n",
                                  "Transfer-Encoding: xchunked\r\n",
                                  "Content-Length : 5\r\n",
                                  "Host: other.example\r\nContent-Length: 0\r\n");
    CAPTURE(headers);
    Fixture fixture;
    auto talk = [&]() -> asio::awaitable<std::string> {
        Tcp::socket socket(fixture.loop);
        const Tcp::endpoint target(asio::ip::make_address("127.0.0.1"), fixture.settings.callersEndpoint.port);
        co_await socket.async_connect(target, asio::use_awaitable);
        const std::string bytes = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: outer\r\n" + headers
            + "\r\n0\r\n\r\nPOST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: inner\r\nContent-Length: 0\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
        std::string out;
        std::array<char, 2048> space{};
        ErrorCode code;
        while (!code) {
            const std::size_t got = co_await socket.async_read_some(asio::buffer(space), asio::redirect_error(asio::use_awaitable, code));
            out.append(space.data(), got);
        }
        co_return out;
    };
    const std::string answer = fixture.run(talk());
    CHECK(answer.starts_with("HTTP/1.1 400"));
    CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(fixture.runs() == 0);
}

TEST_CASE("the directory and the metrics of a ready instance", "[edge]")
{
    Fixture fixture;
    const http::Response entries = fixture.get(fixture.settings.directoryEndpoint, "/-/resolve?name=h.example&region=x&zone=z");
    CHECK(entries.status == 200);
    CHECK(entries.body.find(http::toString(fixture.settings.callersEndpoint)) != std::string::npos);
    (void)fixture.ask("once", "ok");
    const std::string metrics = fixture.get(fixture.settings.metricsEndpoint, "/metrics").body;
    CHECK(metrics.find("arbutus_requests_total{status=\"200\"} 1") != std::string::npos);
    CHECK(metrics.find("arbutus_request_seconds_bucket") != std::string::npos);
}
