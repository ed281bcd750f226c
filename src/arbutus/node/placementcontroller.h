// Model placement in a failure domain, coordinated by a lease in the platform's key-value service.
//
// The member that ranks first requests the lease, and the lease holder sends placement commands, one at a time, with the
// lease's fencing token. A holder whose lease has expired by its own clock sends no more commands. A holder that was
// paused after this check may still send one: upstreams that check fencing tokens reject it, and those that ignore tokens
// only ever get commands that are harmless when they arrive late (see placement/planner.h). During a platform outage the
// lease expires, and loaded models stay loaded.

#pragma once

#include "arbutus/node/state.h"
#include "arbutus/placement/planner.h"

#include <optional>

namespace arbutus::node {

/// Acquires the placement lease and sends placement commands.
class PlacementController
{
public:
    explicit PlacementController(NodeState &state);

    void tick();
    void handle(const LeaseGranted &event);
    void handle(const PlacementCommandFinished &event);

    /// Whether this instance may send commands now.
    [[nodiscard]] bool holdsLease() const;

private:
    [[nodiscard]] std::vector<placement::EngineState> engines() const;
    void sendNextCommand();

    NodeState &m_state;
    placement::Planner m_planner;
    bool m_maintainingLease = false;
    core::FencingToken m_fencingToken;
    core::TimePoint m_leaseExpiry{};
    core::TimePoint m_leaseAcquiredAt{};
    std::optional<placement::PlacementCommand> m_pendingCommand; // only one, to stay within the weight store's rate
    core::TimePoint m_pendingCommandTimeoutAt{};
    core::TimePoint m_nextCheck{};
};

} // namespace arbutus::node
