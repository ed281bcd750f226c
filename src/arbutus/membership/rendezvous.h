// Rendezvous ranking: members choose the holders of a duty without talking to each other.
//
// Views may differ for a moment, so two members can hold the same duty, or none for a short while; a duty given out this
// way must be harmless when it is done twice.

#pragma once

#include "arbutus/membership/member.h"

#include <string_view>
#include <vector>

namespace arbutus::membership {

/// Members by descending rendezvous weight for `key`.
[[nodiscard]] std::vector<Member> rankMembers(std::string_view key, std::vector<Member> members);

/// The same for a duty that takes more work the larger the fleet is: members of less than half of the largest capacity come
/// last, as a small one that holds it would delay everyone.
[[nodiscard]] std::vector<Member> rankLargeMembersFirst(std::string_view key, std::vector<Member> members);

/// Whether `self` is among the first `holders` of the ranking.
[[nodiscard]] bool isAmongTopRanked(std::string_view key, const std::vector<Member> &members, const core::InstanceId &self, std::size_t holders);

} // namespace arbutus::membership
