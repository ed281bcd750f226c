// Priority queue of delayable requests, held until capacity is free or their start deadline is reached.
//
// Requests are released by urgency, then by earliest start deadline. When the queue is full, the least urgent request with
// the latest start deadline is rejected, which may be the one just added. No request is held past its start deadline.

#pragma once

#include "arbutus/config/document.h"
#include "arbutus/core/clock.h"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace arbutus::limits {

using QueuedRequestKey = std::uint64_t;

/// A queued request; the member order defines the queue order.
struct QueuedRequest
{
    config::Urgency urgency = config::Urgency::Normal;
    core::TimePoint startDeadline{}; // latest time at which the request may start
    QueuedRequestKey key = 0;

    auto operator<=>(const QueuedRequest &) const = default;
};

/// Bounded queue, ordered by QueuedRequest.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(std::size_t capacity);

    /// Adds a request. If the queue is over capacity, removes the lowest-ranked request and returns its key.
    std::optional<QueuedRequestKey> add(const QueuedRequest &request);
    void remove(QueuedRequestKey key);
    /// Removes and returns the requests whose start deadline has been reached.
    [[nodiscard]] std::vector<QueuedRequestKey> popDue(core::TimePoint now);
    /// Next request to release when capacity is free.
    [[nodiscard]] std::optional<QueuedRequestKey> front() const;
    [[nodiscard]] std::vector<QueuedRequestKey> popAll();
    [[nodiscard]] std::size_t size() const
    {
        return m_requests.size();
    }

private:
    std::size_t m_capacity;
    std::set<QueuedRequest> m_requests;
};

} // namespace arbutus::limits
