// Store, start and observation of the gateways.

#include "support/routegatewayrig.h"
#include "support/freeport.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace arbutus::tests {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto MaxWait = 20s;
constexpr auto CallTimeout = 10s;
constexpr int LogPipeBytes = 1 << 20;

metadata::StoreError cutOff()
{
    return metadata::StoreError{metadata::StoreErrorKind::Unreachable, "cut off"};
}

int openLogPipe(int &writingEnd)
{
    std::array<int, 2> pipe{};
    if (::pipe2(pipe.data(), O_CLOEXEC | O_NONBLOCK) != 0 || ::fcntl(pipe[1], F_SETPIPE_SZ, LogPipeBytes) <= 0) {
        throw std::runtime_error("no pipe for the log");
    }
    writingEnd = pipe[1];
    return pipe[0];
}

} // namespace

//-----------------------------------------------------------------------------
// Store
//-----------------------------------------------------------------------------

asio::awaitable<metadata::StoreResult<metadata::StoreRange>> SharedStore::range(std::string prefix, metadata::ReadConsistency)
{
    if (isCut) {
        co_return cutOff();
    }
    metadata::StoreRange out;
    out.position.revision = metadata::StoreRevision(m_contents.revision);
    for (const auto &[key, value] : m_contents.keys) {
        if (key.starts_with(prefix)) {
            out.items.push_back(metadata::StoreItem{key, value, out.position.revision});
        }
    }
    co_return out;
}

asio::awaitable<metadata::StoreResult<metadata::StoreChanges>> SharedStore::watch(std::string, metadata::StoreRevision after, std::chrono::milliseconds)
{
    if (isCut) {
        co_return cutOff();
    }
    metadata::StoreChanges out;
    out.position.revision = metadata::StoreRevision(m_contents.revision);
    if (after.value < m_contents.revision) {
        for (const auto &[key, value] : m_contents.keys) {
            out.changes.push_back(metadata::StoreChange{metadata::StoreItem{key, value, out.position.revision}, false});
        }
        for (const std::string &key : m_contents.removedKeys) {
            out.changes.push_back(metadata::StoreChange{metadata::StoreItem{key, "", out.position.revision}, true});
        }
    }
    co_return out;
}

asio::awaitable<metadata::StoreResult<metadata::StorePosition>> SharedStore::put(std::string, std::string, metadata::LeaseId)
{
    co_return metadata::StorePosition{{}, metadata::StoreRevision(m_contents.revision)};
}

asio::awaitable<metadata::StoreResult<metadata::LeaseGrant>> SharedStore::grantLease(std::chrono::milliseconds)
{
    co_return metadata::LeaseGrant{metadata::LeaseId("1"), {}};
}

asio::awaitable<metadata::StoreResult<metadata::StoreGeneration>> SharedStore::keepLeaseAlive(metadata::LeaseId)
{
    co_return metadata::StoreGeneration();
}

asio::awaitable<metadata::StoreResult<void>> SharedStore::revokeLease(metadata::LeaseId)
{
    co_return boost::outcome_v2::success();
}

//-----------------------------------------------------------------------------
// Gateways
//-----------------------------------------------------------------------------

RouteGatewayRig::~RouteGatewayRig()
{
    for (const Gateway &gateway : gateways) {
        ::close(gateway.logPipe);
    }
}

