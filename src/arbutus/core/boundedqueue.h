// Bounded queue between threads.
//
// Producers never block: tryPush() fails when the queue is full; a request that does not fit is reported as
// Outcome::NotRun. The consumer blocks until an element arrives, the timeout expires or the queue is closed. Storage is a
// boost::circular_buffer that grows only for push().
//
// Q: Which elements may be added by push(), which ignores the capacity?
// A: Those that something accepted earlier waits for, such as results of calls: dropping one would leave a request without a
//    response, and their number is bounded by that of the open calls.

#pragma once

#include <boost/circular_buffer.hpp>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>

namespace arbutus::core {

/// Multi-producer, single-consumer queue of fixed capacity.
template<class T>
class BoundedQueue
{
public:
    explicit BoundedQueue(std::size_t capacity)
        : m_capacity(capacity)
        , m_items(capacity)
    {
    }

    /// Returns false if the queue is full or closed; `item` is then left unmoved.
    [[nodiscard]] bool tryPush(T &&item)
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed || m_items.size() >= m_capacity) {
            return false;
        }
        m_items.push_back(std::move(item));
        m_itemAvailable.notify_one();
        return true;
    }

    /// Adds an element even if the queue is full. Returns false if the queue is closed; `item` is then left unmoved.
    [[nodiscard]] bool push(T &&item)
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed) {
            return false;
        }
        if (m_items.full()) {
            m_items.set_capacity(m_items.capacity() * 2 + 1);
        }
        m_items.push_back(std::move(item));
        m_itemAvailable.notify_one();
        return true;
    }

    /// Removes the oldest element; std::nullopt on timeout, or if the queue is closed and empty.
    [[nodiscard]] std::optional<T> pop(std::chrono::microseconds timeout)
    {
        std::unique_lock lock(m_mutex);
        m_itemAvailable.wait_for(lock, timeout, [this] { return m_closed || !m_items.empty(); });
        if (m_items.empty()) {
            return std::nullopt;
        }
        std::optional<T> item(std::move(m_items.front()));
        m_items.pop_front();
        return item;
    }

    void close()
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
        m_itemAvailable.notify_all();
    }

    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_items.size();
    }

private:
    const std::size_t m_capacity; // for tryPush()
    mutable std::mutex m_mutex;
    std::condition_variable m_itemAvailable;
    boost::circular_buffer<T> m_items;
    bool m_closed = false;
};

} // namespace arbutus::core
