// Member records and the rule by which two of them merge.
//
// The merge is commutative, associative and idempotent, so the order and repetition of messages do not matter:
//   - of two incarnations the higher one wins outright (a restarted instance starts afresh);
//   - within one incarnation leaving is sticky: an instance that has begun to leave never comes back in this life;
//   - the pair (refutation, condition) grows: a suspected instance contradicts with a higher refutation number.

#pragma once

#include "arbutus/core/ids.h"

#include <compare>
#include <cstdint>
#include <string>

namespace arbutus::membership {

/// What is believed of an instance; later values win within one refutation number.
enum class MemberCondition {
    Alive,
    Suspect,
    Dead,
};

/// What is known of one instance.
struct Member
{
    core::InstanceId id;
    core::Incarnation incarnation; // 0 = known only from the platform's list
    bool leaving = false;          // sticky within an incarnation
    std::uint64_t refutation = 0;
    MemberCondition condition = MemberCondition::Alive;
    core::DomainId domain;
    core::RegionId region;
    std::string gossipAddress; // UDP, "127.0.0.1:9000"
    std::string peerAddress;   // gRPC
    std::string callersUrl;    // callers' HTTP
    double capacity = 1;       // share of a processor core; duties and callers go to members in proportion

    bool operator==(const Member &) const = default;

    /// Whether it can take new work.
    [[nodiscard]] bool isAvailable() const
    {
        return incarnation.value != 0 && !leaving && condition != MemberCondition::Dead;
    }
};

/// Merges `heard` into `known`; true when something changed.
bool merge(Member &known, const Member &heard);

} // namespace arbutus::membership
