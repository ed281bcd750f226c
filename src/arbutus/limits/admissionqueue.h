// Requests that may wait, held until there is slack or until they must start.
//
// Order of release: urgency first, then the earliest latest-start. A full room refuses the least urgent request with the
// latest start, which may be the newcomer. Nothing is held past its latest start.

#pragma once

#include "arbutus/config/document.h"
#include "arbutus/core/clock.h"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace arbutus::limits {

using QueuedRequestKey = std::uint64_t;

/// One held request.
struct QueuedRequest
{
    config::Urgency urgency = config::Urgency::Normal;
    core::TimePoint startDeadline{}; // it must start by then
    QueuedRequestKey key = 0;

    auto operator<=>(const QueuedRequest &) const = default;
};

/// The room.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(std::size_t capacity);

    /// Adds a request; returns the one that has to be refused because the room is full.
    std::optional<QueuedRequestKey> add(const QueuedRequest &waiting);
    void remove(QueuedRequestKey key);
    /// Requests whose latest start has come.
    [[nodiscard]] std::vector<QueuedRequestKey> popDue(core::TimePoint now);
    /// Next request to release into slack.
    [[nodiscard]] std::optional<QueuedRequestKey> front() const;
    [[nodiscard]] std::vector<QueuedRequestKey> popAll();
    [[nodiscard]] std::size_t size() const
    {
        return m_waiting.size();
    }

private:
    std::size_t m_capacity;
    std::set<QueuedRequest> m_waiting;
};

} // namespace arbutus::limits
