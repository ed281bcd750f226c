// The dispatcher: placement, queue order, spill, cold pacing, and the load patterns it answers against naive placement.

#include "arbutus/routing/dispatcher.h"
#include "arbutus/core/overloaded.h"
#include "arbutus/limits/sharedretrybudget.h"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <deque>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start(1000s);
const core::ServiceId Model("model");
const core::ServiceId Till("till");

catalog::CatalogPointer makeCatalog(double coldPerSecond = 0)
{
    catalog::Service engines;
    engines.id = Model;
    engines.maxColdRequestsPerSecond = coldPerSecond;
    engines.engine = catalog::EngineConfig{64, 230'000, 5};
    catalog::Service plain;
    plain.id = Till;
    catalog::Route route;
    route.id = catalog::RouteId("r");
    route.host = "h";
    route.pathPrefix = "/";
    route.trafficSplits = {catalog::TrafficSplit{Model, 1}};
    return std::make_shared<catalog::Catalog>(catalog::CatalogVersion(1), std::vector{route}, std::vector{engines, plain}, catalog::CallerLimits{});
}

routing::Announcement said(const std::string &id, const core::ServiceId &service, const std::string &domain = "here-a", std::size_t slots = 64)
{
    routing::Announcement out;
    out.id = core::UpstreamId(id);
    out.service = service;
    out.address = "10.0.0.1:80";
    out.domain = core::DomainId(domain);
    out.slots = slots;
    out.startTime = routing::StartTime(1);
    out.sequence = 1;
    return out;
}

/// A dispatcher of region "here" with its beliefs.
struct Fixture
{
    /// The dispatcher has run for `age`.
    explicit Fixture(std::vector<routing::Announcement> all, double coldPerSecond = 0, core::Duration age = 1min)
        : catalog(makeCatalog(coldPerSecond))
        , dispatcher(routing::DispatcherSettings{}, routing::DispatcherView{core::RegionId("here"), regions, roster, catalog}, Start - age)
    {
        roster.applySnapshot(routing::SnapshotRevision(1), all, false, Start);
        dispatcher.setDispatcherRole(true, 1, Start);
    }

    routing::PlacementRequest ask(const std::string &id, const core::ServiceId &service, core::TimePoint now) const
    {
        routing::PlacementRequest out;
        out.id = routing::PlacementId(id);
        out.requester = core::InstanceId("n");
        out.service = service;
        out.latencyDeadline = now + 1s;
        out.responseDeadline = now + 4s;
        out.completionDeadline = now + 15s;
        return out;
    }

    routing::PlacementRequest prompt(const std::string &id, std::uint64_t shared, core::TimePoint now) const
    {
        routing::PlacementRequest out = ask(id, Model, now);
        out.prompt = {routing::PromptPart{shared, 6'000}, routing::PromptPart{std::hash<std::string>{}(id), 1'000}};
        out.promptTokens = 7'000;
        out.outputTokens = 50;
        return out;
    }

    std::map<core::DomainId, core::RegionId> regions{{core::DomainId("here-a"), core::RegionId("here")}, {core::DomainId("there-a"), core::RegionId("there")}};
    routing::UpstreamRegistry roster;
    catalog::CatalogPointer catalog;
    routing::Dispatcher dispatcher;
};

std::string granted(const routing::PlacementDecision &verdict)
{
    const auto *grant = std::get_if<routing::Granted>(&verdict);
    return grant == nullptr ? "" : grant->upstream.text;
}

routing::ServiceLoad outlookOf(const core::ServiceId &service, core::Duration wait, double tokensPerMs)
{
    routing::ServiceLoad out;
    out.service = service;
    out.queueDelay = wait;
    out.prefillTokensPerMs = tokensPerMs;
    out.usableUpstreams = 4;
    out.freeSlots = 100;
    out.serviceTime = 30ms;
    return out;
}

} // namespace

TEST_CASE("an ask gets the same answer however often it is repeated", "[dispatcher]")
{
    Fixture fixture({said("a", Model), said("b", Model)});
    const routing::PlacementRequest ask = fixture.prompt("w", 1, Start);
    const std::string first = granted(fixture.dispatcher.requestPlacement(ask, Start));
    REQUIRE_FALSE(first.empty());
    REQUIRE(granted(fixture.dispatcher.requestPlacement(ask, Start + 50ms)) == first);
    REQUIRE(fixture.dispatcher.estimators().at(core::UpstreamId(first)).inFlight().size() == 1);
}

