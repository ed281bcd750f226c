// Settings of an instance that forwards by route: one TOML file.
//
// Unknown keys are ignored, because the file may be filled in from a template by a platform that is newer than this
// program; a missing or wrong one is refused with its name and what is allowed. docs/CONFIGURATION.md lists every key.

#pragma once

#include "arbutus/core/error.h"
#include "arbutus/core/ids.h"
#include "arbutus/http/message.h"
#include "arbutus/routing/dispatcher.h"

#include <map>
#include <string>
#include <vector>

namespace arbutus::edge {

struct Settings
{
    //--- This instance
    core::InstanceId instanceId;
    core::DomainId failureDomain;
    core::RegionId region;
    double capacity = 1;                                     // share of a processor core
    std::map<core::DomainId, core::RegionId> regionByDomain; // of every failure domain

    //--- Listeners
    http::Endpoint callersEndpoint;
    http::Endpoint directoryEndpoint;
    http::Endpoint readinessEndpoint;
    http::Endpoint metricsEndpoint;
    http::Endpoint peersEndpoint;          // TCP and, on the same port, UDP
    std::vector<http::Endpoint> seedPeers; // peers of other instances; may be stale

    //--- The metadata store
    http::Endpoint storeEndpoint;

    //--- Bounds that the deployment promises
    std::chrono::milliseconds shutdownGracePeriod{8'000}; // from a planned stop to its end
    std::chrono::milliseconds maxConfigurationDelay{3'000};
    std::chrono::milliseconds maxLeavingDelay{3'000};
    std::chrono::milliseconds maxEvacuationDelay{5'000};
    double retryRatio = 0.2;
    double minRetries = 50;
    std::chrono::milliseconds retryWindow{10'000};
    std::chrono::seconds directoryTtl{2}; // of an answer

    //--- How work waits and is placed
    routing::DispatcherSettings dispatcher;
};

/// Whether the file describes an instance of this kind (it has a [route_gateway] table).
[[nodiscard]] bool isRouteGatewayFile(const std::string &path);
[[nodiscard]] core::Result<Settings> loadSettings(const std::string &path);

} // namespace arbutus::edge
