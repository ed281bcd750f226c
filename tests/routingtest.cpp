// Routers and the upstream table: edge cases of the policy, and the scored router compared with the exhaustive one.

#include "arbutus/routing/router.h"
#include "support/schedules.h"

#include "arbutus/routing/upstreamnotices.h"
#include "arbutus/routing/upstreampaths.h"
#include "arbutus/routing/upstreamrests.h"

#include <catch2/catch.hpp>

#include <array>
#include <rapidcheck.h>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

const core::ModelId Model("m");
const core::TimePoint Now(100s);

routing::UpstreamDescriptor makeDescriptor(const std::string &id, double price = 1.0)
{
    routing::UpstreamDescriptor descriptor;
    descriptor.id = core::UpstreamId(id);
    descriptor.region = core::RegionId("here");
    descriptor.domain = core::DomainId("here-a");
    descriptor.models = {Model};
    descriptor.price = price;
    return descriptor;
}

routing::LoadReport makeReport(const std::string &id, std::uint32_t running, std::uint32_t waiting = 0)
{
    routing::LoadReport report;
    report.id = core::UpstreamId(id);
    report.running = running;
    report.waiting = waiting;
    report.models = {Model};
    return report;
}

routing::RemotePool makePool(const std::string &domain, std::uint32_t freeSlots, double price = 1.0)
{
    routing::RemotePool pool;
    pool.domain = core::DomainId(domain);
    pool.region = core::RegionId("there");
    pool.freeSlots = freeSlots;
    pool.slots = 64;
    pool.price = price;
    pool.instances = {routing::RemoteInstance{core::InstanceRef{core::InstanceId("x"), core::Incarnation(1)}, "p", "u"}};
    return pool;
}

routing::RoutingRequest makeRequest()
{
    routing::RoutingRequest request;
    request.model = Model;
    request.allowedRegions = {core::RegionId("here"), core::RegionId("there")};
    request.promptTokens = 400;
    return request;
}

std::string chosenTarget(routing::Router router, const routing::UpstreamTable &table, const routing::RoutingRequest &request)
{
    const auto decision = routing::choose(router, request, table, Now);
    if (!decision) {
        return "none";
    }
    return decision->chosen.upstream.empty() ? decision->chosen.domain.text : decision->chosen.upstream.text;
}

routing::Router makeScoredRouter()
{
    return routing::makeRouter("scored", routing::RouterSettings{}, 1).value();
}

} // namespace

