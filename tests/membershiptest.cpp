// Membership: algebraic properties of the merge rule, failure detection over a lossy network, and rendezvous ranking.

#include "arbutus/membership/rendezvous.h"
#include "support/fleet.h"
#include "support/schedules.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

rc::Gen<membership::Member> genMember()
{
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange<std::uint64_t>(1, 3), rc::gen::arbitrary<bool>(), rc::gen::inRange<std::uint64_t>(0, 3), rc::gen::inRange(0, 3)),
        [](const std::tuple<std::uint64_t, bool, std::uint64_t, int> &fields) {
            membership::Member member;
            member.id = core::InstanceId("x");
            member.incarnation = core::Incarnation(std::get<0>(fields));
            member.leaving = std::get<1>(fields);
            member.refutation = std::get<2>(fields);
            member.condition = static_cast<membership::MemberCondition>(std::get<3>(fields));
            return member;
        });
}

membership::Member merged(membership::Member left, const membership::Member &right)
{
    membership::merge(left, right);
    return left;
}

/// Number of available members in a node's view of its failure domain, including itself.
std::size_t availableMemberCount(const tests::Fleet &fleet, std::size_t index)
{
    return fleet.node(index).state().membershipView.availableMembers().size();
}

} // namespace

TEST_CASE("merging is commutative, associative and idempotent", "[membership][property]")
{
    REQUIRE(tests::checkSchedules("lattice", 5'000, [] {
        const auto a = *genMember();
        const auto b = *genMember();
        const auto c = *genMember();
        RC_ASSERT(merged(a, b) == merged(b, a));
        RC_ASSERT(merged(merged(a, b), c) == merged(a, merged(b, c)));
        RC_ASSERT(merged(a, a) == a);
    }));
}

TEST_CASE("an instance that is leaving stays so until its next incarnation", "[membership]")
{
    membership::Member known;
    known.id = core::InstanceId("x");
    known.incarnation = core::Incarnation(5);
    known.leaving = true;
    membership::Member update = known;
    update.leaving = false;
    update.refutation = 9;
    membership::merge(known, update);
    REQUIRE(known.leaving);
    update.incarnation = core::Incarnation(6);
    membership::merge(known, update);
    REQUIRE_FALSE(known.leaving);
    REQUIRE(known.isAvailable());
}

TEST_CASE("all members of a failure domain discover each other", "[membership]")
{
    const std::size_t nodes = GENERATE(2U, 3U, 15U);
    tests::FleetOptions options;
    options.nodesPerDomain = nodes;
    tests::Fleet fleet(options);
    fleet.runFor(10s);
    for (std::size_t i = 0; i < nodes; ++i) {
        REQUIRE(availableMemberCount(fleet, i) == nodes);
    }
}

TEST_CASE("a crashed instance is detected by all members, also over a lossy network", "[membership]")
{
    const double drop = GENERATE(0.0, 0.1);
    const std::uint64_t seed = GENERATE(range(1, 21));
    INFO("drop " << drop << " seed " << seed);
    tests::FleetOptions options;
    options.nodesPerDomain = 8;
    options.dropProbability = drop;
    options.seed = seed;
    tests::Fleet fleet(options);
    fleet.runFor(10s);
    fleet.kill(3);
    fleet.runFor(15s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (i != 3) {
            INFO("node " << i);
            REQUIRE_FALSE(fleet.node(i).state().membershipView.members().at(core::InstanceId("n3")).isAvailable());
        }
    }
    fleet.restart(3);
    fleet.runFor(10s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        REQUIRE(availableMemberCount(fleet, i) == 8);
    }
}

TEST_CASE("an instance that was paused or partitioned becomes available again", "[membership]")
{
    const bool paused = GENERATE(true, false);
    tests::FleetOptions options;
    options.nodesPerDomain = 4;
    tests::Fleet fleet(options);
    fleet.runFor(6s);
    if (paused) {
        fleet.pause(1, 8s);
    } else {
        for (const std::size_t other : {0U, 2U, 3U}) {
            fleet.setLinkDown(1, other, true);
            fleet.setLinkDown(other, 1, true);
        }
    }
    fleet.runFor(7s);
    REQUIRE(availableMemberCount(fleet, 0) == 3);
    for (const std::size_t other : {0U, 2U, 3U}) {
        fleet.setLinkDown(1, other, false);
        fleet.setLinkDown(other, 1, false);
    }
    fleet.runFor(12s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        REQUIRE(availableMemberCount(fleet, i) == 4);
    }
}

