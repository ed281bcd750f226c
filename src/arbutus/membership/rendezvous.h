// Rendezvous ranking: assigns roles to members without communication between them.
//
// Membership views may differ temporarily, so two members may hold the same role, or none may. A role that is assigned this
// way must be safe when two members hold it.

#pragma once

#include "arbutus/membership/member.h"

#include <string_view>
#include <vector>

namespace arbutus::membership {

/// Members by descending rendezvous weight for `key`.
[[nodiscard]] std::vector<Member> rankMembers(std::string_view key, std::vector<Member> members);

/// Like rankMembers(), for a role whose load grows with the size of the fleet: members with less than half of the largest
/// capacity come last, because a small member in that role would slow down all others.
[[nodiscard]] std::vector<Member> rankLargeMembersFirst(std::string_view key, std::vector<Member> members);

/// Whether `self` is a member and among the first `count` of the ranking.
[[nodiscard]] bool isAmongTopRanked(std::string_view key, const std::vector<Member> &members, const core::InstanceId &self, std::size_t count);

} // namespace arbutus::membership