TEST_CASE("the scored router weighs queueing, price and cached prefixes", "[routing]")
{
    routing::UpstreamTable table(routing::UpstreamTableSettings{});
    table.updateUpstreams({makeDescriptor("a"), makeDescriptor("b", 1.2)});
    routing::RoutingRequest request = makeRequest();
    request.weights = config::RoutingWeights{0.5, 0.5};

    SECTION("the cheaper upstream, all else equal")
    {
        REQUIRE(chosenTarget(makeScoredRouter(), table, request) == "a");
    }
    SECTION("no queueing for a small price difference")
    {
        table.updateLoad(makeReport("a", 16, 20), Now);
        REQUIRE(chosenTarget(makeScoredRouter(), table, request) == "b");
    }
    SECTION("a cached prefix outweighs price where latency has a high weight")
    {
        request.weights = config::RoutingWeights{0.1, 0.9};
        request.promptTokens = 4'000;
        for (std::uint64_t i = 1; i <= 60; ++i) {
            request.prefixBlocks.push_back(i);
        }
        table.addCachedBlocks(core::UpstreamId("b"), request.prefixBlocks);
        REQUIRE(chosenTarget(makeScoredRouter(), table, request) == "b");
        // Gaps in the cache events lower the confidence until the known blocks no longer matter.
        for (int i = 0; i < 10; ++i) {
            table.recordCacheEventGap(core::UpstreamId("b"));
        }
        REQUIRE(chosenTarget(makeScoredRouter(), table, request) == "a");
    }
    SECTION("an upstream slower than predicted loses its requests")
    {
        for (int i = 0; i < 40; ++i) {
            table.recordFirstToken(core::UpstreamId("a"), 1'000ms, 100ms);
        }
        REQUIRE(chosenTarget(makeScoredRouter(), table, request) == "b");
    }
}

TEST_CASE("routers avoid upstreams that must not get requests", "[routing]")
{
    const std::string router = GENERATE("scored", "round_robin", "least_in_flight", "naive_exact");
    routing::UpstreamTable table(routing::UpstreamTableSettings{});
    std::vector<routing::UpstreamDescriptor> descriptors{makeDescriptor("a"), makeDescriptor("b", 9)};
    table.updateUpstreams(descriptors);
    routing::RoutingRequest request = makeRequest();
    const auto createRouter = [&] { return routing::makeRouter(router, routing::RouterSettings{}, 1).value(); };

    SECTION("leaving according to the list")
    {
        descriptors[0].leaving = true;
        table.updateUpstreams(descriptors);
    }
    SECTION("leaving according to its own report, despite a later contrary one")
    {
        routing::LoadReport report = makeReport("a", 0);
        report.leaving = true;
        table.updateLoad(report, Now);
        table.updateLoad(makeReport("a", 0), Now + 1s);
    }
    SECTION("unreachable")
    {
        routing::LoadReport report = makeReport("a", 0);
        report.reachable = false;
        table.updateLoad(report, Now);
    }
    SECTION("already tried")
    {
        request.excludedUpstreams.insert(core::UpstreamId("a"));
    }
    SECTION("ejected after consecutive failures")
    {
        for (int i = 0; i < 3; ++i) {
            table.recordAttemptStart(core::UpstreamId("a"));
            table.recordAttemptEnd(core::UpstreamId("a"), false, Now - 1ms);
        }
    }
    SECTION("without the model")
    {
        routing::LoadReport report = makeReport("a", 0);
        report.models = {core::ModelId("other")};
        table.updateLoad(report, Now);
    }
    for (int i = 0; i < 5; ++i) {
        REQUIRE(chosenTarget(createRouter(), table, request) == "b");
    }
    request.allowedRegions = {core::RegionId("there")};
    REQUIRE(chosenTarget(createRouter(), table, request) == "none");
}

TEST_CASE("at most half of all model upstreams are ejected", "[routing]")
{
    routing::UpstreamTable table(routing::UpstreamTableSettings{});
    table.updateUpstreams({makeDescriptor("a"), makeDescriptor("b"), makeDescriptor("c"), makeDescriptor("d")});
    for (const char *id : {"a", "b", "c", "d"}) {
        for (int i = 0; i < 5; ++i) {
            table.recordAttemptStart(core::UpstreamId(id));
            table.recordAttemptEnd(core::UpstreamId(id), false, Now);
        }
    }
    int ejected = 0;
    for (const auto &[id, upstream] : table.upstreams()) {
        ejected += upstream.ejectedUntil > Now ? 1 : 0;
    }
    REQUIRE(ejected == 2);
}

TEST_CASE("another region is chosen only if it is clearly better", "[routing]")
{
    struct Row
    {
        const char *name;
        std::uint32_t localWaiting;
        std::uint32_t remoteFree;
        bool localOnly;
        bool allowed;
        std::string chosen;
    };
    const Row row = GENERATE(Row{"local upstream is idle", 0, 64, false, true, "a"},
                             Row{"short local queue", 4, 64, false, true, "a"},
                             Row{"long local queue", 60, 64, false, true, "there-a"},
                             Row{"already forwarded once", 60, 64, true, true, "a"},
                             Row{"residency excludes the other region", 60, 64, false, false, "a"},
                             Row{"other region is full too", 60, 0, false, true, "a"});
    INFO(row.name);
    routing::UpstreamTable table(routing::UpstreamTableSettings{});
    table.updateUpstreams({makeDescriptor("a")});
    table.updateLoad(makeReport("a", row.localWaiting > 0 ? 16 : 0, row.localWaiting), Now);
    routing::RemotePool pool = makePool("there-a", row.remoteFree);
    pool.predictedWait = row.remoteFree == 0 ? core::Duration(3s) : core::Duration(0);
    table.updateRemoteModel(Model, pool, Now - 30s);
    table.updateRemoteModel(Model, pool, Now - 15s); // digests without a gap: no ramp-up
    routing::RoutingRequest request = makeRequest();
    request.localOnly = row.localOnly;
    if (!row.allowed) {
        request.allowedRegions = {core::RegionId("here")};
    }
    REQUIRE(chosenTarget(makeScoredRouter(), table, request) == row.chosen);
}

TEST_CASE("a domain with a stale digest is not used, and a recovered one is ramped up", "[routing]")
{
    routing::UpstreamTable table(routing::UpstreamTableSettings{});
    table.updateRemoteModel(Model, makePool("there-a", 64), Now - 60s);
    REQUIRE(chosenTarget(makeScoredRouter(), table, makeRequest()) == "none");

    table.updateRemoteModel(Model, makePool("there-a", 64), Now); // first digest after a gap
    routing::RemotePool *pool = table.findRemotePool(Model, core::ServiceId(), core::DomainId("there-a"));
    pool->sentSinceUpdate = 20; // more than the first tenth of its free slots
    const auto atRecovery = routing::choose(*std::make_unique<routing::Router>(makeScoredRouter()), makeRequest(), table, Now);
    pool->recoveredAt = Now - 60s;
    const auto afterRampUp = routing::choose(*std::make_unique<routing::Router>(makeScoredRouter()), makeRequest(), table, Now);
    REQUIRE(atRecovery->chosen.predictedWait > afterRampUp->chosen.predictedWait);
}

TEST_CASE("the ratio of requests sent to other regions is limited", "[routing]")
{
    routing::UpstreamTable table(routing::UpstreamTableSettings{});
    table.updateUpstreams({makeDescriptor("a")});
    table.updateLoad(makeReport("a", 16, 200), Now);
    table.updateRemoteModel(Model, makePool("there-a", 1'000'000), Now - 10s);
    routing::Router router = makeScoredRouter();
    int remoteCount = 0;
    for (int i = 0; i < 5'000; ++i) {
        remoteCount += routing::choose(router, makeRequest(), table, Now)->chosen.upstream.empty() ? 1 : 0;
    }
    REQUIRE(remoteCount > 1'000);
    REQUIRE(remoteCount < 2'700); // half, plus the warm-up of the moving average
}

TEST_CASE("occupancy corrects a delayed report by requests of this instance", "[routing]")
{
    routing::UpstreamTable table(routing::UpstreamTableSettings{});
    table.updateUpstreams({makeDescriptor("a")});
    const core::UpstreamId id("a");
    for (int i = 0; i < 5; ++i) {
        table.recordAttemptStart(id);
    }
    table.updateLoad(makeReport("a", 8), Now); // five of the eight are from this instance
    REQUIRE(table.find(id)->occupancy() == 8);
    table.recordAttemptStart(id);
    REQUIRE(table.find(id)->occupancy() == 9);
    for (int i = 0; i < 6; ++i) {
        table.recordAttemptEnd(id, true, Now);
    }
    REQUIRE(table.find(id)->inFlight == 0);
}

TEST_CASE("round robin alternates, and least in flight picks the least loaded upstream", "[routing]")
{
    routing::UpstreamTable table(routing::UpstreamTableSettings{});
    table.updateUpstreams({makeDescriptor("a"), makeDescriptor("b"), makeDescriptor("c")});
    routing::Router roundRobin = routing::makeRouter("round_robin", {}, 1).value();
    std::map<std::string, int> counts;
    for (int i = 0; i < 9; ++i) {
        ++counts[routing::choose(roundRobin, makeRequest(), table, Now)->chosen.upstream.text];
    }
    REQUIRE(counts == std::map<std::string, int>{{"a", 3}, {"b", 3}, {"c", 3}});
    table.recordAttemptStart(core::UpstreamId("a"));
    table.recordAttemptStart(core::UpstreamId("b"));
    REQUIRE(chosenTarget(routing::makeRouter("least_in_flight", {}, 1).value(), table, makeRequest()) == "c");
    REQUIRE_FALSE(routing::makeRouter("best", {}, 1).has_value());
}

TEST_CASE("the scored router matches the exhaustive one with few candidates, and never scores better with many", "[routing][property]")
{
    REQUIRE(tests::checkSchedules("scored router against exhaustive router", 2'000, [] {
        const auto count = *rc::gen::inRange<int>(1, 40);
        const auto seed = *rc::gen::inRange<std::uint32_t>(0, 1'000'000);
        pcg32 random(seed);
        routing::UpstreamTable table(routing::UpstreamTableSettings{});
        std::vector<routing::UpstreamDescriptor> descriptors;
        descriptors.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            descriptors.push_back(makeDescriptor("u" + std::to_string(i), 1.0 + random(100) / 100.0));
        }
        table.updateUpstreams(descriptors);
        for (const routing::UpstreamDescriptor &descriptor : descriptors) {
            table.updateLoad(makeReport(descriptor.id.text, random(17), random(8)), Now);
        }
        routing::RoutingRequest request = makeRequest();
        request.localOnly = true;
        routing::Router exhaustiveRouter = routing::makeRouter("naive_exact", {}, 1).value();
        routing::Router scoredRouter = routing::makeRouter("scored", {}, seed).value();
        const double bestScore = routing::choose(exhaustiveRouter, request, table, Now)->chosen.score;
        const auto decision = routing::choose(scoredRouter, request, table, Now);
        RC_ASSERT(decision.has_value());
        RC_ASSERT(decision->chosen.score >= bestScore);
        if (count <= 6) {
            RC_ASSERT(decision->chosen.score == bestScore);
        }
        if (decision->runnerUp) {
            RC_ASSERT(decision->runnerUp->score >= decision->chosen.score);
        }
    }));
}

//-----------------------------------------------------------------------------
// Notices of upstreams
//-----------------------------------------------------------------------------

TEST_CASE("a limit ends with a response to a request that was sent after it was named", "[notices]")
{
    struct Response
    {
        std::optional<double> rate;
        core::Duration sentAt;
        core::Duration arrivedAt;
    };
    struct Row
    {
        const char *name;
        std::vector<Response> responses;
        std::optional<double> rate;
    };
    const auto row = GENERATE(values<Row>({
        {"named", {{1.0, 0ms, 10ms}}, 1.0},
        {"changed", {{1.0, 0ms, 10ms}, {3.0, 20ms, 30ms}}, 3.0},
        {"ended", {{1.0, 0ms, 10ms}, {std::nullopt, 20ms, 30ms}}, std::nullopt},
        {"an older response without it arrives late", {{1.0, 0ms, 10ms}, {std::nullopt, 5ms, 900ms}}, 1.0},
        {"named again", {{1.0, 0ms, 10ms}, {std::nullopt, 20ms, 30ms}, {2.0, 40ms, 50ms}}, 2.0},
        {"zero would never end", {{0.0, 0ms, 10ms}}, 0.2},
        {"absurd", {{1e9, 0ms, 10ms}}, 1e6},
        {"never named", {{std::nullopt, 0ms, 10ms}}, std::nullopt},
    }));
    CAPTURE(row.name);
    const core::TimePoint start{100s};
    routing::UpstreamNotices notices;
    for (const Response &response : row.responses) {
        (void)notices.recordResponse(core::UpstreamId("u"), routing::StartTime(1), response.rate, start + response.sentAt, start + response.arrivedAt);
    }
    CHECK(notices.maxRequestRate(core::UpstreamId("u")) == row.rate);
}

TEST_CASE("the newest notice of the newest run of an upstream applies, in whatever order notices arrive", "[notices]")
{
    const core::TimePoint start{100s};
    const core::UpstreamId id("u");
    const std::vector<routing::UpstreamNotice> sent = {
        {id, routing::StartTime(1), 1.0, start},
        {id, routing::StartTime(1), std::nullopt, start + 1s},
        {id, routing::StartTime(2), 5.0, start + 500ms},
        {id, routing::StartTime(1), 3.0, start + 2s},
    };
    std::vector<std::size_t> order = {0, 1, 2, 3};
    do {
        routing::UpstreamNotices notices;
        for (const std::size_t index : order) {
            (void)notices.merge(sent[index]);
        }
        CHECK(notices.maxRequestRate(id) == 5.0);
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("a notice ends with the run of its upstream", "[notices]")
{
    const core::TimePoint start{100s};
    routing::Announcement announcement;
    announcement.id = core::UpstreamId("u");
    announcement.startTime = routing::StartTime(1);
    routing::UpstreamRegistry registry;
    registry.applySnapshot(routing::SnapshotRevision(1), {announcement}, false, start);
    routing::UpstreamNotices notices;
    (void)notices.recordResponse(announcement.id, routing::StartTime(1), 1.0, start, start);
    CHECK(notices.eraseEnded(registry).empty());
    announcement.startTime = routing::StartTime(2); // restarted under the same id
    registry.applySnapshot(routing::SnapshotRevision(2), {announcement}, false, start + 1s);
    CHECK(notices.eraseEnded(registry) == std::vector{announcement.id});
    CHECK_FALSE(notices.maxRequestRate(announcement.id));
}

TEST_CASE("a leaving applies to the runs that may have given the response", "[notices]")
{
    struct Listing
    {
        core::Duration at;                // since the response that says so
        std::optional<std::uint64_t> run; // that the store lists as ready from then on; empty: none
    };
    struct Row
    {
        const char *name;
        std::optional<std::uint64_t> knownRun; // when the request was sent
        std::vector<Listing> listings;
        core::Duration askedAt;
        std::optional<std::uint64_t> askedRun;
        bool isLeaving;
        std::optional<core::Duration> inTouchUntil = {}; // empty: always
    };
    const auto row = GENERATE(values<Row>({
        {"the run that was known", 1, {{0s, 1}}, 1s, 1, true},
        {"the same, for as long as it is listed", 1, {{0s, 1}}, 20min, 1, true},
        {"known to the dispatcher only", 1, {}, 1s, 1, true},
        {"known to the dispatcher only, listed later", 1, {{2s, 1}}, 3s, 1, true},
        {"known to the dispatcher only, listed much later", 1, {{20s, 1}}, 40s, 1, true},
        {"not known, and asked for any run", std::nullopt, {}, 1s, std::nullopt, true},
        {"not known, listed later", std::nullopt, {{2s, 1}}, 4s, 1, true},
        {"not known, and not announced by the upstream in time", std::nullopt, {{2s, 1}}, 6s, 1, false},
        {"not known, and not listed", std::nullopt, {}, 9min, 1, true},
        {"not known, and not listed for too long", std::nullopt, {}, 11min, 1, false},
        {"removed and listed again", 1, {{0s, 1}, {1s, std::nullopt}, {2s, 1}}, 3s, 1, true},
        {"removed and listed again after its entry was erased", 1, {{0s, 1}, {1s, std::nullopt}, {40s, 1}}, 41s, 1, true},
        {"removed and not listed for too long", 1, {{0s, 1}, {1s, std::nullopt}}, 11min, 1, false},
        {"an earlier run", 2, {{0s, 2}}, 1s, 1, true},
        {"started again unseen, then listed", 1, {{0s, 1}, {2s, 2}}, 3s, 2, true},
        {"started again unseen, and not announced by the upstream in time", 1, {{0s, 1}, {2s, 2}}, 6s, 2, false},
        {"started again unseen, out of touch with the store", 1, {{0s, 1}, {2s, 2}}, 1min, 2, true, 4s},
        {"a response of the earlier run, for a while", 1, {{0s, 2}}, 4s, 2, true},
        {"a response of the earlier run, not for good", 1, {{0s, 2}}, 6s, 2, false},
        {"started again after the run that left was listed", 1, {{0s, 1}, {8s, 2}}, 8s, 2, false},
        {"removed, then started again", 1, {{0s, 1}, {1s, std::nullopt}, {8s, 2}}, 8s, 2, false},
    }));
    CAPTURE(row.name);
    const core::TimePoint start{100s};
    const core::UpstreamId id("u");
    const auto toRun = [](std::optional<std::uint64_t> number) { return number ? std::optional(routing::StartTime(*number)) : std::nullopt; };
    routing::UpstreamRegistry registry;
    routing::UpstreamNotices notices;
    CHECK(notices.recordLeaving(id, toRun(row.knownRun), start));
    CHECK_FALSE(notices.recordLeaving(id, toRun(row.knownRun), start));
    for (core::Duration passed = 0s; passed <= row.askedAt; passed += 1s) {
        const core::TimePoint now = start + passed;
        for (const Listing &listing : row.listings) {
            if (listing.at == passed) {
                std::vector<routing::Announcement> announcements;
                if (listing.run) {
                    announcements.emplace_back();
                    announcements.back().id = id;
                    announcements.back().startTime = routing::StartTime(*listing.run);
                }
                registry.applySnapshot(routing::SnapshotRevision(static_cast<std::uint64_t>(passed.count()) + 1), announcements, false, now);
            }
        }
        (void)registry.expireEntries(now);
        (void)notices.expireLeavings(registry, start + std::min(passed, row.inTouchUntil.value_or(passed)), now);
    }
    CHECK(notices.isLeaving(id, toRun(row.askedRun)) == row.isLeaving);
    const routing::RegistryEntry *entry = registry.find(id);
    if (entry != nullptr && !entry->removed) {
        CHECK(notices.withheld(registry, start + row.askedAt).contains(id) == row.isLeaving);
    }
    CHECK_FALSE(notices.isLeaving(core::UpstreamId("another one at its address"), toRun(row.askedRun)));
}

TEST_CASE("a leaving of one run and the limit of a later one apply in whatever order they arrive", "[notices]")
{
    const core::TimePoint start{100s};
    const core::UpstreamId id("u");
    const std::vector<routing::UpstreamNotice> sent = {
        {id, routing::StartTime(1), 1.0, start},
        {id, routing::StartTime(1), std::nullopt, start + 1s, true},
        {id, routing::StartTime(2), 5.0, start + 500ms},
        {id, routing::StartTime(1), 3.0, start + 2s, true},
    };
    std::vector<std::size_t> order = {0, 1, 2, 3};
    do {
        routing::UpstreamNotices notices;
        for (const std::size_t index : order) {
            (void)notices.mergeLeaving(sent[index]);
            (void)notices.merge(sent[index]);
        }
        CHECK(notices.maxRequestRate(id) == 5.0);
        CHECK(notices.isLeaving(id, routing::StartTime(1)));
        CHECK_FALSE(notices.isLeaving(id, routing::StartTime(2)));
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("a leaving is reported while it is recent or the upstream is listed", "[notices]")
{
    struct Row
    {
        const char *name;
        std::optional<std::uint64_t> knownRun;
        std::optional<std::uint64_t> listedRun;
        core::Duration age;
        bool isReported;
    };
    const auto row = GENERATE(values<Row>({
        {"recent", 1, 1, 1s, true},
        {"recent, not listed", 1, std::nullopt, 29s, true},
        {"recent, its run is not known", std::nullopt, std::nullopt, 1s, false}, // another instance could not tell what it applies to
        {"older, listed", 1, 1, 31s, true},
        {"older, not listed", 1, std::nullopt, 31s, false},
        {"older, started again", 1, 2, 31s, false},
    }));
    CAPTURE(row.name);
    const core::TimePoint start{100s};
    routing::UpstreamRegistry registry;
    if (row.listedRun) {
        routing::Announcement announcement;
        announcement.id = core::UpstreamId("u");
        announcement.startTime = routing::StartTime(*row.listedRun);
        registry.applySnapshot(routing::SnapshotRevision(1), {announcement}, false, start);
    }
    routing::UpstreamNotices notices;
    (void)notices.recordLeaving(core::UpstreamId("u"), row.knownRun ? std::optional(routing::StartTime(*row.knownRun)) : std::nullopt, start);
    const auto reported = notices.notices(registry, start + row.age);
    CHECK(reported.size() == (row.isReported ? 1 : 0));
    CHECK(std::all_of(reported.begin(), reported.end(), [](const auto &notice) { return notice.isLeaving && notice.startTime == routing::StartTime(1); }));
}

TEST_CASE("a leaving gets older although instances report it to each other", "[notices]")
{
    constexpr core::Duration Latency = 100ms; // of a report; the receiver derives the time from the age
    constexpr core::Duration ReportInterval = 300ms;
    const core::TimePoint start{100s};
    const routing::UpstreamRegistry registry;
    std::array<routing::UpstreamNotices, 2> instances;
    (void)instances.front().recordLeaving(core::UpstreamId("u"), routing::StartTime(1), start);
    const auto report = [&](const routing::UpstreamNotices &from, routing::UpstreamNotices &to, core::TimePoint now) {
        for (routing::UpstreamNotice notice : from.notices(registry, now)) {
            notice.at += Latency;
            (void)to.mergeLeaving(notice);
        }
    };
    const core::TimePoint end = start + routing::UpstreamNoticesSettings().reportTime + Latency + ReportInterval;
    for (core::TimePoint now = start; now < end; now += ReportInterval) {
        report(instances.front(), instances.back(), now);
        report(instances.back(), instances.front(), now);
    }
    for (const routing::UpstreamNotices &instance : instances) {
        CHECK(instance.notices(registry, end).empty());
        CHECK(instance.isLeaving(core::UpstreamId("u"), routing::StartTime(1)));
    }
}

TEST_CASE("a path is lost with a failed connection and found with a new one", "[paths]")
{
    enum class Step { Connected, Failed, Responded, Doubted, DoubtedUnlessFresh, ProbeFailed, ProbeReached };
    struct Row
    {
        const char *name;
        std::vector<Step> steps; // 10 ms apart, after a connection 2 s ago
        bool isLost;
        bool isProbed; // within the next 300 ms
    };
    const auto row = GENERATE(values<Row>({
        {"a connection fails", {Step::Failed}, true, true},
        {"a new connection after that", {Step::Failed, Step::Connected}, false, false},
        {"a response on a kept connection after that", {Step::Failed, Step::Responded}, true, true},
        {"a request is silent", {Step::Doubted}, false, true},
        {"a request is silent and the probe reaches the upstream", {Step::Doubted, Step::ProbeReached}, false, false},
        {"a request is silent and the probe fails", {Step::Doubted, Step::ProbeFailed}, true, true},
        {"lost, and a probe reaches the upstream", {Step::Failed, Step::ProbeReached}, false, false},
        {"another instance has lost its path", {Step::DoubtedUnlessFresh}, false, true},
        {"another instance has lost its path, and this one was used", {Step::Responded, Step::DoubtedUnlessFresh}, false, false},
        {"a doubt about a path that is lost", {Step::Failed, Step::ProbeFailed, Step::Doubted}, true, false},
    }));
    CAPTURE(row.name);
    const core::UpstreamId upstream("u");
    core::TimePoint now(1000s);
    routing::UpstreamPaths paths(1);
    (void)paths.takeDueProbes({upstream}, now);
    (void)paths.recordConnected(upstream, now);
    now += 2s;
    for (const Step step : row.steps) {
        now += 10ms;
        switch (step) {
        case Step::Connected:
            (void)paths.recordConnected(upstream, now);
            break;
        case Step::Failed:
            (void)paths.recordFailure(upstream, now);
            break;
        case Step::Responded:
            paths.recordResponse(upstream, now);
            break;
        case Step::Doubted:
            paths.doubt(upstream, now);
            break;
        case Step::DoubtedUnlessFresh:
            paths.doubtUnlessFresh(upstream, now);
            break;
        case Step::ProbeFailed:
        case Step::ProbeReached:
            (void)paths.takeDueProbes({upstream}, now + 250ms);
            (void)paths.recordProbe(upstream, step == Step::ProbeReached, now);
            break;
        }
    }
    CHECK(paths.isLost(upstream) == row.isLost);
    CHECK(!paths.takeDueProbes({upstream}, now + 300ms).empty() == row.isProbed);
}

TEST_CASE("two lost paths put those in doubt that were not used a moment ago", "[paths]")
{
    const std::set<core::UpstreamId> upstreams{core::UpstreamId("a"), core::UpstreamId("b"), core::UpstreamId("c"), core::UpstreamId("d")};
    core::TimePoint now(1000s);
    routing::UpstreamPaths paths(1);
    CHECK(paths.takeDueProbes(upstreams, now).empty()); // none without a loss
    now += 5s;
    paths.recordResponse(core::UpstreamId("d"), now);
    CHECK(paths.recordFailure(core::UpstreamId("a"), now));
    CHECK(paths.takeDueProbes(upstreams, now).empty()); // it may be the upstream
    CHECK(paths.recordFailure(core::UpstreamId("b"), now));
    CHECK(paths.takeDueProbes(upstreams, now) == std::vector{core::UpstreamId("c")});
}

TEST_CASE("probes of a lost path become rarer, within bounds, and end with the upstream", "[paths]")
{
    const core::UpstreamId upstream("u");
    core::TimePoint now(1000s);
    routing::UpstreamPaths paths(1);
    const routing::UpstreamPathsSettings settings;
    (void)paths.takeDueProbes({upstream}, now);
    (void)paths.recordFailure(upstream, now);
    core::Duration expected = settings.minProbeInterval;
    for (int i = 0; i < 8; ++i) {
        const core::TimePoint failedAt = now;
        while (paths.takeDueProbes({upstream}, now).empty()) {
            now += 1ms;
        }
        CHECK(now - failedAt >= std::chrono::duration_cast<core::Duration>(expected * (1 - settings.probeJitter)));
        CHECK(now - failedAt <= std::chrono::duration_cast<core::Duration>(expected * (1 + settings.probeJitter)) + 1ms);
        CHECK_FALSE(paths.recordProbe(upstream, false, now));
        expected = std::min(expected * 2, settings.maxProbeInterval);
    }
    CHECK(paths.takeDueProbes({}, now + 10s).empty());
    CHECK(paths.lost().empty());
}

TEST_CASE("a rest ends with its time or with the run of the upstream", "[rests]")
{
    struct Row
    {
        const char *name;
        std::vector<std::pair<core::Duration, core::Duration>> rests; // time since the start, and length
        std::uint64_t startTime;                                      // of the run that is announced, at last
        core::Duration at;
        core::Duration remaining;
    };
    const auto row = GENERATE(values<Row>({
        {"none", {}, 1, 1s, 0s},
        {"it goes on", {{0s, 3s}}, 1, 1s, 2s},
        {"it is over", {{0s, 3s}}, 1, 3s, 0s},
        {"a later answer makes it longer", {{0s, 3s}, {1s, 3s}}, 1, 2s, 2s},
        {"a later answer does not make it shorter", {{0s, 3s}, {1s, 500ms}}, 1, 2s, 1s},
        {"the upstream has started again", {{0s, 3s}}, 2, 1s, 0s},
    }));
    CAPTURE(row.name);
    const core::TimePoint start(1000s);
    routing::Announcement announcement;
    announcement.id = core::UpstreamId("u");
    announcement.startTime = routing::StartTime(row.startTime);
    announcement.sequence = 1;
    routing::UpstreamRegistry registry;
    registry.applySnapshot(routing::SnapshotRevision(1), {announcement}, false, start);
    routing::UpstreamRests rests;
    for (const auto &[at, rest] : row.rests) {
        rests.record(announcement.id, routing::StartTime(1), rest, start + at);
    }
    CHECK(rests.remaining(announcement.id, registry, start + row.at) == row.remaining);
    rests.eraseEnded(registry, start + row.at);
    CHECK(rests.entries().empty() == (row.remaining == 0s));
}
