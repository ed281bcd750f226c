// The platform's key-value service, as a stand-in: the state behind the wire.
//
// Compare-and-swap by revisions, leases that lapse, and a history of events for watches, in the manner of the published
// etcd v3 interface. No sockets and no clock of its own, so tests use it as a fake in one process.

#pragma once

#include "arbutus/core/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::standin {

/// One stored value.
struct KeyValue
{
    std::string key;
    std::string value;
    std::int64_t createRevision = 0; // revision of the write that made the key
    std::int64_t modRevision = 0;    // revision of the last write
    std::int64_t version = 0;        // writes since the key was made
    std::int64_t lease = 0;          // 0 = none
};

/// A change that a watch reports.
struct KeyEvent
{
    std::int64_t revision = 0;
    bool removed = false;
    KeyValue pair;
};

/// The store.
class KeyValueStore
{
public:
    explicit KeyValueStore(const core::Clock &clock);

    [[nodiscard]] std::vector<KeyValue> range(const std::string &key, const std::string &rangeEnd) const; // [key, rangeEnd), or just key
    void put(const std::string &key, const std::string &value, std::int64_t lease);
    std::size_t erase(const std::string &key, const std::string &rangeEnd);

    std::int64_t grantLease(core::Duration timeToLive);
    [[nodiscard]] bool keepLease(std::int64_t lease); // false = lapsed or unknown
    void revokeLease(std::int64_t lease);
    void lapseAllLeases();
    void expire(); // lapses what is due; call often

    [[nodiscard]] std::vector<KeyEvent> eventsSince(std::int64_t revision) const;
    [[nodiscard]] std::int64_t revision() const
    {
        return m_revision;
    }

private:
    struct Lease
    {
        core::Duration timeToLive{};
        core::TimePoint due{};
    };
    void record(KeyEvent event);

    const core::Clock *m_clock;
    std::map<std::string, KeyValue> m_pairs;
    std::map<std::int64_t, Lease> m_leases;
    std::deque<KeyEvent> m_events;
    std::int64_t m_revision = 1;
    std::int64_t m_nextLease = 1000;
};

} // namespace arbutus::standin
