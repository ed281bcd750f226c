// Stalls and what they leave in the sockets.

#include "arbutus/edge/evidenceclock.h"

#include <algorithm>
#include <utility>

namespace arbutus::edge {

EvidenceClock::EvidenceClock(core::TimePoint now, core::Duration tolerance)
    : m_tolerance(tolerance)
    , m_ranAt(now)
    , m_waitingSince(now)
    , m_wentOnAt(core::TimePoint::min())
{
}

void EvidenceClock::noteRunning(core::TimePoint now)
{
    const core::TimePoint ranAt = std::exchange(m_ranAt, std::max(m_ranAt, now));
    if (now - ranAt <= m_tolerance) {
        return;
    }
    if (std::exchange(m_isDrained, false)) { // else what has waited since the stall before may still wait
        m_waitingSince = ranAt;
    }
    m_wentOnAt = now;
    if (onStalled) {
        onStalled(now - ranAt);
    }
}

void EvidenceClock::noteDrained(core::TimePoint asOf)
{
    m_isDrained = m_isDrained || asOf >= m_wentOnAt;
}

core::TimePoint EvidenceClock::arrivalTime(core::TimePoint now)
{
    noteRunning(now);
    return m_isDrained ? now : m_waitingSince;
}

core::TimePoint EvidenceClock::answerTime(core::TimePoint askedAt, core::TimePoint now)
{
    noteRunning(now);
    return askedAt < m_wentOnAt ? askedAt : now;
}

} // namespace arbutus::edge
