// Counting of sends in a sliding window.

#include "arbutus/limits/sharedretrybudget.h"

#include <algorithm>

namespace arbutus::limits {

SharedRetryBudget::SharedRetryBudget(SharedRetryBudgetSettings settings)
    : m_settings(settings)
{
}

void SharedRetryBudget::expire(Sends &sends, core::TimePoint now) const
{
    for (auto *times : {&sends.first, &sends.further}) {
        while (!times->empty() && now - times->front() >= m_settings.window) {
            times->pop_front();
        }
    }
}

void SharedRetryBudget::recordFirstSend(const core::ServiceId &service, core::TimePoint now)
{
    Sends &sends = m_sends[service];
    expire(sends, now);
    sends.first.push_back(now);
}

double SharedRetryBudget::remaining(const core::ServiceId &service, std::size_t nodes, core::TimePoint now)
{
    Sends &sends = m_sends[service];
    expire(sends, now);
    const double share = m_settings.minRetries / static_cast<double>(std::max<std::size_t>(nodes, 1));
    const double allowed = m_settings.safetyFactor * (m_settings.retryRatio * static_cast<double>(sends.first.size()) + share);
    return allowed - static_cast<double>(sends.further.size());
}

bool SharedRetryBudget::tryRetry(const core::ServiceId &service, std::size_t nodes, core::TimePoint now)
{
    if (remaining(service, nodes, now) < 1) {
        return false;
    }
    m_sends[service].further.push_back(now);
    return true;
}

} // namespace arbutus::limits
