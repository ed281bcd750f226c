// Tests of workspaces at route gateways over loopback: credentials, what upstreams are told, priority and home regions.
//
// The gateways share one store, which the test writes. Upstreams record the headers of the requests that they run; a request with the header
// X-Hold-Here is answered only after Rig::release().

#include "arbutus/edge/routegateway.h"
#include "arbutus/http/client.h"
#include "arbutus/http/server.h"
#include "platform/platformadapter.h"
#include "support/freeport.h"
#include "support/routegatewayrig.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <list>

using namespace arbutus;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

const std::string PlainRoutes = R"({"name":"p","host":"h","path_prefix":"/p/","route_type":"safe","service":"s","max_attempts":2,"priority":4},)"
                                R"({"name":"open","host":"h","path_prefix":"/open/","route_type":"safe","service":"s","max_attempts":2,"auth_exempt":true},)"
                                R"({"name":"far","host":"h","path_prefix":"/far/","route_type":"safe","service":"far","max_attempts":2},)"
                                R"({"name":"homed","host":"h","path_prefix":"/homed/","route_type":"safe","service":"s","home_regions":["x"]},)"
                                R"({"name":"r","host":"h","path_prefix":"/r/","route_type":"streaming","resumable":true,"service":"s","max_attempts":2})";
const std::string Workspaces = R"({"name":"ada","api_keys":["key-ada","key-ada-2"],"priority":1},)"
                               R"({"name":"bo","api_keys":["key-bo"],"home_regions":["y"]},)"
                               R"({"name":"cy","api_keys":["key-cy"],"home_regions":["x"]})";

constexpr int EventCount = 4;

/// Gateways in the regions x and y, with an upstream of the services s and far.
class Rig : public tests::RouteGatewayRig
{
public:
    struct Run
    {
        std::string upstream;
        http::Headers headers;
    };

    std::vector<Run> runs;
    int streamsToBreak = 0; // after their second event

    explicit Rig(const std::string &workspaces = Workspaces,
                 const std::vector<std::string> &regions = {"x"},
                 std::optional<std::chrono::milliseconds> maxWithdrawalDelay = {})
    {
        addUpstream("a", "s", "z-x");
        addUpstream("b", "s", "z-x");
        addUpstream("f", "far", "z-y");
        write(PlainRoutes, workspaces);
        startGateways(regions, [&](edge::Settings &settings) { settings.maxWithdrawalDelay = maxWithdrawalDelay; });
    }

    //--- Configuration
    /// Writes the next version; empty workspaces: the configuration lists none.
    void write(const std::string &routes, const std::string &workspaces)
    {
        const std::string list = workspaces.empty() ? "" : R"("tenants":[)" + workspaces + "],";
        contents.keys["op/config"] =
            R"({"version":)" + std::to_string(++m_version) + "," + list + R"("routes":[)" + routes + R"(],"services":[{"name":"s"},{"name":"far"}]})";
        ++contents.revision;
    }
    /// Writes the next version, and waits until the first gateway has it.
    void configure(const std::string &routes, const std::string &workspaces)
    {
        write(routes, workspaces);
        runUntil([&] { return hasMetric(0, "arbutus_configuration_version " + std::to_string(m_version)); });
    }
    /// Has one upstream of service s with one place.
    void leaveOnePlace()
    {
        contents.keys.erase("servers/b");
        contents.removedKeys.insert("servers/b");
        std::string &entry = contents.keys["servers/a"];
        for (const auto &[from, to] : {std::pair(R"("slots":6)", R"("slots":1)"), std::pair(R"("born":1)", R"("born":2)")}) {
            entry.replace(entry.find(from), std::string(from).size(), to);
        }
        configure(PlainRoutes, Workspaces);
    }
    [[nodiscard]] int version() const
    {
        return m_version;
    }

