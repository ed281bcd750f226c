// Ledger calls of other instances, and the hand-over at a planned stop.

#pragma once

#include "arbutus/node/state.h"

#include <optional>
#include <set>

namespace arbutus::node {

/// Answers ledger calls and hands the ledgers on.
class LedgerController
{
public:
    explicit LedgerController(NodeState &state);

    void tick();
    void handle(const LedgerCallReceived &called);
    /// An answer to a hand-over call; false when the call was not one of ours.
    bool handle(const LedgerResponseReceived &answered);
    /// Closes the owner's ledger and sends everything to a successor.
    void startHandover();
    /// Whether the successor has it all, there is nobody, or time is over.
    [[nodiscard]] bool isHandoverComplete() const;

private:
    [[nodiscard]] delivery::LedgerResult answer(const LedgerCall &call);
    [[nodiscard]] std::vector<delivery::Handover> makeHandover() const;
    void sendNext();

    NodeState &m_state;
    core::TimePoint m_nextForget{};
    std::vector<membership::Member> m_successors; // next one last
    std::vector<delivery::Handover> m_parts;      // next one last
    std::optional<CallKey> m_call;
    core::TimePoint m_deadline{};
    bool m_started = false;
};

} // namespace arbutus::node
