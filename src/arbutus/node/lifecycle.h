// Lifecycle of an instance: serving, draining, handing over, stopped.
//
//   Serving --drain--> Draining --idle--> HandingOver --handed over--> Stopped
//
// While draining, new requests are rejected and those in flight finish. Then the ledgers are handed over.

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

/// The state machine. Each event returns whether the current phase accepts it.
class Lifecycle
{
public:
    Lifecycle();
    Lifecycle(const Lifecycle &) = delete;
    Lifecycle &operator=(const Lifecycle &) = delete;
    ~Lifecycle();

    bool beginDrain();       // a drain was requested
    bool completeDrain();    // no request is in flight
    bool completeHandover(); // a successor has the ledgers, none is left, or the timeout has passed
    [[nodiscard]] LifecyclePhase phase() const;

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace arbutus::node
