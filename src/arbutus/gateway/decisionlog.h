// Writes one key=value log line per decision and event on its own thread, and retains recent decisions for "explain".

#pragma once

#include "arbutus/gateway/eventloop.h"
#include "arbutus/node/events.h"

#include <boost/json/object.hpp>

#include <deque>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace arbutus::gateway {

/// Asynchronous log writer with a bounded history of routing decisions.
class DecisionLog
{
public:
    DecisionLog();

    void start();
    void stop();
    void write(node::LogRoutingDecision decision);
    void write(node::LogEvent event);
    /// Retained log entries of a decision, oldest first; nothing if the decision is unknown or has been evicted.
    [[nodiscard]] std::optional<boost::json::object> explain(const core::DecisionId &decision) const;
    [[nodiscard]] std::uint64_t droppedCount() const
    {
        return m_queue.droppedCount();
    }

private:
    using Item = std::variant<node::LogRoutingDecision, node::LogEvent>;
    void writeItem(Item &&item);
    void retain(node::LogRoutingDecision decision);

    EventLoopThread m_thread;
    EventLoopQueue<Item> m_queue;
    mutable std::mutex m_mutex;
    std::unordered_map<core::DecisionId, std::vector<node::LogRoutingDecision>> m_decisions;
    std::deque<core::DecisionId> m_insertionOrder; // oldest first
};

} // namespace arbutus::gateway
