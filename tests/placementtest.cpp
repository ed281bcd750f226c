// Placement: the planner's table, and the duty's lease under pauses and outages.

#include "support/fleet.h"

#include <catch2/catch.hpp>

#include <boost/json.hpp>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start(100s);

placement::EngineState engineOf(const std::string &id, std::set<std::string> models, std::uint32_t busy = 0, bool checks = true)
{
    placement::EngineState engine;
    engine.id = core::UpstreamId(id);
    for (const std::string &model : models) {
        engine.models.insert(core::ModelId(model));
    }
    engine.inFlight = busy;
    engine.checksFencing = checks;
    return engine;
}

std::string describe(const std::optional<placement::PlacementCommand> &order)
{
    if (!order) {
        return "nothing";
    }
    return (order->kind == placement::PlacementCommandKind::Load ? "load " : "unload ") + order->model.text + " at " + order->upstream.text;
}

} // namespace

TEST_CASE("the planner's next order", "[placement]")
{
    struct Row
    {
        const char *what;
        std::vector<placement::EngineState> engines;
        std::vector<placement::ModelDemand> demand;
        std::string order;
    };
    const core::ModelId a("a");
    const core::ModelId b("b");
    const Row row = GENERATE_COPY(
        Row{"enough copies", {engineOf("1", {"a"}), engineOf("2", {"b"})}, {{a, 5}, {b, 5}}, "nothing"},
        Row{"a needs another copy, the idlest engine gets it",
            {engineOf("1", {"a"}), engineOf("2", {"b"}, 9), engineOf("3", {"b"}, 2)},
            {{a, 30}, {b, 30}},
            "load a at 3"},
        Row{"no room, nothing to spare", {engineOf("1", {"a", "b"}), engineOf("2", {"b", "c"})}, {{a, 30}, {b, 30}}, "nothing"},
        Row{"no room, a spare copy makes some", {engineOf("1", {"a", "c"}), engineOf("2", {"b", "c"})}, {{a, 30}, {b, 5}}, "unload c at 1"},
        Row{"a spare copy goes when nobody asks", {engineOf("1", {"a"}), engineOf("2", {"a"}, 3)}, {{a, 1}}, "unload a at 1"},
        Row{"not where fencing is ignored, unless two others stay", {engineOf("1", {"a"}, 0, false), engineOf("2", {"a"}, 0, false)}, {{a, 1}}, "nothing"},
        Row{"the last copy stays", {engineOf("1", {"a"})}, {}, "nothing"},
        Row{"a model that nobody has loaded", {engineOf("1", {"a"})}, {{a, 1}, {b, 2}}, "load b at 1"});
    INFO(row.what);
    placement::Planner planner(placement::PlannerSettings{});
    REQUIRE(describe(planner.nextCommand(row.engines, row.demand, Start)) == "nothing"); // damped
    REQUIRE(describe(planner.nextCommand(row.engines, row.demand, Start + 9s)) == "nothing");
    for (core::TimePoint now = Start + 10s; now <= Start + 300s; now += 1s) {
        const std::string order = describe(planner.nextCommand(row.engines, row.demand, now));
        if (order != "nothing") {
            REQUIRE(order == row.order);
            return;
        }
    }
    REQUIRE(row.order == "nothing");
}

TEST_CASE("a short burst moves nothing", "[placement]")
{
    placement::Planner planner(placement::PlannerSettings{});
    const std::vector<placement::EngineState> engines{engineOf("1", {"a"}), engineOf("2", {})};
    for (int second = 0; second < 120; ++second) {
        const double rate = second % 10 < 8 ? 100 : 1;
        REQUIRE(describe(planner.nextCommand(engines, {{core::ModelId("a"), rate}}, Start + second * 1s)) == "nothing");
    }
}

//-----------------------------------------------------------------------------
// The duty
//-----------------------------------------------------------------------------

namespace {

/// Three nodes, two engines with one model each, and callers that ask much of the first model.
struct HotDomain
{
    tests::Fleet fleet;
    int sent = 0;

    explicit HotDomain(bool checksFencing)
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
        options.tick = 50ms;
        return options;
    }
    void ask(int seconds)
    {
        for (int i = 0; i < seconds * 40; ++i) {
            fleet.send(static_cast<std::size_t>(sent) % 3, fleet.modelHead("q" + std::to_string(sent)), fleet.modelBody(0));
            ++sent;
            fleet.runFor(25ms);
        }
    }
    /// Node that holds the lease, or size() when nobody does.
    std::size_t holder() const
    {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (fleet.alive(i) && fleet.node(i).placement().holdsLease()) {
                return i;
            }
        }
        return fleet.size();
    }
};

} // namespace

TEST_CASE("a model in demand gets another copy, by order of the lease's holder", "[placement]")
{
    HotDomain domain(true);
    REQUIRE(domain.holder() < 3);
    domain.ask(30);
    REQUIRE(domain.fleet.loaded("u0-1").contains(core::ModelId("m0")));
    for (const auto &record : domain.fleet.orders()) {
        REQUIRE(record.node == domain.holder());
        REQUIRE(record.taken);
    }
}

TEST_CASE("upstreams that ignore fencing get nothing until a former holder's orders are over", "[placement]")
{
    HotDomain domain(false);
    domain.ask(15);
    REQUIRE(domain.fleet.orders().empty()); // since the lease was taken, less than the longest order has passed
    domain.ask(35);
    REQUIRE(domain.fleet.loaded("u0-1").contains(core::ModelId("m0")));
}

TEST_CASE("while the platform is out nothing is ordered and what is loaded stays", "[placement]")
{
    HotDomain domain(true);
    domain.fleet.platformUp(false);
    domain.fleet.runFor(10s);
    REQUIRE(domain.holder() == 3);
    domain.ask(30);
    REQUIRE(domain.fleet.orders().empty());
    REQUIRE(domain.fleet.loaded("u0-0").contains(core::ModelId("m0")));
    domain.fleet.platformUp(true);
    domain.ask(20);
    REQUIRE_FALSE(domain.fleet.orders().empty());
}

TEST_CASE("a paused holder that carries on does no harm", "[placement]")
{
    HotDomain domain(true);
    const std::size_t first = domain.holder();
    domain.fleet.pause(first, 40s); // its lease lapses, another takes it
    domain.ask(35);
    const std::size_t second = domain.holder();
    REQUIRE(second != first);
    REQUIRE(second < 3);
    domain.fleet.runFor(10s); // it resumes
    // An order that it had sent before, and that comes only now, carries its old number and is refused.
    const std::size_t before = domain.fleet.orders().size();
    domain.fleet.lateOrder(
        first, placement::PlacementCommand{core::UpstreamId("u0-1"), placement::PlacementCommandKind::Unload, core::ModelId("m0")}, core::FencingToken(100));
    domain.fleet.runFor(1s);
    REQUIRE(domain.fleet.orders().size() > before);
    REQUIRE_FALSE(domain.fleet.orders().back().taken);
    REQUIRE(domain.fleet.loaded("u0-1").contains(core::ModelId("m0")));
}
