// Fleet-wide retry budget, enforced by each node without coordination.
//
// In any window, the fleet may make `retryRatio` * first sends + `minRetries` retries. Each node may spend `retryRatio` of
// its own first sends plus an equal share of `minRetries`, both scaled by `safetyFactor`. The sum over all nodes therefore
// stays below the limit, whichever nodes can reach each other.
//
// Q: What counts as a retry?
// A: Every send of a request to an upstream after its first send, including sends that the upstream rejected, resumed
//    streams and sends to another region.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/core/ids.h"

#include <deque>
#include <map>

namespace arbutus::limits {

struct SharedRetryBudgetSettings
{
    double retryRatio = 0.2;                          // retries per first send
    double minRetries = 50;                           // retries that the whole fleet may make per window, regardless of first sends
    core::Duration window = std::chrono::seconds(10); // sliding window length
    double safetyFactor = 0.8;                        // fraction of the limit that is spent
};

/// Retry budget of one node, tracked per service.
class SharedRetryBudget
{
public:
    explicit SharedRetryBudget(SharedRetryBudgetSettings settings);

    void recordFirstSend(const core::ServiceId &service, core::TimePoint now);
    /// Spends one retry if the budget allows it. `nodeCount` is the number of nodes that share `minRetries`.
    [[nodiscard]] bool tryRetry(const core::ServiceId &service, std::size_t nodeCount, core::TimePoint now);
    /// Retries left, for logging.
    [[nodiscard]] double remaining(const core::ServiceId &service, std::size_t nodeCount, core::TimePoint now);

private:
    struct SendHistory
    {
        std::deque<core::TimePoint> firstSends;
        std::deque<core::TimePoint> retries;
    };
    void expire(SendHistory &history, core::TimePoint now) const;

    SharedRetryBudgetSettings m_settings;
    std::map<core::ServiceId, SendHistory> m_history;
};

} // namespace arbutus::limits
