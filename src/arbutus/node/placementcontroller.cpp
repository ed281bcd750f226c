// Lease, reading back, ordering.

#include "arbutus/node/placementcontroller.h"

#include "arbutus/membership/rendezvous.h"

namespace arbutus::node {

namespace {

constexpr core::Duration LookPeriod = std::chrono::seconds(1);
constexpr core::Duration LongestOrder = std::chrono::seconds(30); // an order is answered or given up by then

} // namespace

PlacementController::PlacementController(NodeState &state)
    : m_state(state)
    , m_planner(state.settings.planner)
{
}

bool PlacementController::holdsLease() const
{
    return m_state.now() < m_heldUntil;
}

void PlacementController::tick()
{
    const bool duty = !m_state.draining && membership::isAmongTopRanked("placement", m_state.domainView.availableMembers(), m_state.self().id, 1);
    if (duty != m_asking) {
        m_asking = duty;
        m_state.emit(MaintainLease{"placement/" + m_state.self().domain.text, duty});
        if (!duty) {
            m_heldUntil = {};
        }
    }
    if (m_state.now() < m_nextLook || !holdsLease()) {
        return;
    }
    m_nextLook = m_state.now() + LookPeriod;
    if (m_underway && m_state.now() >= m_underwayUntil) {
        m_underway.reset(); // its effect is read back from the upstream's report
    }
    if (!m_underway) {
        orderNext();
    }
}

void PlacementController::handle(const LeaseGranted &held)
{
    if (!m_asking) {
        return;
    }
    if (held.fencingToken != m_fencing) {
        m_heldSince = m_state.now();
        m_state.logEvent("placement_lease", {{"fencing", std::to_string(held.fencingToken.value)}});
    }
    m_fencing = held.fencingToken;
    m_heldUntil = held.expiry;
}

std::vector<placement::EngineState> PlacementController::engines() const
{
    std::vector<placement::EngineState> out;
    const bool settled = m_state.now() - m_heldSince >= LongestOrder; // no order of a former holder is under way
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
        out.push_back(std::move(engine));
    }
    return out;
}

void PlacementController::orderNext()
{
    const auto order = m_planner.nextCommand(engines(), m_state.modelDemand.domainDemand(m_state.now()), m_state.now());
    if (!order) {
        return;
    }
    m_underway = order;
    m_underwayUntil = m_state.now() + LongestOrder;
    const bool load = order->kind == placement::PlacementCommandKind::Load;
    m_state.logEvent(
        "placement_order",
        {{"upstream", order->upstream.text}, {"order", load ? "load" : "unload"}, {"model", order->model.text}, {"fencing", std::to_string(m_fencing.value)}});
    m_state.emit(SendPlacementCommand{*order, m_state.upstreamTable.find(order->upstream)->descriptor.address, m_fencing});
}

void PlacementController::handle(const PlacementCommandFinished &ended)
{
    m_state.logEvent("placement_order_ended",
                     {{"upstream", ended.command.upstream.text}, {"model", ended.command.model.text}, {"result", ended.succeeded ? "done" : ended.message}});
    if (m_underway == ended.command) {
        m_underway.reset();
    }
}

} // namespace arbutus::node
