// Prompt parts that crash upstreams, in a deployment of several instances in two regions over loopback.
//
// ARBUTUS_RIG_SEEDS is the number of seeds to run, ARBUTUS_RIG_FIRST_SEED the first one.

#include "support/edgerig.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

// The users' rule: later than StabilityWindow after the fifth crash, at most MaxLateArrivals requests with the part reach upstreams,
// sent by instances without a disruption in the last StabilityWindow.
constexpr core::Duration StabilityWindow = 5s;
constexpr std::size_t CrashesUntilRuleHolds = 5;
constexpr std::size_t MaxLateArrivals = 3;
// Sound requests are delivered at least half as often as before the crashes.
constexpr double MinSoundShare = 0.5;

constexpr auto WarmUp = 2'500ms;
constexpr auto CrashingTime = 13'000ms;

} // namespace

TEST_CASE("requests with a prompt part that crashes upstreams are kept from them after the fifth crash", "[rig]")
{
    const std::uint64_t first = tests::environmentNumber("ARBUTUS_RIG_FIRST_SEED", 1);
    for (std::uint64_t seed = first; seed < first + tests::environmentNumber("ARBUTUS_RIG_SEEDS", 2); ++seed) {
        CAPTURE(seed);
        pcg32 random(seed);
        tests::EdgeRig rig(tests::EdgeRigOptions{.seed = seed});
        rig.crashingParts = {"bad0"};
        rig.runFor(1'500ms); // membership and configuration
        tests::TrafficSource traffic(rig, random, WarmUp + CrashingTime);
        traffic.addHarmful("bad0", WarmUp, WarmUp + CrashingTime);

        constexpr std::size_t OtherCrashes = 3; // of upstreams, for reasons that are not the requests'
        tests::scheduleDisruptions(rig, random, WarmUp, OtherCrashes);
        rig.runFor(WarmUp + CrashingTime + 1'000ms);

        const std::vector<core::TimePoint> &crashes = rig.partCrashes();
        const auto isHarmful = [](const tests::Arrival &arrival) { return arrival.hasPart("bad0"); };
        const auto harmfulArrivals = std::count_if(rig.arrivals().begin(), rig.arrivals().end(), isHarmful);
        const std::size_t lateArrivals = tests::countLateArrivals(rig, crashes, CrashesUntilRuleHolds, StabilityWindow, isHarmful);
        const double before = traffic.deliveredShare(0ms, WarmUp);
        const double after = traffic.deliveredShare(WarmUp + 2 * StabilityWindow, WarmUp + CrashingTime);
        std::cout << "seed " << seed << ": crashes by the part " << crashes.size() << ", arrivals with the part " << harmfulArrivals << " of "
                  << traffic.harmfulCount() << " requests, late arrivals " << lateArrivals << ", sound requests delivered " << before << " before, " << after
                  << " after" << std::endl;
        CHECK_FALSE(crashes.empty()); // the part does crash upstreams
        CHECK(lateArrivals <= MaxLateArrivals);
        CHECK(after >= MinSoundShare * before);
        for (std::size_t i = 0; i < rig.instanceCount(); ++i) { // also those that were restarted, and those that saw no crash
            CAPTURE(rig.instanceId(i));
            CHECK(rig.metricsText(i).find("arbutus_quarantined_prompt_parts 1\n") != std::string::npos);
        }
    }
}
