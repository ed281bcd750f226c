// Sliding-window send counts.

#include "arbutus/limits/sharedretrybudget.h"

#include <algorithm>

namespace arbutus::limits {

SharedRetryBudget::SharedRetryBudget(SharedRetryBudgetSettings settings)
    : m_settings(settings)
{
}

void SharedRetryBudget::expire(SendHistory &history, core::TimePoint now) const
{
    for (auto *sendTimes : {&history.firstSends, &history.retries}) {
        while (!sendTimes->empty() && now - sendTimes->front() >= m_settings.window) {
            sendTimes->pop_front();
        }
    }
}

void SharedRetryBudget::recordFirstSend(const core::ServiceId &service, core::TimePoint now)
{
    SendHistory &history = m_history[service];
    expire(history, now);
    history.firstSends.push_back(now);
}

double SharedRetryBudget::remaining(const core::ServiceId &service, std::size_t nodeCount, core::TimePoint now)
{
    SendHistory &history = m_history[service];
    expire(history, now);
    const double minRetryShare = m_settings.minRetries / static_cast<double>(std::max<std::size_t>(nodeCount, 1));
    const double allowed = m_settings.safetyFactor * (m_settings.retryRatio * static_cast<double>(history.firstSends.size()) + minRetryShare);
    return allowed - static_cast<double>(history.retries.size());
}

bool SharedRetryBudget::tryRetry(const core::ServiceId &service, std::size_t nodeCount, core::TimePoint now)
{
    if (remaining(service, nodeCount, now) < 1) {
        return false;
    }
    m_history[service].retries.push_back(now);
    return true;
}

} // namespace arbutus::limits
