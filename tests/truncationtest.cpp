// Responses that are cut off at any byte: their detection, and what the gateway and its clients make of them.
//
// The simulated upstream and platform break their responses off. The tests require that no truncated response is delivered as
// complete, and that no call whose response was lost is reported as not executed.

#include "arbutus/http/truncation.h"
#include "arbutus/gateway/attempt.h"
#include "arbutus/metadata/kvclient.h"
#include "arbutus/standin/platform.h"
#include "arbutus/standin/upstream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace arbutus;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// A simulated upstream, and a server that sends each request to it in one attempt, as a gateway does.
struct AttemptFixture
{
    asio::io_context loop{1};
    core::SystemClock clock;
    peer::Client peerClient{"a cluster key of some length"};
    http::ConnectionPool pool;
    standin::Upstream upstream;
    gateway::AttemptContext context{loop.get_executor(), clock, peerClient, pool, {}, core::RegionId("r"), [](node::FirstTokenReceived) {}};
    http::Server server{loop.get_executor(), http::Endpoint{"127.0.0.1", 0}, {}, [this](http::Exchange &exchange) { return handle(exchange); }, nullptr};
    node::AttemptEnded lastAttempt;

    explicit AttemptFixture(bool isModelEngine)
        : upstream(loop.get_executor(), clock, upstreamOptions(isModelEngine))
    {
    }

    static standin::UpstreamOptions upstreamOptions(bool isModelEngine)
    {
        standin::UpstreamOptions options;
        options.id = "u";
        options.listen = http::Endpoint{"127.0.0.1", 0};
        options.isModelEngine = isModelEngine;
        options.models = {"m"};
        options.engine.stepBase = core::Duration(100);
        return options;
    }

    asio::awaitable<void> handle(http::Exchange &exchange)
    {
        (void)co_await exchange.readBody();
        gateway::AttemptRequest request;
        request.httpRequest = exchange.request();
        request.clientVisibleId = "a1";
        request.streaming = request.httpRequest.body.find("\"stream\":true") != std::string::npos;
        request.isServiceCall = request.httpRequest.path().starts_with("/service");
        node::Dispatch dispatch;
        dispatch.attempt = core::AttemptId("a1");
        dispatch.remainingTime = 5s;
        dispatch.target = node::LocalTarget{core::UpstreamId("u"), "127.0.0.1:" + std::to_string(upstream.port())};
        lastAttempt = co_await gateway::runAttempt(context, request, dispatch, exchange);
        if (lastAttempt.result != node::AttemptResult::Completed) {
            exchange.abort();
        }
    }

    /// Returns status 0 if no complete response was received.
    http::Response call(std::uint16_t port, const std::string &path, const std::string &body)
    {
        http::Request request;
        request.method = "POST";
        request.target = path;
        request.headers["X-Attempt-Id"] = "a1";
        request.body = body;
        const http::Endpoint endpoint{"127.0.0.1", port};
        std::optional<http::Response> result;
        auto operation = [&]() -> asio::awaitable<void> {
            auto response = co_await http::fetch(loop.get_executor(), endpoint, request, 5s);
            http::Response out;
            out.status = 0;
            result = response ? response.value() : out;
        };
        asio::co_spawn(loop, operation, asio::detached);
        loop.restart();
        while (!result) {
            loop.run_one();
        }
        return *result;
    }

    void setFaults(const std::string &faults)
    {
        REQUIRE(call(upstream.port(), "/faults", faults).status == 200);
    }
};

std::string breakFaults(bool unframed, std::int64_t breakAfter, bool reset)
{
    boost::json::object faults{{"unframed", unframed}, {"break_after", breakAfter}, {"break_reset", reset}, {"service_ms", 0}};
    return boost::json::serialize(faults);
}

} // namespace

