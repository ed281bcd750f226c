// The placement duty of a failure domain: a lease in the platform's service, its fencing number, one order at a time.
//
// The member that ranks first for the duty asks for the lease; whoever holds it orders. A holder whose lease has run out
// by its own clock orders nothing more. One that was paused in between may still send: upstreams that check fencing
// numbers refuse it, and those that ignore them only ever get orders that are harmless when they come late (see
// placement/planner.h). While the platform is out the lease runs out, and what is loaded stays.

#pragma once

#include "arbutus/node/state.h"
#include "arbutus/placement/planner.h"

#include <optional>

namespace arbutus::node {

/// The controller.
class PlacementController
{
public:
    explicit PlacementController(NodeState &state);

    void tick();
    void handle(const LeaseGranted &held);
    void handle(const PlacementCommandFinished &ended);

    /// Whether this instance may order now.
    [[nodiscard]] bool holdsLease() const;

private:
    [[nodiscard]] std::vector<placement::EngineState> engines() const;
    void orderNext();

    NodeState &m_state;
    placement::Planner m_planner;
    bool m_asking = false; // for the lease
    core::FencingToken m_fencing;
    core::TimePoint m_heldUntil{};
    core::TimePoint m_heldSince{};
    std::optional<placement::PlacementCommand> m_underway; // one at a time keeps within the weight store's rate
    core::TimePoint m_underwayUntil{};
    core::TimePoint m_nextLook{};
};

} // namespace arbutus::node