TEST_CASE("prompts that share a part go where it is cached", "[dispatcher]")
{
    Fixture fixture({said("a", Model), said("b", Model), said("c", Model)});
    core::TimePoint now = Start;
    std::map<std::uint64_t, std::string> home;
    for (int i = 0; i < 60; ++i) {
        const std::uint64_t shared = 1 + static_cast<std::uint64_t>(i % 3);
        const routing::PlacementRequest ask = fixture.prompt("w" + std::to_string(i), shared, now);
        const std::string upstream = granted(fixture.dispatcher.requestPlacement(ask, now));
        REQUIRE_FALSE(upstream.empty());
        home.try_emplace(shared, upstream);
        CHECK(home[shared] == upstream);
        now += 200ms;
        fixture.dispatcher.recordFirstEvent(ask.id, core::UpstreamId(upstream), 200ms, now);
        fixture.dispatcher.recordCompletion(ask.id, core::UpstreamId(upstream), routing::SendOutcome::Completed, now);
        now += 100ms;
    }
}

TEST_CASE("which upstreams are never chosen", "[dispatcher]")
{
    struct Row
    {
        const char *name;
        std::function<void(routing::Announcement &)> change;
        std::function<void(Fixture &)> act;
    };
    const auto row = GENERATE(values<Row>({
        {"leaving", [](routing::Announcement &a) { a.leaving = true; }, {}},
        {"of another service", [](routing::Announcement &a) { a.service = Till; }, {}},
        {"of another region", [](routing::Announcement &a) { a.domain = core::DomainId("there-a"); }, {}},
        {"of an unknown zone", [](routing::Announcement &a) { a.domain = core::DomainId("nowhere"); }, {}},
        {"evacuated", [](routing::Announcement &) {}, [](Fixture &f) { f.roster.setEvacuatedDomains({core::DomainId("here-a")}, Start); }},
        {"gone", [](routing::Announcement &) {}, [](Fixture &f) { f.roster.applySnapshot(routing::SnapshotRevision(2), {}, false, Start); }},
    }));
    CAPTURE(row.name);
    routing::Announcement only = said("a", Model);
    row.change(only);
    Fixture fixture({only});
    if (row.act) {
        row.act(fixture);
    }
    const routing::PlacementDecision verdict = fixture.dispatcher.requestPlacement(fixture.prompt("w", 1, Start), Start);
    const auto *refused = std::get_if<routing::Refused>(&verdict);
    REQUIRE(refused != nullptr);
    CHECK(refused->reason == routing::RefusalReason::NoUpstream);
    CHECK(refused->retryAfter > 0ms);
}

TEST_CASE("a dispatcher that has just started does not say that nothing serves an ask before it has heard of all", "[dispatcher]")
{
    struct Row
    {
        const char *name;
        std::vector<const char *> homes;
        bool mayLeave;
        bool waits;
    };
    const auto row = GENERATE(values<Row>({
        {"no upstream here is known yet", {"here"}, false, true},
        {"nothing is heard of its home yet", {"there"}, true, true},
        {"it came from another region, and this is no home", {"there"}, false, false},
    }));
    CAPTURE(row.name);
    Fixture fixture({said("a", Till)}, 0, 0s);
    routing::PlacementRequest ask = fixture.prompt("w", 1, Start);
    for (const char *home : row.homes) {
        ask.allowedRegions.insert(core::RegionId(home));
    }
    ask.allowOtherRegions = row.mayLeave;
    REQUIRE(std::holds_alternative<routing::Queued>(fixture.dispatcher.requestPlacement(ask, Start)) == row.waits);
    if (!row.waits) {
        return;
    }
    SECTION("an upstream or a region that is heard of gets it")
    {
        fixture.roster.applySnapshot(routing::SnapshotRevision(2), {said("a", Till), said("b", Model)}, false, Start);
        fixture.dispatcher.updateRemoteLoad(core::RegionId("there"), outlookOf(Model, 0ms, 120), Start + 300ms);
        const auto settled = fixture.dispatcher.processQueue(Start + 300ms);
        REQUIRE(settled.size() == 1);
        CHECK_FALSE(std::holds_alternative<routing::Refused>(settled.front().decision));
    }
    SECTION("it is refused once all should have been heard of")
    {
        REQUIRE(std::holds_alternative<routing::Queued>(fixture.dispatcher.requestPlacement(ask, Start + 1s)));
        REQUIRE(std::holds_alternative<routing::Refused>(fixture.dispatcher.requestPlacement(ask, Start + 2100ms)));
    }
}

