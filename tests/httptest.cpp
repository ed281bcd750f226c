// HTTP server and client over loopback sockets: malformed and incomplete requests, and the stage that the client reports for
// failed calls.

#include "arbutus/http/client.h"
#include "arbutus/http/server.h"
#include "arbutus/http/via.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <optional>
#include <thread>

using namespace arbutus;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// Server whose handler echoes the request body, or streams three chunks on /stream. On /watch it also watches for a
/// disconnect of the client.
struct EchoServer
{
    asio::io_context context{1};
    int handled = 0;
    http::Server server;

    explicit EchoServer(http::ServerLimits limits = {})
        : server(
            context.get_executor(), http::Endpoint{"127.0.0.1", 0}, limits, [this](http::Exchange &exchange) { return handle(exchange); }, nullptr)
    {
    }

    asio::awaitable<void> handle(http::Exchange &exchange)
    {
        ++handled;
        if (exchange.request().path() == "/refuse") { // rejected before the body is read
            http::Response rejection = http::jsonResponse(403, "{}");
            co_await exchange.respond(rejection);
            co_return;
        }
        if (exchange.request().path() == "/silent") {
            co_return;
        }
        if (exchange.request().path() == "/throw") {
            throw std::runtime_error("handler error");
        }
        const auto read = co_await exchange.readBody();
        if (!read) {
            http::Response rejection = http::jsonResponse(core::httpStatus(read.error().kind), core::toJson(read.error()));
            co_await exchange.respond(rejection);
            co_return;
        }
        if (exchange.request().path() == "/stream") {
            http::Response head;
            co_await exchange.beginResponse(head);
            for (const char *chunk : {"one ", "two ", "three"}) {
                co_await exchange.writeChunk(chunk);
            }
            if (exchange.request().queryParameter("cut") == "1") {
                exchange.abort();
                co_return;
            }
            if (exchange.request().queryParameter("end") == "0") {
                co_return;
            }
            co_await exchange.endResponse();
            co_return;
        }
        if (exchange.request().path() == "/watch") {
            exchange.onClientDisconnect([] {});
        }
        http::Response response;
        response.body = exchange.request().method + " " + exchange.request().body;
        co_await exchange.respond(response);
    }

    /// Sends raw bytes and returns everything received until the server closes the connection. With `closeAfter`, the sending
    /// side is shut down after the bytes.
    std::string sendRaw(const std::string &bytes, bool closeAfter)
    {
        std::string response;
        auto exchangeBytes = [&]() -> asio::awaitable<void> {
            asio::ip::tcp::socket socket(context);
            const asio::ip::tcp::endpoint target(asio::ip::make_address("127.0.0.1"), server.port());
            co_await socket.async_connect(target, asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
            if (closeAfter) {
                socket.shutdown(asio::ip::tcp::socket::shutdown_send);
            }
            boost::system::error_code code;
            std::array<char, 4096> readBuffer{};
            while (true) {
                const std::size_t received = co_await socket.async_read_some(asio::buffer(readBuffer), asio::redirect_error(asio::use_awaitable, code));
                if (code) {
                    break;
                }
                response.append(readBuffer.data(), received);
            }
        };
        auto exchangeAndReturn = [&]() -> asio::awaitable<bool> {
            co_await exchangeBytes();
            co_return true;
        };
        run(exchangeAndReturn());
        return response;
    }

    template<class T>
    T run(asio::awaitable<T> task)
    {
        std::optional<T> result;
        auto storeResult = [&]() -> asio::awaitable<void> { result.emplace(co_await std::move(task)); };
        asio::co_spawn(context, storeResult, asio::detached);
        context.restart();
        while (!result) {
            context.run_one();
        }
        return std::move(*result);
    }
};

http::ServerLimits smallLimits()
{
    http::ServerLimits limits;
    limits.maxBodyBytes = 1000;
    limits.maxHeaderBytes = 2000;
    limits.headerTimeout = 200ms;
    limits.bodyTimeout = 200ms;
    return limits;
}

} // namespace

