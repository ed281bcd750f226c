// Route matching and weighted selection of services.

#include "arbutus/catalog/catalog.h"
#include "arbutus/core/hash.h"

#include <algorithm>
#include <cctype>

namespace arbutus::catalog {

namespace {

std::string routeKey(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    key += prefix;
    return key;
}

} // namespace

std::string_view toString(SendPermission permission)
{
    switch (permission) {
    case SendPermission::Allowed:
        return "allowed";
    case SendPermission::RouteDropped:
        return "the route was dropped";
    case SendPermission::WorkspaceDropped:
        return "the credential names no workspace any more";
    case SendPermission::ServiceMoved:
        return "the route leads to another service";
    case SendPermission::RegionForbidden:
        return "the region is no home of the route or the workspace";
    }
    return "";
}

std::optional<std::set<core::RegionId>> RequestMatch::homeRegions() const
{
    std::optional<std::set<core::RegionId>> out;
    if (!route->homeRegions.empty()) {
        out = route->homeRegions;
    }
    if (workspace != nullptr && !workspace->homeRegions.empty()) {
        if (!out) {
            return workspace->homeRegions;
        }
        std::erase_if(*out, [this](const core::RegionId &region) { return !workspace->allowsRegion(region); });
    }
    return out;
}

SendPermission checkSend(const RequestMatch &match, const core::ServiceId &service, const core::RegionId &region)
{
    if (match.route == nullptr) {
        return SendPermission::RouteDropped;
    }
    if (match.isCredentialUnknown) {
        return SendPermission::WorkspaceDropped;
    }
    if (!match.route->leadsTo(service)) {
        return SendPermission::ServiceMoved;
    }
    return match.allowsRegion(region) ? SendPermission::Allowed : SendPermission::RegionForbidden;
}

bool Route::leadsTo(const core::ServiceId &service) const
{
    const bool hasWeights = std::any_of(trafficSplits.begin(), trafficSplits.end(), [](const TrafficSplit &split) { return split.weight > 0; });
    if (!hasWeights) {
        return !trafficSplits.empty() && trafficSplits.front().service == service;
    }
    return std::any_of(trafficSplits.begin(), trafficSplits.end(), [&](const TrafficSplit &split) { return split.weight > 0 && split.service == service; });
}

core::ServiceId Route::serviceFor(std::string_view attemptId) const
{
    std::uint64_t totalWeight = 0;
    for (const TrafficSplit &split : trafficSplits) {
        totalWeight += split.weight;
    }
    if (trafficSplits.empty() || totalWeight == 0) {
        return trafficSplits.empty() ? core::ServiceId() : trafficSplits.front().service;
    }
    std::uint64_t offset = core::hash64(attemptId) % totalWeight;
    for (const TrafficSplit &split : trafficSplits) {
        if (offset < split.weight) {
            return split.service;
        }
        offset -= split.weight;
    }
    return trafficSplits.back().service;
}

Catalog::Catalog(CatalogVersion version, std::vector<Route> routes, std::vector<Service> services, ClientLimits limits, std::vector<WorkspaceEntry> workspaces)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_limits(limits)
{
    for (Service &service : services) {
        m_services[service.id] = std::move(service);
    }
    for (std::size_t i = 0; i < m_routes.size(); ++i) {
        m_routesById.emplace(m_routes[i].id, i);
        m_routeIndex.emplace(routeKey(m_routes[i].host, m_routes[i].pathPrefix), i);
    }
    for (WorkspaceEntry &entry : workspaces) {
        for (const std::string &credential : entry.credentials) {
            m_credentials.add(credential, m_workspaces.size());
        }
        m_workspacesById.emplace(entry.workspace.id, m_workspaces.size());
        m_workspaces.push_back(std::move(entry.workspace));
    }
}

const Route *Catalog::matchRoute(std::string_view host, std::string_view path) const
{
    while (!path.empty()) {
        const std::size_t slash = path.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto found = m_routeIndex.find(routeKey(host, path.substr(0, slash + 1)));
        if (found != m_routeIndex.end()) {
            return &m_routes[found->second];
        }
        path = path.substr(0, slash);
    }
    return nullptr;
}

const Route *Catalog::findRoute(const RouteId &id) const
{
    const auto found = m_routesById.find(id);
    return found == m_routesById.end() ? nullptr : &m_routes[found->second];
}

RequestMatch Catalog::matchRequest(std::string_view host, std::string_view path, std::string_view credential) const
{
    RequestMatch out;
    out.route = matchRoute(host, path);
    if (out.route != nullptr && requiresCredential(*out.route)) {
        out.workspace = findWorkspace(credential);
        out.isCredentialUnknown = out.workspace == nullptr;
    }
    return out;
}

RequestMatch Catalog::matchKnown(const RouteId &route, const core::WorkspaceId &workspace) const
{
    RequestMatch out;
    out.route = findRoute(route);
    if (out.route != nullptr && requiresCredential(*out.route)) {
        out.workspace = findWorkspace(workspace);
        out.isCredentialUnknown = out.workspace == nullptr;
    }
    return out;
}

const Service *Catalog::findService(const core::ServiceId &id) const
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &found->second;
}

const Workspace *Catalog::findWorkspace(std::string_view credential) const
{
    const auto found = credential.empty() ? std::nullopt : m_credentials.find(credential);
    return found ? &m_workspaces[*found] : nullptr;
}

const Workspace *Catalog::findWorkspace(const core::WorkspaceId &id) const
{
    const auto found = m_workspacesById.find(id);
    return found == m_workspacesById.end() ? nullptr : &m_workspaces[found->second];
}

std::string normalizeHost(std::string_view hostHeader)
{
    std::string host(hostHeader.substr(0, hostHeader.rfind(']') == std::string_view::npos ? hostHeader.find(':') : hostHeader.rfind(']') + 1));
    std::transform(host.begin(), host.end(), host.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return host;
}

} // namespace arbutus::catalog
