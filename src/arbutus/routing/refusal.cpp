// Retry-after hints.

#include "arbutus/routing/refusal.h"

#include <algorithm>

namespace arbutus::routing {

RefusalPolicy::RefusalPolicy(RefusalSettings settings)
    : m_settings(settings)
{
}

Refused RefusalPolicy::refuse(RefusalReason reason, core::Duration predictedWait, core::Duration timeLeft) const
{
    const core::Duration retryAfter = reason == RefusalReason::NoUpstream ? std::max(core::Duration::zero(), timeLeft) / 3 : predictedWait / 2;
    return Refused{reason, std::clamp(retryAfter, m_settings.minRetryAfter, m_settings.maxRetryAfter)};
}

ReturnSchedule::ReturnSchedule(ReturnScheduleSettings settings)
    : m_settings(settings)
{
}

core::Duration ReturnSchedule::next(core::Duration drainTime, core::Duration placementTime, core::TimePoint now)
{
    const core::TimePoint room = std::max(m_nextRoom, now + drainTime);
    m_nextRoom = std::min(room + placementTime, now + m_settings.maxRetryAfter); // requests without a chance do not move the others back
    return std::clamp(room - now, m_settings.minRetryAfter, m_settings.maxRetryAfter);
}

} // namespace arbutus::routing
