// Upstreams that ask for fewer requests in their responses, for a while or because they are leaving, in a deployment of several
// instances in two regions over loopback.
//
// ARBUTUS_RIG_SEEDS is the number of seeds to run, ARBUTUS_RIG_FIRST_SEED the first one.

#include "support/edgerig.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <tuple>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

constexpr auto StartTime = 1'500ms; // membership and configuration
constexpr auto TrafficTime = 8'000ms;
constexpr auto RequestInterval = 12ms;
constexpr auto Grace = 500ms;                // requests may cross the rejection
constexpr std::size_t MaxRequestsInRest = 2; // that reach the upstream from the instance between the grace and the end of a rest

tests::MixedTraffic mixedTraffic()
{
    return {.duration = TrafficTime, .interval = RequestInterval, .targets = {"/chat/x", "/plain/x", "/once/x"}, .sharedParts = 7};
}

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

constexpr auto DrainTime = 3'000ms; // from the passing on of a response that says so until requests of clients may no longer reach the upstream

/// Requests that reached a run of an upstream from an instance that had passed on, DrainTime before, that it was leaving.
std::size_t countAfterLeaving(const tests::EdgeRig &rig)
{
    const auto resultOf = [&](const tests::Arrival &arrival) -> const tests::ClientResult & {
        return rig.result(tests::EdgeRig::requestNumber(arrival.attempt));
    };
    std::map<std::tuple<std::string, std::string, std::uint64_t>, core::TimePoint> passedOnAt; // by instance, upstream and run
    for (const tests::Arrival &arrival : rig.arrivals()) {
        const tests::ClientResult &result = resultOf(arrival);
        if (arrival.saysLeaving && !arrival.misdirected && !arrival.wasShed && result.outcome == tests::ClientOutcome::Complete) {
            for (const std::string &instance : {arrival.sender, rig.instanceId(result.instance)}) { // a relay, and the origin
                core::TimePoint &at = passedOnAt.try_emplace({instance, arrival.upstream, arrival.run}, result.endedAt).first->second;
                at = std::min(at, result.endedAt);
            }
        }
    }
    return static_cast<std::size_t>(std::count_if(rig.arrivals().begin(), rig.arrivals().end(), [&](const tests::Arrival &arrival) {
        const auto found = passedOnAt.find({arrival.sender, arrival.upstream, arrival.run});
        return found != passedOnAt.end() && !arrival.misdirected && resultOf(arrival).sentAt > found->second + DrainTime;
    }));
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
            tests::scheduleTraffic(rig, mixedTraffic());
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

TEST_CASE("an upstream that says it is leaving gets no more requests in this run")
{
    constexpr auto AnswerTime = 200ms;     // of the longest response
    constexpr auto RestartDelay = 4'500ms; // from then on the upstream runs again, under the same id, and stays
    tests::EdgeRigOptions options;
    options.upstreamsPerRegion = 2;
    options.plainUpstreamsPerRegion = 2;
    tests::EdgeRig rig(options);
    rig.runFor(StartTime);
    rig.setStoreCut(0, true); // it learns nothing from the store
    constexpr std::array Leaving = {std::size_t{0}, std::size_t{1}, std::size_t{4}};
    std::map<std::string, core::TimePoint> restartedAt;
    for (const std::size_t upstream : Leaving) {
        rig.upstream(upstream).statesLeaving = true;
    }
    rig.schedule(RestartDelay, [&] {
        rig.setStoreCut(0, false);
        tests::RigUpstream &upstream = rig.upstream(Leaving.front());
        upstream.statesLeaving = false;
        upstream.crash(tests::RestartOptions{.after = 100ms, .entryLifetime = 50ms, .version = upstream.version(), .keepsId = true});
        restartedAt[upstream.id()] = rig.now();
    });
    tests::scheduleTraffic(rig, mixedTraffic());
    rig.runFor(TrafficTime);
    rig.runUntilDone();

    for (const std::size_t index : Leaving) {
        const std::string &id = rig.upstream(index).id();
        const core::TimePoint end = restartedAt.contains(id) ? restartedAt.at(id) : core::TimePoint::max();
        std::map<std::string, core::TimePoint> toldAt; // by instance
        std::size_t late = 0;
        std::size_t afterRestart = 0;
        for (const tests::Arrival &arrival : rig.arrivals()) {
            if (arrival.upstream != id) {
                continue;
            }
            if (arrival.at >= end) {
                ++afterRestart;
                continue;
            }
            const core::TimePoint told = toldAt.try_emplace(arrival.sender, arrival.at + AnswerTime).first->second;
            late += arrival.at > told + DrainTime ? 1 : 0;
        }
        CAPTURE(id);
        CHECK(!toldAt.empty());
        CHECK(late == 0);
        CHECK((afterRestart > 0 || end == core::TimePoint::max()));
    }
    std::size_t failed = 0;
    for (std::size_t i = 0; i < rig.requestCount(); ++i) {
        failed += rig.result(i).outcome == tests::ClientOutcome::Complete ? 0 : 1;
    }
    CHECK(failed <= rig.requestCount() / 100); // the other upstreams have room for all
}

TEST_CASE("an upstream that says it is leaving gets no more requests in this run, whatever the store says of it")
{
    enum class Event {
        AnnouncedLate, // as leaving
        ListedAgain,   // its entry is removed and comes back as ready
        RestartUnseen, // it starts again under its id, and its new run is leaving; the instances learn of that run late
        PathBack,      // an instance had no path to it, and gets one
    };
    const auto [name, event] = GENERATE(table<const char *, Event>({
        {"announced late", Event::AnnouncedLate},
        {"listed again after its removal", Event::ListedAgain},
        {"started again unseen", Event::RestartUnseen},
        {"reached through a relay, then directly", Event::PathBack},
    }));
    CAPTURE(name);
    constexpr auto LeavesAt = 500ms;
    constexpr auto LateEventAt = LeavesAt + DrainTime + 500ms;
    constexpr auto AnnouncedAt = LateEventAt + 1'000ms; // sooner than it may be believed that the new run is not leaving
    constexpr auto Duration = AnnouncedAt + 500ms;
    constexpr std::size_t CutOff = 2; // instance in the region of the first upstream
    tests::EdgeRigOptions options;
    options.upstreamsPerRegion = 2;
    options.plainUpstreamsPerRegion = 2;
    options.headDelay = 300ms; // so that many instances wait for a response when the upstreams begin to say so
    options.allowsPathCuts = event == Event::PathBack;
    tests::EdgeRig rig(options);
    rig.runFor(StartTime);
    tests::RigUpstream &engine = rig.upstream(0);
    tests::RigUpstream &plain = rig.upstream(4);
    const auto forBoth = [&](std::chrono::milliseconds delay, const std::function<void(tests::RigUpstream & upstream)> &action) {
        rig.schedule(delay, [&, action] {
            action(engine);
            action(plain);
        });
    };
    const auto cutAllFromStore = [&](bool isCut) {
        for (std::size_t i = 0; i < rig.instanceCount(); ++i) {
            rig.setStoreCut(i, isCut);
        }
    };
    forBoth(LeavesAt, [](tests::RigUpstream &upstream) { upstream.statesLeaving = true; });
    switch (event) {
    case Event::AnnouncedLate:
        break;
    case Event::ListedAgain:
        forBoth(LeavesAt + 1'000ms, [](tests::RigUpstream &upstream) { upstream.setListed(false); });
        forBoth(LateEventAt, [](tests::RigUpstream &upstream) { upstream.setListed(true); });
        break;
    case Event::RestartUnseen:
        cutAllFromStore(true);
        forBoth(0ms, [](tests::RigUpstream &upstream) {
            upstream.crash(tests::RestartOptions{.after = 100ms, .entryLifetime = 50ms, .version = upstream.version(), .keepsId = true});
        });
        rig.schedule(LateEventAt, [&] { cutAllFromStore(false); });
        break;
    case Event::PathBack:
        rig.cutPaths(CutOff, tests::PathFailure::Reset);
        rig.schedule(LateEventAt, [&] { rig.healPaths(CutOff); });
        break;
    }
    forBoth(AnnouncedAt, [](tests::RigUpstream &upstream) { upstream.drain(1min); });
    tests::scheduleTraffic(rig, {.duration = Duration, .interval = RequestInterval / 3, .targets = {"/chat/x", "/plain/x", "/once/x"}, .sharedParts = 7});
    rig.runFor(Duration);
    rig.runUntilDone();

    const auto told = std::count_if(rig.arrivals().begin(), rig.arrivals().end(), [](const tests::Arrival &arrival) { return arrival.saysLeaving; });
    std::cout << name << ": requests " << rig.requestCount() << ", responses that say so " << told << std::endl;
    CHECK(told > 0);
    CHECK(countAfterLeaving(rig) == 0);
}
