// Dispatcher: placement, queue order, redirects, cold upstreams, and a simulated load compared with least-in-flight placement.

#include "arbutus/routing/dispatcher.h"
#include "arbutus/core/overloaded.h"
#include "arbutus/limits/sharedretrybudget.h"
#include "arbutus/routing/dispatcherwatch.h"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <deque>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start(1000s);
const core::ServiceId Model("model");
const core::ServiceId PlainService("till");

catalog::CatalogPointer makeCatalog(double maxColdPerSecond = 0)
{
    catalog::Service engines;
    engines.id = Model;
    engines.maxColdRequestsPerSecond = maxColdPerSecond;
    engines.engine = catalog::EngineConfig{64, 230'000, 5};
    catalog::Service plain;
    plain.id = PlainService;
    catalog::Route route;
    route.id = catalog::RouteId("r");
    route.host = "h";
    route.pathPrefix = "/";
    route.trafficSplits = {catalog::TrafficSplit{Model, 1}};
    return std::make_shared<catalog::Catalog>(catalog::CatalogVersion(1), std::vector{route}, std::vector{engines, plain}, catalog::ClientLimits{});
}

routing::Announcement makeAnnouncement(const std::string &id, const core::ServiceId &service, const std::string &domain = "here-a", std::size_t slots = 64)
{
    routing::Announcement result;
    result.id = core::UpstreamId(id);
    result.service = service;
    result.address = "10.0.0.1:80";
    result.domain = core::DomainId(domain);
    result.slots = slots;
    result.startTime = routing::StartTime(1);
    result.sequence = 1;
    return result;
}

/// A dispatcher of region "here" with the state it reads.
struct Fixture
{
    /// The dispatcher was created `uptime` before Start.
    explicit Fixture(std::vector<routing::Announcement> announcements, double maxColdPerSecond = 0, core::Duration uptime = 1min)
        : catalog(makeCatalog(maxColdPerSecond))
        , dispatcher(routing::DispatcherSettings{}, routing::DispatcherView{core::RegionId("here"), regions, registry, catalog}, Start - uptime)
    {
        registry.applySnapshot(routing::SnapshotRevision(1), announcements, false, Start);
        dispatcher.setDispatcherRole(true, 1, Start);
    }

    routing::PlacementRequest makeRequest(const std::string &id, const core::ServiceId &service, core::TimePoint now) const
    {
        routing::PlacementRequest result;
        result.id = routing::PlacementId(id);
        result.requester = core::InstanceId("n");
        result.service = service;
        result.latencyDeadline = now + 1s;
        result.responseDeadline = now + 4s;
        result.completionDeadline = now + 15s;
        return result;
    }

    routing::PlacementRequest makePromptRequest(const std::string &id, std::uint64_t sharedHash, core::TimePoint now) const
    {
        routing::PlacementRequest result = makeRequest(id, Model, now);
        result.prompt = {routing::PromptPart{sharedHash, 6'000}, routing::PromptPart{std::hash<std::string>{}(id), 1'000}};
        result.promptTokens = 7'000;
        result.outputTokens = 50;
        return result;
    }

    std::map<core::DomainId, core::RegionId> regions{{core::DomainId("here-a"), core::RegionId("here")}, {core::DomainId("there-a"), core::RegionId("there")}};
    routing::UpstreamRegistry registry;
    catalog::CatalogPointer catalog;
    routing::Dispatcher dispatcher;
};

std::string grantedUpstream(const routing::PlacementDecision &decision)
{
    const auto *granted = std::get_if<routing::Granted>(&decision);
    return granted == nullptr ? "" : granted->upstream.text;
}

routing::ServiceLoad makeServiceLoad(const core::ServiceId &service, core::Duration queueDelay, double tokensPerMs)
{
    routing::ServiceLoad result;
    result.service = service;
    result.queueDelay = queueDelay;
    result.prefillTokensPerMs = tokensPerMs;
    result.usableUpstreams = 4;
    result.freeSlots = 100;
    result.serviceTime = 30ms;
    return result;
}

} // namespace

TEST_CASE("a repeated placement request gets the same decision", "[dispatcher]")
{
    Fixture fixture({makeAnnouncement("a", Model), makeAnnouncement("b", Model)});
    const routing::PlacementRequest request = fixture.makePromptRequest("w", 1, Start);
    const std::string first = grantedUpstream(fixture.dispatcher.requestPlacement(request, Start));
    REQUIRE_FALSE(first.empty());
    REQUIRE(grantedUpstream(fixture.dispatcher.requestPlacement(request, Start + 50ms)) == first);
    REQUIRE(fixture.dispatcher.estimators().at(core::UpstreamId(first)).inFlight().size() == 1);
}

TEST_CASE("prompts that share a prefix go to the engine that has it cached", "[dispatcher]")
{
    Fixture fixture({makeAnnouncement("a", Model), makeAnnouncement("b", Model), makeAnnouncement("c", Model)});
    core::TimePoint now = Start;
    std::map<std::uint64_t, std::string> upstreamByPrefix;
    for (int i = 0; i < 60; ++i) {
        const std::uint64_t sharedHash = 1 + static_cast<std::uint64_t>(i % 3);
        const routing::PlacementRequest request = fixture.makePromptRequest("w" + std::to_string(i), sharedHash, now);
        const std::string upstream = grantedUpstream(fixture.dispatcher.requestPlacement(request, now));
        REQUIRE_FALSE(upstream.empty());
        upstreamByPrefix.try_emplace(sharedHash, upstream);
        CHECK(upstreamByPrefix[sharedHash] == upstream);
        now += 200ms;
        fixture.dispatcher.recordFirstEvent(request.id, core::UpstreamId(upstream), 200ms, now);
        fixture.dispatcher.recordCompletion(request.id, core::UpstreamId(upstream), routing::SendOutcome::Completed, now);
        now += 100ms;
    }
}

TEST_CASE("upstreams that must not be chosen", "[dispatcher]")
{
    struct Row
    {
        const char *name;
        std::function<void(routing::Announcement &)> change;
        std::function<void(Fixture &)> act;
    };
    const auto row = GENERATE(values<Row>({
        {"leaving", [](routing::Announcement &a) { a.leaving = true; }, {}},
        {"of another service", [](routing::Announcement &a) { a.service = PlainService; }, {}},
        {"of another region", [](routing::Announcement &a) { a.domain = core::DomainId("there-a"); }, {}},
        {"of an unknown failure domain", [](routing::Announcement &a) { a.domain = core::DomainId("nowhere"); }, {}},
        {"evacuated", [](routing::Announcement &) {}, [](Fixture &f) { f.registry.setEvacuatedDomains({core::DomainId("here-a")}, Start); }},
        {"removed", [](routing::Announcement &) {}, [](Fixture &f) { f.registry.applySnapshot(routing::SnapshotRevision(2), {}, false, Start); }},
    }));
    CAPTURE(row.name);
    routing::Announcement announcement = makeAnnouncement("a", Model);
    row.change(announcement);
    Fixture fixture({announcement});
    if (row.act) {
        row.act(fixture);
    }
    const routing::PlacementDecision decision = fixture.dispatcher.requestPlacement(fixture.makePromptRequest("w", 1, Start), Start);
    const auto *refused = std::get_if<routing::Refused>(&decision);
    REQUIRE(refused != nullptr);
    CHECK(refused->reason == routing::RefusalReason::NoUpstream);
    CHECK(refused->retryAfter > 0ms);
}

TEST_CASE("a new dispatcher queues requests without a known upstream during its discovery period", "[dispatcher]")
{
    struct Row
    {
        const char *name;
        std::vector<const char *> allowedRegions;
        bool allowOtherRegions;
        bool queued;
    };
    const auto row = GENERATE(values<Row>({
        {"no upstream of this region is known yet", {"here"}, false, true},
        {"no load of its allowed region is known yet", {"there"}, true, true},
        {"redirected from another region, and not allowed here", {"there"}, false, false},
    }));
    CAPTURE(row.name);
    Fixture fixture({makeAnnouncement("a", PlainService)}, 0, 0s);
    routing::PlacementRequest request = fixture.makePromptRequest("w", 1, Start);
    for (const char *region : row.allowedRegions) {
        request.allowedRegions.insert(core::RegionId(region));
    }
    request.allowOtherRegions = row.allowOtherRegions;
    REQUIRE(std::holds_alternative<routing::Queued>(fixture.dispatcher.requestPlacement(request, Start)) == row.queued);
    if (!row.queued) {
        return;
    }
    SECTION("it is placed once an upstream or another region is known")
    {
        fixture.registry.applySnapshot(routing::SnapshotRevision(2), {makeAnnouncement("a", PlainService), makeAnnouncement("b", Model)}, false, Start);
        fixture.dispatcher.updateRemoteLoad(core::RegionId("there"), makeServiceLoad(Model, 0ms, 120), Start + 300ms);
        const auto deferred = fixture.dispatcher.processQueue(Start + 300ms);
        REQUIRE(deferred.size() == 1);
        CHECK_FALSE(std::holds_alternative<routing::Refused>(deferred.front().decision));
    }
    SECTION("it is refused after the discovery period")
    {
        REQUIRE(std::holds_alternative<routing::Queued>(fixture.dispatcher.requestPlacement(request, Start + 1s)));
        REQUIRE(std::holds_alternative<routing::Refused>(fixture.dispatcher.requestPlacement(request, Start + 2100ms)));
    }
}

