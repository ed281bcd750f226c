// Order of release and of refusal.

#include "arbutus/limits/admissionqueue.h"

#include <algorithm>

namespace arbutus::limits {

AdmissionQueue::AdmissionQueue(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::optional<QueuedRequestKey> AdmissionQueue::add(const QueuedRequest &waiting)
{
    m_waiting.insert(waiting);
    if (m_waiting.size() <= m_capacity) {
        return std::nullopt;
    }
    const auto last = std::prev(m_waiting.end());
    const QueuedRequestKey refused = last->key;
    m_waiting.erase(last);
    return refused;
}

void AdmissionQueue::remove(QueuedRequestKey key)
{
    std::erase_if(m_waiting, [key](const QueuedRequest &waiting) { return waiting.key == key; });
}

std::vector<QueuedRequestKey> AdmissionQueue::popDue(core::TimePoint now)
{
    std::vector<QueuedRequestKey> out;
    std::erase_if(m_waiting, [&](const QueuedRequest &waiting) {
        const bool due = waiting.startDeadline <= now;
        if (due) {
            out.push_back(waiting.key);
        }
        return due;
    });
    return out;
}

std::optional<QueuedRequestKey> AdmissionQueue::front() const
{
    if (m_waiting.empty()) {
        return std::nullopt;
    }
    return m_waiting.begin()->key;
}

std::vector<QueuedRequestKey> AdmissionQueue::popAll()
{
    std::vector<QueuedRequestKey> out;
    out.reserve(m_waiting.size());
    for (const QueuedRequest &waiting : m_waiting) {
        out.push_back(waiting.key);
    }
    m_waiting.clear();
    return out;
}

} // namespace arbutus::limits