void RouteGatewayRig::startGateways(const std::vector<std::string> &regions, const std::function<void(edge::Settings &)> &adjust)
{
    const std::uint16_t firstPeer = freePort();
    for (const std::string &region : regions) {
        Gateway gateway;
        edge::Settings &settings = gateway.settings;
        settings.instanceId = core::InstanceId("n" + std::to_string(gateways.size()));
        settings.region = core::RegionId(region);
        settings.failureDomain = core::DomainId("z-" + region);
        settings.regionByDomain = {{core::DomainId("z-x"), core::RegionId("x")}, {core::DomainId("z-y"), core::RegionId("y")}};
        for (http::Endpoint *endpoint : {&settings.clientEndpoint, &settings.directoryEndpoint, &settings.readinessEndpoint, &settings.metricsEndpoint}) {
            *endpoint = http::Endpoint{"127.0.0.1", freePort()};
        }
        settings.peersEndpoint = http::Endpoint{"127.0.0.1", gateways.empty() ? firstPeer : freePort()};
        if (!gateways.empty()) {
            settings.seedPeers = {http::Endpoint{"127.0.0.1", firstPeer}};
        }
        if (adjust) {
            adjust(settings);
        }
        gateway.store = std::make_unique<SharedStore>(contents);
        int writingEnd = -1;
        gateway.logPipe = openLogPipe(writingEnd);
        gateway.log = std::make_unique<observe::LogBuffer>(clock, writingEnd);
        gateways.push_back(std::move(gateway));
    }
    for (Gateway &gateway : gateways) {
        const auto reloadSettings = [&gateway]() -> core::Result<edge::Settings> { return gateway.settings; };
        gateway.gateway = std::make_unique<edge::RouteGateway>(loop, clock, gateway.settings, m_adapter, *gateway.store, *gateway.log, reloadSettings);
        gateway.gateway->start();
    }
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        runUntil([&] { return hasMetric(i, "arbutus_ready 1") && hasMetric(i, "arbutus_live_members " + std::to_string(gateways.size())); });
    }
}

std::string RouteGatewayRig::announcement(const http::Endpoint &endpoint, const std::string &service, const std::string &domain)
{
    return R"({"service":")" + service + R"(","address":")" + http::toString(endpoint) + R"(","zone":")" + domain
        + R"(","slots":6,"state":"ready","cold_remaining_ms":0,"born":1,"version":"","sequence":1})";
}

//-----------------------------------------------------------------------------
// Requests
//-----------------------------------------------------------------------------

http::Response RouteGatewayRig::call(const http::Endpoint &endpoint, const http::Request &request)
{
    std::optional<http::Response> result;
    start(endpoint, request, result);
    runUntil([&] { return result.has_value(); });
    return *result;
}

void RouteGatewayRig::start(const http::Endpoint &endpoint, const http::Request &request, std::optional<http::Response> &result)
{
    auto operation = [this, endpoint, request, &result]() -> asio::awaitable<void> {
        auto response = co_await http::fetch(loop.get_executor(), endpoint, request, CallTimeout);
        http::Response out;
        out.status = 0;
        if (response) {
            out = response.value();
        }
        result = out;
    };
    asio::co_spawn(loop, operation, asio::detached);
}

//-----------------------------------------------------------------------------
// Running
//-----------------------------------------------------------------------------

void RouteGatewayRig::runUntil(const std::function<bool()> &condition)
{
    const core::TimePoint end = clock.steadyNow() + MaxWait;
    while (!condition()) {
        if (clock.steadyNow() >= end) {
            throw std::runtime_error("the condition does not hold in time");
        }
        loop.run_one_for(10ms);
    }
}

void RouteGatewayRig::runFor(std::chrono::milliseconds duration)
{
    loop.run_for(duration);
}

std::string RouteGatewayRig::metrics(std::size_t gateway)
{
    http::Request request;
    request.target = "/metrics";
    return call(gateways[gateway].settings.metricsEndpoint, request).body;
}

bool RouteGatewayRig::hasMetric(std::size_t gateway, const std::string &line)
{
    return metrics(gateway).find(line + "\n") != std::string::npos;
}

std::string RouteGatewayRig::readLog(std::size_t gateway)
{
    gateways[gateway].log->flush();
    std::string out;
    std::array<char, 65536> buffer{};
    const int pipe = gateways[gateway].logPipe;
    for (ssize_t size = ::read(pipe, buffer.data(), buffer.size()); size > 0; size = ::read(pipe, buffer.data(), buffer.size())) {
        out.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return out;
}

} // namespace arbutus::tests