    //--- Requests
    [[nodiscard]] static http::Request makeRequest(const std::string &target, const http::Headers &headers, const std::string &attempt = "t1")
    {
        http::Request request;
        request.method = "POST";
        request.target = target;
        request.headers = headers;
        request.headers["Host"] = "h";
        request.headers["X-Attempt-Id"] = attempt;
        request.headers["X-Deadline-Ms"] = "3000";
        request.body = "body";
        return request;
    }
    http::Response send(const std::string &target, const http::Headers &headers, std::size_t gateway = 0)
    {
        return call(gateways[gateway].settings.clientEndpoint, makeRequest(target, headers));
    }
    void release()
    {
        m_isReleased = true;
    }

private:
    void addUpstream(const std::string &name, const std::string &service, const std::string &domain)
    {
        const http::Endpoint endpoint{"127.0.0.1", tests::freePort()};
        m_upstreams.emplace_back(
            loop.get_executor(), endpoint, http::ServerLimits{}, [this, name](http::Exchange &exchange) { return serve(name, exchange); }, nullptr);
        contents.keys["servers/" + name] = announcement(endpoint, service, domain);
    }
    asio::awaitable<void> serve(std::string name, http::Exchange &exchange)
    {
        const auto body = co_await exchange.readBody();
        if (!body) {
            co_return;
        }
        const http::Headers headers = exchange.request().headers;
        runs.push_back(Run{name, headers});
        while (headers.contains("X-Hold-Here") && !m_isReleased) {
            asio::steady_timer timer(loop, 5ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
        http::Response response;
        response.headers["X-Attempt-Id"] = http::headerValue(headers, "X-Attempt-Id");
        response.headers["X-Response-Stamp"] = "stamp";
        if (!exchange.request().target.starts_with("/r/")) {
            response.body = "done";
            co_await exchange.respond(response);
            co_return;
        }
        response.headers["Content-Type"] = "text/event-stream";
        co_await exchange.beginResponse(response);
        const std::string resumeAfter = http::headerValue(headers, "Last-Event-ID");
        for (int id = resumeAfter.empty() ? 1 : std::stoi(resumeAfter) + 1; id <= EventCount; ++id) {
            const std::string event = "id: " + std::to_string(id) + "\ndata: d\n\n";
            co_await exchange.writeChunk(event);
            asio::steady_timer timer(loop, 10ms);
            co_await timer.async_wait(asio::use_awaitable);
            if (id == 2 && streamsToBreak > 0) {
                --streamsToBreak;
                exchange.reset();
                co_return;
            }
        }
        co_await exchange.endResponse();
    }

    int m_version = 0;
    bool m_isReleased = false;
    std::list<http::Server> m_upstreams;
};

} // namespace

TEST_CASE("the credential decides whether a request runs, and for which workspace", "[workspace]")
{
    struct Row
    {
        const char *title;
        std::string target;
        http::Headers headers;
        unsigned status;
        std::optional<std::string> workspace; // that the upstream is told
    };
    const auto row = GENERATE(values<Row>({
        {"known credential", "/p/1", {{"X-Credential", "key-ada"}}, 200, "ada"},
        {"second credential of the workspace", "/p/1", {{"X-Credential", "key-ada-2"}}, 200, "ada"},
        {"another workspace is stated", "/p/1", {{"X-Credential", "key-ada"}, {"X-Tenant", "bo"}}, 200, "ada"},
        {"unknown credential", "/p/1", {{"X-Credential", "key-eve"}}, 401, {}},
        {"unknown credential with a known workspace", "/p/1", {{"X-Credential", "key-eve"}, {"X-Tenant", "ada"}}, 401, {}},
        {"no credential", "/p/1", {}, 401, {}},
        {"no credential with a known workspace", "/p/1", {{"X-Tenant", "ada"}}, 401, {}},
        {"empty credential", "/p/1", {{"X-Credential", ""}}, 401, {}},
        {"beginning of a credential", "/p/1", {{"X-Credential", "key-ad"}}, 401, {}},
        {"open route", "/open/1", {}, 200, {}},
        {"open route with a credential", "/open/1", {{"X-Credential", "key-ada"}}, 200, {}},
        {"open route with an unknown credential", "/open/1", {{"X-Credential", "key-eve"}, {"X-Tenant", "ada"}}, 200, {}},
        {"unknown route", "/nowhere/1", {{"X-Credential", "key-eve"}}, 404, {}},
        {"stream", "/r/1", {{"X-Credential", "key-ada"}, {"X-Tenant", "bo"}}, 200, "ada"},
    }));
    CAPTURE(row.title);
    Rig rig;
    const http::Response response = rig.send(row.target, row.headers);
    CHECK(response.status == row.status);
    REQUIRE(rig.runs.size() == (row.status == 200 ? 1 : 0));
    for (const Rig::Run &run : rig.runs) {
        CHECK_FALSE(run.headers.contains("X-Credential"));
        CHECK(run.headers.contains("X-Tenant") == row.workspace.has_value());
        CHECK(http::headerValue(run.headers, "X-Tenant") == row.workspace.value_or(""));
    }
    const std::string credential = http::headerValue(row.headers, "X-Credential");
    if (!credential.empty()) {
        CHECK(rig.readLog(0).find(credential) == std::string::npos);
        CHECK(rig.metrics(0).find(credential) == std::string::npos);
        CHECK(response.body.find(credential) == std::string::npos);
    }
    if (row.workspace) {
        CHECK(rig.hasMetric(0, R"(arbutus_workspace_requests_total{workspace="ada",outcome="served"} 1)"));
    }
    CHECK(rig.hasMetric(0, "arbutus_unknown_credentials_total 1") == (row.status == 401));
}

TEST_CASE("an unknown credential is refused before the body is read", "[workspace]")
{
    Rig rig;
    const http::Endpoint endpoint = rig.gateways[0].settings.clientEndpoint;
    std::string received;
    auto operation = [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket socket(rig.loop);
        co_await socket.async_connect(asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), endpoint.port), asio::use_awaitable);
        const std::string head = "POST /p/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t1\r\nX-Credential: key-eve\r\nContent-Length: 4\r\n\r\n";
        co_await socket.async_write_some(asio::buffer(head), asio::use_awaitable);
        std::array<char, 1024> buffer{};
        const std::size_t size = co_await socket.async_read_some(asio::buffer(buffer), asio::use_awaitable);
        received.assign(buffer.data(), size);
    };
    asio::co_spawn(rig.loop, operation, asio::detached);
    rig.runUntil([&] { return !received.empty(); });
    CHECK(received.starts_with("HTTP/1.1 401"));
}