TEST_CASE("independent dispatchers send a shared prefix to the same engine, and spread prefixes over all engines", "[dispatcher]")
{
    constexpr std::uint64_t Prefixes = 200;
    const std::vector<routing::Announcement> announcements{
        makeAnnouncement("a", Model), makeAnnouncement("b", Model), makeAnnouncement("c", Model), makeAnnouncement("d", Model)};
    std::map<std::string, int> counts;
    for (std::uint64_t sharedHash = 1; sharedHash <= Prefixes; ++sharedHash) {
        std::set<std::string> chosen;
        for (int dispatcherIndex = 0; dispatcherIndex < 3; ++dispatcherIndex) { // none has placed a request yet
            Fixture fixture(announcements);
            chosen.insert(grantedUpstream(
                fixture.dispatcher.requestPlacement(fixture.makePromptRequest("w" + std::to_string(dispatcherIndex), sharedHash, Start), Start)));
        }
        REQUIRE(chosen.size() == 1);
        ++counts[*chosen.begin()];
    }
    CHECK(counts.size() == announcements.size());
    for (const auto &[upstream, count] : counts) {
        CHECK(count >= 30); // of 50 on average
    }
}

TEST_CASE("a retry whose upstreams are all excluded is refused at once", "[dispatcher]")
{
    Fixture fixture({makeAnnouncement("a", PlainService, "here-a", 6)});
    routing::PlacementRequest request = fixture.makeRequest("w", PlainService, Start);
    request.excludedUpstreams = {core::UpstreamId("a")};
    REQUIRE(std::holds_alternative<routing::Refused>(fixture.dispatcher.requestPlacement(request, Start)));
    REQUIRE(fixture.dispatcher.queueLength() == 0);
}

TEST_CASE("a request is placed only in its allowed regions", "[dispatcher]")
{
    Fixture fixture({makeAnnouncement("a", Model)});
    routing::PlacementRequest request = fixture.makePromptRequest("w", 1, Start);
    request.allowedRegions = {core::RegionId("there")};
    REQUIRE(std::holds_alternative<routing::Refused>(fixture.dispatcher.requestPlacement(request, Start)));
    fixture.dispatcher.updateRemoteLoad(core::RegionId("there"), makeServiceLoad(Model, 0ms, 120), Start);
    const routing::PlacementDecision decision = fixture.dispatcher.requestPlacement(request, Start);
    REQUIRE(std::holds_alternative<routing::Redirected>(decision));
    request.id = routing::PlacementId("second hop");
    request.allowOtherRegions = false;
    REQUIRE(std::holds_alternative<routing::Refused>(fixture.dispatcher.requestPlacement(request, Start)));
}

TEST_CASE("a request is not placed by a configuration that is older than the dispatcher's", "[dispatcher][configuration]")
{
    enum class Moment {
        Request, // the dispatcher has the newer configuration when the request arrives
        Queue,   // it gets the configuration while the request waits
        Repeat,  // it gets the configuration after it has granted the request, and the requester repeats that
    };
    struct Row
    {
        const char *change;
        std::uint64_t requesterVersion;
        bool statesRoute; // one of an older release does not
        bool isPlaced;
    };
    const auto row = GENERATE(values<Row>({
        {"none", 1, true, true},
        {"none", 2, true, true},
        {"route dropped", 1, true, false},
        {"service moved", 1, true, false},
        {"region is no home", 1, true, false},
        {"route dropped", 3, true, true}, // the requester knows a newer configuration than the dispatcher
        {"service moved", 3, true, true},
        {"region is no home", 3, true, true},
        {"route dropped", 0, false, true},
    }));
    const auto moment = GENERATE(Moment::Request, Moment::Queue, Moment::Repeat);
    CAPTURE(row.change, row.requesterVersion, static_cast<int>(moment));
    Fixture fixture({makeAnnouncement("a", PlainService, "here-a", 1)});
    const auto setCatalog = [&](std::uint64_t version, const std::string &change) {
        catalog::Route route = fixture.catalog->routes().front();
        route.id = catalog::RouteId(change == "route dropped" ? "another" : "plain");
        route.trafficSplits = {catalog::TrafficSplit{change == "service moved" ? Model : PlainService, 1}};
        route.homeRegions = {core::RegionId(change == "region is no home" ? "there" : "here")};
        const std::vector services = {*fixture.catalog->findService(Model), *fixture.catalog->findService(PlainService)};
        fixture.catalog = std::make_shared<catalog::Catalog>(catalog::CatalogVersion(version), std::vector{route}, services, catalog::ClientLimits{});
    };
    setCatalog(1, "none");
    routing::PlacementRequest request = fixture.makeRequest("w", PlainService, Start);
    request.catalogVersion = catalog::CatalogVersion(row.requesterVersion);
    request.route = catalog::RouteId(row.statesRoute ? "plain" : "");
    request.allowedRegions = {core::RegionId("here")};
    routing::PlacementDecision decision;
    if (moment == Moment::Queue) {
        REQUIRE_FALSE(grantedUpstream(fixture.dispatcher.requestPlacement(fixture.makeRequest("running", PlainService, Start), Start)).empty());
        REQUIRE(std::holds_alternative<routing::Queued>(fixture.dispatcher.requestPlacement(request, Start)));
        setCatalog(2, row.change);
        fixture.dispatcher.recordCompletion(routing::PlacementId("running"), core::UpstreamId("a"), routing::SendOutcome::Completed, Start + 20ms);
        const auto deferred = fixture.dispatcher.processQueue(Start + 20ms);
        REQUIRE(deferred.size() == 1);
        decision = deferred.front().decision;
    } else {
        if (moment == Moment::Repeat) {
            REQUIRE_FALSE(grantedUpstream(fixture.dispatcher.requestPlacement(request, Start)).empty());
        }
        setCatalog(2, row.change);
        decision = fixture.dispatcher.requestPlacement(request, Start + 20ms);
    }
    CHECK(grantedUpstream(decision).empty() != row.isPlaced);
    CHECK(std::holds_alternative<routing::Refused>(decision) != row.isPlaced);
    CHECK(fixture.dispatcher.queueLength() == 0);
    if (!row.isPlaced) { // a grant that must not be used holds no place
        routing::PlacementRequest next = fixture.makeRequest("next", PlainService, Start + 40ms);
        CHECK_FALSE(grantedUpstream(fixture.dispatcher.requestPlacement(next, Start + 40ms)).empty());
    }
}

TEST_CASE("a request goes to another region only if that is a home by the newer of two configurations", "[dispatcher][configuration]")
{
    struct Row
    {
        std::uint64_t requesterVersion;
        bool isRedirected;
    };
    const auto row = GENERATE(values<Row>({{1, false}, {2, true}, {3, true}}));
    CAPTURE(row.requesterVersion);
    Fixture fixture({});
    catalog::Route route = fixture.catalog->routes().front();
    route.homeRegions = {core::RegionId("here")};
    const std::vector services = {*fixture.catalog->findService(Model)};
    fixture.catalog = std::make_shared<catalog::Catalog>(catalog::CatalogVersion(2), std::vector{route}, services, catalog::ClientLimits{});
    fixture.dispatcher.updateRemoteLoad(core::RegionId("there"), makeServiceLoad(Model, 0ms, 120), Start);
    routing::PlacementRequest request = fixture.makePromptRequest("w", 1, Start);
    request.route = route.id;
    request.catalogVersion = catalog::CatalogVersion(row.requesterVersion);
    CHECK(std::holds_alternative<routing::Redirected>(fixture.dispatcher.requestPlacement(request, Start)) == row.isRedirected);
}

