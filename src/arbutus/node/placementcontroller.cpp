// Placement lease, engine states, placement commands.

#include "arbutus/node/placementcontroller.h"

#include "arbutus/membership/rendezvous.h"

namespace arbutus::node {

namespace {

constexpr core::Duration CheckInterval = std::chrono::seconds(1);
constexpr core::Duration CommandTimeout = std::chrono::seconds(30); // a command has been answered or abandoned by then

} // namespace

PlacementController::PlacementController(NodeState &state)
    : m_state(state)
    , m_planner(state.settings.planner)
{
}

bool PlacementController::holdsLease() const
{
    return m_state.now() < m_leaseExpiry;
}

void PlacementController::tick()
{
    const bool shouldHoldLease =
        !m_state.draining && membership::isAmongTopRanked("placement", m_state.membershipView.availableMembers(), m_state.self().id, 1);
    if (shouldHoldLease != m_maintainingLease) {
        m_maintainingLease = shouldHoldLease;
        m_state.emit(MaintainLease{"placement/" + m_state.self().domain.text, shouldHoldLease});
        if (!shouldHoldLease) {
            m_leaseExpiry = {};
        }
    }
    if (m_state.now() < m_nextCheck || !holdsLease()) {
        return;
    }
    m_nextCheck = m_state.now() + CheckInterval;
    if (m_pendingCommand && m_state.now() >= m_pendingCommandTimeoutAt) {
        m_pendingCommand.reset(); // its effect will show in the upstream's load report
    }
    if (!m_pendingCommand) {
        sendNextCommand();
    }
}

void PlacementController::handle(const LeaseGranted &event)
{
    if (!m_maintainingLease) {
        return;
    }
    if (event.fencingToken != m_fencingToken) {
        m_leaseAcquiredAt = m_state.now();
        m_state.logEvent("placement_lease", {{"fencing", std::to_string(event.fencingToken.value)}});
    }
    m_fencingToken = event.fencingToken;
    m_leaseExpiry = event.expiry;
}

std::vector<placement::EngineState> PlacementController::engines() const
{
    std::vector<placement::EngineState> states;
    const bool settled = m_state.now() - m_leaseAcquiredAt >= CommandTimeout; // no command of the previous holder is in progress
    for (const auto &[id, upstream] : m_state.upstreamTable.upstreams()) {
        if (upstream.descriptor.kind != routing::UpstreamKind::Model || upstream.reportedAt == core::TimePoint()) {
            continue;
        }
        placement::EngineState engine;
        engine.id = id;
        engine.models = upstream.report.models;
        engine.slots = upstream.report.slots;
        engine.inFlight = upstream.occupancy();
        engine.checksFencing = config::checksFencing(m_state.config.documents(), id);
        engine.usable = !upstream.isLeaving() && upstream.report.reachable && (engine.checksFencing || settled);
        states.push_back(std::move(engine));
    }
    return states;
}

void PlacementController::sendNextCommand()
{
    const auto command = m_planner.nextCommand(engines(), m_state.modelDemand.domainDemand(m_state.now()), m_state.now());
    if (!command) {
        return;
    }
    m_pendingCommand = command;
    m_pendingCommandTimeoutAt = m_state.now() + CommandTimeout;
    const bool load = command->kind == placement::PlacementCommandKind::Load;
    m_state.logEvent("placement_order",
                     {{"upstream", command->upstream.text},
                      {"order", load ? "load" : "unload"},
                      {"model", command->model.text},
                      {"fencing", std::to_string(m_fencingToken.value)}});
    m_state.emit(SendPlacementCommand{*command, m_state.upstreamTable.find(command->upstream)->descriptor.address, m_fencingToken});
}

void PlacementController::handle(const PlacementCommandFinished &event)
{
    m_state.logEvent("placement_order_ended",
                     {{"upstream", event.command.upstream.text}, {"model", event.command.model.text}, {"result", event.succeeded ? "done" : event.message}});
    if (m_pendingCommand == event.command) {
        m_pendingCommand.reset();
    }
}

} // namespace arbutus::node
