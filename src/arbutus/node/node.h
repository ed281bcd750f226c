// The decision logic of one entry instance: events in, actions out.
//
// No socket, no thread and no clock of its own; the same events at the same times give the same actions. The program
// feeds it from its threads through a bounded ring; a test, a fuzzer or a benchmark drives many nodes in one process.
//
//   Node node(clock, settings);
//   for (Action &action : node.handle(HeadArrived{key, head})) { … }
//
// Q: How often must Ticked come?
// A: At least every TickPeriod; timers are only looked at then.

#pragma once

#include "arbutus/node/clustercontrollers.h"
#include "arbutus/node/ledgercontroller.h"
#include "arbutus/node/lifecycle.h"
#include "arbutus/node/placementcontroller.h"
#include "arbutus/node/requestcontroller.h"
#include "arbutus/node/state.h"

namespace arbutus::node {

constexpr core::Duration TickPeriod = std::chrono::milliseconds(20);

/// One instance's decisions.
class Node
{
public:
    Node(const core::Clock &clock, NodeSettings settings);

    /// Takes an event; returns what is to be done, in order.
    [[nodiscard]] Actions handle(const Event &event);

    [[nodiscard]] const NodeState &state() const
    {
        return m_state;
    }
    [[nodiscard]] const PlacementController &placement() const
    {
        return m_placement;
    }
    [[nodiscard]] Phase phase() const
    {
        return m_lifecycle.phase();
    }
    /// Whether it can serve: configuration is there and no stop was asked for.
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::size_t inFlight() const
    {
        return m_requests.inFlight();
    }
    [[nodiscard]] std::size_t held() const
    {
        return m_requests.held();
    }

private:
    void on(const HeadArrived &event);
    void on(const BodyArrived &event);
    void on(const BodyFailed &event);
    void on(const FirstTokenSeen &event);
    void on(const AttemptEnded &event);
    void on(const OwnerAnswered &event);
    void on(const EntriesWanted &event);
    void on(const LedgerCalled &event);
    void on(const LedgerAnswered &event);
    void on(const KeyClaimed &event);
    void on(const DatagramArrived &event);
    void on(const ConfigEntriesRead &event);
    void on(const ConfigSnapshotRead &event);
    void on(const ConfigAsked &event);
    void on(const ListRead &event);
    void on(const LoadRead &event);
    void on(const LeaseHeld &event);
    void on(const OrderEnded &event);
    void on(const Ticked &event);
    void on(const DrainAsked &event);
    void advanceDrain();

    NodeState m_state;
    MembershipController m_membership;
    ConfigController m_config;
    UpstreamController m_upstreams;
    DigestController m_digests;
    LedgerController m_ledger;
    RequestController m_requests;
    PlacementController m_placement;
    Lifecycle m_lifecycle;
};

} // namespace arbutus::node
