// The decision thread: takes events from a bounded queue, passes them to the node and dispatches the resulting actions.

#pragma once

#include "arbutus/core/boundedqueue.h"
#include "arbutus/node/node.h"

#include <atomic>
#include <functional>
#include <thread>
#include <variant>

namespace arbutus::gateway {

/// Read-only query of the node, run on the decision thread.
using NodeQuery = std::function<void(const node::Node &)>;

/// Executes one action; called on the decision thread and must not block.
using ActionSink = std::function<void(node::Action &&)>;

/// Owns the node and the thread on which it runs.
class DecisionLoop
{
public:
    DecisionLoop(const core::Clock &clock, node::NodeSettings settings, std::size_t queueCapacity, ActionSink sink);
    DecisionLoop(const DecisionLoop &) = delete;
    DecisionLoop &operator=(const DecisionLoop &) = delete;
    ~DecisionLoop();

    void start();
    void stop();
    /// Returns false if the queue is full; the caller then rejects the request or retries.
    [[nodiscard]] bool tryPost(node::Event event);
    /// Posts an event that the node waits for, such as the result of an action, even if the queue is full.
    void post(node::Event event);
    [[nodiscard]] bool tryPostQuery(NodeQuery query);
    [[nodiscard]] std::size_t queueLength() const;
    /// CPU time used by the thread, as of its last tick.
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
    core::BoundedQueue<Item> m_queue;
    ActionSink m_sink;
    std::atomic<bool> m_stopping{false};
    std::atomic<std::int64_t> m_cpuTimeNs{0};
    std::thread m_thread;
};

} // namespace arbutus::gateway
