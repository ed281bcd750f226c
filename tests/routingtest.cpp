// Routing: edges of the policy in tables, and the scored router against one that scans everything.

#include "arbutus/routing/router.h"
#include "support/schedules.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

const core::ModelId Model("m");
const core::TimePoint Now(100s);

routing::UpstreamDescriptor lineOf(const std::string &id, double price = 1.0)
{
    routing::UpstreamDescriptor line;
    line.id = core::UpstreamId(id);
    line.region = core::RegionId("here");
    line.domain = core::DomainId("here-a");
    line.models = {Model};
    line.price = price;
    return line;
}

routing::LoadReport reportOf(const std::string &id, std::uint32_t running, std::uint32_t waiting = 0)
{
    routing::LoadReport report;
    report.id = core::UpstreamId(id);
    report.running = running;
    report.waiting = waiting;
    report.models = {Model};
    return report;
}

routing::RemotePool poolOf(const std::string &domain, std::uint32_t freeSlots, double price = 1.0)
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

routing::RoutingRequest question()
{
    routing::RoutingRequest asked;
    asked.model = Model;
    asked.residency = {core::RegionId("here"), core::RegionId("there")};
    asked.promptTokens = 400;
    return asked;
}

std::string chosenBy(routing::Router router, const routing::UpstreamTable &table, const routing::RoutingRequest &asked)
{
    const auto choice = routing::choose(router, asked, table, Now);
    if (!choice) {
        return "none";
    }
    return choice->chosen.upstream.empty() ? choice->chosen.domain.text : choice->chosen.upstream.text;
}

routing::Router scored()
{
    return routing::makeRouter("scored", routing::RouterSettings{}, 1).value();
}

} // namespace

