// Nodes together: requests, tickets, configuration, leaving and draining, driven in one process.

#include "support/fleet.h"
#include "support/schedules.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <boost/json.hpp>

using namespace arbutus;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

tests::FleetOptions threeNodes()
{
    tests::FleetOptions options;
    options.nodesPerDomain = 3;
    options.tick = 50ms;
    return options;
}

} // namespace

TEST_CASE("three nodes serve requests and orders through any entry", "[fleet]")
{
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    for (std::size_t entry = 0; entry < 3; ++entry) {
        const std::string name = "q" + std::to_string(entry);
        const std::size_t question = fleet.send(entry, fleet.modelHead(name), fleet.modelBody());
        const std::string orderName = "o" + std::to_string(entry);
        const std::size_t order = fleet.send(entry, fleet.orderHead(orderName, fleet.takeTicket(0)), fleet.orderBody(orderName));
        fleet.runFor(1s);
        REQUIRE(fleet.told(question).answered);
        REQUIRE(fleet.runs(name) == 1);
        REQUIRE(fleet.told(order).answered);
        REQUIRE(fleet.runs(orderName) == 1);
    }
}

TEST_CASE("a ticket means at most once, whatever the class", "[fleet]")
{
    const bool named = GENERATE(false, true); // otherwise the workspace's default class, which may be repeated
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    node::RequestHead head = fleet.orderHead("o", fleet.takeTicket(0));
    head.requestClass = named ? core::ClassId("ask") : core::ClassId();
    std::vector<std::size_t> sent;
    for (int round = 0; round < 3; ++round) {
        for (std::size_t entry = 0; entry < 3; ++entry) {
            sent.push_back(fleet.send(entry, head, fleet.orderBody("o")));
        }
    }
    fleet.runFor(2s);
    for (const std::size_t order : sent) {
        CHECK(fleet.told(order).answered);
    }
    REQUIRE(fleet.runs("o") == 1);
}

TEST_CASE("an order without a class and without a ticket is not taken as repeatable", "[fleet]")
{
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    node::RequestHead head = fleet.orderHead("o", "");
    head.requestClass = core::ClassId();
    const std::size_t order = fleet.send(0, head, fleet.orderBody("o"));
    fleet.runFor(1s);
    REQUIRE(fleet.told(order).kind == core::ErrorKind::TicketRequired);
    REQUIRE(fleet.runs("o") == 0);
}

TEST_CASE("a repeated order finds its recorded answer", "[fleet]")
{
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    const std::string ticket = fleet.takeTicket(0);
    fleet.send(0, fleet.orderHead("o", ticket), fleet.orderBody("o"));
    fleet.runFor(1s);

    SECTION("at the owner, at another entry, or at the witness")
    {
        const std::size_t entry = GENERATE(0U, 1U, 2U);
        const std::size_t again = fleet.send(entry, fleet.orderHead("o", ticket), fleet.orderBody("o"));
        fleet.runFor(1s);
        REQUIRE(fleet.told(again).answered);
        REQUIRE(fleet.runs("o") == 1);
    }
    SECTION("when the owner has crashed")
    {
        fleet.kill(0);
        fleet.runFor(5s);
        const std::size_t again = fleet.send(1, fleet.orderHead("o", ticket), fleet.orderBody("o"));
        fleet.runFor(2s);
        REQUIRE(fleet.told(again).replayed);
        REQUIRE(fleet.runs("o") == 1);
    }
    SECTION("but not with another body")
    {
        const std::size_t other = fleet.send(0, fleet.orderHead("o2", ticket), fleet.orderBody("other"));
        fleet.runFor(1s);
        REQUIRE(fleet.told(other).kind == core::ErrorKind::TicketConflict);
        REQUIRE(fleet.runs("o2") == 0);
    }
}

TEST_CASE("an unused ticket of a crashed owner is sealed: not run, and a fresh ticket", "[fleet]")
{
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    const std::string ticket = fleet.takeTicket(0);
    fleet.kill(0);
    fleet.runFor(5s);
    const std::size_t order = fleet.send(1, fleet.orderHead("o", ticket), fleet.orderBody("o"));
    fleet.runFor(2s);
    REQUIRE(fleet.told(order).outcome == core::Outcome::NotRun);
    REQUIRE(fleet.told(order).kind == core::ErrorKind::TicketSealed);
    REQUIRE(fleet.runs("o") == 0);
    const std::size_t again = fleet.send(1, fleet.orderHead("o", fleet.told(order).freshTicket), fleet.orderBody("o"));
    fleet.runFor(2s);
    REQUIRE(fleet.told(again).answered);
    REQUIRE(fleet.runs("o") == 1);
}