TEST_CASE("a configuration without workspaces leaves the headers of requests as they are", "[workspace]")
{
    const std::string target = GENERATE(as<std::string>{}, "/p/1", "/far/1");
    Rig rig("", {"x", "y"});
    const http::Headers headers{{"X-Credential", "key-ada"}, {"X-Tenant", "bo"}};
    CHECK(rig.send(target, headers).status == 200);
    REQUIRE(rig.runs.size() == 1);
    CHECK(http::headerValue(rig.runs.front().headers, "X-Credential") == "key-ada");
    CHECK(http::headerValue(rig.runs.front().headers, "X-Tenant") == "bo");
}

TEST_CASE("the workspace goes with a request to another region", "[workspace]")
{
    Rig rig(Workspaces, {"x", "y"});
    const http::Response response = rig.send("/far/1", {{"X-Credential", "key-ada"}, {"X-Tenant", "bo"}});
    CHECK(response.status == 200);
    REQUIRE(rig.runs.size() == 1);
    CHECK(rig.runs.front().upstream == "f");
    CHECK(http::headerValue(rig.runs.front().headers, "X-Tenant") == "ada");
    CHECK_FALSE(rig.runs.front().headers.contains("X-Credential"));
    for (const std::size_t gateway : {0U, 1U}) {
        CHECK(rig.readLog(gateway).find("key-ada") == std::string::npos);
    }
    CHECK(rig.hasMetric(0, R"(arbutus_workspace_requests_total{workspace="ada",outcome="served"} 1)"));
    CHECK(rig.metrics(1).find("arbutus_workspace_requests_total") == std::string::npos); // counted once
}

