// Tells how old what this process receives may be.
//
// A process that stood still finds in its sockets what has arrived meanwhile, and the steady clock has run on. Until all of that has been
// read, a datagram is only known to have arrived after the last moment at which the process ran. An answer to a question from before
// is only known to have been given after the question.
//
//   clock.noteRunning(now);                                  // several times a second, and before anything received is judged
//   const core::TimePoint at = clock.arrivalTime(now);       // of a datagram that is read now
//   clock.noteDrained(now);                                  // no datagram was waiting
//   const core::TimePoint at = clock.answerTime(asked, now); // of an answer that is handled now
//
// Q: What about a short gap?
// A: Up to `tolerance` it counts as running, like the time that a datagram takes on its way.

#pragma once

#include "arbutus/core/clock.h"

#include <functional>

namespace arbutus::edge {

class EvidenceClock
{
public:
    explicit EvidenceClock(core::TimePoint now, core::Duration tolerance = std::chrono::milliseconds(250));

    /// Records that the process runs now, and calls onStalled if it did not since the last call.
    void noteRunning(core::TimePoint now);
    /// Records that all datagrams that had arrived by then have been read.
    void noteDrained(core::TimePoint asOf);
    [[nodiscard]] bool isDrained() const
    {
        return m_isDrained;
    }
    /// Earliest time at which a datagram that is read now can have arrived, less the tolerance.
    [[nodiscard]] core::TimePoint arrivalTime(core::TimePoint now);
    /// Earliest time at which the answer to a question that was asked at `askedAt` can have been given, less the tolerance.
    [[nodiscard]] core::TimePoint answerTime(core::TimePoint askedAt, core::TimePoint now);

    /// Called when the process goes on after it stood still, before anything received is judged.
    std::function<void(core::Duration stalledFor)> onStalled;

private:
    core::Duration m_tolerance;
    core::TimePoint m_ranAt;
    core::TimePoint m_waitingSince; // earliest arrival of what waits, unless drained
    core::TimePoint m_wentOnAt;     // after the last stall
    bool m_isDrained = true;
};

} // namespace arbutus::edge
