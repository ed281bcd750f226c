// The duty of logging: one key=value line for each decision and event, and the last decisions kept for "explain".

#pragma once

#include "arbutus/gateway/duty.h"
#include "arbutus/node/events.h"

#include <boost/json/object.hpp>

#include <deque>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace arbutus::gateway {

/// Log writer and memory of decisions.
class Journal
{
public:
    Journal();

    void start();
    void stop();
    void write(node::DecisionLogged decision);
    void write(node::EventLogged event);
    /// What is remembered of a decision: its lines, oldest first.
    [[nodiscard]] std::optional<boost::json::object> explain(const core::DecisionId &decision) const;
    [[nodiscard]] std::uint64_t dropped() const
    {
        return m_ring.dropped();
    }

private:
    using Item = std::variant<node::DecisionLogged, node::EventLogged>;
    void take(Item &&item);
    void remember(node::DecisionLogged decision);

    DutyThread m_thread;
    DutyRing<Item> m_ring;
    mutable std::mutex m_mutex;
    std::unordered_map<core::DecisionId, std::vector<node::DecisionLogged>> m_decisions;
    std::deque<core::DecisionId> m_order; // oldest first
};

} // namespace arbutus::gateway
