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
    core::InstanceId id;
    core::DomainId domain;
    core::RegionId region;
    double capacity = 1;                              // share of a processor core
    std::map<core::DomainId, core::RegionId> regions; // of every failure domain

    //--- Listeners
    http::Endpoint callers;
    http::Endpoint directory;
    http::Endpoint readiness;
    http::Endpoint metrics;
    http::Endpoint peers;              // TCP and, on the same port, UDP
    std::vector<http::Endpoint> seeds; // peers of other instances; may be stale

    //--- The metadata store
    http::Endpoint store;

    //--- Bounds that the deployment promises
    std::chrono::milliseconds grace{8'000}; // from a planned stop to its end
    std::chrono::milliseconds configurationWithin{3'000};
    std::chrono::milliseconds leavingWithin{3'000};
    std::chrono::milliseconds evacuationWithin{5'000};
    double retryRatio = 0.2;
    double retrySlack = 50;
    std::chrono::milliseconds retryWindow{10'000};
    std::chrono::seconds directoryLifetime{2}; // of an answer

    //--- How work waits and is placed
    routing::DispatcherSettings dispatch;
};

/// Whether the file describes an instance of this kind (it has a [route_gateway] table).
[[nodiscard]] bool describesEdge(const std::string &path);
[[nodiscard]] core::Result<Settings> loadSettings(const std::string &path);

} // namespace arbutus::edge