TEST_CASE("dispatchers that know nothing of each other send a subject to the same engine, and subjects to all engines", "[dispatcher]")
{
    constexpr std::uint64_t Subjects = 200;
    const std::vector<routing::Announcement> all{said("a", Model), said("b", Model), said("c", Model), said("d", Model)};
    std::map<std::string, int> counts;
    for (std::uint64_t subject = 1; subject <= Subjects; ++subject) {
        std::set<std::string> chosen;
        for (int holder = 0; holder < 3; ++holder) { // each has placed nothing yet
            Fixture fixture(all);
            chosen.insert(granted(fixture.dispatcher.requestPlacement(fixture.prompt("w" + std::to_string(holder), subject, Start), Start)));
        }
        REQUIRE(chosen.size() == 1);
        ++counts[*chosen.begin()];
    }
    CHECK(counts.size() == all.size());
    for (const auto &[upstream, count] : counts) {
        CHECK(count >= 30); // of 50 on average
    }
}

TEST_CASE("a retry whose upstreams are all excluded is refused at once", "[dispatcher]")
{
    Fixture fixture({said("a", Till, "here-a", 6)});
    routing::PlacementRequest ask = fixture.ask("w", Till, Start);
    ask.excludedUpstreams = {core::UpstreamId("a")};
    REQUIRE(std::holds_alternative<routing::Refused>(fixture.dispatcher.requestPlacement(ask, Start)));
    REQUIRE(fixture.dispatcher.queueLength() == 0);
}

TEST_CASE("a request with homes goes to one of them", "[dispatcher]")
{
    Fixture fixture({said("a", Model)});
    routing::PlacementRequest ask = fixture.prompt("w", 1, Start);
    ask.allowedRegions = {core::RegionId("there")};
    REQUIRE(std::holds_alternative<routing::Refused>(fixture.dispatcher.requestPlacement(ask, Start)));
    fixture.dispatcher.updateRemoteLoad(core::RegionId("there"), outlookOf(Model, 0ms, 120), Start);
    const routing::PlacementDecision verdict = fixture.dispatcher.requestPlacement(ask, Start);
    REQUIRE(std::holds_alternative<routing::Redirected>(verdict));
    ask.id = routing::PlacementId("second hop");
    ask.allowOtherRegions = false;
    REQUIRE(std::holds_alternative<routing::Refused>(fixture.dispatcher.requestPlacement(ask, Start)));
}

TEST_CASE("urgent asks pass those that wait, and what is late comes last", "[dispatcher]")
{
    Fixture fixture({said("a", Till, "here-a", 1)});
    REQUIRE_FALSE(granted(fixture.dispatcher.requestPlacement(fixture.ask("running", Till, Start), Start)).empty());
    routing::PlacementRequest late = fixture.ask("late", Till, Start);
    late.latencyDeadline = Start - 1ms;
    routing::PlacementRequest plain = fixture.ask("plain", Till, Start);
    plain.priority = 2;
    routing::PlacementRequest urgent = fixture.ask("urgent", Till, Start);
    for (const routing::PlacementRequest *ask : {&late, &plain, &urgent}) {
        REQUIRE(std::holds_alternative<routing::Queued>(fixture.dispatcher.requestPlacement(*ask, Start)));
    }
    std::vector<std::string> order;
    core::TimePoint now = Start;
    std::string running = "running";
    for (int i = 0; i < 3; ++i) {
        now += 20ms;
        fixture.dispatcher.recordCompletion(routing::PlacementId(running), core::UpstreamId("a"), routing::SendOutcome::Completed, now);
        const auto settled = fixture.dispatcher.processQueue(now);
        REQUIRE(settled.size() == 1);
        running = settled.front().id.text;
        order.push_back(running);
    }
    REQUIRE(order == std::vector<std::string>{"urgent", "plain", "late"});
}

