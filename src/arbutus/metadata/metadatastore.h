// The interface of a metadata store: ordered keys with revisions, watches, conditional writes and leases.
//
// What a node needs of such a store, whichever protocol the store speaks. The implementations only translate; when to
// call, how often and what a failure means is decided by the callers.
//
// Q: What does a failed write mean?
// A: `effect` says: None, it did not and will not take effect; Unknown, it may have, or may yet, read back to find out.

#pragma once

#include "arbutus/core/ids.h"

#include <boost/asio/awaitable.hpp>
#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace arbutus::metadata {

using StoreRevision = core::StrongNumber<struct StoreRevisionTag>; // of the whole store; grows with each change
using LeaseId = core::StrongId<struct LeaseTag>;

/// One key as it stands.
struct StoreItem
{
    std::string key;
    std::string value;
    StoreRevision revision; // of its last change
};

/// One change seen by a watch.
struct StoreChange
{
    StoreItem item; // value empty when removed
    bool removed = false;
};

/// All keys below a prefix.
struct StoreRange
{
    std::vector<StoreItem> items;
    StoreRevision revision; // the store's, when the first page was read
};

/// What a watch brought; without changes its wait has passed.
struct StoreChanges
{
    std::vector<StoreChange> changes;
    StoreRevision revision; // continue from here
};

enum class StoreErrorKind {
    Unreachable, // no connection, no answer, or a broken one
    Overloaded,  // over the agreed rate, or refusing calls
    HistoryGone, // a watch asked for changes that are no longer kept: read the range afresh
    Conflict,    // a condition of a write did not hold
    LeaseGone,   // no such lease
    Malformed,   // an answer that is not of the protocol
};

/// Why a call has no result.
struct StoreError
{
    StoreErrorKind kind = StoreErrorKind::Unreachable;
    std::string message;
    enum class WriteEffect { None, Unknown } writeEffect = WriteEffect::None; // of a write
};

[[nodiscard]] constexpr const char *toString(StoreErrorKind fault)
{
    switch (fault) {
    case StoreErrorKind::Unreachable:
        return "unreachable";
    case StoreErrorKind::Overloaded:
        return "overloaded";
    case StoreErrorKind::HistoryGone:
        return "history_gone";
    case StoreErrorKind::Conflict:
        return "conflict";
    case StoreErrorKind::LeaseGone:
        return "lease_gone";
    case StoreErrorKind::Malformed:
        break;
    }
    return "malformed";
}

template<class T>
using StoreResult = boost::outcome_v2::basic_result<T, StoreError, boost::outcome_v2::policy::all_narrow>;

/// How fresh a read must be.
enum class ReadConsistency {
    Linearizable, // includes every acknowledged write
    Serializable, // may be seconds old
};

/// A store. All calls run on one executor and may be under way at the same time.
class MetadataStore
{
public:
    MetadataStore() = default;
    MetadataStore(const MetadataStore &) = delete;
    MetadataStore &operator=(const MetadataStore &) = delete;
    virtual ~MetadataStore() = default;

    /// All keys that begin with `prefix`.
    virtual boost::asio::awaitable<StoreResult<StoreRange>> range(std::string prefix, ReadConsistency freshness) = 0;
    /// Changes below `prefix` after `after`, as soon as there is one, or none after `wait`.
    virtual boost::asio::awaitable<StoreResult<StoreChanges>> watch(std::string prefix, StoreRevision after, std::chrono::milliseconds wait) = 0;
    /// Writes a key, bound to a lease unless that is empty.
    virtual boost::asio::awaitable<StoreResult<StoreRevision>> put(std::string key, std::string value, LeaseId lease) = 0;
    virtual boost::asio::awaitable<StoreResult<LeaseId>> grantLease(std::chrono::milliseconds timeToLive) = 0;
    virtual boost::asio::awaitable<StoreResult<void>> keepLeaseAlive(LeaseId lease) = 0;
    /// Ends a lease and removes its keys.
    virtual boost::asio::awaitable<StoreResult<void>> revokeLease(LeaseId lease) = 0;
};

} // namespace arbutus::metadata