TEST_CASE("malformed, oversized and incomplete requests get an error status", "[http]")
{
    struct Row
    {
        const char *description;
        std::string bytes;
        bool closeAfter;
        std::string status;
    };
    const Row row =
        GENERATE(Row{"Content-Length and Transfer-Encoding",
                     "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                     false,
                     "400"},
                 Row{"two Content-Length headers", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", false, "400"},
                 Row{"not HTTP", "hello\r\n\r\n", false, "400"},
                 Row{"header too large", "GET / HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n", false, "400"},
                 Row{"body too large", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x'), false, "413"},
                 Row{"truncated body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc", true, "400"},
                 Row{"body times out", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc", false, "400"},
                 Row{"rejected before the body is read", "POST /refuse HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n", false, "403"});
    INFO(row.description);
    EchoServer server(smallLimits());
    const std::string response = server.sendRaw(row.bytes, row.closeAfter);
    INFO(response);
    REQUIRE(response.starts_with("HTTP/1.1 " + row.status));
}

TEST_CASE("a request without a complete response is reported with its reason", "[http]")
{
    struct Row
    {
        std::string target;
        std::string reason; // empty: not reported
        bool responseStarted;
    };
    const auto row = GENERATE(values<Row>({
        {"/", "", true},
        {"/stream", "", true},
        {"/refuse", "", true},
        {"/silent", "no_response", false},
        {"/throw", "handler_failed", false},
        {"/stream?cut=1", "aborted", true},
        {"/stream?end=0", "incomplete", true},
    }));
    CAPTURE(row.target);
    EchoServer server(smallLimits());
    std::vector<std::string> reasons;
    server.server.setUnansweredCallback([&](const http::UnansweredRequest &unanswered) {
        CHECK(unanswered.request.target == row.target);
        CHECK(unanswered.responseStarted == row.responseStarted);
        CHECK(unanswered.detail == (row.reason == "handler_failed" ? "handler error" : ""));
        reasons.emplace_back(http::toString(unanswered.reason));
    });
    server.sendRaw("GET " + row.target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", false);
    CHECK(reasons == (row.reason.empty() ? std::vector<std::string>{} : std::vector{row.reason}));
}

TEST_CASE("pipelined requests are answered in order", "[http]")
{
    EchoServer server(smallLimits());
    const std::string first = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none";
    const std::string second = "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 3\r\n\r\ntwo";
    const std::string response = server.sendRaw(first + second, false);
    REQUIRE(response.find("POST one") < response.find("POST two"));
    REQUIRE(server.handled == 2);
}

TEST_CASE("the client reads responses with Content-Length and chunked responses", "[http]")
{
    EchoServer server;
    http::Request request;
    request.method = "POST";
    request.body = "hello";
    const http::Endpoint endpoint{"127.0.0.1", server.server.port()};
    const auto response = server.run(http::fetch(server.context.get_executor(), endpoint, request, 2s));
    REQUIRE(response.value().body == "POST hello");
    request.target = "/stream";
    REQUIRE(server.run(http::fetch(server.context.get_executor(), endpoint, request, 2s)).value().body == "one two three");
}

TEST_CASE("a failed call reports the stage it reached", "[http]")
{
    EchoServer server;
    http::Request request;
    SECTION("connection refused: nothing can have been sent")
    {
        const auto response = server.run(http::fetch(server.context.get_executor(), http::Endpoint{"127.0.0.1", 1}, request, 2s));
        REQUIRE(response.error().stage == http::CallStage::Connect);
    }
    SECTION("truncated chunked response")
    {
        request.target = "/stream?cut=1";
        const http::Endpoint endpoint{"127.0.0.1", server.server.port()};
        const auto response = server.run(http::fetch(server.context.get_executor(), endpoint, request, 2s));
        REQUIRE(response.error().stage == http::CallStage::ReadBody);
    }
}

TEST_CASE("an HTTP/1.0 client gets a stream without chunks, and a reset if it is cut off", "[http]")
{
    const bool cut = GENERATE(false, true);
    EchoServer server;
    auto readToEnd = [&]() -> asio::awaitable<std::pair<std::string, boost::system::error_code>> {
        asio::ip::tcp::socket socket(server.context);
        const asio::ip::tcp::endpoint target(asio::ip::make_address("127.0.0.1"), server.server.port());
        co_await socket.async_connect(target, asio::use_awaitable);
        const std::string request = std::string("GET /stream?cut=") + (cut ? "1" : "0") + " HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
        std::string response;
        boost::system::error_code code;
        std::array<char, 4096> readBuffer{};
        while (!code) {
            const std::size_t received = co_await socket.async_read_some(asio::buffer(readBuffer), asio::redirect_error(asio::use_awaitable, code));
            response.append(readBuffer.data(), received);
        }
        co_return std::pair(response, code);
    };
    const auto [response, end] = server.run(readToEnd());
    CHECK(response.find("Transfer-Encoding") == std::string::npos);
    if (cut) {
        CHECK(end == asio::error::connection_reset);
    } else {
        CHECK(response.ends_with("\r\n\r\none two three"));
        CHECK(end == asio::error::eof);
    }
}

TEST_CASE("a response whose end cannot be verified is refused unless the caller accepts it", "[http]")
{
    struct Row
    {
        std::string headers;
        bool accept;
        bool accepted;
    };
    const auto row = GENERATE(values<Row>({
        {"", false, false},
        {"", true, true},
        {"Content-Length: 4\r\n", false, true},
        {"Transfer-Encoding: gzip\r\n", true, false},
    }));
    CAPTURE(row.headers, row.accept);
    EchoServer server;
    asio::ip::tcp::acceptor acceptor(server.context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    auto serveOnce = [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
        std::array<char, 4096> readBuffer{};
        co_await socket.async_read_some(asio::buffer(readBuffer), asio::use_awaitable);
        const std::string response = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + row.headers + "\r\nbody";
        co_await asio::async_write(socket, asio::buffer(response), asio::use_awaitable);
    };
    asio::co_spawn(server.context, serveOnce, asio::detached);
    http::CallOptions options;
    options.acceptConnectionClose = row.accept;
    const http::Endpoint endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
    const auto response = server.run(http::fetch(server.context.get_executor(), endpoint, {}, 2s, options));
    REQUIRE(response.has_value() == row.accepted);
    if (row.accepted) {
        CHECK(response.value().body == "body");
    } else {
        CHECK(response.error().stage == http::CallStage::ReadBody);
    }
}

TEST_CASE("consecutive calls through a connection pool succeed", "[http]")
{
    http::ServerLimits limits = smallLimits();
    EchoServer server(limits);
    http::ConnectionPool pool;
    const http::Endpoint endpoint{"127.0.0.1", server.server.port()};
    http::Request request;
    for (int i = 0; i < 3; ++i) {
        http::Call call(server.context.get_executor(), endpoint, &pool);
        REQUIRE(server.run(call.start(request, 2s)).value().status == 200);
        REQUIRE(server.run(call.readAll(2s)).value() == "GET ");
    }
}

TEST_CASE("Via headers are formatted and parsed", "[http]")
{
    REQUIRE(http::formatVia({"a", "b"}) == "1.1 arbutus-a, 1.1 arbutus-b");
    REQUIRE(http::parseViaInstances("1.0 squid, 1.1 arbutus-a ,1.1 arbutus-b").size() == 2);
    REQUIRE(http::parseViaInstances(http::formatVia({"a", "b"})) == std::vector<std::string>{"a", "b"});
    REQUIRE(http::parseViaInstances("").empty());
}

TEST_CASE("endpoints and query parameters are parsed", "[http]")
{
    REQUIRE(http::parseEndpoint("http://127.0.0.1:80/x") == http::Endpoint{"127.0.0.1", 80});
    REQUIRE(http::parseEndpoint("[::1]:81") == http::Endpoint{"::1", 81});
    REQUIRE(http::parseEndpoint("localhost").port == 0);
    REQUIRE(http::parseEndpoint("127.0.0.1:99999").port == 0);
    REQUIRE(http::toString(http::Endpoint{"::1", 81}) == "[::1]:81");
    http::Request request;
    request.target = "/v1/entries?workspace=a%20b&count=3";
    REQUIRE(request.path() == "/v1/entries");
    REQUIRE(request.queryParameter("workspace") == "a b");
    REQUIRE(request.queryParameter("none").empty());
}

TEST_CASE("a draining server closes idle connections and completes the request in progress", "[http]")
{
    EchoServer server;
    auto drainDuringRequest = [&]() -> asio::awaitable<std::string> {
        asio::ip::tcp::socket idle(server.context);
        asio::ip::tcp::socket busy(server.context);
        const asio::ip::tcp::endpoint target(asio::ip::make_address("127.0.0.1"), server.server.port());
        co_await idle.async_connect(target, asio::use_awaitable);
        co_await busy.async_connect(target, asio::use_awaitable);
        const std::string headers = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n";
        co_await asio::async_write(busy, asio::buffer(headers), asio::use_awaitable);
        while (server.handled == 0) { // until the headers have been read; the body has not been sent yet
            co_await asio::post(server.context, asio::use_awaitable);
        }
        server.server.closeAfterResponses();
        server.server.closeIdleConnections();
        std::array<char, 2048> readBuffer{};
        boost::system::error_code code;
        const std::size_t received = co_await idle.async_read_some(asio::buffer(readBuffer), asio::redirect_error(asio::use_awaitable, code));
        REQUIRE(received == 0);
        REQUIRE(code == asio::error::eof);
        const std::string body = "rest";
        co_await asio::async_write(busy, asio::buffer(body), asio::use_awaitable);
        std::string response;
        code = {};
        while (!code) {
            const std::size_t more = co_await busy.async_read_some(asio::buffer(readBuffer), asio::redirect_error(asio::use_awaitable, code));
            response.append(readBuffer.data(), more);
        }
        co_return response;
    };
    const std::string response = server.run(drainDuringRequest());
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(response.find("Connection: close") != std::string::npos);
    CHECK(response.ends_with("POST rest"));
}

TEST_CASE("a request that arrives during a planned stop is answered or not read", "[http]")
{
    enum class SentAt { BeforeStop, BeforeIdleConnectionsClose, PartlyBeforeIdleConnectionsClose, AfterIdleConnectionsClose };
    struct Row
    {
        const char *name;
        SentAt sentAt;
    };
    const auto row = GENERATE(values<Row>({
        {"before the stop", SentAt::BeforeStop},
        {"before idle connections are closed", SentAt::BeforeIdleConnectionsClose},
        {"headers partly before idle connections are closed", SentAt::PartlyBeforeIdleConnectionsClose},
        {"after idle connections are closed", SentAt::AfterIdleConnectionsClose},
    }));
    CAPTURE(row.name);
    EchoServer server;
    const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
    asio::ip::tcp::socket client(server.context);
    const auto sendIf = [&](bool send, std::size_t from, std::size_t to) {
        if (send) {
            asio::write(client, asio::buffer(request.substr(from, to - from))); // on loopback, it has arrived when this returns
        }
    };
    auto stopStepByStep = [&]() -> asio::awaitable<bool> {
        const asio::ip::tcp::endpoint target(asio::ip::make_address("127.0.0.1"), server.server.port());
        co_await client.async_connect(target, asio::use_awaitable);
        while (server.server.openConnectionCount() == 0) {
            co_await asio::post(server.context, asio::use_awaitable);
        }
        const std::size_t half = request.size() / 2;
        sendIf(row.sentAt == SentAt::BeforeStop, 0, request.size());
        server.server.closeAfterResponses();
        sendIf(row.sentAt == SentAt::BeforeIdleConnectionsClose, 0, request.size());
        sendIf(row.sentAt == SentAt::PartlyBeforeIdleConnectionsClose, 0, half);
        server.server.stopAccepting();
        server.server.closeIdleConnections();
        constexpr int EnoughTurns = 20; // of the event loop, to close an idle connection
        for (int i = 0; i < EnoughTurns; ++i) {
            co_await asio::post(server.context, asio::use_awaitable);
        }
        sendIf(row.sentAt == SentAt::AfterIdleConnectionsClose, 0, request.size());
        const bool stopsEarly = row.sentAt == SentAt::PartlyBeforeIdleConnectionsClose && !server.server.hasOpenRequests();
        sendIf(row.sentAt == SentAt::PartlyBeforeIdleConnectionsClose && !stopsEarly, half, request.size());
        while (server.server.hasOpenRequests()) { // as the process waits before it exits
            co_await asio::post(server.context, asio::use_awaitable);
        }
        co_return true;
    };
    server.run(stopStepByStep());
    boost::system::error_code code;
    if (row.sentAt == SentAt::AfterIdleConnectionsClose) {
        int socketError = 0;
        socklen_t length = sizeof socketError;
        REQUIRE(::getsockopt(client.native_handle(), SOL_SOCKET, SO_ERROR, &socketError, &length) == 0);
        CHECK(socketError != 0); // a reset: the client knows that the request was not read
        CHECK(server.handled == 0);
        return;
    }
    std::array<char, 2048> readBuffer{};
    client.non_blocking(true);
    const std::size_t received = client.read_some(asio::buffer(readBuffer), code);
    CHECK(std::string_view(readBuffer.data(), received).ends_with("POST body"));
}

TEST_CASE("a request that arrives as the idle or header timeout expires is answered or not read", "[http]")
{
    struct Row
    {
        const char *name;
        std::string path;         // of the first request on the connection
        std::size_t sentInTime;   // bytes of the second request that the server has read before the timeout expires
        bool arrivesBeforeExpiry; // the rest has arrived before the timeout expires, but the event loop has not run since
    };
    const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
    const auto row = GENERATE(values<Row>({
        {"idle, before", "/", 0, true},
        {"idle, after", "/", 0, false},
        {"idle, before, the first request watched for a disconnect", "/watch", 0, true},
        {"idle, after, the first request watched for a disconnect", "/watch", 0, false},
        {"header, before", "/", 20, true},
        {"header, before, the first request watched for a disconnect", "/watch", 20, true},
    }));
    CAPTURE(row.name);
    http::ServerLimits limits;
    limits.idleTimeout = 100ms;
    limits.headerTimeout = 100ms;
    constexpr auto Blocked = 200ms; // of the event loop
    EchoServer server(limits);
    asio::ip::tcp::socket client(server.context);
    std::array<char, 2048> readBuffer{};
    const auto readResponse = [&](boost::system::error_code &code) -> asio::awaitable<std::string> {
        const std::size_t received = co_await client.async_read_some(asio::buffer(readBuffer), asio::redirect_error(asio::use_awaitable, code));
        co_return std::string(readBuffer.data(), received);
    };
    auto sendBoth = [&]() -> asio::awaitable<std::pair<std::string, boost::system::error_code>> {
        const asio::ip::tcp::endpoint target(asio::ip::make_address("127.0.0.1"), server.server.port());
        co_await client.async_connect(target, asio::use_awaitable);
        asio::write(client, asio::buffer("POST " + row.path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nfirst"));
        boost::system::error_code code;
        const std::string first = co_await readResponse(code);
        REQUIRE(first.ends_with("POST first"));
        asio::write(client, asio::buffer(request.substr(0, row.sentInTime)));
        constexpr int EnoughTurns = 20; // of the event loop, to wait for the second request
        for (int i = 0; i < EnoughTurns; ++i) {
            co_await asio::post(server.context, asio::use_awaitable);
        }
        if (row.arrivesBeforeExpiry) {
            asio::write(client, asio::buffer(request.substr(row.sentInTime)));
        }
        std::this_thread::sleep_for(Blocked);
        if (!row.arrivesBeforeExpiry) {
            asio::write(client, asio::buffer(request.substr(row.sentInTime)));
        }
        const std::string second = co_await readResponse(code);
        co_return std::pair(second, code);
    };
    const auto [response, code] = server.run(sendBoth());
    CAPTURE(response, code.message());
    const bool notRead = code == asio::error::connection_reset;
    const bool answered = response.starts_with("HTTP/1.1 ");
    CHECK((answered || (notRead && row.sentInTime == 0)));
}
