// Route gateways of several regions over loopback in one event loop, with a store that the test writes.
//
//   tests::RouteGatewayRig rig;
//   rig.contents.keys["op/config"] = …;
//   rig.startGateways({"x", "y"});
//   const http::Response response = rig.call(rig.gateways[0].settings.clientEndpoint, request);
//
// Region x has the failure domain z-x, region y has z-y. Waiting throws std::runtime_error after 20 s.

#pragma once

#include "arbutus/edge/routegateway.h"
#include "arbutus/http/client.h"
#include "platform/platformadapter.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutus::tests {

struct StoreContents
{
    std::map<std::string, std::string> keys;
    std::set<std::string> removedKeys;
    std::uint64_t revision = 1; // to be raised with each change
};

/// One gateway's connection to the store. A watch brings all keys as changed if any is.
class SharedStore final : public metadata::MetadataStore
{
public:
    explicit SharedStore(StoreContents &contents)
        : m_contents(contents)
    {
    }
    bool isCut = false;

    boost::asio::awaitable<metadata::StoreResult<metadata::StoreRange>> range(std::string prefix, metadata::ReadConsistency) override;
    boost::asio::awaitable<metadata::StoreResult<metadata::StoreChanges>> watch(std::string, metadata::StoreRevision after, std::chrono::milliseconds) override;
    boost::asio::awaitable<metadata::StoreResult<metadata::StorePosition>> put(std::string, std::string, metadata::LeaseId) override;
    boost::asio::awaitable<metadata::StoreResult<metadata::LeaseGrant>> grantLease(std::chrono::milliseconds) override;
    boost::asio::awaitable<metadata::StoreResult<metadata::StoreGeneration>> keepLeaseAlive(metadata::LeaseId) override;
    boost::asio::awaitable<metadata::StoreResult<void>> revokeLease(metadata::LeaseId) override;

private:
    StoreContents &m_contents;
};

class RouteGatewayRig
{
public:
    struct Gateway
    {
        edge::Settings settings;
        std::unique_ptr<SharedStore> store;
        std::unique_ptr<observe::LogBuffer> log;
        int logPipe = -1;
        std::unique_ptr<edge::RouteGateway> gateway;
    };

    RouteGatewayRig() = default;
    RouteGatewayRig(const RouteGatewayRig &) = delete;
    RouteGatewayRig &operator=(const RouteGatewayRig &) = delete;
    ~RouteGatewayRig();

    boost::asio::io_context loop{1};
    core::SystemClock clock;
    StoreContents contents;
    std::vector<Gateway> gateways;

    /// Starts a gateway in each of these regions, and waits until all are ready and know each other. `adjust` may change the settings.
    void startGateways(const std::vector<std::string> &regions, const std::function<void(edge::Settings &)> &adjust = {});
    /// Announcement of an upstream, as its value in the store.
    [[nodiscard]] static std::string announcement(const http::Endpoint &endpoint, const std::string &service, const std::string &domain);

    //--- Requests
    /// Returns status 0 if no complete response was received.
    http::Response call(const http::Endpoint &endpoint, const http::Request &request);
    /// Sends without waiting for the response.
    void start(const http::Endpoint &endpoint, const http::Request &request, std::optional<http::Response> &result);

    //--- Running
    void runUntil(const std::function<bool()> &condition);
    void runFor(std::chrono::milliseconds duration);
    [[nodiscard]] std::string metrics(std::size_t gateway);
    [[nodiscard]] bool hasMetric(std::size_t gateway, const std::string &line);
    /// What the gateway has logged since the last call.
    [[nodiscard]] std::string readLog(std::size_t gateway);

private:
    platform::PlatformAdapter m_adapter;
};

} // namespace arbutus::tests
