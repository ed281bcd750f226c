// Placement: planner decisions, and the placement lease during node pauses and platform outages.

#include "support/fleet.h"

#include <catch2/catch.hpp>

#include <boost/json.hpp>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start(100s);

placement::EngineState makeEngine(const std::string &id, std::set<std::string> models, std::uint32_t inFlight = 0, bool checksFencing = true)
{
    placement::EngineState engine;
    engine.id = core::UpstreamId(id);
    for (const std::string &model : models) {
        engine.models.insert(core::ModelId(model));
    }
    engine.inFlight = inFlight;
    engine.checksFencing = checksFencing;
    return engine;
}

std::string describe(const std::optional<placement::PlacementCommand> &command)
{
    if (!command) {
        return "nothing";
    }
    return (command->kind == placement::PlacementCommandKind::Load ? "load " : "unload ") + command->model.text + " at " + command->upstream.text;
}

} // namespace

TEST_CASE("the planner's next command", "[placement]")
{
    struct Row
    {
        const char *description;
        std::vector<placement::EngineState> engines;
        std::vector<placement::ModelDemand> demand;
        std::string expected;
    };
    const core::ModelId a("a");
    const core::ModelId b("b");
    const Row row = GENERATE_COPY(
        Row{"enough replicas", {makeEngine("1", {"a"}), makeEngine("2", {"b"})}, {{a, 5}, {b, 5}}, "nothing"},
        Row{"a needs another replica, which is loaded on the engine with the fewest requests",
            {makeEngine("1", {"a"}), makeEngine("2", {"b"}, 9), makeEngine("3", {"b"}, 2)},
            {{a, 30}, {b, 30}},
            "load a at 3"},
        Row{"no capacity and no surplus replica", {makeEngine("1", {"a", "b"}), makeEngine("2", {"b", "c"})}, {{a, 30}, {b, 30}}, "nothing"},
        Row{"no capacity: a surplus replica is unloaded", {makeEngine("1", {"a", "c"}), makeEngine("2", {"b", "c"})}, {{a, 30}, {b, 5}}, "unload c at 1"},
        Row{"a surplus replica is unloaded when demand is low", {makeEngine("1", {"a"}), makeEngine("2", {"a"}, 3)}, {{a, 1}}, "unload a at 1"},
        Row{"no unload from an engine that ignores fencing, unless two other replicas remain",
            {makeEngine("1", {"a"}, 0, false), makeEngine("2", {"a"}, 0, false)},
            {{a, 1}},
            "nothing"},
        Row{"the last replica is kept", {makeEngine("1", {"a"})}, {}, "nothing"},
        Row{"a model that is not loaded anywhere", {makeEngine("1", {"a"})}, {{a, 1}, {b, 2}}, "load b at 1"});
    INFO(row.description);
    placement::Planner planner(placement::PlannerSettings{});
    REQUIRE(describe(planner.nextCommand(row.engines, row.demand, Start)) == "nothing"); // damped: scaleUpDelay has not passed
    REQUIRE(describe(planner.nextCommand(row.engines, row.demand, Start + 9s)) == "nothing");
    for (core::TimePoint now = Start + 10s; now <= Start + 300s; now += 1s) {
        const std::string command = describe(planner.nextCommand(row.engines, row.demand, now));
        if (command != "nothing") {
            REQUIRE(command == row.expected);
            return;
        }
    }
    REQUIRE(row.expected == "nothing");
}

TEST_CASE("a short burst of demand causes no command", "[placement]")
{
    placement::Planner planner(placement::PlannerSettings{});
    const std::vector<placement::EngineState> engines{makeEngine("1", {"a"}), makeEngine("2", {})};
    for (int second = 0; second < 120; ++second) {
        const double rate = second % 10 < 8 ? 100 : 1;
        REQUIRE(describe(planner.nextCommand(engines, {{core::ModelId("a"), rate}}, Start + second * 1s)) == "nothing");
    }
}

//-----------------------------------------------------------------------------
// Placement lease
//-----------------------------------------------------------------------------

