// Revisions, leases and the event history of the simulated key-value store.

#include "arbutus/standin/keyvaluestore.h"

namespace arbutus::standin {

namespace {

constexpr std::size_t MaxRetainedEvents = 20'000; // events retained for watches that start at an earlier revision

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
    appendEvent(KeyEvent{m_revision, false, pair});
}

std::size_t KeyValueStore::erase(const std::string &key, const std::string &rangeEnd)
{
    const std::vector<KeyValue> matching = range(key, rangeEnd);
    if (!matching.empty()) {
        ++m_revision;
    }
    for (const KeyValue &pair : matching) {
        m_pairs.erase(pair.key);
        appendEvent(KeyEvent{m_revision, true, pair});
    }
    return matching.size();
}

std::int64_t KeyValueStore::grantLease(core::Duration timeToLive)
{
    const std::int64_t id = m_nextLease++;
    m_leases[id] = Lease{timeToLive, m_clock->steadyNow() + timeToLive};
    return id;
}

bool KeyValueStore::keepLeaseAlive(std::int64_t lease)
{
    expireDueLeases();
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return false;
    }
    found->second.expiresAt = m_clock->steadyNow() + found->second.timeToLive;
    return true;
}

void KeyValueStore::revokeLease(std::int64_t lease)
{
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[key, pair] : m_pairs) {
        if (pair.lease == lease && lease != 0) {
            keys.push_back(key);
        }
    }
    for (const std::string &key : keys) {
        erase(key, {});
    }
}

void KeyValueStore::expireAllLeases()
{
    while (!m_leases.empty()) {
        revokeLease(m_leases.begin()->first);
    }
}

void KeyValueStore::expireDueLeases()
{
    std::vector<std::int64_t> expired;
    for (const auto &[id, lease] : m_leases) {
        if (lease.expiresAt <= m_clock->steadyNow()) {
            expired.push_back(id);
        }
    }
    for (const std::int64_t id : expired) {
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

void KeyValueStore::appendEvent(KeyEvent event)
{
    m_events.push_back(std::move(event));
    if (m_events.size() > MaxRetainedEvents) {
        m_events.pop_front();
    }
}

} // namespace arbutus::standin