TEST_CASE("truncated bodies are detected by their content", "[truncation]")
{
    struct Row
    {
        std::string contentType;
        std::string body;
        http::BodyEnd bodyEnd;
        bool truncated;
    };
    using enum http::BodyEnd;
    const auto row = GENERATE(values<Row>({
        {"application/json", "{\"a\":1}", ConnectionClose, false},
        {"application/json; charset=utf-8", "{\"a\":1", ConnectionClose, true},
        {"Application/JSON", "", ConnectionClose, true},
        {"application/json", "{\"a\":1", Length, false}, // the upstream's own choice of bytes
        {"application/json", "opaque bytes", ConnectionClose, false},
        {"text/plain", "{\"a\":1", ConnectionClose, false},
        {"", "{", ConnectionClose, false},
        {"text/event-stream", "id: 1\n\n", ConnectionClose, false},
        {"text/event-stream; charset=utf-8", "id: 1\n\nid", ConnectionClose, true},
        {"text/event-stream", "id: 1\n\nid", Length, true},
        {"text/event-stream", "", ConnectionClose, true},
        {"text/event-stream", "", Chunks, false},
        {"text/event-stream", "id: 1\r\r", Chunks, false},
    }));
    CAPTURE(row.contentType, row.body, row.bodyEnd);
    http::Response response;
    if (!row.contentType.empty()) {
        response.headers["Content-Type"] = row.contentType;
    }
    response.body = row.body;
    CHECK(http::isTruncated(response, row.bodyEnd) == row.truncated);
}

TEST_CASE("an upstream response cut off at any byte does not complete an attempt", "[truncation]")
{
    struct Row
    {
        const char *name;
        bool isModelEngine;
        std::string path;
        std::string body;
    };
    const auto row = GENERATE(values<Row>({
        {"service call", false, "/service/charge", "{}"},
        {"buffered completion", true, "/v1/chat/completions", R"({"model":"m","max_tokens":2,"messages":[]})"},
        {"streamed completion", true, "/v1/chat/completions", R"({"model":"m","max_tokens":2,"messages":[],"stream":true})"},
    }));
    const bool unframed = GENERATE(true, false);
    const bool reset = GENERATE(false, true);
    CAPTURE(row.name, unframed, reset);
    AttemptFixture fixture(row.isModelEngine);
    fixture.setFaults(breakFaults(unframed, -1, false));
    const http::Response whole = fixture.call(fixture.server.port(), row.path, row.body);
    REQUIRE(whole.status == 200);
    bool completed = false;
    std::int64_t cut = 0;
    for (; !completed; ++cut) {
        CAPTURE(cut);
        fixture.setFaults(breakFaults(unframed, cut, reset));
        const http::Response response = fixture.call(fixture.server.port(), row.path, row.body);
        completed = fixture.lastAttempt.result == node::AttemptResult::Completed;
        CHECK(fixture.lastAttempt.result != node::AttemptResult::NotRun);
        REQUIRE(response.status == (completed ? 200 : 0));
        REQUIRE((!completed || response.body == whole.body));
    }
    CHECK(cut > static_cast<std::int64_t>(whole.body.size()));
}

TEST_CASE("a store response cut off at any byte does not make an executed write look not executed", "[truncation]")
{
    const bool unframed = GENERATE(true, false);
    const bool reset = GENERATE(false, true);
    CAPTURE(unframed, reset);
    asio::io_context loop{1};
    const core::SystemClock clock;
    standin::PlatformOptions options;
    options.listen = http::Endpoint{"127.0.0.1", 0};
    standin::Platform platform(loop.get_executor(), clock, options);
    const http::Endpoint endpoint{"127.0.0.1", platform.port()};
    metadata::KvClient client(loop.get_executor(), {endpoint}, "d");
    constexpr std::int64_t LongerThanResponses = 300;
    auto writeWithEachCut = [&]() -> asio::awaitable<void> {
        for (std::int64_t cut = 0; cut < LongerThanResponses; ++cut) {
            CAPTURE(cut);
            http::Request faults;
            faults.method = "POST";
            faults.target = "/faults";
            faults.body = breakFaults(unframed, cut, reset);
            CHECK((co_await http::fetch(loop.get_executor(), endpoint, faults, 5s)).has_value());
            const std::string key = "k" + std::to_string(cut);
            const auto created = co_await client.create(key, "v");
            CHECK((created ? created.value().created : created.error().outcome == core::Outcome::Unknown));
            const auto put = co_await client.put(key, "w");
            CHECK((put || put.error().outcome == core::Outcome::Unknown));
        }
    };
    std::optional<bool> done;
    auto run = [&]() -> asio::awaitable<void> {
        co_await writeWithEachCut();
        done = true;
    };
    asio::co_spawn(loop, run, asio::detached);
    while (!done) {
        loop.run_one();
    }
}
