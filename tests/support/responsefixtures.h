// Servers and gateways for tests of broken responses, each with the whole way from a client to a RawServer.
//
//   CallFixture       http::Call
//   HopRig            route gateways, with the upstream behind one hop or two
//   AttemptFixture    an attempt of the product's own interface

#pragma once

#include "arbutus/gateway/attempt.h"
#include "arbutus/http/client.h"
#include "arbutus/http/server.h"
#include "support/rawserver.h"
#include "support/routegatewayrig.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace arbutus::tests {

constexpr std::size_t NoUpload = 0;
constexpr std::size_t SmallUpload = 1024 * 1024;      // what the kernel takes at once
constexpr std::size_t LargeUpload = 16 * 1024 * 1024; // more than it takes
constexpr std::chrono::seconds CallTimeout(5);

inline const std::string Statements = "X-Attempt-Id: $ATTEMPT\r\nX-Response-Stamp: stamp\r\n"; // that gateways require of an upstream's response
inline const std::string SoundBody = "sound";
inline const std::string InterimResponse = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";

inline std::string events(int from, int to)
{
    std::string out;
    for (int id = from; id <= to; ++id) {
        out += "id: " + std::to_string(id) + "\ndata: d\n\n";
    }
    return out;
}

constexpr int EventCount = 4;

inline std::string withLength(const std::string &body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline http::Request makeRequest(const std::string &target, std::size_t uploadBytes, const std::string &attempt = "a1")
{
    http::Request request;
    request.method = "POST";
    request.target = target;
    request.headers = {{"Host", "h"}, {"X-Attempt-Id", attempt}, {"X-Deadline-Ms", "8000"}};
    request.body = std::string(uploadBytes, 'u');
    return request;
}

//-----------------------------------------------------------------------------
// Fixtures
//-----------------------------------------------------------------------------

/// Calls to a server that answers with the responses in turn, the last one again and again.
struct CallFixture
{
    boost::asio::io_context loop{1};
    std::vector<RawResponse> responses;
    http::ConnectionPool pool;
    RawServer server{loop, [this](const std::string &) { return responses[std::min(server.requestCount(), responses.size()) - 1]; }};

    http::CallResult<http::Response> fetch(std::size_t uploadBytes, std::chrono::milliseconds timeout = CallTimeout)
    {
        http::CallOptions options;
        options.pool = &pool;
        options.acceptConnectionClose = true;
        std::optional<http::CallResult<http::Response>> result;
        auto operation = [&]() -> boost::asio::awaitable<void> {
            const http::Endpoint endpoint{"127.0.0.1", server.port()};
            const http::Request request = makeRequest("/", uploadBytes);
            result.emplace(co_await http::fetch(loop.get_executor(), endpoint, request, timeout, options));
        };
        boost::asio::co_spawn(loop, operation, boost::asio::detached);
        while (!result) {
            loop.run_one();
        }
        return std::move(*result);
    }
};

/// Gateways before two upstreams that give the same response to the first request of an attempt, and a sound one to further ones.
class HopRig : public RouteGatewayRig
{
public:
    std::map<std::string, std::size_t> requests; // that reached an upstream, by attempt

    HopRig(std::size_t hops, RawResponse firstResponse)
        : m_firstResponse(std::move(firstResponse))
    {
        const std::string domain = hops == 1 ? "z-x" : "z-y";
        for (const auto &[name, upstream] : {std::pair("a", &m_a), std::pair("b", &m_b)}) {
            contents.keys["servers/" + std::string(name)] = announcement(http::Endpoint{"127.0.0.1", upstream->port()}, "s", domain);
        }
        // A gateway lets another one use two of three attempts, and keeps the third.
        contents.keys["op/config"] = R"({"version":1,"routes":[)" + route("once", "unsafe", R"("max_attempts":1)") + ","
            + route("again", "safe", R"("max_attempts":3)") + "," + route("stream", "streaming", R"("max_attempts":1,"resumable":false)") + ","
            + route("resume", "streaming", R"("max_attempts":3,"resumable":true)") + R"(],"services":[{"name":"s"}],"limits":{"max_body_bytes":)"
            + std::to_string(2 * LargeUpload) + "}}";
        startGateways(hops == 1 ? std::vector<std::string>{"x"} : std::vector<std::string>{"x", "y"},
                      [](edge::Settings &settings) { settings.bodyMemory = 16 * LargeUpload; });
    }

    http::Response send(const std::string &routeName, const std::string &attempt, std::size_t uploadBytes = NoUpload)
    {
        return call(gateways[0].settings.clientEndpoint, makeRequest("/" + routeName + "/x", uploadBytes, attempt));
    }
    /// Sends requests that get sound responses until there are kept connections to both upstreams.
    void keepConnections()
    {
        constexpr std::size_t RequestCount = 8; // at once, more than one upstream takes
        constexpr int MaxRounds = 20;
        for (int round = 0; m_a.requestCount() == 0 || m_b.requestCount() == 0; ++round) {
            if (round == MaxRounds) {
                throw std::runtime_error("an upstream has got no request");
            }
            std::array<std::optional<http::Response>, RequestCount> results;
            for (std::size_t i = 0; i < RequestCount; ++i) {
                const std::string attempt = "sound-" + std::to_string(round) + "-" + std::to_string(i);
                start(gateways[0].settings.clientEndpoint, makeRequest("/once/x", NoUpload, attempt), results[i]);
            }
            runUntil([&] { return std::all_of(results.begin(), results.end(), [](const auto &result) { return result.has_value(); }); });
        }
    }
    /// Responses of upstreams that did not end, as the gateway before them counts them.
    [[nodiscard]] bool hasBreaks(const std::string &stage, std::size_t count)
    {
        return hasMetric(gateways.size() - 1, "arbutus_upstream_breaks_total{stage=\"" + stage + "\"} " + std::to_string(count));
    }

private:
    static std::string route(const std::string &name, const std::string &type, const std::string &fields)
    {
        return R"({"name":")" + name + R"(","host":"h","path_prefix":"/)" + name + R"(/","route_type":")" + type
            + R"(","timeout_ms":8000,"target_latency_ms":4000,"priority":1,"service":"s",)" + fields + "}";
    }
    RawResponse respond(const std::string &requestHead)
    {
        const std::string attempt = fieldValue(requestHead, "X-Attempt-Id");
        if (++requests[attempt] == 1 && !attempt.starts_with("sound")) {
            return m_firstResponse;
        }
        const std::string target = requestHead.substr(0, requestHead.find("\r\n"));
        if (target.find("/stream/") == std::string::npos && target.find("/resume/") == std::string::npos) {
            return RawResponse{"HTTP/1.1 200 OK\r\n" + Statements + withLength(SoundBody), ConnectionEnd::Kept};
        }
        const std::string last = fieldValue(requestHead, "Last-Event-ID");
        const std::string body = events(last.empty() ? 1 : std::stoi(last) + 1, EventCount);
        return RawResponse{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + Statements + withLength(body), ConnectionEnd::Kept};
    }

    RawResponse m_firstResponse;
    RawServer m_a{loop, [this](const std::string &head) { return respond(head); }};
    RawServer m_b{loop, [this](const std::string &head) { return respond(head); }};
};