TEST_CASE("an owner that was paused past the sealing cannot run the order", "[fleet]")
{
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    const std::string ticket = fleet.takeTicket(0);
    const std::size_t first = fleet.send(0, fleet.orderHead("o", ticket), fleet.orderBody("o"));
    fleet.pause(0, 30s); // before it has read the request
    fleet.runFor(6s);    // the others hold it to be dead
    const std::size_t second = fleet.send(1, fleet.orderHead("o", ticket), fleet.orderBody("o"));
    fleet.runFor(2s);
    REQUIRE(fleet.told(second).outcome == core::Outcome::NotRun);
    fleet.runFor(60s); // the owner goes on as if nothing had been
    REQUIRE(fleet.told(first).done);
    REQUIRE_FALSE(fleet.told(first).answered);
    REQUIRE(fleet.runs("o") == 0);
}

TEST_CASE("without a witness in reach the owner does not run, and says so", "[fleet]")
{
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    const std::string ticket = fleet.takeTicket(0);
    for (const std::size_t other : {1U, 2U}) {
        fleet.cut(0, other, true);
    }
    const std::size_t order = fleet.send(0, fleet.orderHead("o", ticket), fleet.orderBody("o"));
    fleet.runFor(2s);
    REQUIRE(fleet.told(order).outcome == core::Outcome::NotRun);
    REQUIRE(fleet.runs("o") == 0);
}

TEST_CASE("an instance alone in the fleet still serves orders", "[fleet]")
{
    tests::FleetOptions options = threeNodes();
    options.nodesPerDomain = 1;
    tests::Fleet fleet(options);
    fleet.runFor(5s);
    const std::size_t order = fleet.send(0, fleet.orderHead("o", fleet.takeTicket(0)), fleet.orderBody("o"));
    fleet.runFor(1s);
    REQUIRE(fleet.told(order).answered);
}

TEST_CASE("an Idempotency-Key stands for one run through any entries", "[fleet]")
{
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    const auto withKey = [&](const std::string &name) {
        node::RequestHead head = fleet.orderHead(name, "");
        head.idempotencyKeyHash = "hash-of-key";
        return head;
    };
    SECTION("at several entries at once")
    {
        std::vector<std::size_t> sent;
        for (std::size_t entry = 0; entry < 3; ++entry) {
            sent.push_back(fleet.send(entry, withKey("o"), fleet.orderBody("o")));
        }
        fleet.runFor(3s);
        for (const std::size_t request : sent) {
            REQUIRE(fleet.told(request).answered);
        }
        REQUIRE(fleet.runs("o") == 1);
    }
    SECTION("the platform is out: unknown, for an earlier try may have run")
    {
        fleet.send(0, withKey("o"), fleet.orderBody("o"));
        fleet.runFor(1s);
        fleet.platformUp(false);
        const std::size_t again = fleet.send(1, withKey("o"), fleet.orderBody("o"));
        fleet.runFor(1s);
        REQUIRE(fleet.told(again).kind == core::ErrorKind::PlatformDown);
        REQUIRE(fleet.told(again).outcome == core::Outcome::Unknown);
        REQUIRE(fleet.runs("o") == 1);
    }
    SECTION("a key whose ticket was closed unused stays closed; the fresh ticket runs it once")
    {
        for (const std::size_t other : {1U, 2U}) {
            fleet.cut(0, other, true); // no witness in reach: every ticket of entry 0 is closed
        }
        const std::size_t first = fleet.send(0, withKey("o"), fleet.orderBody("o"));
        fleet.runFor(5s);
        REQUIRE(fleet.told(first).outcome == core::Outcome::NotRun);
        fleet.kill(0);
        fleet.runFor(5s);
        const std::size_t again = fleet.send(1, withKey("o"), fleet.orderBody("o"));
        fleet.runFor(3s);
        REQUIRE(fleet.told(again).outcome == core::Outcome::NotRun);
        const std::size_t fresh = fleet.send(1, fleet.orderHead("o", fleet.told(again).freshTicket), fleet.orderBody("o"));
        fleet.runFor(3s);
        REQUIRE(fleet.told(fresh).answered);
        REQUIRE(fleet.runs("o") == 1);
    }
    SECTION("lost answers of claims do not double it")
    {
        fleet.loseClaimAnswers(true);
        fleet.send(0, withKey("o"), fleet.orderBody("o"));
        fleet.runFor(1s);
        fleet.loseClaimAnswers(false);
        const std::size_t again = fleet.send(1, withKey("o"), fleet.orderBody("o"));
        fleet.runFor(1s);
        REQUIRE(fleet.told(again).answered);
        REQUIRE(fleet.runs("o") == 1);
    }
}

