// Refusals of the dispatcher: their reasons, and when the client may come back.
//
// Load pattern: demand exceeds capacity for longer than clients wait. A request that would be served too late at the rate at which requests
// are placed is refused at once, so that its client can come back while it still has time.
//
// Sections:
//   Refused
//   RefusalPolicy
//   ReturnSchedule
//
// No clock: the caller passes in the current time, or the time that is left.

#pragma once

#include "arbutus/core/clock.h"

namespace arbutus::routing {

//-----------------------------------------------------------------------------
// Refused
//-----------------------------------------------------------------------------

enum class RefusalReason {
    NoUpstream,  // no reachable upstream may serve it
    Overloaded,  // would not be served in time
    Quarantined, // the request, or a part of its prompt, crashes upstreams
    VersionGone, // no region has an upstream of the required version left
    Outdated,    // a newer configuration has dropped or moved its route
    OverQuota,   // its workspace has used up its quota
};
struct Refused
{
    RefusalReason reason = RefusalReason::NoUpstream;
    core::Duration retryAfter{};
};

//-----------------------------------------------------------------------------
// RefusalPolicy
//-----------------------------------------------------------------------------

struct RefusalSettings
{
    core::Duration minRetryAfter = std::chrono::milliseconds(200); // lower bound of the retry-after hint
    core::Duration maxRetryAfter = std::chrono::milliseconds(3'000);
};

class RefusalPolicy
{
public:
    explicit RefusalPolicy(RefusalSettings settings = {});

    /// `timeLeft`: until a response is useless.
    [[nodiscard]] Refused refuse(RefusalReason reason, core::Duration predictedWait, core::Duration timeLeft) const;

private:
    RefusalSettings m_settings;
};

//-----------------------------------------------------------------------------
// ReturnSchedule
//-----------------------------------------------------------------------------

// Load that it answers: hundreds of requests are refused within a second. If all are told the same time, they come back together, find the
// queue as it was, and are refused again. So each is told the time at which room for it is expected: after the queue has drained and those
// that were refused before it have come back and been placed.

struct ReturnScheduleSettings
{
    core::Duration minRetryAfter = std::chrono::milliseconds(100);
    core::Duration maxRetryAfter = std::chrono::milliseconds(3'000); // clients do not wait longer
};

class ReturnSchedule
{
public:
    explicit ReturnSchedule(ReturnScheduleSettings settings = {});

    /// Retry-after hint of one request. `drainTime`: until all that are queued have been placed; `placementTime`: of the request itself, at
    /// the rate that arrivals leave over.
    [[nodiscard]] core::Duration next(core::Duration drainTime, core::Duration placementTime, core::TimePoint now);

private:
    ReturnScheduleSettings m_settings;
    core::TimePoint m_nextRoom{}; // after all that have been told to come back
};

} // namespace arbutus::routing
