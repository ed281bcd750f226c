// Routes lose a home region in the middle of traffic, in a deployment of several instances in two regions over loopback.
//
// ARBUTUS_RIG_SEEDS is the number of seeds to run, ARBUTUS_RIG_FIRST_SEED the first one.

#include "support/edgerig.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <numeric>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

constexpr auto StartTime = 2'000ms;     // membership, configuration and registrations
constexpr auto StoreDelay = 20ms;       // an instance that stands still may find an older answer later
constexpr auto TimeBefore = 1'200ms;    // from the begin of the traffic to the change
constexpr auto DisturbanceLead = 300ms; // from the begin of a freeze or cut to the change
constexpr auto FreezeTime = 3'800ms;    // over the change and its bound
constexpr auto KillDelay = 1'000ms;     // from the change; all instances that run have applied it
constexpr auto RestoreDelay = 1'200ms;  // from the change
constexpr auto CopyLead = 300ms;        // from the copy that is restored to the change, which it lacks
constexpr auto RestartDelay = 1'500ms;  // from the change
constexpr auto SpecialLead = 500ms;     // from a request that lasts over the change to the change
constexpr auto BodyPause = 4'000ms;     // it ends later than the bound
constexpr auto BusyTime = 4'100ms;      // of upstreams; it ends later than the bound
constexpr auto SpecialDeadline = 8'000ms;
constexpr auto LongTargetLatency = 5'000ms;
constexpr auto RouteTimeout = 15'000ms;
constexpr auto EventGap = 100ms;
constexpr int EventCount = 50;
constexpr int LastEventBeforeBreak = 42; // more than the bound after the change
constexpr auto WideningDelay = 4'500ms;  // from the change
constexpr auto TimeAfter = 4'800ms;      // from the change to the end of the traffic
constexpr auto LongTimeAfter = 6'500ms;  // the same, if an instance is judged after a freeze or the homes are widened

// The users' stability window is 5 s; the shorter one is stricter.
constexpr tests::ConfigurationBounds Bounds{.apply = 3s, .stability = 2s};

struct Play
{
    const char *name;
    core::Duration stability = Bounds.stability;
    bool restores = false;    // the store, from a copy without the change
    bool restarts = false;    // an instance, which starts after the restore
    bool freezes = false;     // an instance, over the change and its bound
    bool cuts = false;        // an instance off from the store, over the change
    bool isSlow = false;      // clients send the second half of a body after the bound
    bool isBusy = false;      // requests wait for upstreams until after the bound
    bool breaks = false;      // streams lose their upstream after the bound
    bool disturbsAny = false; // instance, else one in the region that is excluded
    bool widens = false;      // the home regions are widened again by a later version
};

struct Seen
{
    std::size_t outside = 0;
    std::size_t bodies = 0; // of the outside requests: received by instances
    std::size_t excused = 0;
    std::size_t outsideBefore = 0; // requests in the region that is excluded later
    std::size_t sound = 0;         // ordinary requests to undisturbed instances
    std::size_t complete = 0;      // of these
    std::size_t hops = 0;          // requests that another region's instances received after the change
    std::size_t special = 0;       // requests that last over the change
    std::size_t specialComplete = 0;
    std::string first; // of the outside requests
};