TEST_CASE("refusals of orders say not run only where the record was consulted", "[fleet]")
{
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    const std::string ticket = fleet.takeTicket(0);
    SECTION("ran before, refused by a draining entry that is not the owner")
    {
        fleet.send(0, fleet.orderHead("o", ticket), fleet.orderBody("o"));
        fleet.runFor(1s);
        // A held-up request keeps entry 1 draining.
        fleet.send(1, fleet.modelHead("slow"), fleet.modelBody());
        fleet.runFor(3ms);
        fleet.drain(1);
        const std::size_t again = fleet.send(1, fleet.orderHead("o", ticket), fleet.orderBody("o"));
        fleet.runFor(3ms);
        REQUIRE(fleet.told(again).kind == core::ErrorKind::Draining);
        REQUIRE(fleet.told(again).outcome == core::Outcome::Unknown);
    }
    SECTION("never started, refused by its draining owner: closed for good")
    {
        fleet.send(0, fleet.modelHead("slow"), fleet.modelBody());
        fleet.runFor(3ms);
        fleet.drain(0);
        const std::size_t order = fleet.send(0, fleet.orderHead("o", ticket), fleet.orderBody("o"));
        fleet.runFor(3ms);
        REQUIRE(fleet.told(order).outcome == core::Outcome::NotRun);
        fleet.runFor(10s);
        const std::size_t again = fleet.send(1, fleet.orderHead("o", ticket), fleet.orderBody("o"));
        fleet.runFor(2s);
        REQUIRE(fleet.told(again).outcome == core::Outcome::NotRun);
        REQUIRE(fleet.runs("o") == 0);
    }
}

TEST_CASE("a rolling restart of every instance loses no recorded outcome", "[fleet]")
{
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    const std::string used = fleet.takeTicket(0);
    const std::string unused = fleet.takeTicket(0);
    fleet.send(0, fleet.orderHead("o", used), fleet.orderBody("o"));
    fleet.runFor(1s);
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.drain(i);
        fleet.runFor(5s);
        REQUIRE_FALSE(fleet.alive(i));
        fleet.restart(i);
        fleet.runFor(8s);
    }
    const std::size_t again = fleet.send(1, fleet.orderHead("o", used), fleet.orderBody("o"));
    const std::size_t never = fleet.send(2, fleet.orderHead("p", unused), fleet.orderBody("p"));
    fleet.runFor(3s);
    REQUIRE(fleet.told(again).replayed);
    REQUIRE(fleet.runs("o") == 1);
    REQUIRE(fleet.told(never).outcome == core::Outcome::NotRun);
    REQUIRE(fleet.runs("p") == 0);
}

TEST_CASE("a draining instance finishes what is in flight and releases what is held", "[fleet]")
{
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    const std::size_t running = fleet.send(0, fleet.modelHead("running"), fleet.modelBody());
    fleet.runFor(5ms);
    fleet.drain(0);
    const std::size_t late = fleet.send(0, fleet.modelHead("late"), fleet.modelBody());
    fleet.runFor(100ms);
    REQUIRE(fleet.told(running).answered);
    REQUIRE(fleet.told(late).outcome == core::Outcome::NotRun);
    fleet.runFor(5s);
    REQUIRE_FALSE(fleet.alive(0));
}

TEST_CASE("an upstream that leaves gets nothing new within three seconds at any instance", "[fleet]")
{
    tests::FleetOptions options = threeNodes();
    options.nodesPerDomain = 8;
    options.modelUpstreams = 3;
    tests::Fleet fleet(options);
    fleet.runFor(6s);
    fleet.upstreamLeaving("u0-1", true); // its own report says so; the platform's list never does
    fleet.runFor(3s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        INFO("node " << i);
        REQUIRE(fleet.node(i).state().upstreamTable.upstreams().at(core::UpstreamId("u0-1")).isLeaving());
    }
}

//-----------------------------------------------------------------------------
// Residency and hops
//-----------------------------------------------------------------------------

