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

constexpr core::Duration MaxTickInterval = std::chrono::milliseconds(20);

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
    [[nodiscard]] LifecyclePhase phase() const
    {
        return m_lifecycle.phase();
    }
    /// Whether it can serve: configuration is there and no stop was asked for.
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::size_t inFlightCount() const
    {
        return m_requests.inFlightCount();
    }
    [[nodiscard]] std::size_t heldCount() const
    {
        return m_requests.heldCount();
    }

private:
    void on(const RequestHeadReceived &event);
    void on(const RequestBodyReceived &event);
    void on(const RequestBodyFailed &event);
    void on(const FirstTokenReceived &event);
    void on(const AttemptEnded &event);
    void on(const ForwardToOwnerFinished &event);
    void on(const EntriesRequested &event);
    void on(const LedgerCallReceived &event);
    void on(const LedgerResponseReceived &event);
    void on(const IdempotencyKeyClaimed &event);
    void on(const DatagramReceived &event);
    void on(const ConfigEntriesReceived &event);
    void on(const ConfigSnapshotReceived &event);
    void on(const ConfigRequested &event);
    void on(const PlatformListReceived &event);
    void on(const LoadReportReceived &event);
    void on(const LeaseGranted &event);
    void on(const PlacementCommandFinished &event);
    void on(const TimerTick &event);
    void on(const DrainRequested &event);
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
