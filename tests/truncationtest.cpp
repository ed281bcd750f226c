// Responses that are cut off at any byte: their detection, and what the gateway and its clients make of them.
//
// The simulated platform breaks its responses off. The tests require that no call whose response was lost is reported as not executed.

#include "arbutus/http/truncation.h"
#include "arbutus/metadata/kvclient.h"
#include "arbutus/standin/platform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace arbutus;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::int64_t CutStep = 3; // distance of the bytes at which responses are broken off

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
        for (std::int64_t cut = 0; cut < LongerThanResponses; cut += CutStep) {
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
