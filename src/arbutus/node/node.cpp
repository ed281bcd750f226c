// Hands each event to the controller that it is for.

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
    std::visit([this](const auto &chosen) { on(chosen); }, event);
    return std::exchange(m_state.out, {});
}

bool Node::ready() const
{
    return m_state.config.head().revision.value > 0 && m_lifecycle.phase() == Phase::Serving;
}

void Node::on(const HeadArrived &event)
{
    m_requests.take(event);
}

void Node::on(const BodyArrived &event)
{
    m_requests.take(event);
}

void Node::on(const BodyFailed &event)
{
    m_requests.take(event);
}

void Node::on(const FirstTokenSeen &event)
{
    m_requests.take(event);
}

void Node::on(const AttemptEnded &event)
{
    m_requests.take(event);
    advanceDrain();
}

void Node::on(const OwnerAnswered &event)
{
    m_requests.take(event);
}

void Node::on(const EntriesWanted &event)
{
    m_requests.take(event);
}

void Node::on(const LedgerCalled &event)
{
    m_ledger.take(event);
}

void Node::on(const LedgerAnswered &event)
{
    if (!m_requests.take(event)) {
        m_ledger.take(event);
    }
    advanceDrain();
}

void Node::on(const KeyClaimed &event)
{
    m_requests.take(event);
}

void Node::on(const DatagramArrived &event)
{
    const Datagram &datagram = event.datagram;
    if (const auto *message = std::get_if<membership::Message>(&datagram.body)) {
        if (datagram.domain == m_state.self().domain) {
            m_membership.receive(event.address, *message);
        }
    } else if (const auto *digest = std::get_if<Digest>(&datagram.body)) {
        m_digests.take(*digest);
    } else if (const auto *news = std::get_if<LoadNews>(&datagram.body)) {
        m_upstreams.take(*news);
    } else if (const auto *demand = std::get_if<DemandNews>(&datagram.body)) {
        m_digests.take(datagram.sender, *demand);
    }
    const auto *head = std::get_if<HeadNews>(&datagram.body);
    m_config.heard(datagram.sender, datagram.revision, head == nullptr ? std::string() : head->peerAddress);
}

void Node::on(const ConfigEntriesRead &event)
{
    m_config.take(event);
}

void Node::on(const ConfigSnapshotRead &event)
{
    m_config.take(event);
}

void Node::on(const ConfigAsked &event)
{
    m_config.take(event);
}

void Node::on(const ListRead &event)
{
    m_upstreams.take(event);
}

void Node::on(const LoadRead &event)
{
    m_upstreams.take(event);
}

void Node::on(const LeaseHeld &event)
{
    m_placement.take(event);
}

void Node::on(const OrderEnded &event)
{
    m_placement.take(event);
}

void Node::on(const Ticked & /*event*/)
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

void Node::on(const DrainAsked & /*event*/)
{
    if (!m_lifecycle.drain()) {
        return;
    }
    m_state.draining = true;
    m_state.logEvent("drain_started", {{"in_flight", std::to_string(m_requests.inFlight())}, {"held", std::to_string(m_requests.held())}});
    m_membership.leave();
    m_requests.releaseHeld();
    advanceDrain();
}

void Node::advanceDrain()
{
    if (m_lifecycle.phase() == Phase::Draining && m_requests.inFlight() == 0 && m_lifecycle.idle()) {
        m_ledger.startHandover();
    }
    if (m_lifecycle.phase() == Phase::HandingOver && m_ledger.handoverDone() && m_lifecycle.handedOver()) {
        m_state.logEvent("drained", {});
        m_state.emit(Drained{});
    }
}

} // namespace arbutus::node
