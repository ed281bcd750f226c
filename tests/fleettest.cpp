// Several nodes in one process: requests, tickets, configuration, draining, and random schedules of failures.

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
    options.tickInterval = 50ms;
    return options;
}

} // namespace

TEST_CASE("three nodes serve model requests and service requests through any entry", "[fleet]")
{
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    for (std::size_t entry = 0; entry < 3; ++entry) {
        const std::string modelRequestId = "q" + std::to_string(entry);
        const std::size_t modelRequest = fleet.send(entry, fleet.modelHead(modelRequestId), fleet.modelBody());
        const std::string serviceRequestId = "o" + std::to_string(entry);
        const std::size_t serviceRequest = fleet.send(entry, fleet.serviceHead(serviceRequestId, fleet.issueTicket(0)), fleet.serviceBody(serviceRequestId));
        fleet.runFor(1s);
        REQUIRE(fleet.result(modelRequest).answered);
        REQUIRE(fleet.runCount(modelRequestId) == 1);
        REQUIRE(fleet.result(serviceRequest).answered);
        REQUIRE(fleet.runCount(serviceRequestId) == 1);
    }
}

TEST_CASE("a request with a ticket runs at most once, whatever its class", "[fleet]")
{
    const bool withClass = GENERATE(false, true); // otherwise the workspace's default class, which is repeatable
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    node::RequestHead head = fleet.serviceHead("o", fleet.issueTicket(0));
    head.requestClass = withClass ? core::ClassId("ask") : core::ClassId();
    std::vector<std::size_t> requests;
    for (int round = 0; round < 3; ++round) {
        for (std::size_t entry = 0; entry < 3; ++entry) {
            requests.push_back(fleet.send(entry, head, fleet.serviceBody("o")));
        }
    }
    fleet.runFor(2s);
    for (const std::size_t request : requests) {
        CHECK(fleet.result(request).answered);
    }
    REQUIRE(fleet.runCount("o") == 1);
}

TEST_CASE("a service request without class and ticket is not treated as repeatable", "[fleet]")
{
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    node::RequestHead head = fleet.serviceHead("o", "");
    head.requestClass = core::ClassId();
    const std::size_t request = fleet.send(0, head, fleet.serviceBody("o"));
    fleet.runFor(1s);
    REQUIRE(fleet.result(request).kind == core::ErrorKind::TicketRequired);
    REQUIRE(fleet.runCount("o") == 0);
}

TEST_CASE("a repeated request gets its recorded response", "[fleet]")
{
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    const std::string ticket = fleet.issueTicket(0);
    fleet.send(0, fleet.serviceHead("o", ticket), fleet.serviceBody("o"));
    fleet.runFor(1s);

    SECTION("at the owner, at another entry, or at the witness")
    {
        const std::size_t entry = GENERATE(0U, 1U, 2U);
        const std::size_t repeated = fleet.send(entry, fleet.serviceHead("o", ticket), fleet.serviceBody("o"));
        fleet.runFor(1s);
        REQUIRE(fleet.result(repeated).answered);
        REQUIRE(fleet.runCount("o") == 1);
    }
    SECTION("after the owner has crashed")
    {
        fleet.kill(0);
        fleet.runFor(5s);
        const std::size_t repeated = fleet.send(1, fleet.serviceHead("o", ticket), fleet.serviceBody("o"));
        fleet.runFor(2s);
        REQUIRE(fleet.result(repeated).replayed);
        REQUIRE(fleet.runCount("o") == 1);
    }
    SECTION("a different body is rejected")
    {
        const std::size_t other = fleet.send(0, fleet.serviceHead("o2", ticket), fleet.serviceBody("other"));
        fleet.runFor(1s);
        REQUIRE(fleet.result(other).kind == core::ErrorKind::TicketConflict);
        REQUIRE(fleet.runCount("o2") == 0);
    }
}

