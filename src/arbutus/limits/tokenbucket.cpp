// Token refill and retry accounting.

#include "arbutus/limits/tokenbucket.h"

#include <algorithm>

namespace arbutus::limits {

TokenBucket::TokenBucket(double ratePerSecond, double burst, core::TimePoint now)
    : m_tokensPerSecond(ratePerSecond)
    , m_burst(std::max(1.0, burst))
    , m_tokens(m_burst)
    , m_lastRefill(now)
{
}

bool TokenBucket::hasToken(core::TimePoint now)
{
    refill(now);
    return m_tokens >= 1;
}

bool TokenBucket::tryAcquire(core::TimePoint now)
{
    if (!hasToken(now)) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

core::Duration TokenBucket::timeUntilNextToken(core::TimePoint now)
{
    refill(now);
    if (m_tokens >= 1 || m_tokensPerSecond <= 0) {
        return core::Duration(0);
    }
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>((1 - m_tokens) / m_tokensPerSecond));
}

void TokenBucket::setRate(double ratePerSecond, double burst, core::TimePoint now)
{
    refill(now);
    m_tokensPerSecond = ratePerSecond;
    m_burst = std::max(1.0, burst);
    m_tokens = std::min(m_tokens, m_burst);
}

void TokenBucket::refill(core::TimePoint now)
{
    if (now <= m_lastRefill) {
        return;
    }
    m_tokens = std::min(m_burst, m_tokens + m_tokensPerSecond * std::chrono::duration<double>(now - m_lastRefill).count());
    m_lastRefill = now;
}

RetryBudget::RetryBudget(double retryRatio, double maxBalance)
    : m_retryRatio(retryRatio)
    , m_maxBalance(maxBalance)
    , m_balance(maxBalance)
{
}

void RetryBudget::recordFirstAttempt()
{
    m_balance = std::min(m_maxBalance, m_balance + m_retryRatio);
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
