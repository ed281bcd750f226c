// Ranking of members by rendezvous weight.

#include "arbutus/membership/rendezvous.h"

#include "arbutus/core/hash.h"

#include <algorithm>

namespace arbutus::membership {

std::vector<Member> rankMembers(std::string_view key, std::vector<Member> members)
{
    std::sort(members.begin(), members.end(), [key](const Member &left, const Member &right) {
        return core::rendezvousWeight(key, left.id.text) > core::rendezvousWeight(key, right.id.text);
    });
    return members;
}

std::vector<Member> rankLargeMembersFirst(std::string_view key, std::vector<Member> members)
{
    constexpr double LargeCapacityShare = 0.5; // of the largest capacity
    double largest = 0;
    for (const Member &member : members) {
        largest = std::max(largest, member.capacity);
    }
    members = rankMembers(key, std::move(members));
    std::stable_partition(members.begin(), members.end(), [&](const Member &member) { return member.capacity >= LargeCapacityShare * largest; });
    return members;
}

bool isAmongTopRanked(std::string_view key, const std::vector<Member> &members, const core::InstanceId &self, std::size_t count)
{
    const std::uint64_t ownWeight = core::rendezvousWeight(key, self.text);
    std::size_t higherRanked = 0;
    bool isMember = false;
    for (const Member &member : members) {
        isMember = isMember || member.id == self;
        higherRanked += core::rendezvousWeight(key, member.id.text) > ownWeight ? 1 : 0;
    }
    return isMember && higherRanked < count;
}

} // namespace arbutus::membership