TEST_CASE("a request with an unused ticket of a crashed owner is reported as not run and gets a replacement ticket", "[fleet]")
{
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    const std::string ticket = fleet.issueTicket(0);
    fleet.kill(0);
    fleet.runFor(5s);
    const std::size_t request = fleet.send(1, fleet.serviceHead("o", ticket), fleet.serviceBody("o"));
    fleet.runFor(2s);
    REQUIRE(fleet.result(request).outcome == core::Outcome::NotRun);
    REQUIRE(fleet.result(request).kind == core::ErrorKind::TicketSealed);
    REQUIRE(fleet.runCount("o") == 0);
    const std::size_t repeated = fleet.send(1, fleet.serviceHead("o", fleet.result(request).replacementTicket), fleet.serviceBody("o"));
    fleet.runFor(2s);
    REQUIRE(fleet.result(repeated).answered);
    REQUIRE(fleet.runCount("o") == 1);
}

TEST_CASE("an owner that was paused while its ticket was sealed cannot run the request", "[fleet]")
{
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    const std::string ticket = fleet.issueTicket(0);
    const std::size_t first = fleet.send(0, fleet.serviceHead("o", ticket), fleet.serviceBody("o"));
    fleet.pause(0, 30s); // before it has handled the request
    fleet.runFor(6s);    // the other members consider it dead
    const std::size_t second = fleet.send(1, fleet.serviceHead("o", ticket), fleet.serviceBody("o"));
    fleet.runFor(2s);
    REQUIRE(fleet.result(second).outcome == core::Outcome::NotRun);
    fleet.runFor(60s); // the owner resumes and handles the first request
    REQUIRE(fleet.result(first).done);
    REQUIRE_FALSE(fleet.result(first).answered);
    REQUIRE(fleet.runCount("o") == 0);
}

TEST_CASE("if the witness is unreachable the owner does not run the request and reports that", "[fleet]")
{
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    const std::string ticket = fleet.issueTicket(0);
    for (const std::size_t other : {1U, 2U}) {
        fleet.setLinkDown(0, other, true);
    }
    const std::size_t request = fleet.send(0, fleet.serviceHead("o", ticket), fleet.serviceBody("o"));
    fleet.runFor(2s);
    REQUIRE(fleet.result(request).outcome == core::Outcome::NotRun);
    REQUIRE(fleet.runCount("o") == 0);
}

TEST_CASE("a single instance without a witness serves requests with tickets", "[fleet]")
{
    tests::FleetOptions options = threeNodes();
    options.nodesPerDomain = 1;
    tests::Fleet fleet(options);
    fleet.runFor(5s);
    const std::size_t request = fleet.send(0, fleet.serviceHead("o", fleet.issueTicket(0)), fleet.serviceBody("o"));
    fleet.runFor(1s);
    REQUIRE(fleet.result(request).answered);
}

TEST_CASE("requests with the same Idempotency-Key run once, whatever the entry", "[fleet]")
{
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    const auto withKey = [&](const std::string &requestId) {
        node::RequestHead head = fleet.serviceHead(requestId, "");
        head.idempotencyKeyHash = "hash-of-key";
        return head;
    };
    SECTION("sent to several entries at once")
    {
        std::vector<std::size_t> requests;
        for (std::size_t entry = 0; entry < 3; ++entry) {
            requests.push_back(fleet.send(entry, withKey("o"), fleet.serviceBody("o")));
        }
        fleet.runFor(3s);
        for (const std::size_t request : requests) {
            REQUIRE(fleet.result(request).answered);
        }
        REQUIRE(fleet.runCount("o") == 1);
    }
    SECTION("a platform outage gives an unknown outcome, since an earlier request may have run")
    {
        fleet.send(0, withKey("o"), fleet.serviceBody("o"));
        fleet.runFor(1s);
        fleet.setPlatformAvailable(false);
        const std::size_t repeated = fleet.send(1, withKey("o"), fleet.serviceBody("o"));
        fleet.runFor(1s);
        REQUIRE(fleet.result(repeated).kind == core::ErrorKind::PlatformDown);
        REQUIRE(fleet.result(repeated).outcome == core::Outcome::Unknown);
        REQUIRE(fleet.runCount("o") == 1);
    }
    SECTION("a key whose ticket was closed unused stays closed; the replacement ticket runs once")
    {
        for (const std::size_t other : {1U, 2U}) {
            fleet.setLinkDown(0, other, true); // no reachable witness: every ticket of entry 0 is closed
        }
        const std::size_t first = fleet.send(0, withKey("o"), fleet.serviceBody("o"));
        fleet.runFor(5s);
        REQUIRE(fleet.result(first).outcome == core::Outcome::NotRun);
        fleet.kill(0);
        fleet.runFor(5s);
        const std::size_t repeated = fleet.send(1, withKey("o"), fleet.serviceBody("o"));
        fleet.runFor(3s);
        REQUIRE(fleet.result(repeated).outcome == core::Outcome::NotRun);
        const std::size_t replacement = fleet.send(1, fleet.serviceHead("o", fleet.result(repeated).replacementTicket), fleet.serviceBody("o"));
        fleet.runFor(3s);
        REQUIRE(fleet.result(replacement).answered);
        REQUIRE(fleet.runCount("o") == 1);
    }
    SECTION("a lost response to a claim does not run the request twice")
    {
        fleet.setDropClaimResponses(true);
        fleet.send(0, withKey("o"), fleet.serviceBody("o"));
        fleet.runFor(1s);
        fleet.setDropClaimResponses(false);
        const std::size_t repeated = fleet.send(1, withKey("o"), fleet.serviceBody("o"));
        fleet.runFor(1s);
        REQUIRE(fleet.result(repeated).answered);
        REQUIRE(fleet.runCount("o") == 1);
    }
}