namespace {

/// Three nodes, two engines with one model each, and high demand for the first model.
struct HighDemandDomain
{
    tests::Fleet fleet;
    int requestCount = 0;

    explicit HighDemandDomain(bool checksFencing)
        : fleet(options())
    {
        for (const char *upstream : {"u0-0", "u0-1"}) {
            fleet.edit(boost::json::object{{"kind", "upstream"}, {"id", upstream}, {"checks_fencing", checksFencing}});
        }
        fleet.runFor(12s);
    }
    static tests::FleetOptions options()
    {
        tests::FleetOptions options;
        options.models = 2;
        options.tickInterval = 50ms;
        return options;
    }
    void sendRequests(int seconds)
    {
        for (int i = 0; i < seconds * 40; ++i) {
            fleet.send(static_cast<std::size_t>(requestCount) % 3, fleet.modelHead("q" + std::to_string(requestCount)), fleet.modelBody(0));
            ++requestCount;
            fleet.runFor(25ms);
        }
    }
    /// Index of the node that holds the placement lease, or size() if none does.
    std::size_t leaseHolder() const
    {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (fleet.isAlive(i) && fleet.node(i).placement().holdsLease()) {
                return i;
            }
        }
        return fleet.size();
    }
};

} // namespace

TEST_CASE("a model in high demand gets another replica, commanded by the lease holder", "[placement]")
{
    HighDemandDomain domain(true);
    REQUIRE(domain.leaseHolder() < 3);
    domain.sendRequests(30);
    REQUIRE(domain.fleet.loadedModels("u0-1").contains(core::ModelId("m0")));
    for (const auto &record : domain.fleet.placementCommands()) {
        REQUIRE(record.node == domain.leaseHolder());
        REQUIRE(record.accepted);
    }
}

TEST_CASE("upstreams that ignore fencing get no command until those of a former lease holder have expired", "[placement]")
{
    HighDemandDomain domain(false);
    domain.sendRequests(15);
    REQUIRE(domain.fleet.placementCommands().empty()); // the lease is younger than the longest time that a command can be in flight
    domain.sendRequests(35);
    REQUIRE(domain.fleet.loadedModels("u0-1").contains(core::ModelId("m0")));
}

TEST_CASE("during a platform outage no command is sent and models stay loaded", "[placement]")
{
    HighDemandDomain domain(true);
    domain.fleet.setPlatformAvailable(false);
    domain.fleet.runFor(10s);
    REQUIRE(domain.leaseHolder() == 3);
    domain.sendRequests(30);
    REQUIRE(domain.fleet.placementCommands().empty());
    REQUIRE(domain.fleet.loadedModels("u0-0").contains(core::ModelId("m0")));
    domain.fleet.setPlatformAvailable(true);
    domain.sendRequests(20);
    REQUIRE_FALSE(domain.fleet.placementCommands().empty());
}

TEST_CASE("a delayed command of a paused former lease holder is rejected", "[placement]")
{
    HighDemandDomain domain(true);
    const std::size_t firstHolder = domain.leaseHolder();
    domain.fleet.pause(firstHolder, 40s); // its lease expires and another node acquires it
    domain.sendRequests(35);
    const std::size_t secondHolder = domain.leaseHolder();
    REQUIRE(secondHolder != firstHolder);
    REQUIRE(secondHolder < 3);
    domain.fleet.runFor(10s); // the first node resumes
    // A command that the first node sent before the pause arrives only now. Its fencing token is outdated, so it is rejected.
    const std::size_t countBefore = domain.fleet.placementCommands().size();
    domain.fleet.sendDelayedCommand(firstHolder,
                                    placement::PlacementCommand{core::UpstreamId("u0-1"), placement::PlacementCommandKind::Unload, core::ModelId("m0")},
                                    core::FencingToken(100));
    domain.fleet.runFor(1s);
    REQUIRE(domain.fleet.placementCommands().size() > countBefore);
    REQUIRE_FALSE(domain.fleet.placementCommands().back().accepted);
    REQUIRE(domain.fleet.loadedModels("u0-1").contains(core::ModelId("m0")));
}
