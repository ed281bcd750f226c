// Whether and where a request may be sent: the newest configuration, and what is known at the moment of a send.

#include "arbutus/edge/forwarderstate.h"

namespace arbutus::edge {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Whether a request that was sent by one of the routes may be sent by the other one.
bool isSameKind(const catalog::Route &left, const catalog::Route &right)
{
    return left.executionSemantics == right.executionSemantics && left.responseMode == right.responseMode && left.resumable == right.resumable;
}

} // namespace

void Forwarder::onCatalogChanged()
{
    m_catalogChanged.notify();
}

bool Forwarder::isOutdated(const RequestState &state) const
{
    const catalog::CatalogPointer &newest = m_metadataCache.catalog();
    if (state.catalog == newest) {
        return false;
    }
    const catalog::RequestMatch match = newestMatch(state);
    const catalog::Route *route = match.route;
    return route == nullptr || match.isCredentialUnknown || match.workspaceId() != state.match().workspaceId() || route->id != state.route->id
        || !isSameKind(*route, *state.route) || match.homeRegions() != state.match().homeRegions()
        || route->leadsTo(state.service) != state.route->leadsTo(state.service);
}

catalog::RequestMatch Forwarder::newestMatch(const RequestState &state) const
{
    return m_metadataCache.catalog()->matchRequest(state.head.host, state.head.path, state.head.credential);
}

bool Forwarder::renewRoute(RequestState &state)
{
    const catalog::CatalogPointer newest = m_metadataCache.catalog();
    if (state.catalog == newest) {
        return true;
    }
    const catalog::RequestMatch match = newestMatch(state);
    const catalog::Route *route = match.route;
    if (route == nullptr || match.isCredentialUnknown) {
        recordOutdated(state, catalog::toString(catalog::checkSend(match, state.service, m_context.settings.region)));
        return false;
    }
    const bool hasBeenSent = state.hasBeenSent() || state.current || state.responseStarted;
    if (hasBeenSent && match.workspaceId() != state.match().workspaceId()) {
        recordOutdated(state, "the credential is of another workspace");
        return false;
    }
    if (hasBeenSent && !isSameKind(*route, *state.route)) {
        recordOutdated(state, "the route is of another kind");
        return false;
    }
    const bool isBegun = state.requiredVersion || state.responseStarted;
    const bool isOriginNewer = state.originCatalog > newest->version();
    if (!route->leadsTo(state.service) && !isOriginNewer && (state.fromPeer || isBegun)) {
        recordOutdated(state, catalog::toString(catalog::SendPermission::ServiceMoved));
        return false;
    }
    if (state.fromPeer && !match.allowsRegion(m_context.settings.region)) {
        recordOutdated(state, catalog::toString(catalog::SendPermission::RegionForbidden));
        return false;
    }
    if (!route->leadsTo(state.service) && !isOriginNewer) {
        state.service = route->serviceFor(state.head.attemptId);
    }
    state.catalog = newest;
    state.route = route;
    state.workspace = match.workspace;
    const std::size_t maxExecutions = std::min(state.originGrant, route->maxUpstreamsPerAttempt);
    state.maxExecutions = hasBeenSent ? std::min(state.maxExecutions, maxExecutions) : maxExecutions;
    if (!hasBeenSent) {
        setDeadlines(state);
    }
    return true;
}

bool Forwarder::areHomesUncertain(const RequestState &state) const
{
    return m_metadataCache.isCatalogBehind() && state.match().homeRegions().has_value();
}

bool Forwarder::isProofExpired() const
{
    const auto &maxDelay = m_context.settings.maxWithdrawalDelay;
    return maxDelay && !mayUseCredentials(m_metadataCache.proof().age(InstanceContext::bootNow()), *maxDelay);
}

bool Forwarder::hasNoRegion(const RequestState &state)
{
    const auto homeRegions = state.match().homeRegions();
    return homeRegions && homeRegions->empty();
}

bool Forwarder::hasWorkspaces(const RequestState &state) const
{
    return !state.catalog->workspaces().empty() || (m_metadataCache.isCatalogBehind() && !state.head.credential.empty());
}

bool Forwarder::mayMatchNewer(const catalog::RequestMatch &match) const
{
    const bool isRefused = match.route == nullptr || match.isCredentialUnknown;
    return m_metadataCache.isCatalogBehind() && (isRefused || match.homeRegions().has_value());
}

bool Forwarder::maySend(RequestState &state, const core::RegionId &region)
{
    if (areHomesUncertain(state)) {
        recordOutdated(state, HomesUncertainReason);
        return false;
    }
    if (state.workspace != nullptr && isProofExpired()) {
        recordOutdated(state, NoProofReason);
        return false;
    }
    if (isOutdated(state)) {
        recordOutdated(state, "the configuration changed since the request was placed");
        return false;
    }
    const catalog::SendPermission permission = catalog::checkSend(state.match(), state.service, region);
    const bool isServiceOfNewer = permission == catalog::SendPermission::ServiceMoved && state.originCatalog > state.catalog->version();
    if (permission == catalog::SendPermission::Allowed || (isServiceOfNewer && state.match().allowsRegion(region))) {
        return true;
    }
    recordOutdated(state, catalog::toString(permission));
    return false;
}

void Forwarder::recordOutdated(RequestState &state, std::string_view reason)
{
    const catalog::CatalogVersion newest = m_metadataCache.knownCatalog().version;
    state.lastFailure =
        std::string(reason) + " (configuration " + std::to_string(newest.value) + ", accepted by " + std::to_string(state.acceptedCatalog.value);
    state.lastFailure += state.fromPeer ? ", origin has " + std::to_string(state.originCatalog.value) + ")" : ")";
    m_context.metrics.incrementCounter("arbutus_outdated_sends_total");
    m_context.writeLog(observe::LogLine("request_outdated")
                           .add("request", state.placementId())
                           .add("route", state.route->id)
                           .add("service", state.service)
                           .add("reason", reason)
                           .add("configuration", state.acceptedCatalog)
                           .add("newest_configuration", newest)
                           .add("origin_configuration", state.originCatalog)
                           .add("workspace", state.match().workspaceId())
                           .add("home_regions", homeRegionsOf(newestMatch(state))));
}

asio::awaitable<bool> Forwarder::waitForNewerCatalog(RequestState &state, core::TimePoint until)
{
    const core::TimePoint end = std::min(m_context.now() + m_settings.maxCatalogWait, until);
    while (state.catalog == m_metadataCache.catalog() && !state.cancellation->cancelled && m_context.now() < end) {
        co_await m_catalogChanged.wait(end - m_context.now());
    }
    co_return state.catalog != m_metadataCache.catalog();
}

bool Forwarder::mustWaitForCatalog(const routing::PlacementDecision &decision) const
{
    const auto *redirected = std::get_if<routing::Redirected>(&decision);
    return redirected != nullptr && redirected->relay.empty() && m_metadataCache.isCatalogBehind();
}

void Forwarder::noteCatalogVersion(const core::InstanceId &instance, const http::Headers &headers)
{
    m_metadataCache.noteCatalogVersion(parseCatalogVersion(headers));
    if (parseCatalogVersion(headers) > m_metadataCache.knownCatalog().version && m_placement.onNewerMetadata) {
        m_placement.onNewerMetadata(instance);
    }
}

} // namespace arbutus::edge
