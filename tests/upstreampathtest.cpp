// Instances that have lost their paths to all upstreams, in a deployment of eight instances in two regions over loopback.
//
// ARBUTUS_RIG_SEEDS is the number of seeds to run of every row, ARBUTUS_RIG_FIRST_SEED the first one; without them, CI runs one seed of
// the rows that are marked for it.

#include "support/edgerig.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

constexpr auto StartTime = 1'500ms;       // membership and configuration
constexpr auto StabilityWindow = 5'000ms; // from the begin of a cut until the bounds hold
constexpr auto MeasuredTime = 4'000ms;
constexpr auto RequestInterval = 20ms;
constexpr auto Deadline = 3'000ms;
constexpr std::size_t MaxUpstreams = 3; // of one request, as the routes allow

// The bounds of the users' rule: first attempts at the instances that are cut off are served at least two thirds as often as those at
// the others, or at most 10 and one in 50 of all fail there.
constexpr double MinServedRatio = 2.0 / 3;
constexpr std::size_t MaxFailed = 10;
constexpr std::size_t MaxFailedDivisor = 50;

struct Row
{
    const char *name;
    tests::PathFailure failure;
    std::vector<std::size_t> instances; // even numbers are of one region, odd ones of the other
    bool inCi;
};

struct Count
{
    std::size_t sent = 0;
    std::size_t served = 0;

    [[nodiscard]] std::size_t failed() const
    {
        return sent - served;
    }
    [[nodiscard]] double share() const
    {
        return sent == 0 ? 1 : static_cast<double>(served) / static_cast<double>(sent);
    }
};

/// First attempts sent between two times to instances that satisfy a condition.
Count countServed(const tests::EdgeRig &rig, core::TimePoint from, core::TimePoint to, const std::function<bool(std::size_t instance)> &matches)
{
    Count out;
    for (std::size_t i = 0; i < rig.requestCount(); ++i) {
        const tests::ClientResult &result = rig.result(i);
        if (result.sentAt >= from && result.sentAt < to && matches(result.instance)) {
            ++out.sent;
            out.served += result.outcome == tests::ClientOutcome::Complete ? 1 : 0;
        }
    }
    return out;
}

tests::EdgeRigOptions rigOptions(std::uint64_t seed)
{
    tests::EdgeRigOptions options;
    options.seed = seed;
    options.instancesPerRegion = 4;
    options.upstreamsPerRegion = 3;
    options.plainUpstreamsPerRegion = 2;
    options.allowsPathCuts = true;
    return options;
}

} // namespace

TEST_CASE("instances that have lost their paths to all upstreams serve as well as the others")
{
    using tests::PathFailure;
    static const std::vector<Row> rows = {
        {"hang, one", PathFailure::Hang, {2}, false},
        {"hang, most", PathFailure::Hang, {0, 2, 4, 1, 3}, true},
        {"hang, others", PathFailure::Hang, {2, 4, 6, 3, 5}, false},
        {"hang, a region", PathFailure::Hang, {0, 2, 4, 6}, true},
        {"reset, one", PathFailure::Reset, {5}, false},
        {"reset, most", PathFailure::Reset, {2, 4, 6, 3, 5}, true},
        {"reset, others", PathFailure::Reset, {0, 2, 4, 1, 3}, false},
        {"reset, a region", PathFailure::Reset, {1, 3, 5, 7}, false},
        {"new ones refused, one", PathFailure::RefuseNew, {4}, false},
        {"new ones refused, most", PathFailure::RefuseNew, {0, 4, 6, 1, 7}, true},
        {"new ones refused, a region", PathFailure::RefuseNew, {0, 2, 4, 6}, false},
    };
    const bool isByHand = tests::environmentNumber("ARBUTUS_RIG_SEEDS", 0) > 0;
    const std::uint64_t firstSeed = tests::environmentNumber("ARBUTUS_RIG_FIRST_SEED", 1);
    const std::uint64_t seedCount = std::max<std::uint64_t>(tests::environmentNumber("ARBUTUS_RIG_SEEDS", 1), 1);
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seedCount; ++seed) {
        for (const Row &row : rows) {
            if (!row.inCi && !isByHand) {
                continue;
            }
            tests::EdgeRig rig(rigOptions(seed));
            rig.runFor(StartTime);
            const auto isCut = [&](std::size_t instance) { return std::find(row.instances.begin(), row.instances.end(), instance) != row.instances.end(); };
            const auto isOther = [&](std::size_t instance) { return !isCut(instance); };
            constexpr auto CutDelay = 1'000ms;
            constexpr auto CutTime = StabilityWindow + MeasuredTime;
            for (const std::size_t instance : row.instances) {
                rig.schedule(CutDelay, [&rig, instance, &row] { rig.cutPaths(instance, row.failure); });
                rig.schedule(CutDelay + CutTime, [&rig, instance] { rig.healPaths(instance); });
            }
            constexpr auto TrafficTime = CutDelay + CutTime + StabilityWindow + 1'000ms;
            tests::scheduleTraffic(
                rig, {.duration = TrafficTime, .interval = RequestInterval, .targets = {"/chat/x", "/plain/x", "/chat/x", "/once/x"}, .deadline = Deadline});
            const core::TimePoint cutAt = rig.now() + CutDelay;
            rig.runFor(TrafficTime);
            rig.runUntilDone();

            const core::TimePoint from = cutAt + StabilityWindow;
            const core::TimePoint to = cutAt + CutTime;
            const Count cut = countServed(rig, from, to, isCut);
            const Count others = countServed(rig, from, to, isOther);
            const Count afterwards = countServed(rig, to + StabilityWindow, core::TimePoint::max(), [](std::size_t) { return true; });
            std::cout << "seed " << seed << ", " << row.name << ": cut off " << cut.served << " of " << cut.sent << ", others " << others.served << " of "
                      << others.sent << ", afterwards " << afterwards.served << " of " << afterwards.sent << std::endl;
            const std::string where = std::string(row.name) + ", seed " + std::to_string(seed);
            INFO(where);
            const std::size_t maxFailed = MaxFailed + (cut.sent + others.sent) / MaxFailedDivisor;
            CHECK((cut.share() >= MinServedRatio * others.share() || cut.failed() <= maxFailed));
            CHECK(others.failed() <= maxFailed); // they have lost nothing
            CHECK(afterwards.failed() <= MaxFailed + afterwards.sent / MaxFailedDivisor);
            std::map<std::string, std::size_t> runs;
            std::size_t doubled = 0;
            std::size_t viaPeers = 0; // once the paths are back
            for (const tests::Arrival &arrival : rig.arrivals()) {
                const std::size_t count = ++runs[arrival.attempt];
                doubled += count > (arrival.target.starts_with("/once/") ? 1 : MaxUpstreams) ? 1 : 0;
                if (arrival.at >= to + StabilityWindow) {
                    const std::size_t request = std::stoul(arrival.attempt.substr(arrival.attempt.find('-') + 1));
                    viaPeers += rig.instanceId(rig.result(request).instance) != arrival.sender ? 1 : 0;
                }
            }
            CHECK(doubled == 0);
            CHECK(viaPeers == 0);
            for (std::size_t instance = 0; instance < rig.instanceCount(); ++instance) { // no upstream has crashed
                CHECK(rig.metricsText(instance).find("arbutus_upstream_crashes_total") == std::string::npos);
            }
        }
    }
}
