// Member records and the rule for merging two of them.
//
// The merge is commutative, associative and idempotent, so the order and duplication of messages do not matter:
//   - a record with a higher incarnation replaces one with a lower (a restarted instance starts from a clean state);
//   - within one incarnation `leaving` is sticky: an instance that has begun to leave never becomes available again;
//   - the pair (refutation, condition) only increases: a suspect refutes the suspicion with a higher refutation number.

#pragma once

#include "arbutus/core/ids.h"

#include <compare>
#include <cstdint>
#include <string>

namespace arbutus::membership {

/// Assumed state of an instance; a later enumerator overrides an earlier one with the same refutation number.
enum class MemberCondition {
    Alive,
    Suspect,
    Dead,
};

/// What is known about one instance.
struct Member
{
    core::InstanceId id;
    core::Incarnation incarnation; // 0 = contact about which no gossip has arrived yet
    bool leaving = false;          // sticky within an incarnation
    std::uint64_t refutation = 0;
    MemberCondition condition = MemberCondition::Alive;
    core::DomainId domain;
    core::RegionId region;
    std::string gossipAddress; // UDP, "127.0.0.1:9000"
    std::string peerAddress;   // gRPC
    std::string clientUrl;     // HTTP, for callers
    double capacity = 1;       // in processor cores; weight of the member for roles and load balancing

    bool operator==(const Member &) const = default;

    /// Whether the instance can accept new work.
    [[nodiscard]] bool isAvailable() const
    {
        return incarnation.value != 0 && !leaving && condition != MemberCondition::Dead;
    }
};

/// Merges `update` into `known` and returns whether `known` changed.
bool merge(Member &known, const Member &update);

} // namespace arbutus::membership
