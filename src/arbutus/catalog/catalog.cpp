// Matching of requests to routes and of attempts to services.

#include "arbutus/catalog/catalog.h"
#include "arbutus/core/hash.h"

#include <algorithm>
#include <cctype>

namespace arbutus::catalog {

namespace {

std::string prefixKey(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    key += prefix;
    return key;
}

} // namespace

core::ServiceId Route::serviceFor(std::string_view attempt) const
{
    std::uint64_t total = 0;
    for (const TrafficSplit &split : trafficSplits) {
        total += split.weight;
    }
    if (trafficSplits.empty() || total == 0) {
        return trafficSplits.empty() ? core::ServiceId() : trafficSplits.front().service;
    }
    std::uint64_t point = core::hash64(attempt) % total;
    for (const TrafficSplit &split : trafficSplits) {
        if (point < split.weight) {
            return split.service;
        }
        point -= split.weight;
    }
    return trafficSplits.back().service;
}

Catalog::Catalog(CatalogVersion version, std::vector<Route> routes, std::vector<Service> services, CallerLimits limits)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_limits(limits)
{
    for (Service &service : services) {
        m_services[service.id] = std::move(service);
    }
    for (std::size_t i = 0; i < m_routes.size(); ++i) {
        m_byPrefix.emplace(prefixKey(m_routes[i].host, m_routes[i].pathPrefix), i);
    }
}

const Route *Catalog::matchRoute(std::string_view host, std::string_view path) const
{
    while (!path.empty()) {
        const std::size_t slash = path.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto found = m_byPrefix.find(prefixKey(host, path.substr(0, slash + 1)));
        if (found != m_byPrefix.end()) {
            return &m_routes[found->second];
        }
        path = path.substr(0, slash);
    }
    return nullptr;
}

const Service *Catalog::findService(const core::ServiceId &id) const
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &found->second;
}

std::string normalizeHost(std::string_view header)
{
    std::string host(header.substr(0, header.rfind(']') == std::string_view::npos ? header.find(':') : header.rfind(']') + 1));
    std::transform(host.begin(), host.end(), host.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return host;
}

} // namespace arbutus::catalog
