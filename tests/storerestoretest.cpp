// The store comes back from an older copy in the middle of traffic, in a deployment of several instances in two regions over loopback.
//
// ARBUTUS_RIG_SEEDS is the number of seeds to run, ARBUTUS_RIG_FIRST_SEED the first one.

#include "support/edgerig.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace arbutus;
using namespace std::chrono_literals;

TEST_CASE("what is written again after the store was restored from an older copy takes effect everywhere", "[restore]")
{
    constexpr auto StartTime = 2'000ms;       // membership, configuration and registrations
    constexpr auto RewriteDelay = 400ms;      // after the restore, until the operator writes the lost configuration again
    constexpr auto LeaveDelay = 600ms;        // until an upstream announces that it is leaving
    constexpr auto NewVersionDelay = 1'000ms; // until the operator writes a newer configuration
    constexpr auto ConfigurationBound = 3s;
    constexpr auto DrainBound = 3s;
    constexpr auto DrainTime = 8'000ms;
    constexpr std::size_t CutInstance = 3;
    struct Row
    {
        const char *name;
        std::chrono::milliseconds age; // of the copy
        bool cuts;                     // one instance off from the store, from before the restore on
    };
    const std::vector<Row> rows = {
        {"copy without the last configuration", 1'200ms, false},
        {"copy without the last configuration, one instance cut off", 1'200ms, true},
        {"copy without anything, one instance cut off", 60s, true},
    };
    const std::uint64_t firstSeed = tests::environmentNumber("ARBUTUS_RIG_FIRST_SEED", 1);
    const std::uint64_t seedCount = tests::environmentNumber("ARBUTUS_RIG_SEEDS", 1);
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seedCount; ++seed) {
        for (const Row &row : rows) {
            tests::EdgeRigOptions options;
            options.seed = seed;
            options.plainUpstreamsPerRegion = 2;
            options.announcementInterval = 1'000ms;
            options.keepsRegistrations = true;
            tests::EdgeRig rig(options);
            rig.runFor(StartTime);
            REQUIRE(rig.registrationCount() == rig.instanceCount());

            tests::scheduleTraffic(rig, {.duration = 8'000ms, .interval = 15ms, .targets = {"/chat/x", "/plain/x"}, .sharedParts = 7});
            rig.configure(rig.configuration());
            rig.runFor(1'000ms);
            rig.setStoreCut(CutInstance, row.cuts);
            const std::uint64_t confirmedVersion = rig.configurationVersion();
            for (std::size_t i = 0; i < rig.instanceCount(); ++i) {
                REQUIRE(rig.appliedConfiguration(i) == confirmedVersion);
            }

            rig.restoreStore(row.age);
            const core::TimePoint restoredAt = rig.now();
            tests::RigUpstream &leaving = rig.upstream(0);
            core::TimePoint leftAt{};
            core::TimePoint writtenAt{};
            rig.schedule(RewriteDelay, [&] { rig.configureAgain(); });
            rig.schedule(LeaveDelay, [&] {
                leaving.drain(DrainTime);
                leftAt = rig.now();
            });
            rig.schedule(NewVersionDelay, [&] {
                rig.configure(rig.configuration());
                writtenAt = rig.now();
            });
            std::size_t reverted = 0;
            while (rig.now() < restoredAt + NewVersionDelay + ConfigurationBound) {
                rig.runFor(200ms);
                for (std::size_t i = 0; i < rig.instanceCount(); ++i) {
                    reverted += rig.appliedConfiguration(i) < confirmedVersion ? 1 : 0;
                }
            }
            std::size_t behind = 0;
            for (std::size_t i = 0; i < rig.instanceCount(); ++i) {
                behind += rig.appliedConfiguration(i) < rig.configurationVersion() ? 1 : 0;
            }
            const std::size_t registered = rig.registrationCount();
            const std::size_t writes = rig.storeWriteCount(restoredAt, restoredAt + 1s);
            rig.setStoreCut(CutInstance, false);
            rig.runFor(4'000ms);
            rig.runUntilDone();

            const auto late = std::count_if(rig.arrivals().begin(), rig.arrivals().end(), [&](const tests::Arrival &arrival) {
                return arrival.upstream == leaving.id() && arrival.at > leftAt + DrainBound;
            });
            std::size_t complete = 0;
            for (std::size_t i = 0; i < rig.requestCount(); ++i) {
                complete += rig.result(i).outcome == tests::ClientOutcome::Complete ? 1 : 0;
            }
            std::cout << "seed " << seed << ", " << row.name << ": requests " << rig.requestCount() << ", complete " << complete << ", late arrivals " << late
                      << ", instances behind " << behind << ", reverted " << reverted << ", registered " << registered << ", writing calls in the first second "
                      << writes << std::endl;
            const std::string where = std::string(row.name) + ", seed " + std::to_string(seed);
            INFO(where);
            CHECK(late == 0);
            CHECK(reverted == 0);
            CHECK(behind == 0);
            CHECK(registered + (row.cuts ? 1 : 0) >= rig.instanceCount());
            CHECK(rig.registrationCount() == rig.instanceCount());
            CHECK(complete >= rig.requestCount() * 99 / 100);
        }
    }
}

TEST_CASE("an instance that starts after a restore serves by an older configuration than the others", "[restore][behind]")
{
    constexpr auto StartTime = 2'000ms; // membership, configuration and registrations
    constexpr auto DownTime = 300ms;
    constexpr auto ConfigurationBound = 3'000ms;
    const std::uint64_t firstSeed = tests::environmentNumber("ARBUTUS_RIG_FIRST_SEED", 1);
    const std::uint64_t seedCount = tests::environmentNumber("ARBUTUS_RIG_SEEDS", 1);
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seedCount; ++seed) {
        tests::EdgeRigOptions options;
        options.seed = seed;
        options.announcementInterval = 1'000ms;
        options.keepsRegistrations = true;
        tests::EdgeRig rig(options);
        rig.runFor(StartTime);
        rig.configure(rig.configuration());
        rig.runFor(1'000ms);
        const std::uint64_t acknowledged = rig.configurationVersion();
        for (std::size_t i = 0; i < rig.instanceCount(); ++i) {
            REQUIRE(rig.appliedConfiguration(i) == acknowledged);
        }
        rig.restoreStore(1'200ms);
        rig.runFor(1'000ms);
        std::vector<std::string> behind;
        for (std::size_t i = 0; i < rig.instanceCount(); ++i) { // whichever roles it has, and the last ones from those that have started again
            rig.kill(i);
            rig.runFor(DownTime);
            rig.start(i);
            rig.runFor(ConfigurationBound);
            if (rig.appliedConfiguration(i) != acknowledged) {
                behind.push_back(rig.instanceId(i));
            }
        }
        std::cout << "seed " << seed << ": instances behind " << behind.size() << " of " << rig.instanceCount() << std::endl;
        CAPTURE(seed, behind);
        CHECK(behind.empty());
    }
}
