// Upstreams that reject some requests and ask the instance for a rest, in a deployment of several instances in two regions over loopback.
//
// ARBUTUS_RIG_SEEDS is the number of seeds to run, ARBUTUS_RIG_FIRST_SEED the first one.

#include "support/edgerig.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

constexpr auto StartTime = 1'500ms; // membership and configuration
constexpr auto TrafficTime = 8'000ms;
constexpr auto RequestInterval = 12ms;
constexpr auto Grace = 500ms;                // requests may cross the rejection
constexpr std::size_t MaxRequestsInRest = 2; // that reach the upstream from the instance between the grace and the end of a rest

/// Largest number of requests that reached an upstream from an instance in a rest that it had asked of it.
std::size_t maxRequestsInRest(const tests::EdgeRig &rig)
{
    std::size_t out = 0;
    for (const tests::RestRequest &rest : rig.restRequests()) {
        const auto count = std::count_if(rig.arrivals().begin(), rig.arrivals().end(), [&](const tests::Arrival &arrival) {
            return arrival.upstream == rest.upstream && arrival.sender == rest.instance && arrival.at > rest.at + Grace && arrival.at < rest.end
                && rig.wasUndisturbed(rest.instance, rest.end, rest.end - rest.at);
        });
        out = std::max(out, static_cast<std::size_t>(count));
    }
    return out;
}

} // namespace

TEST_CASE("an upstream gets no requests from an instance that it asked for a rest")
{
    struct Row
    {
        const char *name;
        std::size_t shedding; // upstreams of each service and region, of two
        std::chrono::milliseconds rest;
        bool disrupts; // streams break off, upstreams are silent
    };
    const std::vector<Row> rows = {
        {"one of two", 1, 3'000ms, false},
        {"one of two, beside breaks and silences", 1, 2'000ms, true},
        {"all", 2, 1'500ms, false},
    };
    const std::uint64_t firstSeed = tests::environmentNumber("ARBUTUS_RIG_FIRST_SEED", 1);
    const std::uint64_t seedCount = tests::environmentNumber("ARBUTUS_RIG_SEEDS", 1);
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seedCount; ++seed) {
        for (const Row &row : rows) {
            tests::EdgeRigOptions options;
            options.seed = seed;
            options.upstreamsPerRegion = 2;
            options.plainUpstreamsPerRegion = 2;
            if (row.disrupts) {
                options.silence.share = 0.1;
                options.breaks.share = 0.1;
            }
            tests::EdgeRig rig(options);
            rig.runFor(StartTime);
            for (std::size_t i = 0; i < rig.upstreamCount(); ++i) {
                const bool isFirstOfTwo = i / 2 % 2 == 0; // regions alternate, then services
                if (isFirstOfTwo || row.shedding == 2) {
                    rig.upstream(i).shedShare = 0.4;
                    rig.upstream(i).rest = row.rest;
                }
            }
            std::size_t number = 0;
            for (auto at = 0ms; at < TrafficTime; at += RequestInterval) {
                rig.schedule(at, [&rig, number] {
                    constexpr std::array Targets = {"/chat/x", "/plain/x", "/once/x"};
                    tests::RigRequest request{.instance = number % rig.instanceCount(), .target = Targets[number / rig.instanceCount() % Targets.size()]};
                    if (request.target == "/chat/x") {
                        request.parts = {"a1", "b" + std::to_string(number)};
                    }
                    request.body = std::to_string(number);
                    rig.send(request);
                });
                ++number;
            }
            rig.runFor(TrafficTime);
            rig.runUntilDone();

            std::size_t complete = 0;
            std::size_t refused = 0;
            for (std::size_t i = 0; i < rig.requestCount(); ++i) {
                complete += rig.result(i).outcome == tests::ClientOutcome::Complete ? 1 : 0;
                refused += rig.result(i).status == 503 ? 1 : 0;
            }
            const std::size_t inRest = maxRequestsInRest(rig);
            std::cout << "seed " << seed << ", " << row.name << ": requests " << rig.requestCount() << ", complete " << complete << ", refused " << refused
                      << ", rests asked for " << rig.restRequests().size() << ", most requests in one " << inRest << std::endl;
            const std::string where = std::string(row.name) + ", seed " + std::to_string(seed);
            INFO(where);
            CHECK(!rig.restRequests().empty());
            CHECK(inRest <= MaxRequestsInRest);
            if (row.shedding == 1) { // the other upstreams have room for all
                CHECK(refused <= rig.requestCount() / 100);
            }
        }
    }
}
