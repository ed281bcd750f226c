// Membership: the merge rule as a lattice, and detection over a network that loses and delays.

#include "arbutus/membership/rendezvous.h"
#include "support/fleet.h"
#include "support/schedules.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

rc::Gen<membership::Member> memberGen()
{
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange<std::uint64_t>(1, 3), rc::gen::arbitrary<bool>(), rc::gen::inRange<std::uint64_t>(0, 3), rc::gen::inRange(0, 3)),
        [](const std::tuple<std::uint64_t, bool, std::uint64_t, int> &drawn) {
            membership::Member member;
            member.id = core::InstanceId("x");
            member.incarnation = core::Incarnation(std::get<0>(drawn));
            member.leaving = std::get<1>(drawn);
            member.refutation = std::get<2>(drawn);
            member.condition = static_cast<membership::MemberCondition>(std::get<3>(drawn));
            return member;
        });
}

membership::Member merged(membership::Member left, const membership::Member &right)
{
    membership::merge(left, right);
    return left;
}

/// Instances of the own domain that a node holds to be usable, itself included.
std::size_t usableAt(const tests::Fleet &fleet, std::size_t index)
{
    return fleet.node(index).state().domainView.availableMembers().size();
}

} // namespace

TEST_CASE("merging does not depend on order, grouping or repetition", "[membership][property]")
{
    REQUIRE(tests::checkSchedules("lattice", 5'000, [] {
        const auto a = *memberGen();
        const auto b = *memberGen();
        const auto c = *memberGen();
        RC_ASSERT(merged(a, b) == merged(b, a));
        RC_ASSERT(merged(merged(a, b), c) == merged(a, merged(b, c)));
        RC_ASSERT(merged(a, a) == a);
    }));
}

TEST_CASE("one life of an instance never comes back from leaving", "[membership]")
{
    membership::Member known;
    known.id = core::InstanceId("x");
    known.incarnation = core::Incarnation(5);
    known.leaving = true;
    membership::Member heard = known;
    heard.leaving = false;
    heard.refutation = 9;
    membership::merge(known, heard);
    REQUIRE(known.leaving);
    heard.incarnation = core::Incarnation(6);
    membership::merge(known, heard);
    REQUIRE_FALSE(known.leaving);
    REQUIRE(known.isAvailable());
}

TEST_CASE("a domain finds itself", "[membership]")
{
    const std::size_t nodes = GENERATE(2U, 3U, 15U);
    tests::FleetOptions options;
    options.nodesPerDomain = nodes;
    tests::Fleet fleet(options);
    fleet.runFor(10s);
    for (std::size_t i = 0; i < nodes; ++i) {
        REQUIRE(usableAt(fleet, i) == nodes);
    }
}

TEST_CASE("a crashed instance is noticed by all, also over a lossy network", "[membership]")
{
    const double drop = GENERATE(0.0, 0.1);
    const std::uint64_t seed = GENERATE(range(1, 21));
    INFO("drop " << drop << " seed " << seed);
    tests::FleetOptions options;
    options.nodesPerDomain = 8;
    options.drop = drop;
    options.seed = seed;
    tests::Fleet fleet(options);
    fleet.runFor(10s);
    fleet.kill(3);
    fleet.runFor(15s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (i != 3) {
            INFO("node " << i);
            REQUIRE_FALSE(fleet.node(i).state().domainView.members().at(core::InstanceId("n3")).isAvailable());
        }
    }
    fleet.restart(3);
    fleet.runFor(10s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        REQUIRE(usableAt(fleet, i) == 8);
    }
}

TEST_CASE("an instance that was only paused or cut off is taken back", "[membership]")
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
            fleet.cut(1, other, true);
            fleet.cut(other, 1, true);
        }
    }
    fleet.runFor(7s);
    REQUIRE(usableAt(fleet, 0) == 3);
    for (const std::size_t other : {0U, 2U, 3U}) {
        fleet.cut(1, other, false);
        fleet.cut(other, 1, false);
    }
    fleet.runFor(12s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        REQUIRE(usableAt(fleet, i) == 4);
    }
}

TEST_CASE("a link that fails one way does not make a live instance dead", "[membership]")
{
    tests::FleetOptions options;
    options.nodesPerDomain = 6;
    tests::Fleet fleet(options);
    fleet.runFor(6s);
    fleet.cut(0, 1, true); // 0 cannot reach 1, the others can
    fleet.runFor(30s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        REQUIRE(usableAt(fleet, i) == 6);
    }
}

TEST_CASE("a leaving instance is told at once and the list does not bring it back", "[membership]")
{
    tests::FleetOptions options;
    options.nodesPerDomain = 5;
    tests::Fleet fleet(options);
    fleet.runFor(6s);
    fleet.drain(2);
    fleet.runFor(100ms);
    for (const std::size_t i : {0U, 1U, 3U, 4U}) {
        REQUIRE(usableAt(fleet, i) == 4);
    }
    fleet.runFor(20s); // the platform's list still has it
    for (const std::size_t i : {0U, 1U, 3U, 4U}) {
        REQUIRE(usableAt(fleet, i) == 4);
    }
}

TEST_CASE("duties are spread over members and held by few", "[membership]")
{
    std::vector<membership::Member> members;
    for (int i = 0; i < 15; ++i) {
        membership::Member member;
        member.id = core::InstanceId("n" + std::to_string(i));
        members.push_back(member);
    }
    std::map<std::string, int> held;
    for (int duty = 0; duty < 300; ++duty) {
        int holders = 0;
        for (const membership::Member &member : members) {
            const bool holds = membership::isAmongTopRanked("duty" + std::to_string(duty), members, member.id, 2);
            holders += holds ? 1 : 0;
            held[member.id.text] += holds ? 1 : 0;
        }
        REQUIRE(holders == 2);
    }
    for (const auto &[id, count] : held) {
        REQUIRE(count > 15);
        REQUIRE(count < 80);
    }
    REQUIRE_FALSE(membership::isAmongTopRanked("duty", members, core::InstanceId("stranger"), 15));
}

TEST_CASE("duties that grow with the fleet go to strong members first, whichever joined", "[membership]")
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
    const auto again = membership::rankLargeMembersFirst(key, members);
    for (std::size_t i = 0; i < order.size(); ++i) {
        CHECK(order[i].id == again[i].id);
    }
}

TEST_CASE("a fleet that starts at once knows all of itself after one exchange with those that the store names", "[membership]")
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
                continue; // itself
            }
            for (const membership::OutgoingMessage &ping : views[i].pingMember(contact.id)) {
                for (const membership::OutgoingMessage &answer : views[std::stoul(ping.address)].receive(ping.message, std::to_string(i), now)) {
                    (void)views[std::stoul(answer.address)].receive(answer.message, ping.address, now);
                }
            }
        }
    }
    for (const membership::MembershipView &view : views) {
        CHECK(view.availableMembers().size() == Members);
    }
}
