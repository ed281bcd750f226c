// Interface of a metadata store: ordered keys with revisions, watches, conditional writes and leases.
//
// It declares the operations that an instance needs, independent of the store's protocol. Implementations only translate
// calls to that protocol; callers decide when and how often to call and how to handle failures.
//
// A store may be restored from an older copy. It then lacks its last changes and gives their revisions out again, so a revision
// identifies contents only together with the generation of the store, which increases with each restore. Every response tells
// the generation, also those to failed calls.
//
// Q: What if one item of a response cannot be read?
// A: It does not fail the call. A value that cannot be read is empty. In a range, an item without a key is left out; a change
//    without a key fails the watch, because a full read then tells what has changed.
//
// Q: What does a failed write mean?
// A: See `writeEffect`. None: it did not and will not take effect. Unknown: it may have or still may; read back.
//
// Q: What does generation 0 mean?
// A: The response states none. Callers treat it as one of the generation that they know.

#pragma once

#include "arbutus/core/ids.h"

#include <boost/asio/awaitable.hpp>
#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace arbutus::metadata {

using StoreRevision = core::StrongNumber<struct StoreRevisionTag>;     // of the whole store; increases with each change
using StoreGeneration = core::StrongNumber<struct StoreGenerationTag>; // increases when the store is restored from a copy; 0 = not stated
using LeaseId = core::StrongId<struct LeaseTag>;

/// A point in the history of a store. Positions are ordered by generation first.
struct StorePosition
{
    StoreGeneration generation;
    StoreRevision revision;

    auto operator<=>(const StorePosition &) const = default;
    friend std::ostream &operator<<(std::ostream &out, const StorePosition &position)
    {
        return out << position.generation << '/' << position.revision;
    }
};

/// A key with its current value.
struct StoreItem
{
    std::string key;
    std::string value;
    StoreRevision revision; // of its last change
};

/// A change reported by a watch.
struct StoreChange
{
    StoreItem item; // value is empty if removed
    bool removed = false;
};

/// All keys with a given prefix.
struct StoreRange
{
    std::vector<StoreItem> items;
    StorePosition position;                // of the store when the first page was read
    std::vector<std::string> invalidItems; // what could not be read, for the log
};

/// Result of a watch; no changes means that its wait has expired.
struct StoreChanges
{
    std::vector<StoreChange> changes;
    StorePosition position;                // pass its revision as `after` to the next watch()
    std::vector<std::string> invalidItems; // what could not be read, for the log
};

/// A new lease.
struct LeaseGrant
{
    LeaseId lease;
    StoreGeneration generation;
};

enum class StoreErrorKind {
    Unreachable,      // no connection, or no complete response
    Overloaded,       // rate limit exceeded, or calls rejected
    HistoryCompacted, // the changes that a watch asked for have been compacted: read the range again
    Conflict,         // a condition of a write did not hold
    LeaseNotFound,    // lease does not exist
    Malformed,        // response violates the protocol
};

/// Why a call failed.
struct StoreError
{
    StoreErrorKind kind = StoreErrorKind::Unreachable;
    std::string message;
    enum class WriteEffect { None, Unknown } writeEffect = WriteEffect::None; // for writes
    StoreGeneration generation;                                               // 0 also if there is no response
};

[[nodiscard]] constexpr const char *toString(StoreErrorKind kind)
{
    switch (kind) {
    case StoreErrorKind::Unreachable:
        return "unreachable";
    case StoreErrorKind::Overloaded:
        return "overloaded";
    case StoreErrorKind::HistoryCompacted:
        return "history_gone";
    case StoreErrorKind::Conflict:
        return "conflict";
    case StoreErrorKind::LeaseNotFound:
        return "lease_gone";
    case StoreErrorKind::Malformed:
        break;
    }
    return "malformed";
}

template<class T>
using StoreResult = boost::outcome_v2::basic_result<T, StoreError, boost::outcome_v2::policy::all_narrow>;

/// Consistency required of a read.
enum class ReadConsistency {
    Linearizable, // includes every acknowledged write
    Serializable, // may be seconds old
};

/// A metadata store. All calls run on one executor and may be in progress at the same time.
class MetadataStore
{
public:
    MetadataStore() = default;
    MetadataStore(const MetadataStore &) = delete;
    MetadataStore &operator=(const MetadataStore &) = delete;
    virtual ~MetadataStore() = default;

    /// All keys that begin with `prefix`, all from the same generation.
    virtual boost::asio::awaitable<StoreResult<StoreRange>> range(std::string prefix, ReadConsistency consistency) = 0;
    /// Returns the changes below `prefix` after revision `after` once there are any, or none when `wait` expires.
    virtual boost::asio::awaitable<StoreResult<StoreChanges>> watch(std::string prefix, StoreRevision after, std::chrono::milliseconds wait) = 0;
    /// Writes a key and binds it to `lease` unless that is empty.
    virtual boost::asio::awaitable<StoreResult<StorePosition>> put(std::string key, std::string value, LeaseId lease) = 0;
    virtual boost::asio::awaitable<StoreResult<LeaseGrant>> grantLease(std::chrono::milliseconds timeToLive) = 0;
    virtual boost::asio::awaitable<StoreResult<StoreGeneration>> keepLeaseAlive(LeaseId lease) = 0;
    /// Ends a lease and removes its keys.
    virtual boost::asio::awaitable<StoreResult<void>> revokeLease(LeaseId lease) = 0;
};

} // namespace arbutus::metadata