Seen run(const Play &play, std::uint64_t seed)
{
    pcg32 random(seed, 41);
    const std::string lost = random() % 2 == 0 ? "x" : "y";
    const std::string kept = lost == "x" ? "y" : "x";
    tests::EdgeRigOptions options;
    options.seed = seed;
    options.plainUpstreamsPerRegion = 2;
    options.announcementInterval = 1'000ms;
    options.keepsRegistrations = true;
    options.storeDelay = StoreDelay;
    options.configuration.routeTimeout = RouteTimeout;
    if (play.isBusy) {
        options.configuration.targetLatency = LongTargetLatency; // requests may wait for a multiple of it
        options.plainSlots = 2;
    }
    if (play.breaks) {
        options.eventGap = EventGap;
        options.eventCount = EventCount;
    }
    const std::set<std::string> homesBefore = play.isBusy ? std::set{lost} : std::set{lost, kept}; // or the others would take what waits
    const std::set<std::string> onceBefore = play.isSlow ? std::set{lost} : homesBefore;           // so that instances of the other region send bodies to it
    options.configuration.homeRegions = {{"chat", {lost, kept}}, {"plain", homesBefore}, {"once", onceBefore}};
    tests::EdgeRig rig(options);
    rig.runFor(StartTime);

    std::vector<std::string> targets;
    if (!play.breaks) {
        targets.emplace_back("/chat/x");
    }
    if (!play.isBusy) {
        targets.insert(targets.end(), {"/plain/x", "/once/x"});
    }
    const bool isLong = (play.freezes && play.stability > 0s) || play.widens;
    const std::chrono::milliseconds duration = TimeBefore + (isLong ? LongTimeAfter : TimeAfter);
    tests::scheduleTraffic(rig, {.duration = duration, .interval = 20ms, .targets = targets, .sharedParts = 7});

    const std::size_t instanceCount = rig.instanceCount();
    std::vector<std::size_t> instances(instanceCount);
    std::iota(instances.begin(), instances.end(), std::size_t{0});
    std::shuffle(instances.begin(), instances.end(), random);
    if (!play.disturbsAny) {
        std::stable_partition(instances.begin(), instances.end(), [&](std::size_t item) { return rig.instanceRegion(item) == lost; });
    }
    core::TimePoint changedAt{};
    const std::size_t frozen = instances[0];
    const std::size_t cut = instances[1];
    const std::size_t restarted = instances[2];
    const auto freezeLead = DisturbanceLead + std::chrono::milliseconds(random() % 200);
    if (play.freezes) {
        rig.schedule(TimeBefore - freezeLead, [&] { rig.freeze(frozen, FreezeTime + freezeLead); });
    }
    if (play.cuts) {
        rig.schedule(TimeBefore - DisturbanceLead, [&] { rig.setStoreCut(cut, true); });
    }
    if (play.restarts) {
        rig.schedule(TimeBefore + KillDelay, [&] { rig.kill(restarted); });
        rig.schedule(TimeBefore + RestartDelay, [&] { rig.start(restarted); });
    }
    if (play.restores) {
        rig.schedule(TimeBefore + RestoreDelay, [&] { rig.restoreStore(std::chrono::ceil<std::chrono::milliseconds>(rig.now() - changedAt) + CopyLead); });
    }

    std::set<std::size_t> specials;
    const auto sendToAll = [&](tests::RigRequest request) {
        request.deadline = SpecialDeadline;
        for (std::size_t i = 0; i < instanceCount; ++i) {
            if (rig.isRunning(i)) {
                request.instance = i;
                request.body = "special " + std::to_string(rig.requestCount());
                if (request.target == "/chat/x") {
                    request.parts = {"a" + std::to_string(i), "s" + std::to_string(rig.requestCount())};
                }
                specials.insert(rig.send(request));
            }
        }
    };
    if (play.isSlow) {
        rig.schedule(TimeBefore - SpecialLead, [&] {
            for (const char *target : {"/chat/x", "/plain/x", "/once/x"}) {
                sendToAll(tests::RigRequest{.target = target, .bodyPause = BodyPause + std::chrono::milliseconds(random() % 300)});
            }
        });
    }
    if (play.isBusy) {
        rig.schedule(TimeBefore - SpecialLead, [&] {
            sendToAll(tests::RigRequest{.target = "/once/x", .silences = {tests::Silence{tests::SilencePoint::BeforeHead, BusyTime}}});
        });
        rig.schedule(TimeBefore - SpecialLead / 2, [&] {
            for (const char *target : {"/plain/x", "/once/x"}) {
                sendToAll(tests::RigRequest{.target = target});
            }
        });
    }
    if (play.breaks) {
        rig.schedule(TimeBefore - SpecialLead, [&] {
            const tests::StreamFailure failure{.kind = tests::StreamFailureKind::ConnectionLost, .afterEvent = LastEventBeforeBreak};
            for (int round = 0; round < 3; ++round) {
                sendToAll(tests::RigRequest{.target = "/chat/x", .failure = failure});
            }
        });
    }

    rig.schedule(TimeBefore, [&] {
        tests::RigConfiguration configuration = rig.configuration();
        configuration.homeRegions = {{"chat", {kept}}, {"plain", {kept}}, {"once", {kept}}};
        rig.configure(configuration);
        changedAt = rig.now();
    });
    if (play.widens) {
        rig.schedule(TimeBefore + WideningDelay, [&] {
            tests::RigConfiguration configuration = rig.configuration();
            configuration.homeRegions["plain"] = {lost, kept};
            rig.configure(configuration);
        });
    }
    rig.runFor(duration);
    rig.runUntilDone();

    Seen seen;
    for (const tests::OutsideRequest &request : tests::findOutsideRequests(rig, {.apply = Bounds.apply, .stability = play.stability})) {
        ++(request.isExcused ? seen.excused : seen.outside);
        seen.bodies += !request.isExcused && request.receiver.starts_with("gateway-") ? 1 : 0;
        if (!request.isExcused && seen.first.empty()) {
            seen.first = request.target + " " + request.attempt + " from " + request.sender + " at " + request.receiver + " in " + request.region + ", "
                + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(request.sinceAcknowledgement).count()) + " ms after the acknowledgement";
        }
    }
    seen.outsideBefore = static_cast<std::size_t>(std::count_if(
        rig.arrivals().begin(), rig.arrivals().end(), [&](const tests::Arrival &arrival) { return arrival.region == lost && arrival.at < changedAt; }));
    seen.hops = static_cast<std::size_t>(std::count_if(rig.peerArrivals().begin(), rig.peerArrivals().end(), [&](const tests::PeerArrival &arrival) {
        return rig.instanceRegion(arrival.instance) == kept && arrival.at > changedAt;
    }));
    for (std::size_t i = 0; i < rig.requestCount(); ++i) {
        const tests::ClientResult &result = rig.result(i);
        const bool isComplete = result.outcome == tests::ClientOutcome::Complete;
        if (specials.contains(i)) {
            ++seen.special;
            seen.specialComplete += isComplete ? 1 : 0;
        } else if (rig.disturbedSince(rig.instanceId(result.instance), result.endedAt, Bounds.stability) == result.endedAt) {
            ++seen.sound;
            seen.complete += isComplete ? 1 : 0;
        }
    }
    return seen;
}

