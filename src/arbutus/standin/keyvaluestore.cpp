// Revisions, leases and events.

#include "arbutus/standin/keyvaluestore.h"

namespace arbutus::standin {

namespace {

constexpr std::size_t EventHistory = 20'000; // events kept for watches that start in the past

} // namespace

KeyValueStore::KeyValueStore(const core::Clock &clock)
    : m_clock(&clock)
{
}

std::vector<KeyValue> KeyValueStore::range(const std::string &key, const std::string &rangeEnd) const
{
    std::vector<KeyValue> out;
    if (rangeEnd.empty()) {
        const auto found = m_pairs.find(key);
        if (found != m_pairs.end()) {
            out.push_back(found->second);
        }
        return out;
    }
    for (auto it = m_pairs.lower_bound(key); it != m_pairs.end() && it->first < rangeEnd; ++it) {
        out.push_back(it->second);
    }
    return out;
}

void KeyValueStore::put(const std::string &key, const std::string &value, std::int64_t lease)
{
    ++m_revision;
    KeyValue &pair = m_pairs[key];
    if (pair.version == 0) {
        pair.key = key;
        pair.createRevision = m_revision;
    }
    pair.value = value;
    pair.modRevision = m_revision;
    pair.lease = lease;
    ++pair.version;
    record(KeyEvent{m_revision, false, pair});
}

std::size_t KeyValueStore::erase(const std::string &key, const std::string &rangeEnd)
{
    const std::vector<KeyValue> doomed = range(key, rangeEnd);
    if (!doomed.empty()) {
        ++m_revision;
    }
    for (const KeyValue &pair : doomed) {
        m_pairs.erase(pair.key);
        record(KeyEvent{m_revision, true, pair});
    }
    return doomed.size();
}

std::int64_t KeyValueStore::grantLease(core::Duration timeToLive)
{
    const std::int64_t id = m_nextLease++;
    m_leases[id] = Lease{timeToLive, m_clock->steadyNow() + timeToLive};
    return id;
}

bool KeyValueStore::keepLease(std::int64_t lease)
{
    expire();
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return false;
    }
    found->second.due = m_clock->steadyNow() + found->second.timeToLive;
    return true;
}

void KeyValueStore::revokeLease(std::int64_t lease)
{
    m_leases.erase(lease);
    std::vector<std::string> doomed;
    for (const auto &[key, pair] : m_pairs) {
        if (pair.lease == lease && lease != 0) {
            doomed.push_back(key);
        }
    }
    for (const std::string &key : doomed) {
        erase(key, {});
    }
}

void KeyValueStore::lapseAllLeases()
{
    while (!m_leases.empty()) {
        revokeLease(m_leases.begin()->first);
    }
}

void KeyValueStore::expire()
{
    std::vector<std::int64_t> due;
    for (const auto &[id, lease] : m_leases) {
        if (lease.due <= m_clock->steadyNow()) {
            due.push_back(id);
        }
    }
    for (const std::int64_t id : due) {
        revokeLease(id);
    }
}

std::vector<KeyEvent> KeyValueStore::eventsSince(std::int64_t revision) const
{
    std::vector<KeyEvent> out;
    for (const KeyEvent &event : m_events) {
        if (event.revision >= revision) {
            out.push_back(event);
        }
    }
    return out;
}

void KeyValueStore::record(KeyEvent event)
{
    m_events.push_back(std::move(event));
    if (m_events.size() > EventHistory) {
        m_events.pop_front();
    }
}

} // namespace arbutus::standin
