// In-memory state of the simulated key-value service.
//
// Provides revisions, expiring leases and an event history for watches with the semantics of etcd v3. It has no sockets
// and takes its clock from the caller, so tests can use it as an in-process fake.

#pragma once

#include "arbutus/core/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::standin {

/// A stored key with its value and revisions.
struct KeyValue
{
    std::string key;
    std::string value;
    std::int64_t createRevision = 0; // revision that created the key
    std::int64_t modRevision = 0;    // revision of the latest write
    std::int64_t version = 0;        // number of writes since creation
    std::int64_t lease = 0;          // 0 if the key has no lease
};

/// A change reported to watches.
struct KeyEvent
{
    std::int64_t revision = 0;
    bool removed = false;
    KeyValue pair;
};

/// Key-value store with leases; not thread-safe.
class KeyValueStore
{
public:
    explicit KeyValueStore(const core::Clock &clock);

    [[nodiscard]] std::vector<KeyValue> range(const std::string &key, const std::string &rangeEnd) const; // [key, rangeEnd), or only key if rangeEnd is empty
    void put(const std::string &key, const std::string &value, std::int64_t lease);
    std::size_t erase(const std::string &key, const std::string &rangeEnd);

    std::int64_t grantLease(core::Duration timeToLive);
    [[nodiscard]] bool keepLeaseAlive(std::int64_t lease); // false if the lease is expired or unknown
    void revokeLease(std::int64_t lease);
    void expireAllLeases();
    void expireDueLeases(); // must be called periodically

    [[nodiscard]] std::vector<KeyEvent> eventsSince(std::int64_t revision) const;
    [[nodiscard]] std::int64_t revision() const
    {
        return m_revision;
    }

private:
    struct Lease
    {
        core::Duration timeToLive{};
        core::TimePoint expiresAt{};
    };
    void appendEvent(KeyEvent event);

    const core::Clock *m_clock;
    std::map<std::string, KeyValue> m_pairs;
    std::map<std::int64_t, Lease> m_leases;
    std::deque<KeyEvent> m_events;
    std::int64_t m_revision = 1;
    std::int64_t m_nextLease = 1000;
};

} // namespace arbutus::standin
