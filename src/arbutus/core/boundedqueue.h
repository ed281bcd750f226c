// A bounded ring between two duties.
//
// Producers never block: a full ring is told to the caller, who answers "not run". The consumer blocks until there is
// an element, the wait is over, or the ring is closed. Storage is a boost::circular_buffer of fixed capacity.

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
        : m_items(capacity)
    {
    }

    /// False when the ring is full or closed; the element is then left with the caller.
    [[nodiscard]] bool tryPush(T &&item)
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed || m_items.full()) {
            return false;
        }
        m_items.push_back(std::move(item));
        m_ready.notify_one();
        return true;
    }

    /// The next element, or nothing after the wait or when the ring is closed and empty.
    [[nodiscard]] std::optional<T> pop(std::chrono::microseconds wait)
    {
        std::unique_lock lock(m_mutex);
        m_ready.wait_for(lock, wait, [this] { return m_closed || !m_items.empty(); });
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
        m_ready.notify_all();
    }

    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_items.size();
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_ready;
    boost::circular_buffer<T> m_items;
    bool m_closed = false;
};

} // namespace arbutus::core