TEST_CASE("a forwarded request is checked again", "[workspace]")
{
    struct Row
    {
        const char *title;
        std::string credential;
        int newerBy; // configurations that the origin has more than this instance
        bool runs;
        unsigned status;
    };
    const auto row = GENERATE(values<Row>({
        {"known here", "key-ada", 0, true, 200},
        {"unknown here", "key-eve", 0, false, 401},
        {"unknown here, and the origin has a newer configuration", "key-eve", 1, false, 503},
        {"known here, and the origin has a newer configuration", "key-ada", 1, true, 200},
    }));
    CAPTURE(row.title);
    Rig rig;
    http::Request request = Rig::makeRequest("/p/1", {{"X-Credential", row.credential}, {"X-Tenant", "bo"}});
    request.headers["X-Gateway-Origin"] = "other";
    request.headers["X-Gateway-Service"] = "s";
    request.headers["X-Gateway-Configuration"] = std::to_string(rig.version() + row.newerBy);
    const http::Response response = rig.call(rig.gateways[0].settings.peersEndpoint, request);
    CHECK(response.status == row.status);
    CHECK(http::headerValue(response.headers, "X-Gateway-Outcome") == (row.runs ? "answered" : "not_run"));
    REQUIRE(rig.runs.size() == (row.runs ? 1 : 0));
    if (row.runs) {
        CHECK(http::headerValue(rig.runs.front().headers, "X-Tenant") == "ada");
        CHECK_FALSE(rig.runs.front().headers.contains("X-Credential"));
    }
}

TEST_CASE("an unknown credential gets 503 while a newer configuration is known that this instance lacks", "[workspace]")
{
    Rig rig;
    http::Request forwarded = Rig::makeRequest("/open/1", {}, "t0");
    forwarded.headers["X-Gateway-Origin"] = "other";
    forwarded.headers["X-Gateway-Service"] = "s";
    forwarded.headers["X-Gateway-Configuration"] = std::to_string(rig.version() + 1);
    CHECK(rig.call(rig.gateways[0].settings.peersEndpoint, forwarded).status == 200);

    SECTION("it does not arrive")
    {
        const http::Response response = rig.send("/p/1", {{"X-Credential", "key-new"}});
        CHECK(response.status == 503);
        CHECK_FALSE(http::headerValue(response.headers, "Retry-After").empty());
        CHECK(rig.send("/p/1", {{"X-Credential", "key-ada"}}).status == 200);
    }
    SECTION("it arrives and has the credential")
    {
        std::optional<http::Response> response;
        rig.start(rig.gateways[0].settings.clientEndpoint, Rig::makeRequest("/p/1", {{"X-Credential", "key-new"}}), response);
        rig.runFor(20ms);
        CHECK_FALSE(response.has_value());
        rig.write(PlainRoutes, Workspaces + R"(,{"name":"new","api_keys":["key-new"]})");
        rig.runUntil([&] { return response.has_value(); });
        CHECK(response->status == 200);
        CHECK(http::headerValue(rig.runs.back().headers, "X-Tenant") == "new");
    }
    SECTION("it arrives and does not have it")
    {
        std::optional<http::Response> response;
        rig.start(rig.gateways[0].settings.clientEndpoint, Rig::makeRequest("/p/1", {{"X-Credential", "key-new"}}), response);
        rig.runFor(20ms);
        rig.write(PlainRoutes, Workspaces);
        rig.runUntil([&] { return response.has_value(); });
        CHECK(response->status == 401);
    }
}

