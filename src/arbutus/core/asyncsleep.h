// Timed suspension of a coroutine.

#pragma once

#include "arbutus/core/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace arbutus::core {

/// Resumes the calling coroutine on its executor after `duration`.
inline boost::asio::awaitable<void> asyncSleep(Duration duration)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, duration);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace arbutus::core
