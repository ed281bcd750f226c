// The decision logic of one gateway instance: events in, actions out.
//
// A node has no socket, no thread and no clock of its own; the same events at the same times give the same actions. The
// program passes events from its threads through a bounded ring buffer; a test, a fuzzer or a benchmark drives many nodes
// in one process.
//
//   Node node(clock, settings);
//   for (Action &action : node.handle(RequestHeadReceived{key, head})) { … }
//
// Q: How often must a TimerTick be sent?
// A: At least every MaxTickInterval; timers are checked only then.

#pragma once

#include "arbutus/node/clustercontrollers.h"
#include "arbutus/node/ledgercontroller.h"
#include "arbutus/node/lifecycle.h"
#include "arbutus/node/placementcontroller.h"
#include "arbutus/node/requestcontroller.h"
#include "arbutus/node/state.h"

namespace arbutus::node {

constexpr core::Duration MaxTickInterval = std::chrono::milliseconds(20);

/// Decision logic of one instance.
class Node
{
public:
    Node(const core::Clock &clock, NodeSettings settings);

    /// Handles an event; returns the actions to execute, in order.
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
    /// Whether it can serve requests: it has a configuration and no drain was requested.
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::size_t inFlightCount() const
    {
        return m_requests.inFlightCount();
    }
    [[nodiscard]] std::size_t queuedCount() const
    {
        return m_requests.queuedCount();
    }

private:
    void on(const RequestHeadReceived &event);
    void on(const RequestBodyReceived &event);
    void on(const RequestBodyFailed &event);
    void on(const FirstTokenReceived &event);
    void on(const StreamSilent &event);
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