TEST_CASE("work waits until its time is over, and is refused then", "[dispatcher]")
{
    Fixture fixture({said("a", Till, "here-a", 1)});
    REQUIRE_FALSE(granted(fixture.dispatcher.requestPlacement(fixture.ask("running", Till, Start), Start)).empty());
    routing::PlacementRequest ask = fixture.ask("w", Till, Start);
    ask.responseDeadline = Start + 300ms;
    REQUIRE(std::holds_alternative<routing::Queued>(fixture.dispatcher.requestPlacement(ask, Start)));
    REQUIRE(fixture.dispatcher.processQueue(Start + 200ms).empty());
    const auto settled = fixture.dispatcher.processQueue(Start + 320ms);
    REQUIRE(settled.size() == 1);
    REQUIRE(std::holds_alternative<routing::Refused>(settled.front().decision));
    REQUIRE(fixture.dispatcher.queueLength() == 0);
}

TEST_CASE("what would be reached too late is refused when that is known, not when its time is over", "[dispatcher]")
{
    Fixture fixture({said("a", Model)});
    int refused = 0;
    int waiting = 0;
    for (int i = 0; i < 60; ++i) { // 11.7 s of reading, of which 4 s are useful
        const routing::PlacementDecision verdict =
            fixture.dispatcher.requestPlacement(fixture.prompt("w" + std::to_string(i), 100 + static_cast<std::uint64_t>(i), Start), Start);
        refused += std::holds_alternative<routing::Refused>(verdict) ? 1 : 0;
        waiting += std::holds_alternative<routing::Queued>(verdict) ? 1 : 0;
    }
    const auto settled = fixture.dispatcher.processQueue(Start + 20ms); // asks that came before better ones
    REQUIRE(std::all_of(
        settled.begin(), settled.end(), [](const routing::DeferredDecision &row) { return std::holds_alternative<routing::Refused>(row.decision); }));
    refused += static_cast<int>(settled.size());
    waiting -= static_cast<int>(settled.size());
    CHECK(refused >= 38);
    CHECK(waiting >= 17);
}

TEST_CASE("while the queue moves slower than engines should, its own pace tells what would be reached too late", "[dispatcher]")
{
    Fixture fixture({said("a", Model)});
    for (int i = 0; i < 18; ++i) { // 3.5 s of reading
        (void)fixture.dispatcher.requestPlacement(fixture.prompt("w" + std::to_string(i), 100 + static_cast<std::uint64_t>(i), Start), Start);
    }
    int refused = 0;
    for (core::TimePoint now = Start; now < Start + 1s; now += 20ms) { // the engine answers nothing
        for (const routing::DeferredDecision &row : fixture.dispatcher.processQueue(now)) {
            refused += std::holds_alternative<routing::Refused>(row.decision) ? 1 : 0;
        }
    }
    CHECK(refused >= 8);
}

TEST_CASE("which of two asks that wait goes first", "[dispatcher]")
{
    struct Row
    {
        const char *name;
        std::uint64_t firstShared; // 1 is cached
        std::uint64_t secondShared;
        core::Duration firstLeft; // until it is late
        core::Duration secondLeft;
        const char *goesFirst;
    };
    const auto row = GENERATE(values<Row>({
        {"the one that is mostly cached", 50, 1, 900ms, 900ms, "second"},
        {"of two alike, the one that is late sooner", 50, 51, 900ms, 800ms, "second"},
        {"one that can still be on time, before one that cannot once it has been read", 50, 51, 150ms, 900ms, "second"},
        {"of two that are cached, the one that is late sooner", 1, 1, 700ms, 800ms, "first"},
    }));
    CAPTURE(row.name);
    Fixture fixture({said("a", Model)});
    REQUIRE_FALSE(granted(fixture.dispatcher.requestPlacement(fixture.prompt("running", 1, Start), Start)).empty());
    routing::PlacementRequest first = fixture.prompt("first", row.firstShared, Start);
    first.latencyDeadline = Start + row.firstLeft;
    routing::PlacementRequest second = fixture.prompt("second", row.secondShared, Start);
    second.latencyDeadline = Start + row.secondLeft;
    REQUIRE(std::holds_alternative<routing::Queued>(fixture.dispatcher.requestPlacement(first, Start)));
    REQUIRE(std::holds_alternative<routing::Queued>(fixture.dispatcher.requestPlacement(second, Start)));
    const core::TimePoint now = Start + 100ms;
    fixture.dispatcher.recordFirstEvent(routing::PlacementId("running"), core::UpstreamId("a"), 100ms, now);
    fixture.dispatcher.recordCompletion(routing::PlacementId("running"), core::UpstreamId("a"), routing::SendOutcome::Completed, now);
    const auto settled = fixture.dispatcher.processQueue(now + 40ms);
    REQUIRE(settled.size() == 1);
    CHECK(settled.front().id.text == row.goesFirst);
}