TEST_CASE("the scored router weighs waiting, price and warm prefixes", "[routing]")
{
    routing::UpstreamTable table(routing::UpstreamTableSettings{});
    table.updateUpstreams({lineOf("a"), lineOf("b", 1.2)});
    routing::RoutingRequest asked = question();
    asked.weights = config::RoutingWeights{0.5, 0.5};

    SECTION("cheaper, all else equal")
    {
        REQUIRE(chosenBy(scored(), table, asked) == "a");
    }
    SECTION("not into a queue for a small price")
    {
        table.updateLoad(reportOf("a", 16, 20), Now);
        REQUIRE(chosenBy(scored(), table, asked) == "b");
    }
    SECTION("a warm prefix is worth some price to those who weigh latency")
    {
        asked.weights = config::RoutingWeights{0.1, 0.9};
        asked.promptTokens = 4'000;
        for (std::uint64_t i = 1; i <= 60; ++i) {
            asked.prefixBlocks.push_back(i);
        }
        table.addCachedBlocks(core::UpstreamId("b"), asked.prefixBlocks);
        REQUIRE(chosenBy(scored(), table, asked) == "b");
        // Gaps in the cache events lower the trust until the map is worth nothing.
        for (int i = 0; i < 10; ++i) {
            table.recordCacheEventGap(core::UpstreamId("b"));
        }
        REQUIRE(chosenBy(scored(), table, asked) == "a");
    }
    SECTION("an upstream slower than it reports loses its work")
    {
        for (int i = 0; i < 40; ++i) {
            table.recordFirstToken(core::UpstreamId("a"), 1'000ms, 100ms);
        }
        REQUIRE(chosenBy(scored(), table, asked) == "b");
    }
}

TEST_CASE("what must not get work does not", "[routing]")
{
    const std::string router = GENERATE("scored", "round_robin", "least_in_flight", "naive_exact");
    routing::UpstreamTable table(routing::UpstreamTableSettings{});
    std::vector<routing::UpstreamDescriptor> lines{lineOf("a"), lineOf("b", 9)};
    table.updateUpstreams(lines);
    routing::RoutingRequest asked = question();
    const auto made = [&] { return routing::makeRouter(router, routing::RouterSettings{}, 1).value(); };

    SECTION("leaving by the list")
    {
        lines[0].leaving = true;
        table.updateUpstreams(lines);
    }
    SECTION("leaving by its own report, whatever a late one says")
    {
        routing::LoadReport report = reportOf("a", 0);
        report.leaving = true;
        table.updateLoad(report, Now);
        table.updateLoad(reportOf("a", 0), Now + 1s);
    }
    SECTION("not reachable")
    {
        routing::LoadReport report = reportOf("a", 0);
        report.reachable = false;
        table.updateLoad(report, Now);
    }
    SECTION("tried before")
    {
        asked.excludedUpstreams.insert(core::UpstreamId("a"));
    }
    SECTION("ejected after failures in a row")
    {
        for (int i = 0; i < 3; ++i) {
            table.recordAttemptStart(core::UpstreamId("a"));
            table.recordAttemptEnd(core::UpstreamId("a"), false, Now - 1ms);
        }
    }
    SECTION("without the model")
    {
        routing::LoadReport report = reportOf("a", 0);
        report.models = {core::ModelId("other")};
        table.updateLoad(report, Now);
    }
    for (int i = 0; i < 5; ++i) {
        REQUIRE(chosenBy(made(), table, asked) == "b");
    }
    asked.residency = {core::RegionId("there")};
    REQUIRE(chosenBy(made(), table, asked) == "none");
}

TEST_CASE("at most half of a model's upstreams are ejected", "[routing]")
{
    routing::UpstreamTable table(routing::UpstreamTableSettings{});
    table.updateUpstreams({lineOf("a"), lineOf("b"), lineOf("c"), lineOf("d")});
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

TEST_CASE("another region only when it clearly pays", "[routing]")
{
    struct Row
    {
        const char *what;
        std::uint32_t localWaiting;
        std::uint32_t remoteFree;
        bool localOnly;
        bool allowed;
        std::string chosen;
    };
    const Row row = GENERATE(Row{"local is idle", 0, 64, false, true, "a"},
                             Row{"local waits a little", 4, 64, false, true, "a"},
                             Row{"local waits long", 60, 64, false, true, "there-a"},
                             Row{"already one hop", 60, 64, true, true, "a"},
                             Row{"residency forbids", 60, 64, false, false, "a"},
                             Row{"the other one is full as well", 60, 0, false, true, "a"});
    INFO(row.what);
    routing::UpstreamTable table(routing::UpstreamTableSettings{});
    table.updateUpstreams({lineOf("a")});
    table.updateLoad(reportOf("a", row.localWaiting > 0 ? 16 : 0, row.localWaiting), Now);
    routing::RemotePool pool = poolOf("there-a", row.remoteFree);
    pool.predictedWait = row.remoteFree == 0 ? core::Duration(3s) : core::Duration(0);
    table.updateRemoteModel(Model, pool, Now - 30s);
    table.updateRemoteModel(Model, pool, Now - 15s); // heard all along
    routing::RoutingRequest asked = question();
    asked.localOnly = row.localOnly;
    if (!row.allowed) {
        asked.residency = {core::RegionId("here")};
    }
    REQUIRE(chosenBy(scored(), table, asked) == row.chosen);
}

TEST_CASE("a stale digest gets nothing, and a domain that came back is filled slowly", "[routing]")
{
    routing::UpstreamTable table(routing::UpstreamTableSettings{});
    table.updateRemoteModel(Model, poolOf("there-a", 64), Now - 60s);
    REQUIRE(chosenBy(scored(), table, question()) == "none");

    table.updateRemoteModel(Model, poolOf("there-a", 64), Now); // back after silence
    routing::RemotePool *pool = table.findRemotePool(Model, core::ServiceId(), core::DomainId("there-a"));
    pool->sentSinceUpdate = 20; // more than the first tenth of its free slots
    const auto early = routing::choose(*std::make_unique<routing::Router>(scored()), question(), table, Now);
    pool->recoveredAt = Now - 60s;
    const auto later = routing::choose(*std::make_unique<routing::Router>(scored()), question(), table, Now);
    REQUIRE(early->chosen.predictedWait > later->chosen.predictedWait);
}

TEST_CASE("regions do not trade all of their traffic", "[routing]")
{
    routing::UpstreamTable table(routing::UpstreamTableSettings{});
    table.updateUpstreams({lineOf("a")});
    table.updateLoad(reportOf("a", 16, 200), Now);
    table.updateRemoteModel(Model, poolOf("there-a", 1'000'000), Now - 10s);
    routing::Router router = scored();
    int away = 0;
    for (int i = 0; i < 5'000; ++i) {
        away += routing::choose(router, question(), table, Now)->chosen.upstream.empty() ? 1 : 0;
    }
    REQUIRE(away > 1'000);
    REQUIRE(away < 2'700); // half, and the moving average's start
}

TEST_CASE("occupancy corrects a lagged report by the own requests", "[routing]")
{
    routing::UpstreamTable table(routing::UpstreamTableSettings{});
    table.updateUpstreams({lineOf("a")});
    const core::UpstreamId id("a");
    for (int i = 0; i < 5; ++i) {
        table.recordAttemptStart(id);
    }
    table.updateLoad(reportOf("a", 8), Now); // five of the eight are ours
    REQUIRE(table.find(id)->occupancy() == 8);
    table.recordAttemptStart(id);
    REQUIRE(table.find(id)->occupancy() == 9);
    for (int i = 0; i < 6; ++i) {
        table.recordAttemptEnd(id, true, Now);
    }
    REQUIRE(table.find(id)->inFlight == 0);
}

TEST_CASE("round robin takes turns and least in flight counts", "[routing]")
{
    routing::UpstreamTable table(routing::UpstreamTableSettings{});
    table.updateUpstreams({lineOf("a"), lineOf("b"), lineOf("c")});
    routing::Router turns = routing::makeRouter("round_robin", {}, 1).value();
    std::map<std::string, int> got;
    for (int i = 0; i < 9; ++i) {
        ++got[routing::choose(turns, question(), table, Now)->chosen.upstream.text];
    }
    REQUIRE(got == std::map<std::string, int>{{"a", 3}, {"b", 3}, {"c", 3}});
    table.recordAttemptStart(core::UpstreamId("a"));
    table.recordAttemptStart(core::UpstreamId("b"));
    REQUIRE(chosenBy(routing::makeRouter("least_in_flight", {}, 1).value(), table, question()) == "c");
    REQUIRE_FALSE(routing::makeRouter("best", {}, 1).has_value());
}

TEST_CASE("with few candidates the scored router chooses as the exact one; with many it is not far off", "[routing][property]")
{
    REQUIRE(tests::checkSchedules("scored against naive", 2'000, [] {
        const auto count = *rc::gen::inRange<int>(1, 40);
        const auto seed = *rc::gen::inRange<std::uint32_t>(0, 1'000'000);
        pcg32 random(seed);
        routing::UpstreamTable table(routing::UpstreamTableSettings{});
        std::vector<routing::UpstreamDescriptor> lines;
        lines.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            lines.push_back(lineOf("u" + std::to_string(i), 1.0 + random(100) / 100.0));
        }
        table.updateUpstreams(lines);
        for (const routing::UpstreamDescriptor &line : lines) {
            table.updateLoad(reportOf(line.id.text, random(17), random(8)), Now);
        }
        routing::RoutingRequest asked = question();
        asked.localOnly = true;
        routing::Router exact = routing::makeRouter("naive_exact", {}, 1).value();
        routing::Router sampled = routing::makeRouter("scored", {}, seed).value();
        const double best = routing::choose(exact, asked, table, Now)->chosen.score;
        const auto choice = routing::choose(sampled, asked, table, Now);
        RC_ASSERT(choice.has_value());
        RC_ASSERT(choice->chosen.score >= best);
        if (count <= 6) {
            RC_ASSERT(choice->chosen.score == best);
        }
        if (choice->runnerUp) {
            RC_ASSERT(choice->runnerUp->score >= choice->chosen.score);
        }
    }));
}