TEST_CASE("a request whose credential is withdrawn or given to another workspace while it waits", "[workspace]")
{
    struct Row
    {
        const char *title;
        std::string workspaces;
        bool runs;
        std::string workspace;
    };
    const auto row = GENERATE(values<Row>({
        {"nothing changes for it", R"({"name":"ada","api_keys":["key-ada"],"priority":7},{"name":"bo","api_keys":["key-bo"]})", true, "ada"},
        {"withdrawn", R"({"name":"ada","api_keys":["key-ada-2"]},{"name":"bo","api_keys":["key-bo"]})", false, ""},
        {"the workspace is dropped", R"({"name":"bo","api_keys":["key-bo"]})", false, ""},
        {"given to another workspace", R"({"name":"bo","api_keys":["key-bo","key-ada"]})", true, "bo"},
        {"this region is no home any more", R"({"name":"ada","api_keys":["key-ada"],"home_regions":["y"]},{"name":"bo","api_keys":["key-bo"]})", false, ""},
    }));
    CAPTURE(row.title);
    Rig rig;
    rig.leaveOnePlace();
    std::optional<http::Response> first;
    std::optional<http::Response> second;
    const http::Endpoint endpoint = rig.gateways[0].settings.clientEndpoint;
    rig.start(endpoint, Rig::makeRequest("/p/1", {{"X-Credential", "key-bo-x"}, {"X-Hold-Here", "1"}}, "t0"), first);
    rig.runUntil([&] { return first.has_value(); });
    CHECK(first->status == 401); // the place stays free
    first.reset();
    rig.start(endpoint, Rig::makeRequest("/open/1", {{"X-Hold-Here", "1"}}, "t1"), first);
    rig.runUntil([&] { return rig.runs.size() == 1; });
    rig.start(endpoint, Rig::makeRequest("/p/1", {{"X-Credential", "key-ada"}}, "t2"), second);
    rig.runFor(50ms);
    REQUIRE_FALSE(second.has_value());
    rig.configure(PlainRoutes, row.workspaces);
    rig.release();
    rig.runUntil([&] { return first.has_value() && second.has_value(); });
    CHECK(first->status == 200);
    CHECK(second->status == (row.runs ? 200 : 503));
    REQUIRE(rig.runs.size() == (row.runs ? 2 : 1));
    if (row.runs) {
        CHECK(http::headerValue(rig.runs.back().headers, "X-Tenant") == row.workspace);
    }
}

TEST_CASE("a broken stream goes on for the same workspace only", "[workspace]")
{
    struct Row
    {
        const char *title;
        std::string workspaces; // of the configuration that arrives before the stream breaks; empty: none arrives
        bool goesOn;
    };
    const auto row = GENERATE(values<Row>({
        {"no change", "", true},
        {"withdrawn", R"({"name":"ada","api_keys":["key-ada-2"]})", false},
        {"given to another workspace", R"({"name":"bo","api_keys":["key-ada"]})", false},
    }));
    CAPTURE(row.title);
    Rig rig;
    rig.streamsToBreak = 1;
    std::optional<http::Response> response;
    rig.start(
        rig.gateways[0].settings.clientEndpoint, Rig::makeRequest("/r/1", {{"X-Credential", "key-ada"}, {"X-Tenant", "bo"}, {"X-Hold-Here", "1"}}), response);
    rig.runUntil([&] { return rig.runs.size() == 1; });
    if (!row.workspaces.empty()) {
        rig.configure(PlainRoutes, row.workspaces);
    }
    rig.release();
    rig.runUntil([&] { return response.has_value(); });
    CHECK(response->status == (row.goesOn ? 200 : 0)); // 0: no complete response
    REQUIRE(rig.runs.size() == (row.goesOn ? 2 : 1));
    for (const Rig::Run &run : rig.runs) {
        CHECK(http::headerValue(run.headers, "X-Tenant") == "ada");
        CHECK_FALSE(run.headers.contains("X-Credential"));
    }
}