TEST_CASE("urgent requests overtake queued ones, and those past their latency deadline come last", "[dispatcher]")
{
    Fixture fixture({makeAnnouncement("a", PlainService, "here-a", 1)});
    REQUIRE_FALSE(grantedUpstream(fixture.dispatcher.requestPlacement(fixture.makeRequest("running", PlainService, Start), Start)).empty());
    routing::PlacementRequest late = fixture.makeRequest("late", PlainService, Start);
    late.latencyDeadline = Start - 1ms;
    routing::PlacementRequest plain = fixture.makeRequest("plain", PlainService, Start);
    plain.priority = 2;
    routing::PlacementRequest urgent = fixture.makeRequest("urgent", PlainService, Start);
    for (const routing::PlacementRequest *request : {&late, &plain, &urgent}) {
        REQUIRE(std::holds_alternative<routing::Queued>(fixture.dispatcher.requestPlacement(*request, Start)));
    }
    std::vector<std::string> order;
    core::TimePoint now = Start;
    std::string running = "running";
    for (int i = 0; i < 3; ++i) {
        now += 20ms;
        fixture.dispatcher.recordCompletion(routing::PlacementId(running), core::UpstreamId("a"), routing::SendOutcome::Completed, now);
        const auto deferred = fixture.dispatcher.processQueue(now);
        REQUIRE(deferred.size() == 1);
        running = deferred.front().id.text;
        order.push_back(running);
    }
    REQUIRE(order == std::vector<std::string>{"urgent", "plain", "late"});
}

TEST_CASE("a queued request is refused when its response deadline can no longer be met", "[dispatcher]")
{
    Fixture fixture({makeAnnouncement("a", PlainService, "here-a", 1)});
    REQUIRE_FALSE(grantedUpstream(fixture.dispatcher.requestPlacement(fixture.makeRequest("running", PlainService, Start), Start)).empty());
    routing::PlacementRequest request = fixture.makeRequest("w", PlainService, Start);
    request.responseDeadline = Start + 300ms;
    REQUIRE(std::holds_alternative<routing::Queued>(fixture.dispatcher.requestPlacement(request, Start)));
    REQUIRE(fixture.dispatcher.processQueue(Start + 200ms).empty());
    const auto deferred = fixture.dispatcher.processQueue(Start + 320ms);
    REQUIRE(deferred.size() == 1);
    REQUIRE(std::holds_alternative<routing::Refused>(deferred.front().decision));
    REQUIRE(fixture.dispatcher.queueLength() == 0);
}

TEST_CASE("a request that would be served too late is refused as soon as that is predicted", "[dispatcher]")
{
    Fixture fixture({makeAnnouncement("a", Model)});
    int refused = 0;
    int waiting = 0;
    for (int i = 0; i < 60; ++i) { // 11.7 s of prefill, of which 4 s fit before the response deadline
        const routing::PlacementDecision decision =
            fixture.dispatcher.requestPlacement(fixture.makePromptRequest("w" + std::to_string(i), 100 + static_cast<std::uint64_t>(i), Start), Start);
        refused += std::holds_alternative<routing::Refused>(decision) ? 1 : 0;
        waiting += std::holds_alternative<routing::Queued>(decision) ? 1 : 0;
    }
    const auto deferred = fixture.dispatcher.processQueue(Start + 20ms); // queued before requests of higher precedence arrived
    REQUIRE(std::all_of(
        deferred.begin(), deferred.end(), [](const routing::DeferredDecision &item) { return std::holds_alternative<routing::Refused>(item.decision); }));
    refused += static_cast<int>(deferred.size());
    waiting -= static_cast<int>(deferred.size());
    CHECK(refused >= 38);
    CHECK(waiting >= 17);
}

TEST_CASE("while engines are slower than expected, the measured placement rate decides which requests are refused", "[dispatcher]")
{
    Fixture fixture({makeAnnouncement("a", Model)});
    for (int i = 0; i < 18; ++i) { // 3.5 s of prefill
        (void)fixture.dispatcher.requestPlacement(fixture.makePromptRequest("w" + std::to_string(i), 100 + static_cast<std::uint64_t>(i), Start), Start);
    }
    int refused = 0;
    for (core::TimePoint now = Start; now < Start + 1s; now += 20ms) { // the engine sends no response
        for (const routing::DeferredDecision &item : fixture.dispatcher.processQueue(now)) {
            refused += std::holds_alternative<routing::Refused>(item.decision) ? 1 : 0;
        }
    }
    CHECK(refused >= 8);
}

TEST_CASE("precedence of two queued requests", "[dispatcher]")
{
    struct Row
    {
        const char *name;
        std::uint64_t firstPrefix; // prefix 1 is cached
        std::uint64_t secondPrefix;
        core::Duration firstTimeLeft; // until the latency deadline
        core::Duration secondTimeLeft;
        const char *expectedFirst;
    };
    const auto row = GENERATE(values<Row>({
        {"the one that is mostly cached", 50, 1, 900ms, 900ms, "second"},
        {"neither cached: the earlier latency deadline", 50, 51, 900ms, 800ms, "second"},
        {"one that can meet its deadline before one that cannot after its prefill", 50, 51, 150ms, 900ms, "second"},
        {"both cached: the earlier latency deadline", 1, 1, 700ms, 800ms, "first"},
    }));
    CAPTURE(row.name);
    Fixture fixture({makeAnnouncement("a", Model)});
    REQUIRE_FALSE(grantedUpstream(fixture.dispatcher.requestPlacement(fixture.makePromptRequest("running", 1, Start), Start)).empty());
    routing::PlacementRequest first = fixture.makePromptRequest("first", row.firstPrefix, Start);
    first.latencyDeadline = Start + row.firstTimeLeft;
    routing::PlacementRequest second = fixture.makePromptRequest("second", row.secondPrefix, Start);
    second.latencyDeadline = Start + row.secondTimeLeft;
    REQUIRE(std::holds_alternative<routing::Queued>(fixture.dispatcher.requestPlacement(first, Start)));
    REQUIRE(std::holds_alternative<routing::Queued>(fixture.dispatcher.requestPlacement(second, Start)));
    const core::TimePoint now = Start + 100ms;
    fixture.dispatcher.recordFirstEvent(routing::PlacementId("running"), core::UpstreamId("a"), 100ms, now);
    fixture.dispatcher.recordCompletion(routing::PlacementId("running"), core::UpstreamId("a"), routing::SendOutcome::Completed, now);
    const auto deferred = fixture.dispatcher.processQueue(now + 40ms);
    REQUIRE(deferred.size() == 1);
    CHECK(deferred.front().id.text == row.expectedFirst);
}

TEST_CASE("a cold upstream gets requests at its configured rate, and only from the dispatcher of the region", "[dispatcher]")
{
    constexpr double PerSecond = 1.7;
    const double reachableRatio = GENERATE(1.0, 0.5);
    routing::Announcement cold = makeAnnouncement("a", Model);
    cold.coldRemaining = 60s;
    Fixture fixture({cold}, PerSecond);
    fixture.dispatcher.setDispatcherRole(true, reachableRatio, Start);
    std::deque<core::TimePoint> sentAt;
    std::size_t maxPerSecond = 0;
    int number = 0;
    for (core::TimePoint now = Start; now < Start + 20s; now += 10ms) {
        const routing::PlacementRequest request = fixture.makePromptRequest("w" + std::to_string(number++), 1, now);
        if (!grantedUpstream(fixture.dispatcher.requestPlacement(request, now)).empty()) {
            sentAt.push_back(now);
            fixture.dispatcher.recordCompletion(request.id, core::UpstreamId("a"), routing::SendOutcome::Completed, now);
        } else {
            fixture.dispatcher.cancel(request.id);
        }
        while (!sentAt.empty() && now - sentAt.front() >= 1s) {
            sentAt.pop_front();
        }
        maxPerSecond = std::max(maxPerSecond, sentAt.size());
    }
    CHECK(maxPerSecond >= 1);
    CHECK(maxPerSecond <= 2 * reachableRatio + 0.5); // two dispatchers at once then stay below 1.5 * PerSecond + 3
    fixture.dispatcher.setDispatcherRole(false, reachableRatio, Start + 21s);
    REQUIRE(grantedUpstream(fixture.dispatcher.requestPlacement(fixture.makePromptRequest("without role", 1, Start + 30s), Start + 30s)).empty());
}

