// Refusals of the dispatcher: their reasons, and when the client may come back.
//
// Load pattern: demand exceeds capacity for longer than clients wait. A request that would be served too late at the rate at which requests
// are placed is refused at once, so that its client can come back while it still has time.
//
// Sections:
//   Refused
//   RefusalPolicy
//
// No clock: the caller passes in the time that is left.

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

} // namespace arbutus::routing
