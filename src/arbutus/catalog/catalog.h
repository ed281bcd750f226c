// Routes and services: the configuration for requests that are forwarded by host and path.
//
// A Catalog is one complete version of this configuration and is immutable. A node replaces its shared pointer when a
// newer version arrives; what of a request has not been sent goes by the newest version.
//
//   const Route *route = catalog.matchRoute("shop.example", "/orders/17");
//   const core::ServiceId service = route->serviceFor(attemptId);
//
// Sections:
//   Route     how requests of a host and path prefix are handled, and whether one may be sent
//   Service   a set of interchangeable upstreams
//   Catalog   one version of all routes, services and limits
//
// Q: Which requests may run more than once?
// A: Requests of routes whose `executionSemantics` is Repeatable. A resumable stream is Repeatable too.

#pragma once

#include "arbutus/catalog/workspace.h"
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
using CatalogVersion = core::StrongNumber<struct CatalogVersionTag>; // 0 = no version yet

//-----------------------------------------------------------------------------
// Route
//-----------------------------------------------------------------------------

enum class ExecutionSemantics {
    AtMostOnce, // runs at most once per caller attempt
    Repeatable, // may run again on the same or another upstream
};

enum class ResponseMode {
    Buffered, // buffered and forwarded as a whole
    Stream,   // server-sent events, forwarded one by one
};

/// Weighted share of a route's requests.
struct TrafficSplit
{
    core::ServiceId service;
    std::uint32_t weight = 1;
};