TEST_CASE("a new dispatcher waits before it uses cold upstreams", "[dispatcher]")
{
    routing::Announcement cold = makeAnnouncement("a", Model);
    cold.coldRemaining = 60s;
    Fixture fixture({cold}, 1.7);
    fixture.dispatcher.setDispatcherRole(false, 1, Start);
    fixture.dispatcher.setDispatcherRole(true, 1, Start + 5s);
    REQUIRE(grantedUpstream(fixture.dispatcher.requestPlacement(fixture.makePromptRequest("early", 1, Start + 5500ms), Start + 5500ms)).empty());
    fixture.dispatcher.cancel(routing::PlacementId("early"));
    REQUIRE_FALSE(grantedUpstream(fixture.dispatcher.requestPlacement(fixture.makePromptRequest("then", 1, Start + 6100ms), Start + 6100ms)).empty());
}

TEST_CASE("an upstream that names a rate gets requests at that rate, and only from the dispatcher of the region", "[dispatcher]")
{
    struct Row
    {
        const char *name;
        bool hasRole;
        double reachableRatio;
        core::Duration roleHeldFor;
        double rate;
        std::size_t minGrants; // in 10 s
        std::size_t maxGrants;
    };
    const auto row = GENERATE(values<Row>({
        {"dispatcher", true, 1, 10s, 2, 18, 21},
        {"a fraction of a request a second", true, 1, 10s, 0.5, 4, 6},
        {"part of the region is unreachable", true, 1.0 / 3, 10s, 3, 9, 11},
        {"new dispatcher: half of the rate for 4 s", true, 1, 0s, 2, 15, 17},
        {"not the dispatcher", false, 1, 10s, 2, 0, 0},
    }));
    CAPTURE(row.name);
    Fixture fixture({makeAnnouncement("a", PlainService, "here-a", 100)});
    fixture.dispatcher.setDispatcherRole(false, 1, Start - row.roleHeldFor);
    fixture.dispatcher.setDispatcherRole(row.hasRole, row.reachableRatio, Start - row.roleHeldFor);
    fixture.dispatcher.setMaxRequestRate(core::UpstreamId("a"), row.rate, Start);
    std::size_t grants = 0;
    for (auto at = 0ms; at < 10s; at += 20ms) {
        const core::TimePoint now = Start + at;
        fixture.dispatcher.setDispatcherRole(row.hasRole, row.reachableRatio, now);
        routing::PlacementRequest request = fixture.makeRequest("w" + std::to_string(at.count()), PlainService, now);
        const routing::PlacementDecision decision = fixture.dispatcher.requestPlacement(request, now);
        fixture.dispatcher.cancel(request.id);
        if (!grantedUpstream(decision).empty()) {
            ++grants;
            fixture.dispatcher.recordCompletion(request.id, core::UpstreamId("a"), routing::SendOutcome::Completed, now);
        }
    }
    CHECK(grants >= row.minGrants);
    CHECK(grants <= row.maxGrants);
}

TEST_CASE("a rate below what affinity sends to an upstream moves the requests to others, and ends with the limit", "[dispatcher]")
{
    Fixture fixture({makeAnnouncement("a", Model), makeAnnouncement("b", Model)});
    core::TimePoint now = Start;
    std::map<std::string, int> grants;
    const auto place = [&](int count) {
        for (int i = 0; i < count; ++i) {
            const routing::PlacementRequest request = fixture.makePromptRequest("w" + std::to_string(core::toMilliseconds(now - Start)), 1, now);
            const std::string upstream = grantedUpstream(fixture.dispatcher.requestPlacement(request, now));
            REQUIRE_FALSE(upstream.empty());
            ++grants[upstream];
            now += 200ms;
            fixture.dispatcher.recordFirstEvent(request.id, core::UpstreamId(upstream), 100ms, now);
            fixture.dispatcher.recordCompletion(request.id, core::UpstreamId(upstream), routing::SendOutcome::Completed, now);
            now += 100ms;
        }
    };
    place(10);
    REQUIRE(grants.size() == 1);
    const std::string preferred = grants.begin()->first;
    fixture.dispatcher.setMaxRequestRate(core::UpstreamId(preferred), 0.5, now);
    grants.clear();
    place(20); // 6 s
    CHECK(grants[preferred] <= 4);
    CHECK(grants[preferred] >= 1);
    fixture.dispatcher.setMaxRequestRate(core::UpstreamId(preferred), std::nullopt, now);
    for (int i = 0; i < 10; ++i) { // only the formerly limited upstream may serve these
        routing::PlacementRequest request = fixture.makePromptRequest("x" + std::to_string(i), 1, now);
        request.excludedUpstreams = {core::UpstreamId(preferred == "a" ? "b" : "a")};
        CHECK(grantedUpstream(fixture.dispatcher.requestPlacement(request, now)) == preferred);
        now += 300ms;
    }
}

TEST_CASE("if all upstreams name low rates, what cannot be served in time is refused at once", "[dispatcher]")
{
    Fixture fixture({makeAnnouncement("a", PlainService), makeAnnouncement("b", PlainService)});
    for (const char *id : {"a", "b"}) {
        fixture.dispatcher.setMaxRequestRate(core::UpstreamId(id), 1, Start);
    }
    std::size_t granted = 0;
    std::size_t queued = 0;
    std::size_t refused = 0;
    for (int i = 0; i < 60; ++i) {
        const routing::PlacementDecision decision =
            fixture.dispatcher.requestPlacement(fixture.makeRequest("w" + std::to_string(i), PlainService, Start), Start);
        granted += std::holds_alternative<routing::Granted>(decision) ? 1 : 0;
        queued += std::holds_alternative<routing::Queued>(decision) ? 1 : 0;
        if (const auto *refusal = std::get_if<routing::Refused>(&decision)) {
            ++refused;
            CHECK(refusal->reason == routing::RefusalReason::Overloaded);
            CHECK(refusal->retryAfter >= 1s); // half of a wait of about 4 s
        }
    }
    CHECK(granted == 2);
    CHECK(queued <= 8); // two a second until the response deadline, 4 s
    CHECK(refused >= 50);
}

TEST_CASE("a failing upstream is ejected, and then probed by one request at a time", "[dispatcher]")
{
    const auto outcome =
        GENERATE(routing::SendOutcome::Incomplete, routing::SendOutcome::TimedOut, routing::SendOutcome::Rejected, routing::SendOutcome::ServerError);
    CAPTURE(routing::toString(outcome));
    Fixture fixture({makeAnnouncement("a", PlainService, "here-a", 6), makeAnnouncement("b", PlainService, "here-a", 6)});
    core::TimePoint now = Start;
    int failures = 0;
    for (int i = 0; i < 40; ++i) {
        const routing::PlacementRequest request = fixture.makeRequest("w" + std::to_string(i), PlainService, now);
        const std::string upstream = grantedUpstream(fixture.dispatcher.requestPlacement(request, now));
        REQUIRE_FALSE(upstream.empty());
        now += 10ms;
        const bool failed = upstream == "a";
        failures += failed ? 1 : 0;
        fixture.dispatcher.recordCompletion(request.id, core::UpstreamId(upstream), failed ? outcome : routing::SendOutcome::Completed, now);
    }
    CHECK(failures <= 6); // three consecutive failures, then an ejection of half a second
}