TEST_CASE("a rejected request with a ticket is reported as not run only if the record was consulted", "[fleet]")
{
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    const std::string ticket = fleet.issueTicket(0);
    SECTION("it ran before and is rejected by a draining entry that is not the owner")
    {
        fleet.send(0, fleet.serviceHead("o", ticket), fleet.serviceBody("o"));
        fleet.runFor(1s);
        // A request in flight keeps entry 1 draining.
        fleet.send(1, fleet.modelHead("slow"), fleet.modelBody());
        fleet.runFor(3ms);
        fleet.drain(1);
        const std::size_t repeated = fleet.send(1, fleet.serviceHead("o", ticket), fleet.serviceBody("o"));
        fleet.runFor(3ms);
        REQUIRE(fleet.result(repeated).kind == core::ErrorKind::Draining);
        REQUIRE(fleet.result(repeated).outcome == core::Outcome::Unknown);
    }
    SECTION("it never started and is permanently closed by its draining owner")
    {
        fleet.send(0, fleet.modelHead("slow"), fleet.modelBody());
        fleet.runFor(3ms);
        fleet.drain(0);
        const std::size_t request = fleet.send(0, fleet.serviceHead("o", ticket), fleet.serviceBody("o"));
        fleet.runFor(3ms);
        REQUIRE(fleet.result(request).outcome == core::Outcome::NotRun);
        fleet.runFor(10s);
        const std::size_t repeated = fleet.send(1, fleet.serviceHead("o", ticket), fleet.serviceBody("o"));
        fleet.runFor(2s);
        REQUIRE(fleet.result(repeated).outcome == core::Outcome::NotRun);
        REQUIRE(fleet.runCount("o") == 0);
    }
}

TEST_CASE("a rolling restart of every instance loses no recorded outcome", "[fleet]")
{
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    const std::string usedTicket = fleet.issueTicket(0);
    const std::string unusedTicket = fleet.issueTicket(0);
    fleet.send(0, fleet.serviceHead("o", usedTicket), fleet.serviceBody("o"));
    fleet.runFor(1s);
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.drain(i);
        fleet.runFor(5s);
        REQUIRE_FALSE(fleet.isAlive(i));
        fleet.restart(i);
        fleet.runFor(8s);
    }
    const std::size_t repeated = fleet.send(1, fleet.serviceHead("o", usedTicket), fleet.serviceBody("o"));
    const std::size_t unusedRequest = fleet.send(2, fleet.serviceHead("p", unusedTicket), fleet.serviceBody("p"));
    fleet.runFor(3s);
    REQUIRE(fleet.result(repeated).replayed);
    REQUIRE(fleet.runCount("o") == 1);
    REQUIRE(fleet.result(unusedRequest).outcome == core::Outcome::NotRun);
    REQUIRE(fleet.runCount("p") == 0);
}