TEST_CASE("a link that fails in one direction does not cause a live instance to be declared dead", "[membership]")
{
    tests::FleetOptions options;
    options.nodesPerDomain = 6;
    tests::Fleet fleet(options);
    fleet.runFor(6s);
    fleet.setLinkDown(0, 1, true); // 0 cannot reach 1, but the others can
    fleet.runFor(30s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        REQUIRE(availableMemberCount(fleet, i) == 6);
    }
}

TEST_CASE("members learn of a leaving instance at once, and the platform's list does not revive it", "[membership]")
{
    tests::FleetOptions options;
    options.nodesPerDomain = 5;
    tests::Fleet fleet(options);
    fleet.runFor(6s);
    fleet.drain(2);
    fleet.runFor(100ms);
    for (const std::size_t i : {0U, 1U, 3U, 4U}) {
        REQUIRE(availableMemberCount(fleet, i) == 4);
    }
    fleet.runFor(20s); // the platform's list still contains it
    for (const std::size_t i : {0U, 1U, 3U, 4U}) {
        REQUIRE(availableMemberCount(fleet, i) == 4);
    }
}

TEST_CASE("roles are distributed over the members, and each is held by the requested number of them", "[membership]")
{
    std::vector<membership::Member> members;
    for (int i = 0; i < 15; ++i) {
        membership::Member member;
        member.id = core::InstanceId("n" + std::to_string(i));
        members.push_back(member);
    }
    std::map<std::string, int> selections;
    for (int role = 0; role < 300; ++role) {
        int selected = 0;
        for (const membership::Member &member : members) {
            const bool isSelected = membership::isAmongTopRanked("duty" + std::to_string(role), members, member.id, 2);
            selected += isSelected ? 1 : 0;
            selections[member.id.text] += isSelected ? 1 : 0;
        }
        REQUIRE(selected == 2);
    }
    for (const auto &[id, count] : selections) {
        REQUIRE(count > 15);
        REQUIRE(count < 80);
    }
    REQUIRE_FALSE(membership::isAmongTopRanked("duty", members, core::InstanceId("stranger"), 15));
}

TEST_CASE("members with a large capacity rank first, and the order of the input does not matter", "[membership]")
{
    std::vector<membership::Member> members;
    for (int i = 0; i < 21; ++i) {
        membership::Member member;
        member.id = core::InstanceId("n" + std::to_string(i));
        member.capacity = i % 5 == 0 ? 0.5 : 0.12;
        members.push_back(member);
    }
    const std::string key = GENERATE("dispatch", "watch", "another");
    const auto order = membership::rankLargeMembersFirst(key, members);
    REQUIRE(order.size() == members.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
        CHECK((order[i].capacity == 0.5) == (i < 5));
    }
    std::reverse(members.begin(), members.end());
    const auto reversed = membership::rankLargeMembersFirst(key, members);
    for (std::size_t i = 0; i < order.size(); ++i) {
        CHECK(order[i].id == reversed[i].id);
    }
}

TEST_CASE("members that start at the same time know each other after each has pinged its contacts once", "[membership]")
{
    constexpr std::size_t Members = 63;
    membership::MembershipSettings settings;
    settings.allDomains = true;
    settings.updatesPerMessage = 12;
    std::vector<membership::Member> members;
    std::vector<membership::MembershipView> views;
    for (std::size_t i = 0; i < Members; ++i) {
        membership::Member member;
        member.id = core::InstanceId("n" + std::to_string(i));
        member.incarnation = core::Incarnation(1);
        member.domain = core::DomainId("z" + std::to_string(i % 6));
        member.gossipAddress = std::to_string(i);
        members.push_back(member);
        views.emplace_back(member, settings, i);
    }
    const core::TimePoint now{1000s};
    for (std::size_t i = 0; i < Members; ++i) {
        for (const membership::Member &contact : members) {
            if (!views[i].addContact(contact)) {
                continue; // this member itself
            }
            for (const membership::OutgoingMessage &ping : views[i].pingMember(contact.id)) {
                for (const membership::OutgoingMessage &reply : views[std::stoul(ping.address)].receive(ping.message, std::to_string(i), now)) {
                    (void)views[std::stoul(reply.address)].receive(reply.message, ping.address, now);
                }
            }
        }
    }
    for (const membership::MembershipView &view : views) {
        CHECK(view.availableMembers().size() == Members);
    }
}