TEST_CASE("residency and loops are judged where a request arrives", "[fleet]")
{
    tests::FleetOptions options = threeNodes();
    options.regions = 2;
    options.nodesPerDomain = 2;
    tests::Fleet fleet(options);
    fleet.runFor(6s);
    json::object document = fleet.node(0).state().config.documents().at(config::DocumentKey{"workspace", "ws0"});
    document["parameters"].as_object()["regions"] = json::array{"r0"};
    fleet.edit(document);
    fleet.runFor(5s);

    SECTION("an entry of another region refuses")
    {
        const std::size_t request = fleet.send(2, fleet.modelHead("q"), fleet.modelBody());
        fleet.runFor(1s);
        REQUIRE(fleet.told(request).kind == core::ErrorKind::ResidencyRefused);
        REQUIRE(fleet.runs("q") == 0);
    }
    SECTION("also when another instance passes it on")
    {
        node::RequestHead head = fleet.modelHead("q");
        head.forwarded = true;
        head.via = {"n0"};
        const std::size_t request = fleet.send(2, head, fleet.modelBody());
        fleet.runFor(1s);
        REQUIRE(fleet.told(request).kind == core::ErrorKind::ResidencyRefused);
    }
    SECTION("what has passed this instance, or more than one, is a loop")
    {
        const std::vector<std::string> via = GENERATE(std::vector<std::string>{"n0"}, std::vector<std::string>{"n7", "n8"});
        node::RequestHead head = fleet.modelHead("q");
        head.via = via;
        const std::size_t request = fleet.send(0, head, fleet.modelBody());
        fleet.runFor(1s);
        REQUIRE(fleet.told(request).kind == core::ErrorKind::LoopDetected);
    }
}

TEST_CASE("a request is refused by its headers, before its body is read", "[fleet]")
{
    struct Row
    {
        const char *what;
        std::function<void(node::RequestHead &)> change;
        core::ErrorKind kind;
    };
    const Row row = GENERATE(Row{"region", [](node::RequestHead &head) { head.workspace = core::WorkspaceId("ws1"); }, core::ErrorKind::ResidencyRefused},
                             Row{"workspace", [](node::RequestHead &head) { head.workspace = core::WorkspaceId("none"); }, core::ErrorKind::UnknownWorkspace},
                             Row{"key", [](node::RequestHead &head) { head.bearerKeyHash = "wrong"; }, core::ErrorKind::Unauthorized},
                             Row{"class", [](node::RequestHead &head) { head.requestClass = core::ClassId("none"); }, core::ErrorKind::UnknownClass},
                             Row{"ticket", [](node::RequestHead &head) { head.requestClass = core::ClassId("order"); }, core::ErrorKind::TicketRequired},
                             Row{"deadline", [](node::RequestHead &head) { head.deadline = 0ms; }, core::ErrorKind::DeadlineExceeded},
                             Row{"loop", [](node::RequestHead &head) { head.via = {"n0"}; }, core::ErrorKind::LoopDetected});
    INFO(row.what);
    core::ManualClock clock;
    tests::FleetOptions options = threeNodes();
    options.workspaces = 2;
    options.regions = 2;
    tests::Fleet fleet(options);
    fleet.runFor(2s);
    json::object document = fleet.node(0).state().config.documents().at(config::DocumentKey{"workspace", "ws1"});
    document["parameters"].as_object()["regions"] = json::array{"r1"};
    document["parameters"].as_object()["home"] = "r1";
    fleet.edit(document);
    fleet.runFor(2s);
    node::Node alone(clock, fleet.node(0).state().settings);
    (void)alone.handle(node::ConfigSnapshotReceived{fleet.node(0).state().config.serializeSnapshot()});
    node::RequestHead head = fleet.modelHead("q");
    row.change(head);
    const node::Actions actions = alone.handle(node::RequestHeadReceived{node::RequestKey(1), head});
    REQUIRE(actions.size() == 1);
    const auto &judged = std::get<node::AdmissionDecision>(actions.front());
    REQUIRE(judged.error);
    REQUIRE(judged.error->kind == row.kind);
    REQUIRE(judged.error->outcome == core::Outcome::NotRun);
    REQUIRE(alone.inFlightCount() == 0);
}

