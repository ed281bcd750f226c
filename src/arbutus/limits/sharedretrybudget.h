// A node's share of a retry budget that a fleet keeps without talking.
//
// The fleet may make `ratio` x first sends + `slack` further sends in any window. Each node spends `ratio` of its own first
// sends and an equal part of the slack, both less a margin; so the sum over all nodes stays below the bound whichever of
// them are in touch.
//
// Q: What counts as a further send?
// A: Every send of a request to an upstream beyond its first, also one that the upstream turned away, a resumed stream and
//    a send that went to another region.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/core/ids.h"

#include <deque>
#include <map>

namespace arbutus::limits {

struct SharedRetryBudgetSettings
{
    double retryRatio = 0.2;                          // further sends for each first send
    double minRetries = 50;                           // further sends of the whole fleet in a window, without first sends
    core::Duration window = std::chrono::seconds(10); // slides
    double safetyFactor = 0.8;                        // share of the bound that is used
};

/// Sends of one node, by service.
class SharedRetryBudget
{
public:
    explicit SharedRetryBudget(SharedRetryBudgetSettings settings);

    void recordFirstSend(const core::ServiceId &service, core::TimePoint now);
    /// Spends one further send if the budget allows it; `nodes` are all that share the slack.
    [[nodiscard]] bool tryRetry(const core::ServiceId &service, std::size_t nodes, core::TimePoint now);
    /// Further sends left, for the log.
    [[nodiscard]] double remaining(const core::ServiceId &service, std::size_t nodes, core::TimePoint now);

private:
    struct Sends
    {
        std::deque<core::TimePoint> first;
        std::deque<core::TimePoint> further;
    };
    void expire(Sends &sends, core::TimePoint now) const;

    SharedRetryBudgetSettings m_settings;
    std::map<core::ServiceId, Sends> m_sends;
};

} // namespace arbutus::limits
