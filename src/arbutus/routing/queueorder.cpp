// Comparison of queued requests.

#include "arbutus/routing/queueorder.h"

namespace arbutus::routing {

UrgencyOrder::UrgencyOrder(UrgencyOrderSettings settings)
    : m_settings(settings)
{
}

bool UrgencyOrder::isMostlyCached(const QueueEntry &entry) const
{
    return entry.minUncachedTokens <= static_cast<double>(entry.promptTokens) * (1 - m_settings.mostlyCachedRatio);
}

bool UrgencyOrder::hasPrecedence(const QueueEntry &left, const QueueEntry &right, core::TimePoint now) const
{
    if (left.hasBegun != right.hasBegun) {
        return left.hasBegun;
    }
    const bool leftMissesDeadline = now + left.minLatency > left.latencyDeadline;
    const bool rightMissesDeadline = now + right.minLatency > right.latencyDeadline;
    if (leftMissesDeadline != rightMissesDeadline) {
        return rightMissesDeadline; // requests that can still meet their latency deadline go first
    }
    if (left.priority != right.priority) {
        return left.priority < right.priority;
    }
    const bool leftCached = isMostlyCached(left);
    const bool rightCached = isMostlyCached(right);
    if (leftCached != rightCached) {
        return leftCached;
    }
    if (left.latencyDeadline != right.latencyDeadline) {
        return left.latencyDeadline < right.latencyDeadline;
    }
    return left.id < right.id;
}

} // namespace arbutus::routing