TEST_CASE("a cold upstream gets requests at its pace, from the holder of the duty only", "[dispatcher]")
{
    constexpr double PerSecond = 1.7;
    const double reach = GENERATE(1.0, 0.5);
    routing::Announcement cold = said("a", Model);
    cold.coldRemaining = 60s;
    Fixture fixture({cold}, PerSecond);
    fixture.dispatcher.setDispatcherRole(true, reach, Start);
    std::deque<core::TimePoint> sent;
    std::size_t most = 0;
    int number = 0;
    for (core::TimePoint now = Start; now < Start + 20s; now += 10ms) {
        const routing::PlacementRequest ask = fixture.prompt("w" + std::to_string(number++), 1, now);
        if (!granted(fixture.dispatcher.requestPlacement(ask, now)).empty()) {
            sent.push_back(now);
            fixture.dispatcher.recordCompletion(ask.id, core::UpstreamId("a"), routing::SendOutcome::Completed, now);
        } else {
            fixture.dispatcher.cancel(ask.id);
        }
        while (!sent.empty() && now - sent.front() >= 1s) {
            sent.pop_front();
        }
        most = std::max(most, sent.size());
    }
    CHECK(most >= 1);
    CHECK(most <= 2 * reach + 0.5); // so that two holders at once stay under 1.7 x 1.5 + 3
    fixture.dispatcher.setDispatcherRole(false, reach, Start + 21s);
    REQUIRE(granted(fixture.dispatcher.requestPlacement(fixture.prompt("no duty", 1, Start + 30s), Start + 30s)).empty());
}

TEST_CASE("a new holder of the duty waits before it uses cold upstreams", "[dispatcher]")
{
    routing::Announcement cold = said("a", Model);
    cold.coldRemaining = 60s;
    Fixture fixture({cold}, 1.7);
    fixture.dispatcher.setDispatcherRole(false, 1, Start);
    fixture.dispatcher.setDispatcherRole(true, 1, Start + 5s);
    REQUIRE(granted(fixture.dispatcher.requestPlacement(fixture.prompt("early", 1, Start + 5500ms), Start + 5500ms)).empty());
    fixture.dispatcher.cancel(routing::PlacementId("early"));
    REQUIRE_FALSE(granted(fixture.dispatcher.requestPlacement(fixture.prompt("then", 1, Start + 6100ms), Start + 6100ms)).empty());
}

TEST_CASE("an upstream that fails is left out for a while, and tried by one request at a time", "[dispatcher]")
{
    const auto ending =
        GENERATE(routing::SendOutcome::Incomplete, routing::SendOutcome::TimedOut, routing::SendOutcome::Rejected, routing::SendOutcome::ServerError);
    CAPTURE(routing::toString(ending));
    Fixture fixture({said("a", Till, "here-a", 6), said("b", Till, "here-a", 6)});
    core::TimePoint now = Start;
    int failures = 0;
    for (int i = 0; i < 40; ++i) {
        const routing::PlacementRequest ask = fixture.ask("w" + std::to_string(i), Till, now);
        const std::string upstream = granted(fixture.dispatcher.requestPlacement(ask, now));
        REQUIRE_FALSE(upstream.empty());
        now += 10ms;
        const bool bad = upstream == "a";
        failures += bad ? 1 : 0;
        fixture.dispatcher.recordCompletion(ask.id, core::UpstreamId(upstream), bad ? ending : routing::SendOutcome::Completed, now);
    }
    CHECK(failures <= 6); // three in a row, then half a second of pause
}