TEST_CASE("home regions of the route and of the workspace both bind", "[workspace]")
{
    struct Row
    {
        const char *title;
        std::string target;
        std::string credential;
        std::optional<std::string> upstream; // nothing: the request runs nowhere
    };
    const auto row = GENERATE(values<Row>({
        {"neither has any", "/p/1", "key-ada", "a or b"},
        {"the workspace has this region", "/p/1", "key-cy", "a or b"},
        {"the workspace has another region, without upstreams of the service", "/p/1", "key-bo", {}},
        {"the workspace has the region of the upstream", "/far/1", "key-bo", "f"},
        {"the workspace has not the region of the upstream", "/far/1", "key-cy", {}},
        {"both have this region", "/homed/1", "key-cy", "a or b"},
        {"they have no region in common", "/homed/1", "key-bo", {}},
    }));
    CAPTURE(row.title);
    Rig rig(Workspaces, {"x", "y"});
    const http::Response response = rig.send(row.target, {{"X-Credential", row.credential}});
    CHECK(response.status == (row.upstream ? 200 : 503));
    REQUIRE(rig.runs.size() == (row.upstream ? 1 : 0));
    if (row.upstream) {
        CHECK(row.upstream->find(rig.runs.front().upstream) != std::string::npos);
    }
}

TEST_CASE("how one configuration handles a request", "[workspace]")
{
    struct Row
    {
        const char *title;
        std::string routeFields;
        std::string workspaceFields;
        int priority;
        std::optional<std::set<core::RegionId>> homeRegions;
    };
    const core::RegionId x("x");
    const core::RegionId y("y");
    using Regions = std::set<core::RegionId>;
    const auto row = GENERATE_COPY(values<Row>({
        {"nothing is stated", R"("priority":4)", "", 4, {}},
        {"the workspace states the priority", R"("priority":4)", R"(,"priority":1)", 1, {}},
        {"the workspace states the highest priority", R"("priority":4)", R"(,"priority":0)", 0, {}},
        {"the route has home regions", R"("home_regions":["x","y"])", "", 0, Regions{x, y}},
        {"the workspace has home regions", R"("priority":0)", R"(,"home_regions":["y"])", 0, Regions{y}},
        {"both have home regions", R"("home_regions":["x","y"])", R"(,"home_regions":["y","w"])", 0, Regions{y}},
        {"no region in common", R"("home_regions":["x"])", R"(,"home_regions":["y"])", 0, Regions{}},
    }));
    CAPTURE(row.title);
    const auto catalog = platform::PlatformAdapter().parseCatalog(
        R"({"version":1,"services":[{"name":"s"}],"routes":[{"name":"p","host":"h","path_prefix":"/p/","route_type":"safe","service":"s",)" + row.routeFields
        + R"(}],"tenants":[{"name":"ada","api_keys":["k"])" + row.workspaceFields + "}]}");
    REQUIRE(catalog);
    const catalog::RequestMatch match = catalog.value()->matchRequest("h", "/p/1", "k");
    REQUIRE(match.workspace != nullptr);
    CHECK(match.priority() == row.priority);
    CHECK(match.homeRegions() == row.homeRegions);
    const core::ServiceId service("s");
    for (const core::RegionId &region : {x, y}) {
        const bool isHome = !row.homeRegions || row.homeRegions->contains(region);
        CHECK((catalog::checkSend(match, service, region) == catalog::SendPermission::Allowed) == isHome);
    }
    const catalog::RequestMatch unknown = catalog.value()->matchRequest("h", "/p/1", "other");
    CHECK(unknown.isCredentialUnknown);
    CHECK(catalog::checkSend(unknown, service, y) == catalog::SendPermission::WorkspaceDropped);
    const catalog::RequestMatch dropped = catalog.value()->matchKnown(catalog::RouteId("p"), core::WorkspaceId("gone"));
    CHECK(catalog::checkSend(dropped, service, y) == catalog::SendPermission::WorkspaceDropped);
    CHECK(catalog.value()->matchKnown(catalog::RouteId("p"), core::WorkspaceId("ada")).priority() == row.priority);
}

