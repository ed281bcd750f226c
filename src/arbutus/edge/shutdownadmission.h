// Decides which requests an instance that shuts down still passes on.
//
//   const ShutdownTimes times = ShutdownTimes::of(signalAt, gracePeriod);
//   if (!mayBegin(times, UnsentRequest{isStreaming, expectedDuration, deadline}, now)) { /* refuse as not executed, and close the connection */ }
//
// Q: Why is an estimate not enough throughout the grace period?
// A: One that is wrong costs the client its answer, and what may not be repeated is lost. Clients of the first part of the grace period have
//    nowhere else to go yet: the directory and kept connections still lead them here. Later ones do, so a refusal costs them one more try.
//
// Q: When is a request sure to end?
// A: When its deadline, the smaller of the route's timeout and the client's own, comes before the instance ends it.
//
// Q: Which moments of a request does this hold for?
// A: All until it is sent: its head, the end of its body, each wait for a placement, and the moment at which its connection is there. A stream
//    that has begun is continued for as long as possible, since ending it is no better.

#pragma once

#include "arbutus/core/clock.h"

#include <algorithm>

namespace arbutus::edge {

/// Times of a planned stop.
struct ShutdownTimes
{
    core::TimePoint estimatesUntil; // later, only requests that are sure to end are sent
    core::TimePoint answersBy;      // requests without a response get one
    core::TimePoint streamsUntil;   // streams that have begun are cut

    static constexpr double EstimateShare = 3.0 / 8; // of the grace period
    static constexpr double AnswerShare = 14.0 / 16;
    static constexpr double StreamShare = 14.5 / 16;
    static constexpr core::Duration MaxEstimateTime = std::chrono::seconds(3); // also in a long grace period

    [[nodiscard]] static ShutdownTimes of(core::TimePoint signalAt, core::Duration gracePeriod)
    {
        const auto share = [&](double part) { return std::chrono::duration_cast<core::Duration>(gracePeriod * part); };
        return {signalAt + std::min(share(EstimateShare), MaxEstimateTime), signalAt + share(AnswerShare), signalAt + share(StreamShare)};
    }
    /// When a request of this kind is ended.
    [[nodiscard]] core::TimePoint endOf(bool isStreaming) const
    {
        return isStreaming ? streamsUntil : answersBy;
    }
};

struct UnsentRequest
{
    bool isStreaming = false;
    core::Duration expectedDuration{}; // from its send to the end of its response
    core::TimePoint deadline{};        // at which it ends in any case
};

/// Whether the request ends before the shutdown would end it, however long it takes.
[[nodiscard]] inline bool isSureToEnd(const ShutdownTimes &times, const UnsentRequest &request)
{
    return request.deadline <= times.endOf(request.isStreaming);
}

/// Whether the request may be sent now, and is ended by the shutdown later at most if the estimate is wrong.
[[nodiscard]] inline bool mayBegin(const ShutdownTimes &times, const UnsentRequest &request, core::TimePoint now)
{
    const core::TimePoint end = times.endOf(request.isStreaming);
    if (isSureToEnd(times, request)) {
        return now < end;
    }
    return now <= times.estimatesUntil && now + request.expectedDuration < end;
}

} // namespace arbutus::edge