TEST_CASE("work that nobody speaks of any more is forgotten", "[dispatcher]")
{
    Fixture fixture({said("a", Till, "here-a", 1)});
    REQUIRE_FALSE(granted(fixture.dispatcher.requestPlacement(fixture.ask("lost", Till, Start), Start)).empty());
    REQUIRE(std::holds_alternative<routing::Queued>(fixture.dispatcher.requestPlacement(fixture.ask("w", Till, Start), Start)));
    core::TimePoint now = Start + 1'100ms;
    REQUIRE(std::holds_alternative<routing::Queued>(fixture.dispatcher.requestPlacement(fixture.ask("w", Till, Start), now)));
    const auto settled = fixture.dispatcher.processQueue(now + 200ms);
    REQUIRE(settled.size() == 1);
    REQUIRE(granted(settled.front().decision) == "a");
}

TEST_CASE("a new holder learns from reports what runs where", "[dispatcher]")
{
    Fixture fixture({said("a", Till, "here-a", 1)});
    fixture.dispatcher.recordInFlight(core::InstanceId("n"), {routing::ReportedRequest{routing::PlacementId("old"), core::UpstreamId("a"), 30ms, 0}}, Start);
    REQUIRE(std::holds_alternative<routing::Queued>(fixture.dispatcher.requestPlacement(fixture.ask("w", Till, Start), Start)));
    fixture.dispatcher.recordCompletion(routing::PlacementId("old"), core::UpstreamId("a"), routing::SendOutcome::Completed, Start + 20ms);
    REQUIRE(fixture.dispatcher.processQueue(Start + 20ms).size() == 1);
}