/// A server that sends each request to an upstream in one attempt, as the product's own interface does.
struct AttemptFixture
{
    boost::asio::io_context loop{1};
    core::SystemClock clock;
    peer::Client peerClient{"a cluster key of some length"};
    http::ConnectionPool pool;
    RawResponse response;
    RawServer upstream{loop, [this](const std::string &) { return response; }};
    gateway::AttemptContext context{loop.get_executor(), clock, peerClient, pool, {}, core::RegionId("r"), [](node::FirstTokenReceived) {}};
    http::Server server{loop.get_executor(), http::Endpoint{"127.0.0.1", 0}, limits(), [this](http::Exchange &exchange) { return handle(exchange); }, nullptr};
    node::AttemptEnded lastAttempt;

    static http::ServerLimits limits()
    {
        http::ServerLimits out;
        out.maxBodyBytes = 2 * LargeUpload;
        return out;
    }

    boost::asio::awaitable<void> handle(http::Exchange &exchange)
    {
        (void)co_await exchange.readBody();
        gateway::AttemptRequest request;
        request.httpRequest = exchange.request();
        request.clientVisibleId = "a1";
        request.isServiceCall = true;
        node::Dispatch dispatch;
        dispatch.attempt = core::AttemptId("a1");
        dispatch.remainingTime = CallTimeout;
        dispatch.target = node::LocalTarget{core::UpstreamId("u"), "127.0.0.1:" + std::to_string(upstream.port())};
        lastAttempt = co_await gateway::runAttempt(context, request, dispatch, exchange);
        if (lastAttempt.result != node::AttemptResult::Completed) {
            exchange.abort();
        }
    }

    /// Status of the response that a client gets; 0 if it is not complete.
    unsigned send(std::size_t uploadBytes)
    {
        std::optional<unsigned> status;
        auto operation = [&]() -> boost::asio::awaitable<void> {
            const http::Endpoint endpoint{"127.0.0.1", server.port()};
            const http::Request request = makeRequest("/", uploadBytes);
            const auto result = co_await http::fetch(loop.get_executor(), endpoint, request, CallTimeout);
            status = result ? result.value().status : 0;
        };
        boost::asio::co_spawn(loop, operation, boost::asio::detached);
        while (!status) {
            loop.run_one();
        }
        return *status;
    }
};

} // namespace arbutus::tests
