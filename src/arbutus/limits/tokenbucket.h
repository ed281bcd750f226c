// Token buckets and the retry budget.

#pragma once

#include "arbutus/core/clock.h"

namespace arbutus::limits {

/// Classic token bucket; rate and burst may change at any time.
class TokenBucket
{
public:
    TokenBucket(double ratePerSecond, double burst, core::TimePoint now);

    /// Takes one token; false when there is none.
    [[nodiscard]] bool tryAcquire(core::TimePoint now);
    /// Time until a token is there.
    [[nodiscard]] core::Duration timeUntilNextToken(core::TimePoint now);
    void setRate(double ratePerSecond, double burst, core::TimePoint now);

private:
    void refill(core::TimePoint now);

    double m_rate;  // tokens a second
    double m_burst; // most tokens kept
    double m_tokens;
    core::TimePoint m_filledAt;
};

/// Retries as a share of first attempts: each first attempt earns a part of a retry.
class RetryBudget
{
public:
    explicit RetryBudget(double share = 0.1, double reserve = 10.0);

    void recordFirstAttempt();
    [[nodiscard]] bool tryRetry();

private:
    double m_share;   // retries earned by one first attempt
    double m_reserve; // most retries kept
    double m_balance;
};

} // namespace arbutus::limits
