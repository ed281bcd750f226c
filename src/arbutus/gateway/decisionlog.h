// The duty of logging: one key=value line for each decision and event, and the last decisions kept for "explain".

#pragma once

#include "arbutus/gateway/eventloop.h"
#include "arbutus/node/events.h"

#include <boost/json/object.hpp>

#include <deque>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace arbutus::gateway {

/// Log writer and memory of decisions.
class DecisionLog
{
public:
    DecisionLog();

    void start();
    void stop();
    void write(node::LogRoutingDecision decision);
    void write(node::LogEvent event);
    /// What is remembered of a decision: its lines, oldest first.
    [[nodiscard]] std::optional<boost::json::object> explain(const core::DecisionId &decision) const;
    [[nodiscard]] std::uint64_t droppedCount() const
    {
        return m_ring.droppedCount();
    }

private:
    using Item = std::variant<node::LogRoutingDecision, node::LogEvent>;
    void writeItem(Item &&item);
    void remember(node::LogRoutingDecision decision);

    EventLoopThread m_thread;
    EventLoopQueue<Item> m_ring;
    mutable std::mutex m_mutex;
    std::unordered_map<core::DecisionId, std::vector<node::LogRoutingDecision>> m_decisions;
    std::deque<core::DecisionId> m_insertionOrder; // oldest first
};

} // namespace arbutus::gateway
