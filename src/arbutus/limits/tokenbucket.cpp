// Refilling and taking.

#include "arbutus/limits/tokenbucket.h"

#include <algorithm>

namespace arbutus::limits {

TokenBucket::TokenBucket(double ratePerSecond, double burst, core::TimePoint now)
    : m_rate(ratePerSecond)
    , m_burst(std::max(1.0, burst))
    , m_tokens(m_burst)
    , m_filledAt(now)
{
}

bool TokenBucket::tryAcquire(core::TimePoint now)
{
    refill(now);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

core::Duration TokenBucket::timeUntilNextToken(core::TimePoint now)
{
    refill(now);
    if (m_tokens >= 1 || m_rate <= 0) {
        return core::Duration(0);
    }
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>((1 - m_tokens) / m_rate));
}

void TokenBucket::setRate(double ratePerSecond, double burst, core::TimePoint now)
{
    refill(now);
    m_rate = ratePerSecond;
    m_burst = std::max(1.0, burst);
    m_tokens = std::min(m_tokens, m_burst);
}

void TokenBucket::refill(core::TimePoint now)
{
    if (now <= m_filledAt) {
        return;
    }
    m_tokens = std::min(m_burst, m_tokens + m_rate * std::chrono::duration<double>(now - m_filledAt).count());
    m_filledAt = now;
}

RetryBudget::RetryBudget(double share, double reserve)
    : m_share(share)
    , m_reserve(reserve)
    , m_balance(reserve)
{
}

void RetryBudget::recordFirstAttempt()
{
    m_balance = std::min(m_reserve, m_balance + m_share);
}

bool RetryBudget::tryRetry()
{
    if (m_balance < 1) {
        return false;
    }
    m_balance -= 1;
    return true;
}

} // namespace arbutus::limits