TEST_CASE("a draining instance finishes requests in flight and rejects new ones", "[fleet]")
{
    tests::Fleet fleet(threeNodes());
    fleet.runFor(5s);
    const std::size_t runningRequest = fleet.send(0, fleet.modelHead("running"), fleet.modelBody());
    fleet.runFor(5ms);
    fleet.drain(0);
    const std::size_t lateRequest = fleet.send(0, fleet.modelHead("late"), fleet.modelBody());
    fleet.runFor(100ms);
    REQUIRE(fleet.result(runningRequest).answered);
    REQUIRE(fleet.result(lateRequest).outcome == core::Outcome::NotRun);
    fleet.runFor(5s);
    REQUIRE_FALSE(fleet.isAlive(0));
}

TEST_CASE("every instance stops using a leaving upstream within three seconds", "[fleet]")
{
    tests::FleetOptions options = threeNodes();
    options.nodesPerDomain = 8;
    options.modelUpstreams = 3;
    tests::Fleet fleet(options);
    fleet.runFor(6s);
    fleet.setUpstreamLeaving("u0-1", true); // only its load report says so, the platform's list does not
    fleet.runFor(3s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        INFO("node " << i);
        REQUIRE(fleet.node(i).state().upstreamTable.upstreams().at(core::UpstreamId("u0-1")).isLeaving());
    }
}

//-----------------------------------------------------------------------------
// Residency and hops
//-----------------------------------------------------------------------------

TEST_CASE("the receiving instance checks residency and loops", "[fleet]")
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

    SECTION("an entry in an excluded region rejects the request")
    {
        const std::size_t request = fleet.send(2, fleet.modelHead("q"), fleet.modelBody());
        fleet.runFor(1s);
        REQUIRE(fleet.result(request).kind == core::ErrorKind::ResidencyRefused);
        REQUIRE(fleet.runCount("q") == 0);
    }
    SECTION("an entry in an excluded region rejects the request also if another instance forwarded it")
    {
        node::RequestHead head = fleet.modelHead("q");
        head.forwarded = true;
        head.via = {"n0"};
        const std::size_t request = fleet.send(2, head, fleet.modelBody());
        fleet.runFor(1s);
        REQUIRE(fleet.result(request).kind == core::ErrorKind::ResidencyRefused);
    }
    SECTION("a request that this instance or two others have forwarded is rejected as a loop")
    {
        const std::vector<std::string> via = GENERATE(std::vector<std::string>{"n0"}, std::vector<std::string>{"n7", "n8"});
        node::RequestHead head = fleet.modelHead("q");
        head.via = via;
        const std::size_t request = fleet.send(0, head, fleet.modelBody());
        fleet.runFor(1s);
        REQUIRE(fleet.result(request).kind == core::ErrorKind::LoopDetected);
    }
}

