// The thread that decides: takes events from a bounded ring, feeds the node, hands its actions on.

#pragma once

#include "arbutus/core/boundedqueue.h"
#include "arbutus/node/node.h"

#include <atomic>
#include <functional>
#include <thread>
#include <variant>

namespace arbutus::gateway {

/// Looks at the node on its own thread.
using NodeQuery = std::function<void(const node::Node &)>;

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
    [[nodiscard]] bool tryPost(node::Event event);
    [[nodiscard]] bool tryPostQuery(NodeQuery inspection);
    [[nodiscard]] std::size_t queueLength() const;
    /// Processor time that the thread has used.
    [[nodiscard]] std::chrono::nanoseconds cpuTime() const
    {
        return std::chrono::nanoseconds(m_cpuTimeNs.load());
    }

private:
    using Item = std::variant<node::Event, NodeQuery>;

    void run();
    void handle(const node::Event &event);

    const core::Clock &m_clock;
    node::Node m_node;
    core::BoundedQueue<Item> m_ring;
    ActionSink m_sink;
    std::atomic<bool> m_stopping{false};
    std::atomic<std::int64_t> m_cpuTimeNs{0};
    std::thread m_thread;
};

} // namespace arbutus::gateway
