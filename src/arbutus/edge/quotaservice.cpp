// Quotas at one instance.

#include "arbutus/edge/quotaservice.h"
#include "arbutus/core/overloaded.h"

#include <set>

namespace arbutus::edge {

namespace {

constexpr core::Duration LogInterval = std::chrono::seconds(1); // of refusals of one workspace
constexpr core::Duration MetricsInterval = std::chrono::seconds(1);
constexpr core::Duration AttemptMemory = std::chrono::seconds(60); // longer than a client waits

std::set<core::RegionId> regionsOf(const Settings &settings)
{
    std::set<core::RegionId> regions;
    for (const auto &[domain, region] : settings.regionByDomain) {
        regions.insert(region);
    }
    return regions;
}

limits::WorkspaceQuotaSettings makeQuotaSettings(const Settings &settings)
{
    limits::WorkspaceQuotaSettings out;
    out.terms = limits::QuotaTerms{settings.quotaWindow, settings.quotaOvershoot, settings.quotaSlack};
    out.leases.window = settings.quotaWindow;
    out.leases.regionCount = std::max<std::size_t>(regionsOf(settings).size(), 1);
    return out;
}

bool doesNotRun(routing::SendOutcome outcome)
{
    return outcome == routing::SendOutcome::Rejected || outcome == routing::SendOutcome::NeverSent;
}

} // namespace

QuotaService::QuotaService(InstanceContext &context, Fleet &fleet, const MetadataCache &metadataCache)
    : m_context(context)
    , m_fleet(fleet)
    , m_metadataCache(metadataCache)
    , m_exchange(makeQuotaSettings(context.settings), context.settings.instanceId, context.now())
{
}

void QuotaService::applyConfiguration()
{
    if (m_metadataCache.catalog() == m_catalog) {
        return;
    }
    m_catalog = m_metadataCache.catalog();
    m_exchange.quotas().setQuotas(m_catalog ? m_catalog->workspaces() : std::vector<catalog::Workspace>(), m_context.now());
}

//-----------------------------------------------------------------------------
// At the dispatcher
//-----------------------------------------------------------------------------

std::optional<routing::Refused> QuotaService::spend(const routing::PlacementRequest &request)
{
    if (request.quotaUnits == 0) {
        return std::nullopt;
    }
    applyConfiguration();
    const core::TimePoint now = m_context.now();
    const auto refusal = m_exchange.quotas().spend(request.id, request.workspace, request.quotaUnits, now);
    if (!refusal) {
        return std::nullopt;
    }
    const auto logged = m_loggedAt.try_emplace(request.workspace, core::TimePoint{}).first;
    if (now - logged->second >= LogInterval) {
        logged->second = now;
        m_context.writeLog(observe::LogLine("over_quota")
                               .add("workspace", request.workspace)
                               .add("request", request.id)
                               .add("units", request.quotaUnits)
                               .add("available_units", std::lround(refusal->availableUnits))
                               .add("demand_per_s", std::lround(refusal->demand))
                               .add("share", refusal->share)
                               .add("retry_after_ms", core::toMilliseconds(refusal->retryAfter))
                               .add("configuration", m_metadataCache.knownCatalog().version)
                               .add("metadata_staleness_ms", core::toMilliseconds(m_metadataCache.staleness(now))));
    }
    return routing::Refused{routing::RefusalReason::OverQuota, refusal->retryAfter};
}

void QuotaService::noteDecision(const routing::PlacementId &id, const routing::PlacementDecision &decision)
{
    if (std::holds_alternative<routing::Refused>(decision)) {
        giveBack(id);
    }
}

void QuotaService::noteOutcome(const routing::PlacementId &id, routing::SendOutcome outcome)
{
    if (doesNotRun(outcome)) {
        giveBack(id);
    }
}

void QuotaService::giveBack(const routing::PlacementId &id)
{
    m_exchange.quotas().giveBack(id, m_context.now());
}

//-----------------------------------------------------------------------------
// At the instance that has the request
//-----------------------------------------------------------------------------

std::string QuotaService::attemptOf(const routing::PlacementId &id)
{
    return id.text.substr(0, id.text.rfind('/')); // the forwarder appends the number of the placement
}

void QuotaService::prepare(routing::PlacementRequest &request) const
{
    const auto found = m_attempts.find(attemptOf(request.id));
    if (request.quotaUnits == 0 && found != m_attempts.end() && found->second.spentBy.empty()) {
        request.quotaUnits = found->second.units;
    }
}

void QuotaService::notePlaced(const routing::PlacementRequest &request, const routing::PlacementDecision &decision)
{
    if (request.quotaUnits == 0) {
        return;
    }
    const std::string attempt = attemptOf(request.id);
    const auto [found, isNew] = m_attempts.try_emplace(attempt);
    if (isNew) {
        m_attemptAges.emplace_back(m_context.now(), attempt);
    }
    const bool isRefused = std::holds_alternative<routing::Refused>(decision);
    found->second = Attempt{isRefused ? routing::PlacementId() : request.id, request.quotaUnits};
}

void QuotaService::noteSent(const routing::PlacementId &id, routing::SendOutcome outcome)
{
    const auto found = m_attempts.find(attemptOf(id));
    if (found != m_attempts.end() && found->second.spentBy == id && doesNotRun(outcome)) {
        found->second.spentBy = routing::PlacementId();
    }
}

//-----------------------------------------------------------------------------
// Messages
//-----------------------------------------------------------------------------

void QuotaService::send(std::vector<limits::OutgoingQuotaMessage> messages)
{
    for (limits::OutgoingQuotaMessage &outgoing : messages) {
        const membership::Member *member = m_fleet.findMember(outgoing.to);
        if (member == nullptr) {
            continue;
        }
        std::visit(core::Overloaded{
                       [&](const limits::QuotaLease &lease) {
                           PlacementReport report;
                           report.unreachableUpstreams = lostPaths ? lostPaths() : std::set<core::UpstreamId>();
                           report.quotaLease = lease;
                           m_fleet.send(member->gossipAddress, std::move(report));
                       },
                       [&](limits::QuotaState &state) { m_fleet.send(member->gossipAddress, std::move(state)); },
                   },
                   outgoing.message);
    }
}

void QuotaService::useDispatcher(const core::InstanceId &dispatcher)
{
    send(m_exchange.useDispatcher(dispatcher, m_context.now()));
}

void QuotaService::report()
{
    m_exchange.setKnownInstances(m_fleet.knownMemberCount());
    send(m_exchange.report(m_context.now()));
}

void QuotaService::handle(const core::InstanceId &sender, const limits::QuotaMessage &message)
{
    send(m_exchange.handle(sender, message, m_context.now()));
}

std::optional<limits::QuotaState> QuotaService::stateForRegion()
{
    return m_exchange.stateForRegion(m_context.now());
}

std::optional<limits::QuotaState> QuotaService::stateForPeer(const core::InstanceId &peer)
{
    return m_exchange.stateForPeer(peer, m_context.now());
}

void QuotaService::sendUrgentStates()
{
    for (const core::RegionId &region : regionsOf(m_context.settings)) {
        const auto &ranking = m_fleet.dispatcherRanking(region);
        if (region != m_context.settings.region && !ranking.empty()) {
            if (const auto state = stateForPeer(ranking.front().id)) {
                m_fleet.send(ranking.front().gossipAddress, *state);
            }
        }
    }
}

void QuotaService::tick(bool isDispatcher)
{
    applyConfiguration();
    const core::TimePoint now = m_context.now();
    m_exchange.quotas().update(now);
    if (isDispatcher && m_exchange.quotas().isNeedUrgent(now)) {
        sendUrgentStates();
    }
    while (!m_attemptAges.empty() && now - m_attemptAges.front().first > AttemptMemory) {
        m_attempts.erase(m_attemptAges.front().second);
        m_attemptAges.pop_front();
    }
    if (now - m_metricsAt >= MetricsInterval) {
        m_metricsAt = now;
        writeMetrics();
    }
}

void QuotaService::writeMetrics()
{
    for (const auto &[workspace, usage] : m_exchange.quotas().takeUsage()) {
        const std::string label = "workspace=\"" + workspace.text + "\"";
        m_context.metrics.incrementCounter("arbutus_workspace_quota_spent_units_total", label, usage.spentUnits);
        m_context.metrics.incrementCounter("arbutus_workspace_quota_returned_units_total", label, usage.givenBackUnits);
        m_context.metrics.incrementCounter("arbutus_workspace_quota_refused_total", label, static_cast<double>(usage.refusedRequests));
        m_context.metrics.setGauge("arbutus_workspace_quota_share", label, usage.share);
    }
}

} // namespace arbutus::edge