TEST_CASE("whoever adopts a revision tells every other domain at once", "[fleet]")
{
    tests::FleetOptions options = threeNodes();
    options.regions = 3;
    options.domainsPerRegion = 2;
    options.nodesPerDomain = 1;
    tests::Fleet fleet(options);
    fleet.runFor(2s);
    core::ManualClock clock;
    node::Node alone(clock, fleet.node(0).state().settings);
    std::set<std::string> told;
    for (const node::Action &action : alone.handle(node::ConfigSnapshotReceived{fleet.node(0).state().config.serializeSnapshot()})) {
        const auto *sent = std::get_if<node::SendDatagram>(&action);
        if (sent != nullptr && std::holds_alternative<node::RevisionAnnouncement>(sent->datagram.body)) {
            told.insert(sent->address);
        }
    }
    REQUIRE(told == std::set<std::string>{"g1", "g2", "g3", "g4", "g5"});
}

TEST_CASE("an edit reaches every domain through one that is linked to the platform", "[fleet]")
{
    tests::FleetOptions options = threeNodes();
    options.regions = 6;
    options.domainsPerRegion = 4;
    options.nodesPerDomain = 2;
    options.drop = 0.02;
    tests::Fleet fleet(options);
    fleet.runFor(20s);
    fleet.watchOnly(5);
    json::object document = fleet.node(0).state().config.documents().at(config::DocumentKey{"workspace", "ws0"});
    document["parameters"].as_object()["rate"] = 125;
    const core::Revision revision = fleet.edit(document);
    fleet.runFor(8s);
    REQUIRE(fleet.nodesBehind(revision) == 0);
}

TEST_CASE("no request runs outside its residency or passes two instances, whatever the load", "[fleet][property]")
{
    REQUIRE(tests::checkSchedules("residency", 150, [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        tests::FleetOptions options = threeNodes();
        options.regions = 3;
        options.nodesPerDomain = 2;
        options.modelUpstreams = 1;
        options.seed = seed;
        options.upstreamBreaks = 0.2;
        options.upstreamRefuses = 0.2;
        options.drop = 0.02;
        tests::Fleet fleet(options);
        fleet.runFor(4s);
        json::object document = fleet.node(0).state().config.documents().at(config::DocumentKey{"workspace", "ws0"});
        document["parameters"].as_object()["regions"] = json::array{"r0", "r2"};
        fleet.edit(document);
        fleet.runFor(6s);
        const std::size_t before = fleet.journal().size();
        for (int i = 0; i < 60; ++i) {
            fleet.send(static_cast<std::size_t>(i) % fleet.size(), fleet.modelHead("q" + std::to_string(i)), fleet.modelBody());
            fleet.runFor(2ms);
        }
        fleet.runFor(10s);
        for (std::size_t i = before; i < fleet.journal().size(); ++i) {
            RC_ASSERT(fleet.journal()[i].second.text != "r1");
        }
    }));
}

//-----------------------------------------------------------------------------
// Configuration
//-----------------------------------------------------------------------------

TEST_CASE("an edit is in force everywhere within eight seconds", "[fleet]")
{
    tests::FleetOptions options = threeNodes();
    options.regions = 3;
    options.domainsPerRegion = 2;
    options.nodesPerDomain = 4;
    options.drop = GENERATE(0.0, 0.05);
    tests::Fleet fleet(options);
    fleet.runFor(10s);
    json::object document = fleet.node(0).state().config.documents().at(config::DocumentKey{"workspace", "ws0"});
    document["parameters"].as_object()["rate"] = 123;
    const core::Revision revision = fleet.edit(document);
    fleet.runFor(8s);
    REQUIRE(fleet.nodesBehind(revision) == 0);
}

TEST_CASE("a region that is cut off from the platform is fed by the others", "[fleet]")
{
    tests::FleetOptions options = threeNodes();
    options.regions = 2;
    tests::Fleet fleet(options);
    fleet.runFor(8s);
    // The watchers of region 1 are killed after the platform went away, so nobody there can have watched the edit.
    fleet.platformUp(false);
    json::object document = fleet.node(0).state().config.documents().at(config::DocumentKey{"workspace", "ws0"});
    document["parameters"].as_object()["rate"] = 124;
    const core::Revision revision = fleet.edit(document);
    fleet.runFor(2s);
    REQUIRE(fleet.nodesBehind(revision) == fleet.size());
    for (std::size_t i = 3; i < 6; ++i) {
        fleet.kill(i);
    }
    fleet.platformUp(true);
    fleet.runFor(1s);
    fleet.platformUp(false);
    for (std::size_t i = 3; i < 6; ++i) {
        fleet.restart(i); // boots during the outage
    }
    fleet.runFor(8s);
    REQUIRE(fleet.nodesBehind(revision) == 0);
    REQUIRE(fleet.node(4).ready());
}

