// Ledger calls from other instances, and the handover of the ledgers during a drain.

#pragma once

#include "arbutus/node/state.h"

#include <optional>
#include <set>

namespace arbutus::node {

/// Answers ledger calls and hands the ledgers over to a successor.
class LedgerController
{
public:
    explicit LedgerController(NodeState &state);

    void tick();
    void handle(const LedgerCallReceived &event);
    /// Handles the response to a handover call. Returns false if the call was not made by this controller.
    bool handle(const LedgerResponseReceived &event);
    /// Closes the owner ledger and starts sending all records to a successor.
    void startHandover();
    /// Whether a successor has received all parts, no successor is left, or the timeout has passed.
    [[nodiscard]] bool isHandoverComplete() const;

private:
    [[nodiscard]] delivery::LedgerResult answer(const LedgerCall &call);
    [[nodiscard]] std::vector<delivery::Handover> makeHandover() const;
    void sendNextPart();

    NodeState &m_state;
    core::TimePoint m_nextPurge{};
    std::vector<membership::Member> m_successors; // candidates, the next one last
    std::vector<delivery::Handover> m_parts;      // next one last
    std::optional<CallKey> m_pendingCall;
    core::TimePoint m_handoverDeadline{};
    bool m_handoverStarted = false;
};

} // namespace arbutus::node
