// What operators configure for requests that are forwarded by host and path: routes and services.
//
// A Catalog is one whole version of that configuration. It is immutable once built: a node swaps its shared pointer when
// a newer version arrives, and a request keeps the version with which it began.
//
//   const Route *route = catalog.match("shop.example", "/orders/17");
//   const core::ServiceId service = route->serviceFor(attemptId);
//
// Sections:
//   Route     how requests of a host and path prefix are handled
//   Service   a set of interchangeable upstreams
//   Catalog   one version of all of it
//
// Q: Which requests may run more than once?
// A: Those of routes whose `repeat` is Repeatable. A stream that may be resumed is Repeatable too.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/core/ids.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutus::catalog {

using RouteId = core::StrongId<struct RouteTag>;
using CatalogVersion = core::StrongNumber<struct CatalogVersionTag>; // 0 = none yet

//-----------------------------------------------------------------------------
// Route
//-----------------------------------------------------------------------------

enum class ExecutionSemantics {
    AtMostOnce, // runs at most once for each attempt of a caller
    Repeatable, // may run again, at the same or another upstream
};

enum class ResponseMode {
    Buffered, // buffered and passed on as one
    Stream,   // server-sent events, passed on one by one
};

/// A share of a route's requests.
struct TrafficSplit
{
    core::ServiceId service;
    std::uint32_t weight = 1;
};

/// How requests of one host and path prefix are handled.
struct Route
{
    RouteId id;
    std::string host;       // without a port, lower case
    std::string pathPrefix; // begins and ends with a slash
    ExecutionSemantics executionSemantics = ExecutionSemantics::AtMostOnce;
    ResponseMode responseMode = ResponseMode::Buffered;
    bool resumable = false;                            // a broken stream may go on at another upstream
    std::size_t maxUpstreamsPerAttempt = 1;            // upstreams that one attempt may be sent to
    std::chrono::milliseconds timeout{30'000};         // longest that a caller is kept waiting for the whole answer
    std::chrono::milliseconds latencyObjective{1'000}; // latency objective: whole answer, or first event of a stream
    std::chrono::milliseconds maxEventGap{0};          // longest pause between events that is still on time; 0 = none stated
    int priority = 0;                                  // 0 is first
    std::vector<TrafficSplit> trafficSplits;           // at least one
    std::set<core::RegionId> homeRegions;              // regions that may serve it; empty = all

    /// Service of one attempt. The same attempt always gets the same one.
    [[nodiscard]] core::ServiceId serviceFor(std::string_view attempt) const;
    /// Whether requests may be served in `region`.
    [[nodiscard]] bool allowsRegion(const core::RegionId &region) const
    {
        return homeRegions.empty() || homeRegions.contains(region);
    }
};

//-----------------------------------------------------------------------------
// Service
//-----------------------------------------------------------------------------

/// What is configured of a service's model engines.
struct EngineConfig
{
    std::size_t slots = 1;            // requests that an engine batches
    std::uint64_t memoryTokens = 0;   // of running requests and cached prompt parts together
    std::uint64_t tokensPerEvent = 1; // of a stream
};

/// A set of interchangeable upstreams.
struct Service
{
    core::ServiceId id;
    double maxColdRequestsPerSecond = 0; // requests that a cold upstream tolerates; 0 = no bound
    std::optional<EngineConfig> engine;  // set where the upstreams are model engines
};

//-----------------------------------------------------------------------------
// Catalog
//-----------------------------------------------------------------------------

/// Bounds on what callers may send and how long they may take.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{15'000};
    std::chrono::milliseconds idleTimeout{15'000};
};

/// One version of routes, services and limits.
class Catalog
{
public:
    Catalog(CatalogVersion version, std::vector<Route> routes, std::vector<Service> services, CallerLimits limits);
    Catalog(const Catalog &) = delete;
    Catalog &operator=(const Catalog &) = delete;
    ~Catalog() = default;

    /// The host's route with the longest prefix that begins `path`; null when there is none.
    [[nodiscard]] const Route *matchRoute(std::string_view host, std::string_view path) const;
    [[nodiscard]] const Service *findService(const core::ServiceId &id) const;
    [[nodiscard]] CatalogVersion version() const
    {
        return m_version;
    }
    [[nodiscard]] const std::vector<Route> &routes() const
    {
        return m_routes;
    }
    [[nodiscard]] const CallerLimits &limits() const
    {
        return m_limits;
    }

private:
    CatalogVersion m_version;
    std::vector<Route> m_routes;
    std::map<core::ServiceId, Service> m_services;
    CallerLimits m_limits;
    std::unordered_map<std::string, std::size_t> m_byPrefix; // host and prefix -> index in m_routes
};

using CatalogPointer = std::shared_ptr<const Catalog>; // null until a first version is known

/// Host of a Host header: lower case, without a port.
[[nodiscard]] std::string normalizeHost(std::string_view header);

} // namespace arbutus::catalog
