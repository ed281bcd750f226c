// Life of an instance: serving, draining, handing over, stopped.
//
//   Serving --drain--> Draining --idle--> HandingOver --handed over--> Stopped
//
// Draining refuses new work and lets what is under way finish; handing over passes the ledger on.

#pragma once

#include <memory>
#include <string_view>

namespace arbutus::node {

enum class LifecyclePhase {
    Serving,
    Draining,
    HandingOver,
    Stopped,
};

[[nodiscard]] std::string_view toString(LifecyclePhase phase);

/// The state machine. Each event returns whether it was accepted in the present phase.
class Lifecycle
{
public:
    Lifecycle();
    Lifecycle(const Lifecycle &) = delete;
    Lifecycle &operator=(const Lifecycle &) = delete;
    ~Lifecycle();

    bool beginDrain();       // a planned stop was asked for
    bool completeDrain();    // nothing is in flight any more
    bool completeHandover(); // the successor has the ledger, or time is over
    [[nodiscard]] LifecyclePhase phase() const;

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace arbutus::node