/// Handling of requests with a given host and path prefix.
struct Route
{
    RouteId id;
    std::string host;       // without a port, lower case
    std::string pathPrefix; // begins and ends with a slash
    ExecutionSemantics executionSemantics = ExecutionSemantics::AtMostOnce;
    ResponseMode responseMode = ResponseMode::Buffered;
    bool resumable = false;                            // a broken stream may be resumed on another upstream
    std::size_t maxUpstreamsPerAttempt = 1;            // maximum number of upstreams tried per attempt
    std::chrono::milliseconds timeout{30'000};         // maximum time until the complete response
    std::chrono::milliseconds latencyObjective{1'000}; // target time until the complete response, or the first event of a stream
    std::chrono::milliseconds maxEventGap{0};          // maximum gap between stream events that counts as on time; 0 = not set
    int priority = 0;                                  // 0 is highest
    std::vector<TrafficSplit> trafficSplits;           // at least one
    std::set<core::RegionId> homeRegions;              // regions that may serve it; empty = all
    bool isOpen = false;                               // needs no credential, also where the configuration lists workspaces

    /// Whether requests may go to `service`.
    [[nodiscard]] bool leadsTo(const core::ServiceId &service) const;
    /// Selects a service by weight, deterministically for a given attempt ID.
    [[nodiscard]] core::ServiceId serviceFor(std::string_view attemptId) const;
    /// Whether requests may be served in `region`.
    [[nodiscard]] bool allowsRegion(const core::RegionId &region) const
    {
        return homeRegions.empty() || homeRegions.contains(region);
    }
};

/// How one configuration handles a request.
struct RequestMatch
{
    const Route *route = nullptr;         // null: there is none
    const Workspace *workspace = nullptr; // of the credential; null: none is needed, or the credential is unknown
    bool isCredentialUnknown = false;     // the route needs a credential, and the request has none or one that no workspace holds

    /// Whether requests may be served in `region`: the home regions of the route and of the workspace both bind.
    [[nodiscard]] bool allowsRegion(const core::RegionId &region) const
    {
        return route->allowsRegion(region) && (workspace == nullptr || workspace->allowsRegion(region));
    }
    /// The regions that may serve the request. Nothing: all; an empty set: none.
    [[nodiscard]] std::optional<std::set<core::RegionId>> homeRegions() const;
    /// 0 is highest.
    [[nodiscard]] int priority() const
    {
        return workspace != nullptr && workspace->priority ? *workspace->priority : route->priority;
    }
    [[nodiscard]] core::WorkspaceId workspaceId() const
    {
        return workspace == nullptr ? core::WorkspaceId() : workspace->id;
    }
};

enum class SendPermission {
    Allowed,
    RouteDropped,     // the configuration has no such route
    WorkspaceDropped, // the route needs a workspace, and the configuration does not have that of the request
    ServiceMoved,     // the route does not lead to the service
    RegionForbidden,  // the region is no home of the route, or of the workspace
};
[[nodiscard]] std::string_view toString(SendPermission permission);

/// Whether a request for `service` may be sent in `region`. `match` is that of the newest known configuration.
[[nodiscard]] SendPermission checkSend(const RequestMatch &match, const core::ServiceId &service, const core::RegionId &region);

//-----------------------------------------------------------------------------
// Service
//-----------------------------------------------------------------------------

/// Configuration of a service's model engines.
struct EngineConfig
{
    std::size_t slots = 1;            // maximum batch size of an engine, in requests
    std::uint64_t memoryTokens = 0;   // token capacity shared by running requests and cached prompt prefixes
    std::uint64_t tokensPerEvent = 1; // tokens per stream event
};

/// A set of interchangeable upstreams.
struct Service
{
    core::ServiceId id;
    double maxColdRequestsPerSecond = 0; // request rate that an upstream tolerates before it is warm; 0 = unlimited
    std::optional<EngineConfig> engine;  // set if the upstreams are model engines; a service without it is plain
};

//-----------------------------------------------------------------------------
// Catalog
//-----------------------------------------------------------------------------

/// Size limits and timeouts for client requests.
struct ClientLimits
{
    // Largest values that a configuration may have.
    static constexpr std::size_t MaxHeaderBytes = std::size_t(1) << 30U; // Beast counts header bytes in 32 bits
    static constexpr std::size_t MaxBodyBytes = std::size_t(1) << 40U;

    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{15'000};
    std::chrono::milliseconds idleTimeout{15'000};
};

/// One version of routes, services and limits.
class Catalog
{
public:
    Catalog(CatalogVersion version, std::vector<Route> routes, std::vector<Service> services, ClientLimits limits, std::vector<WorkspaceEntry> workspaces = {});
    Catalog(const Catalog &) = delete;
    Catalog &operator=(const Catalog &) = delete;
    ~Catalog() = default;

    /// Route of `host` with the longest path prefix that matches `path`, or null.
    [[nodiscard]] const Route *matchRoute(std::string_view host, std::string_view path) const;
    [[nodiscard]] const Route *findRoute(const RouteId &id) const;
    /// How a request is handled that has this credential; an empty one: it has none.
    [[nodiscard]] RequestMatch matchRequest(std::string_view host, std::string_view path, std::string_view credential) const;
    /// The same for a request whose route and workspace are known, without its credential. An empty workspace: it has none.
    [[nodiscard]] RequestMatch matchKnown(const RouteId &route, const core::WorkspaceId &workspace) const;
    [[nodiscard]] const Service *findService(const core::ServiceId &id) const;
    /// Whether requests of the route need a credential.
    [[nodiscard]] bool requiresCredential(const Route &route) const
    {
        return !m_workspaces.empty() && !route.isOpen;
    }
    /// Workspace that holds the credential, or null.
    [[nodiscard]] const Workspace *findWorkspace(std::string_view credential) const;
    [[nodiscard]] const Workspace *findWorkspace(const core::WorkspaceId &id) const;
    [[nodiscard]] const std::vector<Workspace> &workspaces() const
    {
        return m_workspaces;
    }
    [[nodiscard]] CatalogVersion version() const
    {
        return m_version;
    }
    [[nodiscard]] const std::vector<Route> &routes() const
    {
        return m_routes;
    }
    [[nodiscard]] const ClientLimits &limits() const
    {
        return m_limits;
    }

private:
    CatalogVersion m_version;
    std::vector<Route> m_routes;
    std::map<core::ServiceId, Service> m_services;
    ClientLimits m_limits;
    std::unordered_map<std::string, std::size_t> m_routeIndex; // host and prefix -> index in m_routes
    std::map<RouteId, std::size_t> m_routesById;               // index in m_routes
    std::vector<Workspace> m_workspaces;
    CredentialIndex m_credentials;
    std::map<core::WorkspaceId, std::size_t> m_workspacesById; // index in m_workspaces
};

using CatalogPointer = std::shared_ptr<const Catalog>; // null until the first version is known

/// Host name from a Host header, in lower case and without the port.
[[nodiscard]] std::string normalizeHost(std::string_view hostHeader);

} // namespace arbutus::catalog
