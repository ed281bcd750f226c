// Dispatches each event to its controller.

#include "arbutus/node/node.h"

namespace arbutus::node {

Node::Node(const core::Clock &clock, NodeSettings settings)
    : m_state(clock, std::move(settings))
    , m_membership(m_state)
    , m_config(m_state)
    , m_upstreams(m_state)
    , m_digests(m_state)
    , m_ledger(m_state)
    , m_requests(m_state)
    , m_placement(m_state)
{
}

Actions Node::handle(const Event &event)
{
    std::visit([this](const auto &alternative) { on(alternative); }, event);
    return std::exchange(m_state.pendingActions, {});
}

bool Node::ready() const
{
    return m_state.config.head().revision.value > 0 && m_lifecycle.phase() == LifecyclePhase::Serving;
}

void Node::on(const RequestHeadReceived &event)
{
    m_requests.handle(event);
}

void Node::on(const RequestBodyReceived &event)
{
    m_requests.handle(event);
}

void Node::on(const RequestBodyFailed &event)
{
    m_requests.handle(event);
}

void Node::on(const FirstTokenReceived &event)
{
    m_requests.handle(event);
}

void Node::on(const StreamSilent &event)
{
    m_requests.handle(event);
}

void Node::on(const AttemptEnded &event)
{
    m_requests.handle(event);
    advanceDrain();
}

void Node::on(const ForwardToOwnerFinished &event)
{
    m_requests.handle(event);
}

void Node::on(const EntriesRequested &event)
{
    m_requests.handle(event);
}

void Node::on(const LedgerCallReceived &event)
{
    m_ledger.handle(event);
}

void Node::on(const LedgerResponseReceived &event)
{
    if (!m_requests.handle(event)) {
        m_ledger.handle(event);
    }
    advanceDrain();
}

void Node::on(const IdempotencyKeyClaimed &event)
{
    m_requests.handle(event);
}

void Node::on(const DatagramReceived &event)
{
    const Datagram &datagram = event.datagram;
    if (const auto *message = std::get_if<membership::Message>(&datagram.body)) {
        if (datagram.domain == m_state.self().domain) {
            m_membership.receive(event.address, *message);
        }
    } else if (const auto *digest = std::get_if<Digest>(&datagram.body)) {
        m_digests.handle(*digest);
    } else if (const auto *load = std::get_if<LoadUpdate>(&datagram.body)) {
        m_upstreams.handle(*load);
    } else if (const auto *demand = std::get_if<DemandUpdate>(&datagram.body)) {
        m_digests.handle(datagram.sender, *demand);
    }
    const auto *announcement = std::get_if<RevisionAnnouncement>(&datagram.body);
    m_config.handleAnnouncedRevision(datagram.sender, datagram.revision, announcement == nullptr ? std::string() : announcement->peerAddress);
}

void Node::on(const ConfigEntriesReceived &event)
{
    m_config.handle(event);
}

void Node::on(const ConfigSnapshotReceived &event)
{
    m_config.handle(event);
}

void Node::on(const ConfigRequested &event)
{
    m_config.handle(event);
}

void Node::on(const PlatformListReceived &event)
{
    m_upstreams.handle(event);
}

void Node::on(const LoadReportReceived &event)
{
    m_upstreams.handle(event);
}

void Node::on(const LeaseGranted &event)
{
    m_placement.handle(event);
}

void Node::on(const PlacementCommandFinished &event)
{
    m_placement.handle(event);
}

void Node::on(const TimerTick & /*event*/)
{
    m_membership.tick();
    m_config.tick();
    m_upstreams.tick();
    m_digests.tick();
    m_ledger.tick();
    m_requests.tick();
    m_placement.tick();
    advanceDrain();
}

void Node::on(const DrainRequested & /*event*/)
{
    if (!m_lifecycle.beginDrain()) {
        return;
    }
    m_state.draining = true;
    m_state.logEvent("drain_started", {{"in_flight", std::to_string(m_requests.inFlightCount())}, {"held", std::to_string(m_requests.queuedCount())}});
    m_membership.leave();
    m_requests.rejectQueuedRequests();
    advanceDrain();
}

void Node::advanceDrain()
{
    if (m_lifecycle.phase() == LifecyclePhase::Draining && m_requests.inFlightCount() == 0 && m_lifecycle.completeDrain()) {
        m_ledger.startHandover();
    }
    if (m_lifecycle.phase() == LifecyclePhase::HandingOver && m_ledger.isHandoverComplete() && m_lifecycle.completeHandover()) {
        m_state.logEvent("drained", {});
        m_state.emit(DrainCompleted{});
    }
}

} // namespace arbutus::node
