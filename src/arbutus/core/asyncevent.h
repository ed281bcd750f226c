// Lets coroutines of one thread wait until another one has changed something.
//
//   while (!condition()) {
//       co_await event.wait();      // or wait(duration)
//   }
//
// The code that changes what the condition depends on calls notify(). Waiters check their condition again after each wakeup.

#pragma once

#include "arbutus/core/clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>

namespace arbutus::core {

class AsyncEvent
{
public:
    explicit AsyncEvent(boost::asio::any_io_executor executor)
        : m_executor(std::move(executor))
    {
    }
    AsyncEvent(const AsyncEvent &) = delete;
    AsyncEvent &operator=(const AsyncEvent &) = delete;
    ~AsyncEvent() = default;

    /// Wakes all coroutines that wait now.
    void notify()
    {
        for (boost::asio::steady_timer *timer : m_waiting) {
            timer->cancel();
        }
    }
    boost::asio::awaitable<void> wait()
    {
        return waitUntil(boost::asio::steady_timer::time_point::max());
    }
    /// Ends after `duration` at the latest.
    boost::asio::awaitable<void> wait(Duration duration)
    {
        return waitUntil(boost::asio::steady_timer::clock_type::now() + duration);
    }

private:
    /// Timer of one waiting coroutine, registered for the lifetime of the object.
    class Waiter
    {
    public:
        Waiter(AsyncEvent &event, boost::asio::steady_timer::time_point end)
            : timer(event.m_executor, end)
            , m_event(event)
        {
            m_event.m_waiting.insert(&timer);
        }
        Waiter(const Waiter &) = delete;
        Waiter &operator=(const Waiter &) = delete;
        ~Waiter()
        {
            m_event.m_waiting.erase(&timer);
        }

        boost::asio::steady_timer timer;

    private:
        AsyncEvent &m_event;
    };

    boost::asio::awaitable<void> waitUntil(boost::asio::steady_timer::time_point end)
    {
        Waiter waiter(*this, end);
        boost::system::error_code code;
        co_await waiter.timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, code));
    }

    boost::asio::any_io_executor m_executor;
    std::set<boost::asio::steady_timer *> m_waiting;
};

} // namespace arbutus::core
