// Settings of a route gateway instance, read from a TOML file.
//
// Unknown keys are ignored, because a platform newer than this program may generate the file from a template. Missing
// required keys and invalid values are errors that name the key and the allowed values. docs/CONFIGURATION.md lists all keys.

#pragma once

#include "arbutus/core/error.h"
#include "arbutus/core/ids.h"
#include "arbutus/http/message.h"
#include "arbutus/limits/bytebudget.h"
#include "arbutus/routing/dispatcher.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::edge {

struct Settings
{
    //--- This instance
    core::InstanceId instanceId;
    core::DomainId failureDomain;
    core::RegionId region;
    double capacity = 1;                                     // in processor cores
    std::map<core::DomainId, core::RegionId> regionByDomain; // for all failure domains
    /// Whether the failure domain is in this instance's region.
    [[nodiscard]] bool isInRegion(const core::DomainId &domain) const
    {
        const auto found = regionByDomain.find(domain);
        return found != regionByDomain.end() && found->second == region;
    }

    //--- Listeners
    http::Endpoint clientEndpoint;
    http::Endpoint directoryEndpoint;
    http::Endpoint readinessEndpoint;
    http::Endpoint metricsEndpoint;
    http::Endpoint peersEndpoint;          // TCP and UDP on the same port
    std::vector<http::Endpoint> seedPeers; // peer endpoints of other instances; may be outdated

    //--- The metadata store
    http::Endpoint storeEndpoint;

    //--- Memory
    std::size_t bodyMemory = limits::ByteBudgetSettings::DefaultBytes; // for bodies of requests and responses together

    //--- Connections
    std::size_t maxConnections = 0; // that others hold open at all listeners together; 0: two thirds of the descriptors

    //--- Limits that the deployment guarantees
    std::chrono::milliseconds shutdownGracePeriod{8'000}; // from the stop signal to the exit
    std::chrono::milliseconds maxConfigurationDelay{3'000};
    std::chrono::milliseconds maxLeavingDelay{3'000};
    std::chrono::milliseconds maxEvacuationDelay{5'000};
    double retryRatio = 0.2;
    double minRetries = 50;
    std::chrono::milliseconds retryWindow{10'000};
    std::chrono::seconds directoryTtl{2};
    std::optional<std::chrono::milliseconds> maxWithdrawalDelay; // from the confirmation of a configuration that withdraws a credential; empty: as any change

    //--- Quotas of workspaces, over all instances: in any window, (rate * window + burst) * (1 + overshoot) + slack
    std::chrono::milliseconds quotaWindow{8'000};
    double quotaOvershoot = 0.1;
    double quotaSlack = 0; // units of the quota

    //--- Queueing and placement
    routing::DispatcherSettings dispatcher;
};

/// Returns whether the file configures a route gateway, that is, has a [route_gateway] table.
[[nodiscard]] bool isRouteGatewayFile(const std::string &path);
[[nodiscard]] core::Result<Settings> loadSettings(const std::string &path);

} // namespace arbutus::edge
