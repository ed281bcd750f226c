// Clock interface and time types.
//
// Decision logic takes a Clock and never reads system time directly, so that tests control time and a given sequence
// of events always produces the same actions. Durations are std::chrono types throughout.

#pragma once

#include <chrono>

namespace arbutus::core {

using Duration = std::chrono::microseconds;                                     // resolution of all decisions
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>; // monotonic
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Source of time. Use steadyNow() to order events and measure intervals, wallNow() for expiry times shared by instances and for logs.
class Clock
{
public:
    Clock() = default;
    Clock(const Clock &) = delete;
    Clock &operator=(const Clock &) = delete;
    virtual ~Clock() = default;

    [[nodiscard]] virtual TimePoint steadyNow() const = 0;
    [[nodiscard]] virtual WallTime wallNow() const = 0;
};

/// Clock of the operating system.
class SystemClock final : public Clock
{
public:
    [[nodiscard]] TimePoint steadyNow() const override
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    }
    [[nodiscard]] WallTime wallNow() const override
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    }
};

/// Clock that only moves on advance(); for tests, fuzzers and benchmarks.
class ManualClock final : public Clock
{
public:
    [[nodiscard]] TimePoint steadyNow() const override
    {
        return m_steady;
    }
    [[nodiscard]] WallTime wallNow() const override
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(m_wall);
    }
    void advance(Duration step)
    {
        m_steady += step;
        m_wall += step;
    }

private:
    TimePoint m_steady{std::chrono::seconds(1000)};
    std::chrono::time_point<std::chrono::system_clock, Duration> m_wall{std::chrono::seconds(1'700'000'000)};
};

/// Whole milliseconds of a duration, for logs and headers.
[[nodiscard]] inline std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace arbutus::core