TEST_CASE("an engine's speed is learned from times that its senders took, not from when their reports arrive", "[dispatcher]")
{
    struct Row
    {
        const char *name;
        bool granted; // by this dispatcher; otherwise it learned of the work from a report
        core::Duration took;
        double slowest; // prefill tokens for each millisecond at the end, at least
        double fastest;
    };
    const auto row = GENERATE(values<Row>({
        {"as predicted, told late", true, 200ms, 30, 45},
        {"four times as long", true, 800ms, 2, 20},
        {"work of an earlier holder", false, 800ms, 35.9, 36.1},
    }));
    CAPTURE(row.name);
    Fixture fixture({said("a", Model)});
    const core::UpstreamId upstream("a");
    core::TimePoint now = Start;
    for (int i = 0; i < 30; ++i) {
        const routing::PlacementRequest ask = fixture.prompt("w" + std::to_string(i), 100 + static_cast<std::uint64_t>(i), now);
        if (row.granted) {
            REQUIRE(granted(fixture.dispatcher.requestPlacement(ask, now)) == "a");
        } else {
            fixture.dispatcher.recordInFlight(core::InstanceId("n"), {routing::ReportedRequest{ask.id, upstream, std::nullopt, 1'000}}, now);
        }
        now += 2s; // reports of a busy node may be that late
        fixture.dispatcher.recordInFlight(core::InstanceId("n"), {routing::ReportedRequest{ask.id, upstream, row.took, 1'000}}, now);
        fixture.dispatcher.recordCompletion(ask.id, upstream, routing::SendOutcome::Completed, now);
    }
    const double rate = fixture.dispatcher.estimators().at(upstream).prefillRate();
    CHECK(rate >= row.slowest);
    CHECK(rate <= row.fastest);
}

TEST_CASE("another region is chosen only where it clearly serves better", "[dispatcher]")
{
    struct Row
    {
        int running;          // long prompts granted here before
        core::Duration there; // the other region's wait
        bool leaves;
    };
    const auto row = GENERATE(values<Row>({{0, 0ms, false}, {40, 0ms, true}, {40, 3s, true}, {40, 5s, false}, {40, 9s, false}}));
    Fixture fixture({said("a", Model)});
    for (int i = 0; i < row.running; ++i) {
        (void)fixture.dispatcher.requestPlacement(fixture.prompt("r" + std::to_string(i), 100 + static_cast<std::uint64_t>(i), Start), Start);
    }
    fixture.dispatcher.updateRemoteLoad(core::RegionId("there"), outlookOf(Model, row.there, 120), Start);
    const routing::PlacementDecision verdict = fixture.dispatcher.requestPlacement(fixture.prompt("w", 1, Start + 10ms), Start + 10ms);
    REQUIRE(std::holds_alternative<routing::Redirected>(verdict) == row.leaves);
}

TEST_CASE("an outlook that is old says nothing", "[dispatcher]")
{
    Fixture fixture({});
    fixture.dispatcher.updateRemoteLoad(core::RegionId("there"), outlookOf(Model, 0ms, 120), Start);
    REQUIRE(std::holds_alternative<routing::Redirected>(fixture.dispatcher.requestPlacement(fixture.prompt("w", 1, Start), Start)));
    REQUIRE(std::holds_alternative<routing::Refused>(fixture.dispatcher.requestPlacement(fixture.prompt("x", 1, Start + 2s), Start + 2s)));
}

//-----------------------------------------------------------------------------
// Load patterns
//-----------------------------------------------------------------------------

namespace {

/// Engines that read prompts one after another at 40 tokens a millisecond and cache shared parts for good.
class ToyEngines
{
public:
    explicit ToyEngines(std::size_t count)
        : m_free(count, Start)
        , m_cached(count)
    {
    }

    /// Time of the first event of a prompt sent now.
    core::TimePoint read(std::size_t engine, const routing::PlacementRequest &ask, core::TimePoint now)
    {
        const bool cached = !m_cached[engine].insert(ask.prompt.front().prefixHash).second;
        const std::uint32_t tokens = ask.promptTokens - (cached ? ask.prompt.front().tokens : 0);
        m_tokensRead += tokens;
        m_free[engine] = std::max(m_free[engine], now) + std::chrono::microseconds(tokens * 25);
        return m_free[engine];
    }
    [[nodiscard]] std::uint64_t tokensRead() const
    {
        return m_tokensRead;
    }

private:
    std::vector<core::TimePoint> m_free;
    std::vector<std::set<std::uint64_t>> m_cached;
    std::uint64_t m_tokensRead = 0;
};

struct Outcome
{
    int onTime = 0;
    std::uint64_t tokensRead = 0;
};

constexpr std::size_t Engines = 4;
constexpr int Requests = 1'500;
constexpr auto Between = 20ms; // 50 a second: 80% of the capacity if shared parts are read once, 220% if every time
constexpr std::uint64_t Subjects = 60;
const core::TimePoint Warm = Start + 6s; // each shared part has to be read once: 2.6 s of all engines, before anything is cached
constexpr int WarmRequests = Requests - 300;

Outcome playDispatcher()
{
    std::vector<routing::Announcement> all;
    for (std::size_t i = 0; i < Engines; ++i) {
        all.push_back(said(std::to_string(i), Model));
    }
    Fixture fixture(all);
    ToyEngines engines(Engines);
    pcg32 random(7);
    Outcome outcome;
    std::map<core::TimePoint, std::tuple<routing::PlacementRequest, std::string, core::TimePoint>> running; // by first event; the last is when it was sent
    std::map<routing::PlacementId, routing::PlacementRequest> waiting;
    const auto send = [&](const routing::PlacementRequest &ask, const std::string &upstream, core::TimePoint now) {
        core::TimePoint at = engines.read(std::stoul(upstream), ask, now);
        outcome.onTime += now >= Warm && at <= ask.latencyDeadline ? 1 : 0;
        while (running.contains(at)) {
            at += 1us;
        }
        running[at] = {ask, upstream, now};
    };
    const core::TimePoint end = Start + Requests * Between + 5s;
    int number = 0;
    for (core::TimePoint now = Start; now < end; now += 5ms) {
        while (!running.empty() && running.begin()->first <= now) {
            const auto [ask, upstream, sentAt] = running.begin()->second;
            fixture.dispatcher.recordFirstEvent(ask.id, core::UpstreamId(upstream), std::chrono::duration_cast<core::Duration>(now - sentAt), now);
            fixture.dispatcher.recordCompletion(ask.id, core::UpstreamId(upstream), routing::SendOutcome::Completed, now);
            running.erase(running.begin());
        }
        if ((now - Start) % Between == 0us && number < Requests) {
            const routing::PlacementRequest ask = fixture.prompt("w" + std::to_string(number++), 1 + random(Subjects), now);
            const routing::PlacementDecision verdict = fixture.dispatcher.requestPlacement(ask, now);
            if (const std::string upstream = granted(verdict); !upstream.empty()) {
                send(ask, upstream, now);
            } else if (std::holds_alternative<routing::Queued>(verdict)) {
                waiting[ask.id] = ask;
            }
        }
        for (const auto &[id, ask] : waiting) {
            (void)fixture.dispatcher.requestPlacement(ask, now); // holders repeat their asks
        }
        for (const routing::DeferredDecision &row : fixture.dispatcher.processQueue(now)) {
            if (const std::string upstream = granted(row.decision); !upstream.empty() && waiting.contains(row.id)) {
                send(waiting[row.id], upstream, now);
            }
            waiting.erase(row.id);
        }
    }
    outcome.tokensRead = engines.tokensRead();
    return outcome;
}

/// First come, first served: each request at once to the engine with the fewest of them under way.
Outcome playLeastInFlight()
{
    Fixture fixture({});
    ToyEngines engines(Engines);
    pcg32 random(7);
    Outcome outcome;
    std::vector<std::multiset<core::TimePoint>> inFlight(Engines);
    for (int number = 0; number < Requests; ++number) {
        const core::TimePoint now = Start + number * Between;
        std::size_t best = 0;
        for (std::size_t i = 0; i < Engines; ++i) {
            inFlight[i].erase(inFlight[i].begin(), inFlight[i].upper_bound(now));
            best = inFlight[i].size() < inFlight[best].size() ? i : best;
        }
        const routing::PlacementRequest ask = fixture.prompt("w" + std::to_string(number), 1 + random(Subjects), now);
        const core::TimePoint at = engines.read(best, ask, now);
        inFlight[best].insert(at);
        outcome.onTime += now >= Warm && at <= ask.latencyDeadline ? 1 : 0;
    }
    outcome.tokensRead = engines.tokensRead();
    return outcome;
}

} // namespace

TEST_CASE("pattern: a peak of long prompts that share their first parts", "[dispatcher][pattern]")
{
    const Outcome dispatched = playDispatcher();
    const Outcome naive = playLeastInFlight();
    INFO("dispatched on time " << dispatched.onTime << ", tokens " << dispatched.tokensRead << "; naive " << naive.onTime << ", " << naive.tokensRead);
    CHECK(dispatched.onTime > naive.onTime);
    CHECK(dispatched.tokensRead < naive.tokensRead);
    CHECK(dispatched.onTime >= WarmRequests * 95 / 100);
}

TEST_CASE("the retry budget of a fleet holds however its nodes share the traffic", "[limits]")
{
    const auto nodes = GENERATE(std::size_t(1), std::size_t(8), std::size_t(77));
    const limits::SharedRetryBudgetSettings settings{0.2, 56, 10s};
    std::vector<limits::SharedRetryBudget> budgets(nodes, limits::SharedRetryBudget(settings));
    pcg32 random(3);
    std::deque<core::TimePoint> first;
    std::deque<core::TimePoint> further;
    for (core::TimePoint now = Start; now < Start + 40s; now += 5ms) {
        limits::SharedRetryBudget &budget = budgets[random(static_cast<std::uint32_t>(nodes))];
        budget.recordFirstSend(Model, now);
        first.push_back(now);
        for (int tries = 0; tries < 3; ++tries) {
            if (budgets[random(static_cast<std::uint32_t>(nodes))].tryRetry(Model, nodes, now)) {
                further.push_back(now);
            }
        }
        for (auto *times : {&first, &further}) {
            while (now - times->front() >= 10s) {
                times->pop_front();
            }
            if (times->empty()) {
                break;
            }
        }
        REQUIRE(static_cast<double>(further.size()) <= 0.2 * static_cast<double>(first.size()) + 56);
    }
    CHECK(further.size() > 40);
}