TEST_CASE("a request whose requester has lost paths goes to an upstream that it reaches, or through a relay that reaches one", "[dispatcher][paths]")
{
    struct Row
    {
        const char *name;
        std::set<core::UpstreamId> ownLosses;
        std::map<std::string, std::set<core::UpstreamId>> otherLosses; // by instance
        bool mayRelay;
        std::string decision;
    };
    const core::UpstreamId a("a");
    const core::UpstreamId b("b");
    const auto row = GENERATE_COPY(values<Row>({
        {"no losses", {}, {}, true, "granted"},
        {"one of two lost", {a}, {}, true, "granted b"},
        {"all lost", {a, b}, {}, true, "relay near"},
        {"all lost, the near instance too", {a, b}, {{"near", {a, b}}}, true, "relay far"},
        {"all lost, the near instance has lost the best one", {a, b}, {{"near", {a}}}, true, "relay far"},
        {"all lost everywhere", {a, b}, {{"near", {a, b}}, {"far", {a, b}}}, true, "refused"},
        {"a request of a relay that has lost all itself", {a, b}, {}, false, "refused"},
        {"others have lost all, the requester nothing", {}, {{"near", {a, b}}, {"far", {a, b}}}, true, "granted"},
    }));
    CAPTURE(row.name);
    Fixture fixture({makeAnnouncement("a", PlainService), makeAnnouncement("b", PlainService)});
    fixture.dispatcher.setInstances({{core::InstanceId("n"), core::DomainId("here-a"), 1},
                                     {core::InstanceId("near"), core::DomainId("here-a"), 1},
                                     {core::InstanceId("far"), core::DomainId("here-b"), 1}});
    for (const auto &[instance, losses] : row.otherLosses) {
        fixture.dispatcher.recordUnreachable(core::InstanceId(instance), losses, Start);
    }
    routing::PlacementRequest request = fixture.makeRequest("r", PlainService, Start);
    request.unreachableUpstreams = row.ownLosses;
    request.allowOtherRegions = row.mayRelay;
    const std::string decision =
        std::visit(core::Overloaded{
                       [&](const routing::Granted &granted) { return row.decision == "granted" ? std::string("granted") : "granted " + granted.upstream.text; },
                       [](const routing::Redirected &redirected) { return "relay " + redirected.relay.text; },
                       [](const routing::Queued &) { return std::string("queued"); },
                       [](const routing::Refused &) { return std::string("refused"); },
                   },
                   fixture.dispatcher.requestPlacement(request, Start));
    CHECK(decision == row.decision);
    const auto loads = fixture.dispatcher.serviceLoads(Start);
    const std::uint32_t usable = loads.empty() ? 0 : loads.front().usableUpstreams;
    CHECK(usable == (row.decision == "refused" && row.mayRelay ? 0 : 2));
}

TEST_CASE("instances without paths keep no upstream from those that have one", "[dispatcher][paths]")
{
    const auto cutCount = GENERATE(1, 5, 30);
    Fixture fixture({makeAnnouncement("a", PlainService)});
    core::TimePoint now = Start;
    for (int i = 0; i < 20; ++i) {
        now += 50ms;
        for (int instance = 0; instance < cutCount; ++instance) {
            const std::string id = std::to_string(i) + "-" + std::to_string(instance);
            fixture.dispatcher.recordCompletion(routing::PlacementId(id), core::UpstreamId("a"), routing::SendOutcome::NoPath, now);
            fixture.dispatcher.recordUnreachable(core::InstanceId("cut-" + std::to_string(instance)), {core::UpstreamId("a")}, now);
        }
        const routing::PlacementId sound("sound-" + std::to_string(i));
        REQUIRE(grantedUpstream(fixture.dispatcher.requestPlacement(fixture.makeRequest(sound.text, PlainService, now), now)) == "a");
        fixture.dispatcher.recordCompletion(sound, core::UpstreamId("a"), routing::SendOutcome::Completed, now + 10ms);
    }
}

TEST_CASE("a loss that is not reported again counts as found", "[dispatcher][paths]")
{
    Fixture fixture({makeAnnouncement("a", PlainService)});
    const routing::DispatcherSettings settings;
    fixture.dispatcher.setInstances({{core::InstanceId("n"), core::DomainId("here-a"), 1}});
    fixture.dispatcher.recordUnreachable(core::InstanceId("n"), {core::UpstreamId("a")}, Start);
    CHECK(fixture.dispatcher.serviceLoads(Start + settings.pathReportTimeout).empty());
    CHECK(fixture.dispatcher.serviceLoads(Start + settings.pathReportTimeout + 1ms).front().usableUpstreams == 1);
}

TEST_CASE("requests in flight that are no longer reported expire", "[dispatcher]")
{
    Fixture fixture({makeAnnouncement("a", PlainService, "here-a", 1)});
    REQUIRE_FALSE(grantedUpstream(fixture.dispatcher.requestPlacement(fixture.makeRequest("lost", PlainService, Start), Start)).empty());
    REQUIRE(std::holds_alternative<routing::Queued>(fixture.dispatcher.requestPlacement(fixture.makeRequest("w", PlainService, Start), Start)));
    core::TimePoint now = Start + 1'100ms;
    REQUIRE(std::holds_alternative<routing::Queued>(fixture.dispatcher.requestPlacement(fixture.makeRequest("w", PlainService, Start), now)));
    const auto deferred = fixture.dispatcher.processQueue(now + 200ms);
    REQUIRE(deferred.size() == 1);
    REQUIRE(grantedUpstream(deferred.front().decision) == "a");
}

TEST_CASE("a new dispatcher learns from reports which requests are in flight", "[dispatcher]")
{
    Fixture fixture({makeAnnouncement("a", PlainService, "here-a", 1)});
    fixture.dispatcher.recordInFlight(core::InstanceId("n"), {routing::ReportedRequest{routing::PlacementId("old"), core::UpstreamId("a"), 30ms, 0}}, Start);
    REQUIRE(std::holds_alternative<routing::Queued>(fixture.dispatcher.requestPlacement(fixture.makeRequest("w", PlainService, Start), Start)));
    fixture.dispatcher.recordCompletion(routing::PlacementId("old"), core::UpstreamId("a"), routing::SendOutcome::Completed, Start + 20ms);
    REQUIRE(fixture.dispatcher.processQueue(Start + 20ms).size() == 1);
}

