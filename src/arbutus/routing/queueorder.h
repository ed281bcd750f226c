// Order in which the queued requests of a service are considered for placement.
//
// Expected load of UrgencyOrder: prompts share 6,300 of 9,190 tokens, and demand exceeds capacity for moments. Streams that have begun go
// first. Requests that can still meet their latency deadline go before those that cannot, the more urgent before the less urgent, and
// mostly cached prompts before others, since several of them are served in the time of one uncached prompt.
//
// Sections:
//   QueueEntry     what the order depends on
//   UrgencyOrder
//
// No clock: the caller passes in the current time.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/routing/upstreamestimator.h"

namespace arbutus::routing {

//-----------------------------------------------------------------------------
// QueueEntry
//-----------------------------------------------------------------------------

/// What is known of a queued request.
struct QueueEntry
{
    PlacementId id;
    bool hasBegun = false; // its stream has begun: work is lost with it
    int priority = 0;      // 0 is most urgent
    core::TimePoint latencyDeadline{};
    core::Duration minLatency{};         // smallest unloaded time to the first event
    std::uint32_t promptTokens = 0;      // 0: a request of a plain service
    std::uint32_t minUncachedTokens = 0; // smallest number over all engines

    /// Work units: uncached tokens, or 1 for a plain service.
    [[nodiscard]] double workUnits() const
    {
        return promptTokens == 0 ? 1 : static_cast<double>(minUncachedTokens);
    }
};

//-----------------------------------------------------------------------------
// UrgencyOrder
//-----------------------------------------------------------------------------

struct UrgencyOrderSettings
{
    double mostlyCachedRatio = 0.5; // cached share from which a prompt counts as mostly cached
};

class UrgencyOrder
{
public:
    explicit UrgencyOrder(UrgencyOrderSettings settings = {});

    [[nodiscard]] bool hasPrecedence(const QueueEntry &left, const QueueEntry &right, core::TimePoint now) const;

private:
    [[nodiscard]] bool isMostlyCached(const QueueEntry &entry) const;

    UrgencyOrderSettings m_settings;
};

} // namespace arbutus::routing