//-----------------------------------------------------------------------------
// Withdrawal
//-----------------------------------------------------------------------------

TEST_CASE("without a proof of how fresh the configuration is, only open routes are served", "[workspace][withdrawal]")
{
    constexpr auto MaxDelay = 1'500ms;
    Rig rig(Workspaces, {"x", "x"}, MaxDelay);
    const http::Headers known{{"X-Credential", "key-ada"}};
    CHECK(rig.send("/p/1", known).status == 200);

    rig.gateways[0].store->isCut = true; // the other instance lends its proof
    rig.runFor(2 * MaxDelay);
    CHECK(rig.send("/p/1", known).status == 200);
    CHECK(rig.send("/p/1", {{"X-Credential", "key-eve"}}).status == 401);

    rig.gateways[1].store->isCut = true;
    rig.runFor(MaxDelay + 100ms);
    rig.runs.clear();
    for (const std::size_t gateway : {0U, 1U}) {
        const http::Response response = rig.send("/p/1", known, gateway);
        CHECK(response.status == 503);
        CHECK(http::headerValue(response.headers, "Retry-After") == "1.00");
        CHECK(rig.send("/p/1", {{"X-Credential", "key-eve"}}, gateway).status == 503); // a newer configuration may have it
        CHECK(rig.runs.empty());
        CHECK(rig.send("/open/1", {}, gateway).status == 200);
        rig.runs.clear();
        CHECK(rig.readLog(gateway).find("event=configuration_proof_expired") != std::string::npos);
    }
    http::Request forwarded = Rig::makeRequest("/p/1", known);
    forwarded.headers["X-Gateway-Origin"] = "other";
    forwarded.headers["X-Gateway-Service"] = "s";
    const http::Response hop = rig.call(rig.gateways[0].settings.peersEndpoint, forwarded);
    CHECK(hop.status == 503);
    CHECK(http::headerValue(hop.headers, "X-Gateway-Outcome") == "not_run");

    rig.gateways[1].store->isCut = false;
    rig.runUntil([&] { return rig.send("/p/1", known, 0).status == 200; });
    CHECK(rig.send("/p/1", known, 1).status == 200);
    std::string log;
    rig.runUntil([&] { return (log += rig.readLog(0)).find("event=configuration_proof_fresh") != std::string::npos; });
}

TEST_CASE("a request whose proof ends while it waits is not sent", "[workspace][withdrawal]")
{
    Rig rig(Workspaces, {"x"}, 1'500ms);
    rig.leaveOnePlace();
    std::optional<http::Response> first;
    std::optional<http::Response> second;
    const http::Endpoint endpoint = rig.gateways[0].settings.clientEndpoint;
    rig.start(endpoint, Rig::makeRequest("/open/1", {{"X-Hold-Here", "1"}}, "t1"), first);
    rig.runUntil([&] { return rig.runs.size() == 1; });
    rig.gateways[0].store->isCut = true;
    rig.runFor(200ms);
    rig.start(endpoint, Rig::makeRequest("/p/1", {{"X-Credential", "key-ada"}}, "t2"), second);
    rig.runFor(1'500ms);
    rig.release();
    rig.runUntil([&] { return first.has_value() && second.has_value(); });
    CHECK(first->status == 200);
    CHECK(second->status == 503);
    CHECK(rig.runs.size() == 1);
}

TEST_CASE("without a stated delay, credentials are used as long as the configuration is known", "[workspace][withdrawal]")
{
    Rig rig;
    rig.gateways[0].store->isCut = true;
    rig.runFor(2s);
    CHECK(rig.send("/p/1", {{"X-Credential", "key-ada"}}).status == 200);
}
