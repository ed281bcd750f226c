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

bool PlacementController::holds() const
{
    return m_state.now() < m_heldUntil;
}

void PlacementController::tick()
{
    const bool duty = !m_state.draining && membership::holdsDuty("placement", m_state.view.usable(), m_state.self().id, 1);
    if (duty != m_asking) {
        m_asking = duty;
        m_state.emit(HoldLease{"placement/" + m_state.self().domain.text, duty});
        if (!duty) {
            m_heldUntil = {};
        }
    }
    if (m_state.now() < m_nextLook || !holds()) {
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

void PlacementController::take(const LeaseHeld &held)
{
    if (!m_asking) {
        return;
    }
    if (held.fencing != m_fencing) {
        m_heldSince = m_state.now();
        m_state.logEvent("placement_lease", {{"fencing", std::to_string(held.fencing.value)}});
    }
    m_fencing = held.fencing;
    m_heldUntil = held.until;
}

std::vector<placement::EngineState> PlacementController::engines() const
{
    std::vector<placement::EngineState> out;
    const bool settled = m_state.now() - m_heldSince >= LongestOrder; // no order of a former holder is under way
    for (const auto &[id, upstream] : m_state.table.upstreams()) {
        if (upstream.line.kind != routing::UpstreamKind::Model || upstream.reportedAt == core::TimePoint()) {
            continue;
        }
        placement::EngineState engine;
        engine.id = id;
        engine.models = upstream.report.models;
        engine.slots = upstream.report.slots;
        engine.busy = upstream.occupancy();
        engine.checksFencing = config::checksFencing(m_state.config.documents(), id);
        engine.usable = !upstream.leaving() && upstream.report.reachable && (engine.checksFencing || settled);
        out.push_back(std::move(engine));
    }
    return out;
}

void PlacementController::orderNext()
{
    const auto order = m_planner.next(engines(), m_state.modelDemand.all(m_state.now()), m_state.now());
    if (!order) {
        return;
    }
    m_underway = order;
    m_underwayUntil = m_state.now() + LongestOrder;
    const bool load = order->kind == placement::OrderKind::Load;
    m_state.logEvent(
        "placement_order",
        {{"upstream", order->upstream.text}, {"order", load ? "load" : "unload"}, {"model", order->model.text}, {"fencing", std::to_string(m_fencing.value)}});
    m_state.emit(SendOrder{*order, m_state.table.find(order->upstream)->line.address, m_fencing});
}

void PlacementController::take(const OrderEnded &ended)
{
    m_state.logEvent("placement_order_ended",
                     {{"upstream", ended.order.upstream.text}, {"model", ended.order.model.text}, {"result", ended.done ? "done" : ended.message}});
    if (m_underway == ended.order) {
        m_underway.reset();
    }
}

} // namespace arbutus::node