TEST_CASE("an engine's speed is learned from latencies measured by the senders, not from the arrival of their reports", "[dispatcher]")
{
    struct Row
    {
        const char *name;
        bool granted; // by this dispatcher; otherwise known only from a report
        core::Duration latency;
        double minRate; // expected bounds of the learned prefill rate, in tokens per millisecond
        double maxRate;
    };
    const auto row = GENERATE(values<Row>({
        {"as predicted, reported late", true, 200ms, 30, 45},
        {"four times the predicted latency", true, 800ms, 2, 20},
        {"granted by a previous dispatcher", false, 800ms, 35.9, 36.1},
    }));
    CAPTURE(row.name);
    Fixture fixture({makeAnnouncement("a", Model)});
    const core::UpstreamId upstream("a");
    core::TimePoint now = Start;
    for (int i = 0; i < 30; ++i) {
        const routing::PlacementRequest request = fixture.makePromptRequest("w" + std::to_string(i), 100 + static_cast<std::uint64_t>(i), now);
        if (row.granted) {
            REQUIRE(grantedUpstream(fixture.dispatcher.requestPlacement(request, now)) == "a");
        } else {
            fixture.dispatcher.recordInFlight(core::InstanceId("n"), {routing::ReportedRequest{request.id, upstream, std::nullopt, 1'000}}, now);
        }
        now += 2s; // reports of a busy node may be this late
        fixture.dispatcher.recordInFlight(core::InstanceId("n"), {routing::ReportedRequest{request.id, upstream, row.latency, 1'000}}, now);
        fixture.dispatcher.recordCompletion(request.id, upstream, routing::SendOutcome::Completed, now);
    }
    const double rate = fixture.dispatcher.estimators().at(upstream).prefillRate();
    CHECK(rate >= row.minRate);
    CHECK(rate <= row.maxRate);
}

TEST_CASE("another region is chosen only if it is clearly better", "[dispatcher]")
{
    struct Row
    {
        int running; // long prompts granted locally before
        core::Duration remoteQueueDelay;
        bool redirected;
    };
    const auto row = GENERATE(values<Row>({{0, 0ms, false}, {40, 0ms, true}, {40, 3s, true}, {40, 5s, false}, {40, 9s, false}}));
    Fixture fixture({makeAnnouncement("a", Model)});
    for (int i = 0; i < row.running; ++i) {
        (void)fixture.dispatcher.requestPlacement(fixture.makePromptRequest("r" + std::to_string(i), 100 + static_cast<std::uint64_t>(i), Start), Start);
    }
    fixture.dispatcher.updateRemoteLoad(core::RegionId("there"), makeServiceLoad(Model, row.remoteQueueDelay, 120), Start);
    const routing::PlacementDecision decision = fixture.dispatcher.requestPlacement(fixture.makePromptRequest("w", 1, Start + 10ms), Start + 10ms);
    REQUIRE(std::holds_alternative<routing::Redirected>(decision) == row.redirected);
}

TEST_CASE("outdated load of another region is ignored", "[dispatcher]")
{
    Fixture fixture({});
    fixture.dispatcher.updateRemoteLoad(core::RegionId("there"), makeServiceLoad(Model, 0ms, 120), Start);
    REQUIRE(std::holds_alternative<routing::Redirected>(fixture.dispatcher.requestPlacement(fixture.makePromptRequest("w", 1, Start), Start)));
    REQUIRE(std::holds_alternative<routing::Refused>(fixture.dispatcher.requestPlacement(fixture.makePromptRequest("x", 1, Start + 2s), Start + 2s)));
}

TEST_CASE("a stream that has begun is placed only at upstreams of its software version", "[dispatcher]")
{
    const routing::SoftwareVersion old("v1");
    const routing::SoftwareVersion recent("v2");
    enum class Decision { Here, There, Queued, NoUpstream, Gone };
    struct Row
    {
        const char *name;
        std::vector<routing::SoftwareVersion> here; // versions of the upstreams of this region
        bool isHereExcluded;
        std::vector<routing::SoftwareVersion> there; // versions of the other region's upstreams
        bool isThereReported;                        // the other region has reported its load
        bool isHereBusy;
        Decision expected;
        core::Duration knownFor = 2s; // the upstreams; the load of the other region is reported again
    };
    const auto row = GENERATE_COPY(values<Row>({
        {"one of many", {recent, old, recent, recent}, false, {}, false, false, Decision::Here},
        {"one that is busy, others are free", {recent, old, recent}, false, {}, false, true, Decision::Queued},
        {"none here", {recent, recent}, false, {recent, old}, true, false, Decision::There},
        {"only the one that failed here", {recent, old}, true, {old}, true, false, Decision::There},
        {"the other region has others", {recent, old}, true, {recent}, true, false, Decision::NoUpstream},
        {"the other region has one and is silent", {recent}, false, {old}, false, false, Decision::NoUpstream},
        {"the other region has one that its report may lack yet", {recent}, false, {old}, false, false, Decision::Queued, 1400ms},
        {"none left", {recent, recent}, false, {recent}, true, false, Decision::Gone},
    }));
    CAPTURE(row.name);
    std::vector<routing::Announcement> announcements;
    const auto announce = [&](const std::string &prefix, const std::vector<routing::SoftwareVersion> &versions, const std::string &domain) {
        for (std::size_t i = 0; i < versions.size(); ++i) {
            announcements.push_back(makeAnnouncement(prefix + std::to_string(i), Model, domain));
            announcements.back().version = versions[i];
        }
    };
    announce("h", row.here, "here-a");
    announce("t", row.there, "there-a");
    Fixture fixture(announcements);
    const core::TimePoint now = Start + row.knownFor;
    if (row.isThereReported) {
        routing::ServiceLoad load = makeServiceLoad(Model, 0ms, 120);
        for (const routing::SoftwareVersion &version : row.there) {
            load.versions.push_back(routing::VersionLoad{version, 1, 0ms});
        }
        fixture.dispatcher.updateRemoteLoad(core::RegionId("there"), load, now);
    }
    if (row.isHereBusy) {
        routing::PlacementRequest running = fixture.makePromptRequest("running", 7, now);
        running.requiredVersion = old;
        REQUIRE(grantedUpstream(fixture.dispatcher.requestPlacement(running, now)) == "h1");
    }
    routing::PlacementRequest request = fixture.makePromptRequest("w", 1, now);
    request.requiredVersion = old;
    if (row.isHereExcluded) {
        request.excludedUpstreams = {core::UpstreamId("h1")};
    }
    const Decision decision = std::visit(
        core::Overloaded{
            [&](const routing::Granted &granted) {
                CHECK(granted.version == old);
                return Decision::Here;
            },
            [](const routing::Queued &) { return Decision::Queued; },
            [](const routing::Redirected &) { return Decision::There; },
            [](const routing::Refused &refused) { return refused.reason == routing::RefusalReason::VersionGone ? Decision::Gone : Decision::NoUpstream; },
        },
        fixture.dispatcher.requestPlacement(request, now));
    CHECK(decision == row.expected);
}

TEST_CASE("a stream that has begun goes before new ones in the queue", "[dispatcher]")
{
    Fixture fixture({makeAnnouncement("a", Model)});
    REQUIRE_FALSE(grantedUpstream(fixture.dispatcher.requestPlacement(fixture.makePromptRequest("running", 1, Start), Start)).empty());
    const routing::PlacementRequest fresh = fixture.makePromptRequest("fresh", 1, Start); // its prompt is cached, and it can still be on time
    routing::PlacementRequest resumed = fixture.makePromptRequest("resumed", 50, Start);
    resumed.latencyDeadline = Start;
    resumed.requiredVersion = routing::SoftwareVersion();
    REQUIRE(std::holds_alternative<routing::Queued>(fixture.dispatcher.requestPlacement(fresh, Start)));
    REQUIRE(std::holds_alternative<routing::Queued>(fixture.dispatcher.requestPlacement(resumed, Start)));
    const core::TimePoint now = Start + 200ms;
    fixture.dispatcher.recordFirstEvent(routing::PlacementId("running"), core::UpstreamId("a"), 200ms, now);
    fixture.dispatcher.recordCompletion(routing::PlacementId("running"), core::UpstreamId("a"), routing::SendOutcome::Completed, now);
    const auto deferred = fixture.dispatcher.processQueue(now + 40ms);
    REQUIRE(deferred.size() == 1);
    CHECK(deferred.front().id.text == "resumed");
}

TEST_CASE("a dispatcher reports the usable upstreams of each software version", "[dispatcher]")
{
    std::vector<routing::Announcement> announcements;
    for (const char *version : {"v1", "v2", "v1"}) {
        announcements.push_back(makeAnnouncement("u" + std::to_string(announcements.size()), Model));
        announcements.back().version = routing::SoftwareVersion(version);
    }
    Fixture fixture(announcements);
    const auto loads = fixture.dispatcher.serviceLoads(Start);
    REQUIRE(loads.size() == 1);
    CHECK(loads.front().versions
          == std::vector{routing::VersionLoad{routing::SoftwareVersion("v1"), 2, 0ms}, routing::VersionLoad{routing::SoftwareVersion("v2"), 1, 0ms}});
}

//-----------------------------------------------------------------------------
// Records of streams
//-----------------------------------------------------------------------------

TEST_CASE("the first record of a stream stays until it expires or too many follow", "[streams]")
{
    routing::StreamRecords records(routing::StreamRecordsSettings{10s, 3});
    const auto makeRecord = [](const std::string &id, const std::string &version) {
        return routing::StreamRecord{routing::StreamId(id), routing::StreamOrigin{Model, routing::SoftwareVersion(version)}, Start};
    };
    CHECK(records.add(makeRecord("a", "v1"), Start));
    CHECK_FALSE(records.add(makeRecord("a", "v2"), Start + 1s));
    CHECK_FALSE(records.add(makeRecord("", "v1"), Start));
    REQUIRE(records.find(routing::StreamId("a")) != nullptr);
    CHECK(records.find(routing::StreamId("a"))->origin.version == routing::SoftwareVersion("v1"));
    CHECK(records.find(routing::StreamId("b")) == nullptr);
    for (const char *id : {"b", "c", "d"}) {
        CHECK(records.add(makeRecord(id, "v1"), Start + 2s));
    }
    CHECK(records.size() == 3);
    CHECK(records.find(routing::StreamId("a")) == nullptr);
    records.expire(Start + 12s + 1ms);
    CHECK(records.size() == 0);
}

TEST_CASE("a service has one version only if all of its upstreams had it, those that are gone included", "[streams]")
{
    struct Row
    {
        std::vector<std::string> removed;
        std::vector<std::string> present;
        std::optional<std::string> sole;
    };
    const auto row = GENERATE(values<Row>({
        {{}, {}, std::nullopt},
        {{}, {"v1", "v1"}, "v1"},
        {{}, {"v1", "v2"}, std::nullopt},
        {{"v1"}, {"v2", "v2"}, std::nullopt},
        {{"v1"}, {"v1"}, "v1"},
        {{}, {"", ""}, ""},
    }));
    routing::UpstreamRegistry registry;
    std::vector<routing::Announcement> announcements;
    const auto announce = [&](const std::vector<std::string> &versions, const std::string &prefix) {
        for (std::size_t i = 0; i < versions.size(); ++i) {
            announcements.push_back(makeAnnouncement(prefix + std::to_string(i), Model));
            announcements.back().version = routing::SoftwareVersion(versions[i]);
        }
    };
    announce(row.removed, "r");
    registry.applySnapshot(routing::SnapshotRevision(1), announcements, false, Start);
    announcements = {makeAnnouncement("other", PlainService)};
    announcements.back().version = routing::SoftwareVersion("v9");
    announce(row.present, "p");
    registry.applySnapshot(routing::SnapshotRevision(2), announcements, false, Start + 1s);
    const auto sole = routing::soleVersion(registry, Model);
    CHECK(sole.has_value() == row.sole.has_value());
    CHECK((!sole || sole->text == *row.sole));
}

//-----------------------------------------------------------------------------
// Load patterns
//-----------------------------------------------------------------------------

namespace {

/// Engines that prefill prompts one after another at 40 tokens per millisecond and never evict shared parts.
class SimulatedEngines
{
public:
    explicit SimulatedEngines(std::size_t count)
        : m_freeAt(count, Start)
        , m_cached(count)
    {
    }

    /// Returns the time of the first event of a prompt sent now.
    core::TimePoint prefill(std::size_t engine, const routing::PlacementRequest &request, core::TimePoint now)
    {
        const bool cached = !m_cached[engine].insert(request.prompt.front().prefixHash).second;
        const std::uint32_t tokens = request.promptTokens - (cached ? request.prompt.front().tokens : 0);
        m_prefilledTokens += tokens;
        m_freeAt[engine] = std::max(m_freeAt[engine], now) + std::chrono::microseconds(tokens * 25);
        return m_freeAt[engine];
    }
    [[nodiscard]] std::uint64_t prefilledTokens() const
    {
        return m_prefilledTokens;
    }

private:
    std::vector<core::TimePoint> m_freeAt;
    std::vector<std::set<std::uint64_t>> m_cached;
    std::uint64_t m_prefilledTokens = 0;
};

struct SimulationResult
{
    int onTime = 0;
    std::uint64_t prefilledTokens = 0;
};

constexpr std::size_t Engines = 4;
constexpr int Requests = 1'500;
constexpr auto ArrivalInterval = 20ms; // 50 per second: 80% of the capacity if each shared part is prefilled once, 220% if it is prefilled every time
constexpr std::uint64_t SharedPrefixes = 60;
const core::TimePoint WarmUpEnd = Start + 6s; // each shared part has to be prefilled once: 2.6 s of all engines before everything is cached
constexpr int RequestsAfterWarmUp = Requests - 300;

SimulationResult simulateDispatcher()
{
    std::vector<routing::Announcement> announcements;
    for (std::size_t i = 0; i < Engines; ++i) {
        announcements.push_back(makeAnnouncement(std::to_string(i), Model));
    }
    Fixture fixture(announcements);
    SimulatedEngines engines(Engines);
    pcg32 random(7);
    SimulationResult result;
    std::map<core::TimePoint, std::tuple<routing::PlacementRequest, std::string, core::TimePoint>>
        running; // by time of the first event; the last element is the send time
    std::map<routing::PlacementId, routing::PlacementRequest> waiting;
    const auto send = [&](const routing::PlacementRequest &request, const std::string &upstream, core::TimePoint now) {
        core::TimePoint firstEventAt = engines.prefill(std::stoul(upstream), request, now);
        result.onTime += now >= WarmUpEnd && firstEventAt <= request.latencyDeadline ? 1 : 0;
        while (running.contains(firstEventAt)) {
            firstEventAt += 1us;
        }
        running[firstEventAt] = {request, upstream, now};
    };
    const core::TimePoint end = Start + Requests * ArrivalInterval + 5s;
    int number = 0;
    for (core::TimePoint now = Start; now < end; now += 5ms) {
        while (!running.empty() && running.begin()->first <= now) {
            const auto [request, upstream, sentAt] = running.begin()->second;
            fixture.dispatcher.recordFirstEvent(request.id, core::UpstreamId(upstream), std::chrono::duration_cast<core::Duration>(now - sentAt), now);
            fixture.dispatcher.recordCompletion(request.id, core::UpstreamId(upstream), routing::SendOutcome::Completed, now);
            running.erase(running.begin());
        }
        if ((now - Start) % ArrivalInterval == 0us && number < Requests) {
            const routing::PlacementRequest request = fixture.makePromptRequest("w" + std::to_string(number++), 1 + random(SharedPrefixes), now);
            const routing::PlacementDecision decision = fixture.dispatcher.requestPlacement(request, now);
            if (const std::string upstream = grantedUpstream(decision); !upstream.empty()) {
                send(request, upstream, now);
            } else if (std::holds_alternative<routing::Queued>(decision)) {
                waiting[request.id] = request;
            }
        }
        for (const auto &[id, request] : waiting) {
            (void)fixture.dispatcher.requestPlacement(request, now); // nodes repeat their placement requests
        }
        for (const routing::DeferredDecision &item : fixture.dispatcher.processQueue(now)) {
            if (const std::string upstream = grantedUpstream(item.decision); !upstream.empty() && waiting.contains(item.id)) {
                send(waiting[item.id], upstream, now);
            }
            waiting.erase(item.id);
        }
    }
    result.prefilledTokens = engines.prefilledTokens();
    return result;
}

/// Baseline without a queue: sends each request at once to the engine with the fewest requests in flight.
SimulationResult simulateLeastInFlight()
{
    Fixture fixture({});
    SimulatedEngines engines(Engines);
    pcg32 random(7);
    SimulationResult result;
    std::vector<std::multiset<core::TimePoint>> inFlight(Engines);
    for (int number = 0; number < Requests; ++number) {
        const core::TimePoint now = Start + number * ArrivalInterval;
        std::size_t best = 0;
        for (std::size_t i = 0; i < Engines; ++i) {
            inFlight[i].erase(inFlight[i].begin(), inFlight[i].upper_bound(now));
            best = inFlight[i].size() < inFlight[best].size() ? i : best;
        }
        const routing::PlacementRequest request = fixture.makePromptRequest("w" + std::to_string(number), 1 + random(SharedPrefixes), now);
        const core::TimePoint firstEventAt = engines.prefill(best, request, now);
        inFlight[best].insert(firstEventAt);
        result.onTime += now >= WarmUpEnd && firstEventAt <= request.latencyDeadline ? 1 : 0;
    }
    result.prefilledTokens = engines.prefilledTokens();
    return result;
}

} // namespace

TEST_CASE("load pattern: a peak of long prompts with shared prefixes", "[dispatcher][pattern]")
{
    const SimulationResult dispatched = simulateDispatcher();
    const SimulationResult leastInFlight = simulateLeastInFlight();
    INFO("dispatcher on time " << dispatched.onTime << ", tokens " << dispatched.prefilledTokens << "; least in flight " << leastInFlight.onTime << ", "
                               << leastInFlight.prefilledTokens);
    CHECK(dispatched.onTime > leastInFlight.onTime);
    CHECK(dispatched.prefilledTokens < leastInFlight.prefilledTokens);
    CHECK(dispatched.onTime >= RequestsAfterWarmUp * 95 / 100);
}

namespace {

/// What became of the requests of one overload.
struct OverloadResult
{
    int onTime = 0;
    int late = 0;
    int heldInVain = 0; // refused, or given up by its client, after half of the time that its client waits
    int held = 0;       // largest number of waiting requests
};

constexpr auto OverloadTime = 6s;
constexpr auto OverloadInterval = 5ms; // between requests: 200 a second, of which 100 can be served
constexpr auto WorkTime = 40ms;        // of one request at one of four places
constexpr std::size_t OverloadPlaces = 4;
constexpr auto OverloadObjective = 600ms;
constexpr auto OverloadPatience = 3s;

/// Twice as many requests as a plain service can serve; refused ones do not come back.
OverloadResult overloadDispatcher()
{
    Fixture fixture({makeAnnouncement("a", PlainService, "here-a", OverloadPlaces)});
    OverloadResult result;
    std::multimap<core::TimePoint, routing::PlacementRequest> running; // by the end
    std::map<routing::PlacementId, routing::PlacementRequest> waiting;
    const auto settle = [&](const routing::PlacementRequest &request, const routing::PlacementDecision &decision, core::TimePoint now) {
        if (std::holds_alternative<routing::Granted>(decision)) {
            const core::TimePoint end = now + WorkTime;
            running.emplace(end, request);
            (end <= request.latencyDeadline ? result.onTime : result.late) += 1;
        } else if (std::holds_alternative<routing::Refused>(decision)) {
            const auto held = now - (request.latencyDeadline - OverloadObjective);
            result.heldInVain += held >= OverloadPatience / 2 ? 1 : 0;
        }
    };
    int number = 0;
    for (core::TimePoint now = Start; now < Start + OverloadTime + OverloadPatience; now += 5ms) {
        while (!running.empty() && running.begin()->first <= now) {
            fixture.dispatcher.recordCompletion(running.begin()->second.id, core::UpstreamId("a"), routing::SendOutcome::Completed, now);
            running.erase(running.begin());
        }
        if (now < Start + OverloadTime && (now - Start) % OverloadInterval == 0us) {
            routing::PlacementRequest request = fixture.makeRequest("w" + std::to_string(number++), PlainService, now);
            request.latencyDeadline = now + OverloadObjective;
            request.responseDeadline = now + OverloadPatience;
            request.completionDeadline = request.responseDeadline;
            const routing::PlacementDecision decision = fixture.dispatcher.requestPlacement(request, now);
            settle(request, decision, now);
            if (std::holds_alternative<routing::Queued>(decision)) {
                waiting[request.id] = request;
            }
        }
        for (auto item = waiting.begin(); item != waiting.end();) { // nodes repeat their requests; clients leave
            const bool isGivenUp = now >= item->second.responseDeadline;
            if (isGivenUp) {
                fixture.dispatcher.cancel(item->first);
                ++result.heldInVain;
            } else if ((now - Start) % 300ms == 0us) {
                const routing::PlacementDecision decision = fixture.dispatcher.requestPlacement(item->second, now);
                settle(item->second, decision, now);
                item = std::holds_alternative<routing::Queued>(decision) ? std::next(item) : waiting.erase(item);
                continue;
            }
            item = isGivenUp ? waiting.erase(item) : std::next(item);
        }
        for (const routing::DeferredDecision &item : fixture.dispatcher.processQueue(now)) {
            if (const auto found = waiting.find(item.id); found != waiting.end()) {
                settle(found->second, item.decision, now);
                waiting.erase(found);
            }
        }
        result.held = std::max(result.held, static_cast<int>(waiting.size()));
    }
    return result;
}

/// Baseline: first come, first served, until the client leaves.
OverloadResult overloadFirstComeFirstServed()
{
    OverloadResult result;
    std::deque<core::TimePoint> waiting; // times of arrival
    std::multiset<core::TimePoint> running;
    for (core::TimePoint now = Start; now < Start + OverloadTime + OverloadPatience; now += 5ms) {
        running.erase(running.begin(), running.upper_bound(now));
        if (now < Start + OverloadTime && (now - Start) % OverloadInterval == 0us) {
            waiting.push_back(now);
        }
        while (!waiting.empty() && now >= waiting.front() + OverloadPatience) {
            ++result.heldInVain;
            waiting.pop_front();
        }
        while (!waiting.empty() && running.size() < OverloadPlaces) {
            running.insert(now + WorkTime);
            (now + WorkTime <= waiting.front() + OverloadObjective ? result.onTime : result.late) += 1;
            waiting.pop_front();
        }
        result.held = std::max(result.held, static_cast<int>(waiting.size()));
    }
    return result;
}

} // namespace

TEST_CASE("load pattern: demand is twice the capacity for seconds", "[dispatcher][pattern]")
{
    const OverloadResult dispatched = overloadDispatcher();
    const OverloadResult firstCome = overloadFirstComeFirstServed();
    const auto describe = [](const OverloadResult &result) {
        return "on time " + std::to_string(result.onTime) + ", late " + std::to_string(result.late) + ", held in vain " + std::to_string(result.heldInVain)
            + ", waiting at most " + std::to_string(result.held);
    };
    INFO("dispatcher: " << describe(dispatched) << "; first come, first served: " << describe(firstCome));
    constexpr int Servable = OverloadTime / WorkTime * static_cast<int>(OverloadPlaces);
    CHECK(dispatched.onTime >= Servable * 9 / 10);
    CHECK(dispatched.onTime > firstCome.onTime);
    CHECK(dispatched.onTime + dispatched.late >= Servable * 95 / 100); // no place stays empty
    CHECK(dispatched.heldInVain == 0);
    CHECK(dispatched.held <= OverloadPatience / OverloadInterval / 2);
}

TEST_CASE("load pattern: replies of the dispatcher are late, its instance is late, or it has failed", "[dispatcher][pattern]")
{
    struct Row
    {
        const char *name;
        core::Duration usualTime; // of its replies before
        core::Duration ownDelay;  // of the end of each wait
        core::Duration replyTime; // of this request; zero: there is none
        bool isHeard;             // it replies to other requests meanwhile
        int requests;             // that are sent until the wait is over
        bool isUnresponsive;
        core::Duration decidedAfter; // at the latest
    };
    const auto row = GENERATE(values<Row>({
        {"it replies", 2ms, 0ms, 2ms, true, 1, false, 2ms},
        {"it has failed", 2ms, 0ms, 0ms, false, 2, true, 80ms},
        {"a datagram was lost", 2ms, 0ms, 0ms, true, 5, false, 200ms},
        {"it is late for the first time", 2ms, 0ms, 60ms, true, 2, false, 60ms},
        {"it is late as usual", 60ms, 0ms, 100ms, false, 1, false, 100ms},
        {"it was late as usual and has failed", 60ms, 0ms, 0ms, false, 2, true, 500ms},
        {"this instance is late, and the reply waits in its socket", 2ms, 80ms, 2ms, false, 1, false, 120ms},
        {"this instance is late, and it has failed", 2ms, 20ms, 0ms, false, 2, true, 240ms},
    }));
    CAPTURE(row.name);
    const core::InstanceId id("d");
    routing::DispatcherWatch watch;
    core::TimePoint now = Start;
    for (int i = 0; i < 20; ++i) {
        routing::ReplyWait wait = watch.beginWait(id, now);
        now += row.usualTime;
        watch.recordHeard(id, now);
        watch.recordReply(wait, now);
    }
    now += 1s;
    const core::TimePoint begin = now;
    routing::ReplyWait wait = watch.beginWait(id, now);
    int requests = 1;
    routing::NoReply next = routing::NoReply::SendAgain;
    const auto isReplyRead = [&](core::TimePoint until) { return row.replyTime > 0ms && begin + row.replyTime <= until; };
    constexpr int MaxRequests = 5;
    bool isReplied = false;
    while (!isReplied && next != routing::NoReply::Unresponsive && requests <= MaxRequests) {
        const bool isInTime = row.ownDelay == 0ms && isReplyRead(wait.due);
        const bool isReadNow = wait.isExtended && isReplyRead(now); // it waited in the socket
        isReplied = isInTime || isReadNow;
        if (isReplied) {
            now = isReadNow ? now : begin + row.replyTime;
            break;
        }
        if (row.isHeard) {
            watch.recordHeard(id, wait.due);
        }
        now = wait.due + row.ownDelay;
        next = watch.judge(wait, now);
        if (next == routing::NoReply::SendAgain) {
            if (requests == MaxRequests) {
                break;
            }
            ++requests;
            watch.resume(wait, now);
        }
    }
    CHECK(requests == row.requests);
    CHECK((next == routing::NoReply::Unresponsive) == row.isUnresponsive);
    CHECK(now - begin <= row.decidedAfter);
}

TEST_CASE("the fleet-wide retry budget holds for any number of nodes sharing the traffic", "[limits]")
{
    const auto nodes = GENERATE(std::size_t(1), std::size_t(8), std::size_t(77));
    const limits::SharedRetryBudgetSettings settings{0.2, 56, 10s};
    std::vector<limits::SharedRetryBudget> budgets(nodes, limits::SharedRetryBudget(settings));
    pcg32 random(3);
    std::deque<core::TimePoint> firstSends;
    std::deque<core::TimePoint> retries;
    for (core::TimePoint now = Start; now < Start + 40s; now += 5ms) {
        limits::SharedRetryBudget &budget = budgets[random(static_cast<std::uint32_t>(nodes))];
        budget.recordFirstSend(Model, now);
        firstSends.push_back(now);
        for (int tries = 0; tries < 3; ++tries) {
            if (budgets[random(static_cast<std::uint32_t>(nodes))].tryRetry(Model, nodes, now)) {
                retries.push_back(now);
            }
        }
        for (auto *times : {&firstSends, &retries}) {
            while (now - times->front() >= 10s) {
                times->pop_front();
            }
            if (times->empty()) {
                break;
            }
        }
        REQUIRE(static_cast<double>(retries.size()) <= 0.2 * static_cast<double>(firstSends.size()) + 56);
    }
    CHECK(retries.size() > 40);
}
