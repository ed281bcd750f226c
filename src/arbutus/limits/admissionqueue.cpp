// Admission queue ordering and eviction.

#include "arbutus/limits/admissionqueue.h"

#include <algorithm>

namespace arbutus::limits {

AdmissionQueue::AdmissionQueue(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::optional<QueuedRequestKey> AdmissionQueue::add(const QueuedRequest &request)
{
    m_requests.insert(request);
    if (m_requests.size() <= m_capacity) {
        return std::nullopt;
    }
    const auto last = std::prev(m_requests.end());
    const QueuedRequestKey rejected = last->key;
    m_requests.erase(last);
    return rejected;
}

void AdmissionQueue::remove(QueuedRequestKey key)
{
    std::erase_if(m_requests, [key](const QueuedRequest &request) { return request.key == key; });
}

std::vector<QueuedRequestKey> AdmissionQueue::popDue(core::TimePoint now)
{
    std::vector<QueuedRequestKey> dueKeys;
    std::erase_if(m_requests, [&](const QueuedRequest &request) {
        const bool due = request.startDeadline <= now;
        if (due) {
            dueKeys.push_back(request.key);
        }
        return due;
    });
    return dueKeys;
}

std::optional<QueuedRequestKey> AdmissionQueue::front() const
{
    if (m_requests.empty()) {
        return std::nullopt;
    }
    return m_requests.begin()->key;
}

std::vector<QueuedRequestKey> AdmissionQueue::popAll()
{
    std::vector<QueuedRequestKey> keys;
    keys.reserve(m_requests.size());
    for (const QueuedRequest &request : m_requests) {
        keys.push_back(request.key);
    }
    m_requests.clear();
    return keys;
}

} // namespace arbutus::limits
