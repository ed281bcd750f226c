// Ranking by weight.

#include "arbutus/membership/rendezvous.h"

#include "arbutus/core/hash.h"

#include <algorithm>
#include <cmath>

namespace arbutus::membership {

std::vector<Member> rankMembers(std::string_view key, std::vector<Member> members)
{
    std::sort(members.begin(), members.end(), [key](const Member &left, const Member &right) {
        return core::rendezvousWeight(key, left.id.text) > core::rendezvousWeight(key, right.id.text);
    });
    return members;
}

std::vector<Member> rankByCapacity(std::string_view key, std::vector<Member> members)
{
    // Weighted rendezvous: -capacity / ln(u) with u uniform in (0, 1).
    const auto weight = [key](const Member &member) {
        const double u = (static_cast<double>(core::rendezvousWeight(key, member.id.text) >> 11U) + 0.5) / 9007199254740992.0; // 2^53
        return -std::max(member.capacity, 1e-6) / std::log(u);
    };
    std::sort(members.begin(), members.end(), [&](const Member &left, const Member &right) { return weight(left) > weight(right); });
    return members;
}

bool holdsDuty(std::string_view key, const std::vector<Member> &members, const core::InstanceId &self, std::size_t holders)
{
    const std::uint64_t own = core::rendezvousWeight(key, self.text);
    std::size_t ahead = 0;
    bool present = false;
    for (const Member &member : members) {
        present = present || member.id == self;
        ahead += core::rendezvousWeight(key, member.id.text) > own ? 1 : 0;
    }
    return present && ahead < holders;
}

} // namespace arbutus::membership
