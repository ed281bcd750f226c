// The thread that decides: takes events from a bounded ring, feeds the node, hands its actions on.

#pragma once

#include "arbutus/core/ring.h"
#include "arbutus/node/node.h"

#include <atomic>
#include <functional>
#include <thread>
#include <variant>

namespace arbutus::gateway {

/// Looks at the node on its own thread.
using Inspection = std::function<void(const node::Node &)>;

/// Carries out one action; called on the decisions thread and must not block.
using ActionSink = std::function<void(node::Action &&)>;

/// The duty of deciding.
class DecisionLoop
{
public:
    DecisionLoop(const core::Clock &clock, node::NodeSettings settings, std::size_t ringCapacity, ActionSink sink);
    DecisionLoop(const DecisionLoop &) = delete;
    DecisionLoop &operator=(const DecisionLoop &) = delete;
    ~DecisionLoop();

    void start();
    void stop();
    /// False when the ring is full: the caller answers "not run" or tries again.
    [[nodiscard]] bool post(node::Event event);
    [[nodiscard]] bool inspect(Inspection inspection);
    [[nodiscard]] std::size_t queued() const;
    /// Processor time that the thread has used.
    [[nodiscard]] std::chrono::nanoseconds processorTime() const
    {
        return std::chrono::nanoseconds(m_processorNs.load());
    }

private:
    using Item = std::variant<node::Event, Inspection>;

    void run();
    void handle(const node::Event &event);

    const core::Clock &m_clock;
    node::Node m_node;
    core::BoundedRing<Item> m_ring;
    ActionSink m_sink;
    std::atomic<bool> m_stopping{false};
    std::atomic<std::int64_t> m_processorNs{0};
    std::thread m_thread;
};

} // namespace arbutus::gateway