TEST_CASE("an isolated domain keeps serving its own", "[fleet]")
{
    tests::FleetOptions options = threeNodes();
    options.regions = 2;
    tests::Fleet fleet(options);
    fleet.runFor(6s);
    fleet.cutDomain(1, true);
    fleet.runFor(10s);
    const std::size_t question = fleet.send(3, fleet.modelHead("q"), fleet.modelBody());
    const std::size_t order = fleet.send(4, fleet.orderHead("o", fleet.takeTicket(4)), fleet.orderBody("o"));
    fleet.runFor(2s);
    REQUIRE(fleet.told(question).answered);
    REQUIRE(fleet.told(order).answered);
}

//-----------------------------------------------------------------------------
// Any failures, any two at once
//-----------------------------------------------------------------------------

namespace {

/// An order as its caller sees it: every try under one ticket.
struct Order
{
    std::string name;
    std::string ticket;
    std::string key; // Idempotency-Key's hash, instead of a ticket
    std::vector<std::size_t> tries;
};

void sendOrder(tests::Fleet &fleet, Order &order, std::size_t entry)
{
    node::RequestHead head = fleet.orderHead(order.name, order.ticket);
    head.idempotencyKeyHash = order.key;
    order.tries.push_back(fleet.send(entry, head, fleet.orderBody(order.name)));
}

void applyOperation(tests::Fleet &fleet, std::vector<Order> &orders, int operation, std::size_t value)
{
    const std::size_t target = value % fleet.size();
    const std::size_t other = (value / 7) % fleet.size();
    switch (operation) {
    case 0:
    case 1: { // a new order
        Order order;
        order.name = "o" + std::to_string(orders.size());
        if (value % 4 == 0) {
            order.key = "k" + order.name;
        } else {
            order.ticket = fleet.alive(target) ? fleet.takeTicket(target) : "";
        }
        if (!order.ticket.empty() || !order.key.empty()) {
            sendOrder(fleet, order, other);
            orders.push_back(std::move(order));
        }
        break;
    }
    case 2:
    case 3: // the same again, anywhere
        if (!orders.empty()) {
            sendOrder(fleet, orders[value % orders.size()], other);
        }
        break;
    case 4:
        fleet.kill(target);
        break;
    case 5:
        fleet.restart(target);
        break;
    case 6:
        fleet.drain(target);
        break;
    case 7:
        fleet.pause(target, std::chrono::milliseconds(value * 20));
        break;
    case 8:
        fleet.cut(target, other, value % 3 != 0);
        break;
    case 9:
        fleet.platformUp(value % 2 == 0);
        fleet.loseClaimAnswers(value % 3 == 0);
        break;
    default:
        fleet.runFor(std::chrono::milliseconds(value * (operation == 10 ? 1 : 10)));
    }
}

void healAll(tests::Fleet &fleet)
{
    fleet.platformUp(true);
    fleet.loseClaimAnswers(false);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        for (std::size_t j = 0; j < fleet.size(); ++j) {
            fleet.cut(i, j, false);
        }
    }
}

} // namespace

TEST_CASE("no failures, alone or together, double an order or belie a word", "[fleet][property]")
{
    REQUIRE(tests::checkSchedules("orders", 15'000, [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        const auto schedule =
            *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(rc::gen::pair(rc::gen::inRange(0, 13), rc::gen::inRange<std::size_t>(0, 300)));
        tests::FleetOptions options = threeNodes();
        options.seed = seed;
        options.drop = seed % 3 == 0 ? 0.1 : 0;
        options.twice = seed % 2 == 0 ? 0.1 : 0;
        options.upstreamBreaks = seed % 5 == 0 ? 0.2 : 0;
        options.upstreamRefuses = seed % 7 == 0 ? 0.2 : 0;
        tests::Fleet fleet(options);
        fleet.runFor(2s);
        std::vector<Order> orders;
        for (const auto &[operation, value] : schedule) {
            applyOperation(fleet, orders, operation, value);
        }
        healAll(fleet);
        fleet.runFor(15s);
        for (const Order &order : orders) {
            RC_ASSERT(fleet.runs(order.name) <= 1);
            for (const std::size_t request : order.tries) {
                const tests::Told &told = fleet.told(request);
                RC_ASSERT(told.done);
                RC_ASSERT(!(told.answered && fleet.runs(order.name) == 0));
                const bool saidNotRun = !told.answered && !told.lostConnection && told.outcome == core::Outcome::NotRun;
                RC_ASSERT(!(saidNotRun && fleet.runs(order.name) > 0));
            }
        }
    }));
}