TEST_CASE("a request that fails a header check is rejected before its body is read", "[fleet]")
{
    struct Row
    {
        const char *field;
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
    INFO(row.field);
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
    node::Node singleNode(clock, fleet.node(0).state().settings);
    (void)singleNode.handle(node::ConfigSnapshotReceived{fleet.node(0).state().config.serializeSnapshot()});
    node::RequestHead head = fleet.modelHead("q");
    row.change(head);
    const node::Actions actions = singleNode.handle(node::RequestHeadReceived{node::RequestKey(1), head});
    REQUIRE(actions.size() == 1);
    const auto &admission = std::get<node::AdmissionDecision>(actions.front());
    REQUIRE(admission.error);
    REQUIRE(admission.error->kind == row.kind);
    REQUIRE(admission.error->outcome == core::Outcome::NotRun);
    REQUIRE(singleNode.inFlightCount() == 0);
}

TEST_CASE("an instance that applies a revision announces it to every other domain at once", "[fleet]")
{
    tests::FleetOptions options = threeNodes();
    options.regions = 3;
    options.domainsPerRegion = 2;
    options.nodesPerDomain = 1;
    tests::Fleet fleet(options);
    fleet.runFor(2s);
    core::ManualClock clock;
    node::Node singleNode(clock, fleet.node(0).state().settings);
    std::set<std::string> recipients;
    for (const node::Action &action : singleNode.handle(node::ConfigSnapshotReceived{fleet.node(0).state().config.serializeSnapshot()})) {
        const auto *sent = std::get_if<node::SendDatagram>(&action);
        if (sent != nullptr && std::holds_alternative<node::RevisionAnnouncement>(sent->datagram.body)) {
            recipients.insert(sent->address);
        }
    }
    REQUIRE(recipients == std::set<std::string>{"g1", "g2", "g3", "g4", "g5"});
}

TEST_CASE("an edit reaches every domain if only one domain watches the platform", "[fleet]")
{
    tests::FleetOptions options = threeNodes();
    options.regions = 6;
    options.domainsPerRegion = 4;
    options.nodesPerDomain = 2;
    options.dropProbability = 0.02;
    tests::Fleet fleet(options);
    fleet.runFor(20s);
    fleet.restrictWatchesTo(5);
    json::object document = fleet.node(0).state().config.documents().at(config::DocumentKey{"workspace", "ws0"});
    document["parameters"].as_object()["rate"] = 125;
    const core::Revision revision = fleet.edit(document);
    fleet.runFor(8s);
    REQUIRE(fleet.nodesBehind(revision) == 0);
}

TEST_CASE("no request runs outside its residency, also under load and failures", "[fleet][property]")
{
    REQUIRE(tests::checkSchedules("residency", 150, [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        tests::FleetOptions options = threeNodes();
        options.regions = 3;
        options.nodesPerDomain = 2;
        options.modelUpstreams = 1;
        options.seed = seed;
        options.upstreamBreakProbability = 0.2;
        options.upstreamRefusalProbability = 0.2;
        options.dropProbability = 0.02;
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

TEST_CASE("an edit is applied everywhere within eight seconds", "[fleet]")
{
    tests::FleetOptions options = threeNodes();
    options.regions = 3;
    options.domainsPerRegion = 2;
    options.nodesPerDomain = 4;
    options.dropProbability = GENERATE(0.0, 0.05);
    tests::Fleet fleet(options);
    fleet.runFor(10s);
    json::object document = fleet.node(0).state().config.documents().at(config::DocumentKey{"workspace", "ws0"});
    document["parameters"].as_object()["rate"] = 123;
    const core::Revision revision = fleet.edit(document);
    fleet.runFor(8s);
    REQUIRE(fleet.nodesBehind(revision) == 0);
}

TEST_CASE("a region without access to the platform gets the configuration from other regions", "[fleet]")
{
    tests::FleetOptions options = threeNodes();
    options.regions = 2;
    tests::Fleet fleet(options);
    fleet.runFor(8s);
    // The instances of region 1 are killed during the outage in which the edit is made, so none of them can have received it
    // from the platform.
    fleet.setPlatformAvailable(false);
    json::object document = fleet.node(0).state().config.documents().at(config::DocumentKey{"workspace", "ws0"});
    document["parameters"].as_object()["rate"] = 124;
    const core::Revision revision = fleet.edit(document);
    fleet.runFor(2s);
    REQUIRE(fleet.nodesBehind(revision) == fleet.size());
    for (std::size_t i = 3; i < 6; ++i) {
        fleet.kill(i);
    }
    fleet.setPlatformAvailable(true);
    fleet.runFor(1s);
    fleet.setPlatformAvailable(false);
    for (std::size_t i = 3; i < 6; ++i) {
        fleet.restart(i); // starts during an outage
    }
    fleet.runFor(8s);
    REQUIRE(fleet.nodesBehind(revision) == 0);
    REQUIRE(fleet.node(4).ready());
}

TEST_CASE("an isolated domain keeps serving its callers", "[fleet]")
{
    tests::FleetOptions options = threeNodes();
    options.regions = 2;
    tests::Fleet fleet(options);
    fleet.runFor(6s);
    fleet.setDomainIsolated(1, true);
    fleet.runFor(10s);
    const std::size_t modelRequest = fleet.send(3, fleet.modelHead("q"), fleet.modelBody());
    const std::size_t request = fleet.send(4, fleet.serviceHead("o", fleet.issueTicket(4)), fleet.serviceBody("o"));
    fleet.runFor(2s);
    REQUIRE(fleet.result(modelRequest).answered);
    REQUIRE(fleet.result(request).answered);
}

//-----------------------------------------------------------------------------
// Random schedules of failures
//-----------------------------------------------------------------------------

namespace {

/// A request from its caller's view: every attempt with the same ticket or Idempotency-Key.
struct TicketedRequest
{
    std::string requestId;
    std::string ticket;
    std::string key; // hash of the Idempotency-Key, instead of a ticket
    std::vector<std::size_t> attempts;
};

void sendAttempt(tests::Fleet &fleet, TicketedRequest &request, std::size_t entry)
{
    node::RequestHead head = fleet.serviceHead(request.requestId, request.ticket);
    head.idempotencyKeyHash = request.key;
    request.attempts.push_back(fleet.send(entry, head, fleet.serviceBody(request.requestId)));
}

void applyOperation(tests::Fleet &fleet, std::vector<TicketedRequest> &requests, int operation, std::size_t value)
{
    const std::size_t target = value % fleet.size();
    const std::size_t other = (value / 7) % fleet.size();
    switch (operation) {
    case 0:
    case 1: { // send a new request
        TicketedRequest request;
        request.requestId = "o" + std::to_string(requests.size());
        if (value % 4 == 0) {
            request.key = "k" + request.requestId;
        } else {
            request.ticket = fleet.isAlive(target) ? fleet.issueTicket(target) : "";
        }
        if (!request.ticket.empty() || !request.key.empty()) {
            sendAttempt(fleet, request, other);
            requests.push_back(std::move(request));
        }
        break;
    }
    case 2:
    case 3: // repeat a request at any entry
        if (!requests.empty()) {
            sendAttempt(fleet, requests[value % requests.size()], other);
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
        fleet.setLinkDown(target, other, value % 3 != 0);
        break;
    case 9:
        fleet.setPlatformAvailable(value % 2 == 0);
        fleet.setDropClaimResponses(value % 3 == 0);
        break;
    default:
        fleet.runFor(std::chrono::milliseconds(value * (operation == 10 ? 1 : 10)));
    }
}

void repairAll(tests::Fleet &fleet)
{
    fleet.setPlatformAvailable(true);
    fleet.setDropClaimResponses(false);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        for (std::size_t j = 0; j < fleet.size(); ++j) {
            fleet.setLinkDown(i, j, false);
        }
    }
}

} // namespace

TEST_CASE("no combination of failures runs a request twice or reports a false outcome", "[fleet][property]")
{
    REQUIRE(tests::checkSchedules("orders", 15'000, [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        const auto schedule =
            *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(rc::gen::pair(rc::gen::inRange(0, 13), rc::gen::inRange<std::size_t>(0, 300)));
        tests::FleetOptions options = threeNodes();
        options.seed = seed;
        options.dropProbability = seed % 3 == 0 ? 0.1 : 0;
        options.duplicateProbability = seed % 2 == 0 ? 0.1 : 0;
        options.upstreamBreakProbability = seed % 5 == 0 ? 0.2 : 0;
        options.upstreamRefusalProbability = seed % 7 == 0 ? 0.2 : 0;
        tests::Fleet fleet(options);
        fleet.runFor(2s);
        std::vector<TicketedRequest> requests;
        for (const auto &[operation, value] : schedule) {
            applyOperation(fleet, requests, operation, value);
        }
        repairAll(fleet);
        fleet.runFor(15s);
        for (const TicketedRequest &request : requests) {
            RC_ASSERT(fleet.runCount(request.requestId) <= 1);
            for (const std::size_t attempt : request.attempts) {
                const tests::RequestResult &result = fleet.result(attempt);
                RC_ASSERT(result.done);
                RC_ASSERT(!(result.answered && fleet.runCount(request.requestId) == 0));
                const bool reportedNotRun = !result.answered && !result.connectionLost && result.outcome == core::Outcome::NotRun;
                RC_ASSERT(!(reportedNotRun && fleet.runCount(request.requestId) > 0));
            }
        }
    }));
}