/// A combination that depends on the seed.
Play combine(std::uint64_t seed)
{
    pcg32 random(seed, 42);
    const auto draw = [&] { return random() % 2 == 0; };
    Play play{.name = "combination", .restores = draw()};
    play.restarts = play.restores && draw();
    play.freezes = draw();
    play.cuts = draw();
    play.isSlow = draw();
    play.isBusy = draw();
    play.breaks = !play.isBusy;
    play.widens = draw();
    play.disturbsAny = draw();
    return play;
}

void check(const Play &play, std::uint64_t seed)
{
    constexpr std::size_t MinSpecials = 5; // one for each instance that runs
    const Seen seen = run(play, seed);
    std::cout << "seed " << seed << ", " << play.name << ": outside " << seen.outside << " (" << seen.bodies << " at instances), excused " << seen.excused
              << ", in the region before " << seen.outsideBefore << ", hops " << seen.hops << ", sound " << seen.sound << ", complete " << seen.complete
              << ", special " << seen.special << ", complete " << seen.specialComplete << (seen.first.empty() ? "" : "; first: ") << seen.first << std::endl;
    const std::string where = std::string(play.name) + ", seed " + std::to_string(seed);
    INFO(where);
    CHECK(seen.outside == 0);
    CHECK(seen.outsideBefore > 0);
    CHECK(seen.hops > 0);
    CHECK(seen.complete >= seen.sound * 98 / 100);
    CHECK(seen.special >= (play.isSlow || play.isBusy || play.breaks ? MinSpecials : 0));
}

void checkSeeds(const std::function<Play(std::uint64_t)> &playFor)
{
    const std::uint64_t firstSeed = tests::environmentNumber("ARBUTUS_RIG_FIRST_SEED", 1);
    const std::uint64_t seedCount = tests::environmentNumber("ARBUTUS_RIG_SEEDS", 1);
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seedCount; ++seed) {
        check(playFor(seed), seed);
    }
}

} // namespace

TEST_CASE("requests run outside their home regions after an acknowledged change", "[home]")
{
    const std::vector<Play> plays = {
        {.name = "calm"},
        {.name = "store restored", .restores = true},
        {.name = "instance frozen", .freezes = true},
        {.name = "instance cut from the store", .cuts = true},
    };
    for (const Play &play : plays) {
        checkSeeds([&](std::uint64_t) { return play; });
    }
}

TEST_CASE("an instance that stood still over a change sends what waited for it to a region that is no home any more", "[home]")
{
    // A request must not leave its home regions at any time, so the instance has no time to catch up.
    checkSeeds([](std::uint64_t) { return Play{.name = "what waited for a frozen instance", .stability = 0s, .freezes = true}; });
}

TEST_CASE("an instance that starts after a restore serves outside the home regions that the store lost", "[home]")
{
    checkSeeds([](std::uint64_t) { return Play{.name = "instance started after a restore", .restores = true, .restarts = true}; });
}

TEST_CASE("a request whose body arrives slowly runs in a region that is no home any more", "[home]")
{
    checkSeeds([](std::uint64_t) { return Play{.name = "slow bodies", .isSlow = true}; });
}

TEST_CASE("a request that waits for an upstream runs in a region that is no home any more", "[home]")
{
    checkSeeds([](std::uint64_t) { return Play{.name = "requests wait for upstreams", .isBusy = true}; });
}

TEST_CASE("a stream that loses its upstream goes on in a region that is no home any more", "[home]")
{
    checkSeeds([](std::uint64_t) { return Play{.name = "streams lose their upstream", .breaks = true}; });
}

TEST_CASE("requests run outside their home regions in combinations of disturbances", "[home]")
{
    checkSeeds(combine);
}
