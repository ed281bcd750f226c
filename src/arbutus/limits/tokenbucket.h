// Token bucket and retry budget.

#pragma once

#include "arbutus/core/clock.h"

namespace arbutus::limits {

/// Token bucket whose rate and burst can be changed at any time.
class TokenBucket
{
public:
    TokenBucket(double ratePerSecond, double burst, core::TimePoint now);

    /// Takes one token; returns false if none is available.
    [[nodiscard]] bool tryAcquire(core::TimePoint now);
    [[nodiscard]] bool hasToken(core::TimePoint now);
    /// Time until a token is available; zero if one is available or the rate is zero.
    [[nodiscard]] core::Duration timeUntilNextToken(core::TimePoint now);
    void setRate(double ratePerSecond, double burst, core::TimePoint now);
    [[nodiscard]] double rate() const // tokens per second
    {
        return m_tokensPerSecond;
    }

private:
    void refill(core::TimePoint now);

    double m_tokensPerSecond;
    double m_burst; // bucket capacity
    double m_tokens;
    core::TimePoint m_lastRefill;
};

/// Limits retries to a fraction of first attempts: each first attempt earns a fraction of a retry.
class RetryBudget
{
public:
    explicit RetryBudget(double retryRatio = 0.1, double maxBalance = 10.0);

    void recordFirstAttempt();
    [[nodiscard]] bool tryRetry();

private:
    double m_retryRatio; // retries earned by one first attempt
    double m_maxBalance; // maximum number of saved retries
    double m_balance;
};

} // namespace arbutus::limits
