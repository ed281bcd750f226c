// Upstreams that name the rate of requests they take, in a deployment of several instances in two regions over loopback.
//
// ARBUTUS_RIG_SEEDS is the number of seeds to run, ARBUTUS_RIG_FIRST_SEED the first one.

#include "support/edgerig.h"

#include <catch2/catch.hpp>

#include <array>
#include <iostream>
#include <sstream>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

// The users' rule: from StabilityWindow after an upstream first named a limit, it gets at most MaxRateFactor times what the limit
// allows plus MaxExtraArrivals in each CountingWindow, from instances that had received such a response ToldFor before.
constexpr core::Duration StabilityWindow = 5s;
constexpr core::Duration CountingWindow = 4s;
constexpr core::Duration ToldFor = 500ms;
constexpr double MaxRateFactor = 1.5;
constexpr double MaxExtraArrivals = 5;

constexpr auto WarmUp = 1'500ms;
constexpr auto LimitedTime = 14'000ms;

/// Largest number of arrivals in a counting window, for each run of an upstream that named a limit.
std::map<std::string, std::size_t> mostArrivals(const tests::EdgeRig &rig)
{
    std::map<std::string, core::TimePoint> firstNamedAt;
    for (const tests::Arrival &arrival : rig.arrivals()) {
        if (const auto told = rig.toldLimitAt(arrival.upstream, arrival.sender)) {
            const auto [found, added] = firstNamedAt.try_emplace(arrival.upstream, *told);
            found->second = std::min(found->second, *told);
        }
    }
    std::map<std::string, std::vector<core::TimePoint>> counted;
    for (const tests::Arrival &arrival : rig.arrivals()) {
        const auto told = rig.toldLimitAt(arrival.upstream, arrival.sender);
        if (told && arrival.at >= *told + ToldFor && arrival.at >= firstNamedAt[arrival.upstream] + StabilityWindow
            && rig.wasUndisturbed(arrival.sender, arrival.at, StabilityWindow)) {
            counted[arrival.upstream].push_back(arrival.at);
        }
    }
    std::map<std::string, std::size_t> most;
    for (const auto &[upstream, times] : counted) {
        for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] > CountingWindow) {
                ++first;
            }
            most[upstream] = std::max(most[upstream], last - first + 1);
        }
    }
    return most;
}

} // namespace

TEST_CASE("an upstream that names a limit gets no more requests from all instances together", "[rig]")
{
    const std::uint64_t first = tests::environmentNumber("ARBUTUS_RIG_FIRST_SEED", 1);
    for (std::uint64_t seed = first; seed < first + tests::environmentNumber("ARBUTUS_RIG_SEEDS", 2); ++seed) {
        CAPTURE(seed);
        pcg32 random(seed);
        tests::EdgeRig rig(tests::EdgeRigOptions{.seed = seed});
        rig.runFor(1'500ms); // membership and configuration
        tests::TrafficSource traffic(rig, random, WarmUp + LimitedTime);
        constexpr std::array Limits = {0.5, 1.0, 3.0};
        const double limit = Limits[random() % Limits.size()];

        // Half of the upstreams of the first region name a limit, with disruptions of the dispatchers and others meanwhile.
        std::vector<std::size_t> limited;
        for (std::size_t i = 0; i < rig.upstreamCount() && limited.size() < 2; ++i) {
            if (rig.upstream(i).region() == "x") {
                limited.push_back(i);
            }
        }
        std::ostringstream limitText;
        limitText << limit;
        rig.schedule(WarmUp, [&] {
            for (const std::size_t upstream : limited) {
                rig.upstream(upstream).limit = limitText.str();
            }
        });
        const std::size_t killed = random() % rig.instanceCount();
        const std::size_t frozen = (killed + 1 + random() % (rig.instanceCount() - 1)) % rig.instanceCount();
        const auto killAt = WarmUp + std::chrono::milliseconds(random() % 9'000);
        rig.schedule(killAt, [&] { rig.kill(killed); });
        rig.schedule(killAt + 900ms, [&] { rig.start(killed); });
        rig.schedule(WarmUp + std::chrono::milliseconds(random() % 9'000), [&] { rig.freeze(frozen, 1'500ms); });
        const std::size_t cut = random() % rig.instanceCount();
        rig.schedule(WarmUp + 3'000ms, [&] { rig.setStoreCut(cut, true); });
        rig.schedule(WarmUp + 5'000ms, [&] { rig.setStoreCut(cut, false); });
        rig.runFor(WarmUp + LimitedTime + 1'000ms);

        const double allowed = MaxRateFactor * limit * std::chrono::duration<double>(CountingWindow).count() + MaxExtraArrivals;
        const auto most = mostArrivals(rig);
        std::size_t largest = 0;
        for (const auto &[upstream, count] : most) {
            largest = std::max(largest, count);
        }
        const double before = traffic.deliveredShare(0ms, WarmUp);
        const double after = traffic.deliveredShare(WarmUp, WarmUp + LimitedTime);
        std::cout << "seed " << seed << ": limit " << limit << ", most arrivals in 4 s " << largest << " of " << allowed << " allowed, requests delivered "
                  << before << " before, " << after << " after" << std::endl;
        CHECK(most.size() == limited.size()); // both are still in use
        CHECK(static_cast<double>(largest) <= allowed);
        CHECK(after >= 0.9 * before); // the other upstreams have room for all requests
    }
}

TEST_CASE("a dispatcher that receives no response of an upstream itself keeps the limit that others have heard of", "[rig]")
{
    const auto entry = GENERATE(as<std::size_t>{}, 0, 2); // both in the first region, so at least one is not its dispatcher
    CAPTURE(entry);
    constexpr double Limit = 1;
    constexpr auto Interval = 50ms;
    constexpr auto Duration = 11'000ms;
    tests::EdgeRig rig(tests::EdgeRigOptions{.seed = 1});
    rig.runFor(1'500ms); // membership and configuration
    for (std::size_t i = 0; i < 4; ++i) {
        if (rig.upstream(i).region() == "x") {
            rig.upstream(i).limit = "1";
        }
    }
    std::uint64_t next = 0;
    for (auto at = 0ms; at < Duration; at += Interval) {
        rig.schedule(at, [&rig, &next, entry] { (void)rig.send(entry, {"a1", "beef0", "c" + std::to_string(next++)}); });
    }
    rig.runFor(Duration + 1'000ms);
    const auto most = mostArrivals(rig);
    CHECK_FALSE(most.empty());
    for (const auto &[upstream, count] : most) {
        CAPTURE(upstream);
        CHECK(static_cast<double>(count) <= MaxRateFactor * Limit * std::chrono::duration<double>(CountingWindow).count() + MaxExtraArrivals);
    }
}
