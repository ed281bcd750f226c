// A duty: one thread with its own executor, and a bounded ring by which others hand it work.

#pragma once

#include "arbutus/core/boundedqueue.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <functional>
#include <thread>

namespace arbutus::gateway {

/// Thread and executor of a duty.
class EventLoopThread
{
public:
    EventLoopThread()
        : m_context(1)
        , m_work(boost::asio::make_work_guard(m_context))
    {
    }
    EventLoopThread(const EventLoopThread &) = delete;
    EventLoopThread &operator=(const EventLoopThread &) = delete;
    ~EventLoopThread()
    {
        stop();
    }

    void start()
    {
        m_thread = std::thread([this] { m_context.run(); });
    }
    void stop()
    {
        m_context.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }
    [[nodiscard]] boost::asio::any_io_executor executor()
    {
        return m_context.get_executor();
    }

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

/// Bounded hand-over of items to a duty's thread; a full ring drops the item and counts it.
template<class T>
class EventLoopQueue
{
public:
    EventLoopQueue(boost::asio::any_io_executor executor, std::size_t capacity, std::function<void(T &&)> take)
        : m_executor(std::move(executor))
        , m_ring(capacity)
        , m_handler(std::move(take))
    {
    }

    /// False when the ring is full.
    bool tryPush(T item)
    {
        if (!m_ring.tryPush(std::move(item))) {
            ++m_dropped;
            return false;
        }
        boost::asio::post(m_executor, [this] {
            if (auto next = m_ring.pop(std::chrono::microseconds(0))) {
                m_handler(std::move(*next));
            }
        });
        return true;
    }
    [[nodiscard]] std::uint64_t droppedCount() const
    {
        return m_dropped;
    }

private:
    boost::asio::any_io_executor m_executor;
    core::BoundedQueue<T> m_ring;
    std::function<void(T &&)> m_handler;
    std::atomic<std::uint64_t> m_dropped{0};
};

} // namespace arbutus::gateway
