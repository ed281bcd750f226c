// Order of release and of refusal.

#include "arbutus/limits/waitingroom.h"

#include <algorithm>

namespace arbutus::limits {

WaitingRoom::WaitingRoom(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::optional<WaitingKey> WaitingRoom::add(const Waiting &waiting)
{
    m_waiting.insert(waiting);
    if (m_waiting.size() <= m_capacity) {
        return std::nullopt;
    }
    const auto last = std::prev(m_waiting.end());
    const WaitingKey refused = last->key;
    m_waiting.erase(last);
    return refused;
}

void WaitingRoom::remove(WaitingKey key)
{
    std::erase_if(m_waiting, [key](const Waiting &waiting) { return waiting.key == key; });
}

std::vector<WaitingKey> WaitingRoom::takeDue(core::TimePoint now)
{
    std::vector<WaitingKey> out;
    std::erase_if(m_waiting, [&](const Waiting &waiting) {
        const bool due = waiting.latestStart <= now;
        if (due) {
            out.push_back(waiting.key);
        }
        return due;
    });
    return out;
}

std::optional<WaitingKey> WaitingRoom::front() const
{
    if (m_waiting.empty()) {
        return std::nullopt;
    }
    return m_waiting.begin()->key;
}

std::vector<WaitingKey> WaitingRoom::takeAll()
{
    std::vector<WaitingKey> out;
    out.reserve(m_waiting.size());
    for (const Waiting &waiting : m_waiting) {
        out.push_back(waiting.key);
    }
    m_waiting.clear();
    return out;
}

} // namespace arbutus::limits
