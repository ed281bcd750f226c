// Beliefs: roster rules, configuration that only goes forward, bad entries, peers' snapshots, and the platform's dialect.

#include "arbutus/edge/metadatacache.h"
#include "arbutus/edge/codec.h"
#include "arbutus/edge/directory.h"
#include "arbutus/edge/sserelay.h"
#include "arbutus/membership/membershipview.h"
#include "platform/platformadapter.h"

#include <catch2/catch.hpp>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start(1000s);

std::string entry(const std::string &state = "ready", std::uint64_t sequence = 1, std::uint64_t born = 10, int cold = 0)
{
    return R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":6,"state":")" + state + R"(","cold_remaining_ms":)"
        + std::to_string(cold) + R"(,"sequence":)" + std::to_string(sequence) + R"(,"born":)" + std::to_string(born) + "}";
}

std::string config(std::uint64_t version, const std::string &prefix = "/a/")
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"r","host":"H.example","path_prefix":")" + prefix
        + R"(","route_type":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"s","max_attempts":2,"home_regions":["x"]}],)"
        + R"("services":[{"name":"s","health_path":"/health","max_connections":110,"cold_start_s":0.5,"cold_per_s":1.5}],)"
        + R"("limits":{"max_header_bytes":1000,"max_body_bytes":2000,"header_timeout_ms":3000,"idle_timeout_ms":4000}})";
}

metadata::StoreItem item(const std::string &key, const std::string &value, std::uint64_t revision = 1)
{
    return metadata::StoreItem{key, value, metadata::StoreRevision(revision)};
}

metadata::StoreChange change(const std::string &key, const std::string &value, bool removed = false)
{
    return metadata::StoreChange{item(key, value), removed};
}

const core::UpstreamId A("i-a");

bool usable(const edge::MetadataCache &beliefs, const core::UpstreamId &id = A)
{
    const routing::RegistryEntry *found = beliefs.registry().find(id);
    return found != nullptr && beliefs.registry().isEligible(*found);
}

struct Fixture
{
    platform::PlatformAdapter dialect;
    edge::MetadataCache beliefs{dialect};

    edge::MetadataUpdate range(std::vector<metadata::StoreItem> items, std::uint64_t revision, bool away = false, core::TimePoint at = Start)
    {
        return beliefs.applyRange(items, metadata::StoreRevision(revision), away, at);
    }
    edge::MetadataUpdate watch(std::vector<metadata::StoreChange> changes, std::uint64_t revision, bool away = false, core::TimePoint at = Start)
    {
        return beliefs.applyChanges(changes, metadata::StoreRevision(revision), away, at);
    }
};

} // namespace

//-----------------------------------------------------------------------------
// Upstreams
//-----------------------------------------------------------------------------

TEST_CASE("entries that no upstream writes name no upstream and hurt no other", "[beliefs]")
{
    const auto bad = GENERATE(as<std::string>{},
                              "",
                              "\x01\xff not json",
                              "[]",
                              "{}",
                              R"({"service":"s"})",
                              R"({"service":"s","address":7,"zone":"z","slots":6,"state":"ready"})",
                              R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":"many","state":"ready"})",
                              R"({"service":"s","address":"nowhere","zone":"z","slots":6,"state":"ready"})",
                              R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":"resting"})",
                              R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":"ready","born":"yesterday"})");
    CAPTURE(bad);
    Fixture fixture;
    const edge::MetadataUpdate first = fixture.range({item("servers/i-a", entry()), item("servers/i-b", bad)}, 5);
    CHECK(first.parseErrors.size() == 1);
    CHECK(usable(fixture.beliefs));
    CHECK(fixture.beliefs.registry().find(core::UpstreamId("i-b")) == nullptr);
    CHECK(fixture.watch({change("servers/i-a", entry("ready", 2))}, 6).parseErrors.empty()); // told once
}

TEST_CASE("leaving is sticky for a life, and ends with the next one", "[beliefs]")
{
    Fixture fixture;
    fixture.range({item("servers/i-a", entry())}, 5);
    fixture.watch({change("servers/i-a", entry("draining", 2))}, 6);
    CHECK_FALSE(usable(fixture.beliefs));
    fixture.watch({change("servers/i-a", entry("ready", 3))}, 7);
    CHECK_FALSE(usable(fixture.beliefs));
    fixture.watch({change("servers/i-a", entry("ready", 1, 20))}, 8);
    CHECK(usable(fixture.beliefs));
    fixture.watch({change("servers/i-a", entry("ready", 9, 10))}, 9); // an entry of the life before
    CHECK(fixture.beliefs.registry().find(A)->announcement.startTime == routing::StartTime(20));
}

TEST_CASE("a removed entry is gone at once, unless the store was away", "[beliefs]")
{
    const bool away = GENERATE(false, true);
    Fixture fixture;
    fixture.range({item("servers/i-a", entry())}, 5);
    fixture.range({}, 6, away);
    CHECK(usable(fixture.beliefs) == away);
    (void)fixture.beliefs.expireEntries(Start + 1'900ms);
    CHECK(usable(fixture.beliefs) == away);
    (void)fixture.beliefs.expireEntries(Start + 2'100ms);
    CHECK_FALSE(usable(fixture.beliefs));
}

TEST_CASE("an entry that lapsed while the store was away may come back", "[beliefs]")
{
    Fixture fixture;
    fixture.range({item("servers/i-a", entry())}, 5);
    fixture.range({}, 6, true);
    fixture.watch({change("servers/i-a", entry("ready", 9))}, 7, true, Start + 1s);
    (void)fixture.beliefs.expireEntries(Start + 10s);
    CHECK(usable(fixture.beliefs));
}

TEST_CASE("upstreams of a zone that was evacuated are cold until they say otherwise", "[beliefs]")
{
    Fixture fixture;
    fixture.range({item("servers/i-a", entry()), item("op/evacuate/z", "{}")}, 5);
    CHECK_FALSE(usable(fixture.beliefs));
    fixture.watch({change("op/evacuate/z", "", true)}, 6, false, Start + 5s);
    CHECK(usable(fixture.beliefs));
    CHECK(fixture.beliefs.registry().find(A)->isCold(Start + 5s + 100ms));
    fixture.watch({change("servers/i-a", entry("ready", 2))}, 7, false, Start + 5s + 200ms);
    CHECK_FALSE(fixture.beliefs.registry().find(A)->isCold(Start + 5s + 300ms));
}

TEST_CASE("an upstream that says it is cold is cold for that long", "[beliefs]")
{
    Fixture fixture;
    fixture.range({item("servers/i-a", entry("ready", 1, 10, 3000))}, 5);
    CHECK(fixture.beliefs.registry().find(A)->isCold(Start + 2'900ms));
    CHECK_FALSE(fixture.beliefs.registry().find(A)->isCold(Start + 3'100ms));
    fixture.watch({change("servers/i-a", entry("ready", 2, 10, 2000))}, 6, false, Start + 4s); // again, at any moment
    CHECK(fixture.beliefs.registry().find(A)->isCold(Start + 5s));
}

//-----------------------------------------------------------------------------
// Configuration
//-----------------------------------------------------------------------------

TEST_CASE("configuration goes forward only, whoever brings it", "[beliefs]")
{
    Fixture fixture;
    CHECK(fixture.range({item("op/config", config(7))}, 5).catalogChanged);
    const auto older = GENERATE(as<std::string>{}, config(7, "/b/"), config(3, "/b/"), "{\"version\":9", "");
    CAPTURE(older);
    CHECK_FALSE(fixture.watch({change("op/config", older)}, 6).catalogChanged);
    edge::MetadataSnapshot snapshot = fixture.beliefs.snapshot(catalog::CatalogVersion(), Start);
    snapshot.storeRevision = metadata::StoreRevision(8);
    snapshot.catalogValue = older;
    CHECK_FALSE(fixture.beliefs.applySnapshot(snapshot, Start).catalogChanged);
    CHECK(fixture.beliefs.catalog()->version() == catalog::CatalogVersion(7));
    CHECK(fixture.beliefs.catalog()->matchRoute("h.example", "/a/x") != nullptr);
}

TEST_CASE("removing the configuration leaves the one in force", "[beliefs]")
{
    Fixture fixture;
    fixture.range({item("op/config", config(7))}, 5);
    fixture.watch({change("op/config", "", true)}, 6);
    CHECK(fixture.beliefs.catalog() != nullptr);
}

TEST_CASE("routes match by host and the longest prefix", "[catalog]")
{
    const auto route = [](const std::string &id, const std::string &prefix) {
        catalog::Route out;
        out.id = catalog::RouteId(id);
        out.host = "h.example";
        out.pathPrefix = prefix;
        return out;
    };
    const catalog::Catalog catalog(catalog::CatalogVersion(1), {route("a", "/a/"), route("ab", "/a/b/"), route("root", "/")}, {}, {});
    struct Row
    {
        const char *host;
        const char *path;
        const char *id;
    };
    const auto row = GENERATE(values<Row>({{"h.example", "/a/b/c", "ab"},
                                           {"h.example", "/a/bc", "a"},
                                           {"h.example", "/a/", "a"},
                                           {"h.example", "/a", "root"},
                                           {"h.example", "/x/a/", "root"},
                                           {"other", "/a/", ""}}));
    CAPTURE(row.host, row.path);
    const catalog::Route *found = catalog.matchRoute(row.host, row.path);
    CHECK((found == nullptr ? "" : found->id.text) == row.id);
    CHECK(catalog::normalizeHost("H.example:8080") == "h.example");
}

TEST_CASE("a split gives each attempt one service, in proportion", "[catalog]")
{
    catalog::Route route;
    route.trafficSplits = {
        catalog::TrafficSplit{core::ServiceId("a"), 90}, catalog::TrafficSplit{core::ServiceId("b"), 10}, catalog::TrafficSplit{core::ServiceId("c"), 0}};
    std::map<std::string, int> counts;
    for (int i = 0; i < 10'000; ++i) {
        const std::string attempt = "attempt" + std::to_string(i);
        const core::ServiceId service = route.serviceFor(attempt);
        CHECK(service == route.serviceFor(attempt));
        ++counts[service.text];
    }
    CHECK(counts["b"] > 800);
    CHECK(counts["b"] < 1200);
    CHECK(counts["c"] == 0);
}

//-----------------------------------------------------------------------------
// Peers
//-----------------------------------------------------------------------------

TEST_CASE("beliefs pass between instances as they are", "[beliefs]")
{
    Fixture from;
    from.range({item("op/config", config(7)), item("servers/i-a", entry("draining")), item("servers/i-b", "\xff"), item("op/evacuate/z", "{}")}, 9);
    Fixture to;
    const auto snapshot = edge::decodeMetadataSnapshot(edge::encode(from.beliefs.snapshot(catalog::CatalogVersion(), Start + 400ms)));
    REQUIRE(snapshot);
    const edge::MetadataUpdate change = to.beliefs.applySnapshot(*snapshot, Start + 1s);
    CHECK(change.catalogChanged);
    CHECK(change.evacuationChanged);
    CHECK_FALSE(usable(to.beliefs));
    CHECK(to.beliefs.storeRevision() == metadata::StoreRevision(9));
    CHECK(to.beliefs.staleness(Start + 1s) == 400ms);
    CHECK(from.beliefs.snapshot(catalog::CatalogVersion(7), Start).catalogValue.empty()); // the asker has it
}

TEST_CASE("a peer's word makes evidence younger only for the same beliefs", "[beliefs]")
{
    Fixture fixture;
    fixture.range({item("servers/i-a", entry())}, 9);
    fixture.beliefs.confirmCurrent(metadata::StoreRevision(12), metadata::StoreRevision(12), 0ms, Start + 5s); // knows more
    CHECK(fixture.beliefs.staleness(Start + 5s) == 5s);
    fixture.beliefs.confirmCurrent(metadata::StoreRevision(9), metadata::StoreRevision(11), 100ms, Start + 5s);
    CHECK(fixture.beliefs.staleness(Start + 5s) == 100ms);
    fixture.beliefs.confirmCurrent(metadata::StoreRevision(9), metadata::StoreRevision(10), 0ms, Start + 6s); // read before what is known
    CHECK(fixture.beliefs.staleness(Start + 6s) == 1'100ms);
    fixture.beliefs.addSuspendedTime(3s);
    CHECK(fixture.beliefs.staleness(Start + 6s) == 4'100ms);
}

TEST_CASE("messages between instances survive the wire", "[codec]")
{
    routing::PlacementRequest ask;
    ask.id = routing::PlacementId("w/1");
    ask.service = core::ServiceId("s");
    ask.priority = 2;
    ask.latencyDeadline = Start + 300ms;
    ask.responseDeadline = Start + 4s;
    ask.completionDeadline = Start + 5s;
    ask.prompt = {routing::PromptPart{~std::uint64_t(0), 7}};
    ask.promptTokens = 9;
    ask.allowedRegions = {core::RegionId("x")};
    ask.excludedUpstreams = {core::UpstreamId("u")};
    const edge::FleetMessage message{core::InstanceRef{core::InstanceId("n"), core::Incarnation(3)}, core::RegionId("x"), ask};
    const auto back = edge::decodeFleetMessage(edge::encode(message, Start), Start + 1h); // clocks differ, time left does not
    REQUIRE(back);
    const auto &read = std::get<routing::PlacementRequest>(back->body);
    CHECK(read.requester == core::InstanceId("n"));
    CHECK(read.latencyDeadline == Start + 1h + 300ms);
    CHECK(read.completionDeadline == Start + 1h + 5s);
    CHECK(read.prompt.front().prefixHash == ~std::uint64_t(0));
    CHECK(read.excludedUpstreams == ask.excludedUpstreams);
    CHECK_FALSE(edge::decodeFleetMessage("no message", Start));
    CHECK_FALSE(edge::decodeFleetMessage("", Start));
}

TEST_CASE("an instance whose clock went back at its restart is not taken for its former life", "[membership]")
{
    membership::MembershipSettings settings;
    settings.allDomains = true;
    const auto memberOf = [](const std::string &id, std::uint64_t incarnation) {
        membership::Member member;
        member.id = core::InstanceId(id);
        member.incarnation = core::Incarnation(incarnation);
        member.gossipAddress = id;
        return member;
    };
    membership::MembershipView other(memberOf("other", 5), settings, 1);
    membership::MembershipView restarted(memberOf("n", 100), settings, 2); // its former life drew 900
    membership::Message news{core::InstanceRef{core::InstanceId("n"), core::Incarnation(900)}, membership::Ping{1}, {memberOf("n", 900)}};
    (void)other.receive(news, "n", Start);
    membership::Member dead = memberOf("n", 900);
    dead.condition = membership::MemberCondition::Dead;
    (void)other.receive(membership::Message{core::InstanceRef{}, membership::Ping{2}, {dead}}, "x", Start);
    REQUIRE_FALSE(other.members().at(core::InstanceId("n")).isAvailable());
    const auto told = restarted.receive(
        membership::Message{core::InstanceRef{core::InstanceId("other"), core::Incarnation(5)}, membership::Ping{3}, {memberOf("other", 5), dead}},
        "other",
        Start);
    REQUIRE_FALSE(told.empty());
    for (const membership::OutgoingMessage &message : told) {
        (void)other.receive(message.message, "n", Start);
    }
    CHECK(other.members().at(core::InstanceId("n")).isAvailable());
}

//-----------------------------------------------------------------------------
// Streams
//-----------------------------------------------------------------------------

namespace {

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) + "\n\n";
}

} // namespace

TEST_CASE("only whole events are passed on, however the bytes arrive", "[events]")
{
    const std::string bytes = event(1) + event(2) + event(3);
    const std::size_t cut = GENERATE(range(std::size_t(1), std::size_t(40)));
    edge::SseRelay relay;
    std::string out = relay.feed(bytes.substr(0, cut));
    CHECK((out.empty() || out.ends_with("\n\n")));
    out += relay.feed(bytes.substr(cut));
    CHECK(out == bytes);
    CHECK(relay.lastEventId() == "3");
    CHECK(relay.finish().empty());
}

TEST_CASE("a resumed stream goes on without a gap and without a repetition", "[events]")
{
    struct Row
    {
        std::vector<int> second;
        std::string passed;
        bool gap;
    };
    const auto row = GENERATE(values<Row>({
        {{3, 4}, event(3) + event(4), false},
        {{1, 2, 3}, event(3), false},
        {{4, 5}, "", true},
        {{2, 4}, "", true},
    }));
    edge::SseRelay relay;
    REQUIRE(relay.feed(event(1) + event(2) + "id: 3\nda") == event(1) + event(2)); // breaks in the middle of an event
    relay.resume();
    std::string out;
    for (const int id : row.second) {
        out += relay.feed(event(id));
    }
    CHECK(out == row.passed);
    CHECK(relay.hasGap() == row.gap);
}

TEST_CASE("a caller that resumes gets what follows its last event", "[events]")
{
    edge::SseRelay relay("7");
    CHECK(relay.feed(event(8)) == event(8));
    CHECK_FALSE(relay.hasGap());
}

//-----------------------------------------------------------------------------
// The platform's headers
//-----------------------------------------------------------------------------

TEST_CASE("request headers are decoded once", "[dialect]")
{
    const platform::PlatformAdapter dialect;
    http::Request request;
    request.headers = {{"X-Attempt-Id", "a1"},
                       {"Host", "H.example:80"},
                       {"X-Deadline-Ms", "5000"},
                       {"X-Model", "m"},
                       {"X-Token-Count", "1460,80"},
                       {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
                       {"X-Length-Hint", "60"}};
    request.target = "/a/b?c=d";
    const auto head = dialect.parseRequest(request);
    REQUIRE(head);
    CHECK(head.value().attemptId == "a1");
    CHECK(head.value().path == "/a/b");
    CHECK(head.value().timeout == 5s);
    CHECK(head.value().promptTokens == 1460);
    CHECK(head.value().expectedOutputTokens == 60);
    REQUIRE(head.value().prompt.size() == 3);
    request.headers["X-Prompt-Prefix"] = "00000000:800,91bd3f06:410";
    CHECK(dialect.parseRequest(request).value().prompt[1].prefixHash != head.value().prompt[1].prefixHash); // the part before counts
    const auto bad = GENERATE(as<std::string>{}, "soon", "-1", "1e9x");
    request.headers["X-Deadline-Ms"] = bad;
    CHECK_FALSE(dialect.parseRequest(request));
    request.headers.erase("X-Deadline-Ms");
    request.headers.erase("X-Attempt-Id");
    CHECK_FALSE(dialect.parseRequest(request));
}

TEST_CASE("what only the gateway may set does not pass from a caller to an upstream", "[dialect]")
{
    const platform::PlatformAdapter dialect;
    http::Request request;
    request.headers = {{"X-Hold", "h"},
                       {"x-pin-ms", "9"},
                       {"X-Kv-Backup", "b"},
                       {"Kv-From", "f"},
                       {"Kv-Fetch", "f"},
                       {"X-Expect-Instance", "other"},
                       {"X-Request-Priority", "0"},
                       {"Connection", "keep-alive, X-Private"},
                       {"X-Private", "p"},
                       {"Transfer-Encoding", "chunked"},
                       {"X-Model", "m"},
                       {"X-Attempt-Id", "a1"}};
    edge::UpstreamRequestOptions terms;
    terms.expectedUpstream = core::UpstreamId("i-a");
    terms.timeout = 1234ms;
    terms.priority = 12;
    terms.isModelEngine = true;
    terms.resumeAfterEventId = "4";
    const http::Headers out = dialect.upstreamHeaders(request, terms);
    CHECK(out
          == http::Headers{{"X-Model", "m"},
                           {"X-Attempt-Id", "a1"},
                           {"X-Expect-Instance", "i-a"},
                           {"X-Deadline-Ms", "1234"},
                           {"X-Request-Priority", "9"},
                           {"Last-Event-ID", "4"}});
}

TEST_CASE("what an upstream's answer shows", "[dialect]")
{
    struct Row
    {
        unsigned status;
        http::Headers headers;
        edge::ResponseKind kind;
    };
    const http::Headers proven{{"X-Attempt-Id", "a1"}, {"X-Response-Stamp", "s"}};
    const auto row = GENERATE_COPY(values<Row>({
        {200, proven, edge::ResponseKind::Success},
        {200, {{"X-Attempt-Id", "a1"}}, edge::ResponseKind::Unverified},
        {200, {{"X-Attempt-Id", "a2"}, {"X-Response-Stamp", "s"}}, edge::ResponseKind::Unverified},
        {200, {{"X-Attempt-Id", "a1"}, {"X-Response-Stamp", "s"}, {"Content-Encoding", "gzip"}}, edge::ResponseKind::Unverified},
        {503, {{"X-Not-Executed", "1"}}, edge::ResponseKind::NotExecuted},
        {503, proven, edge::ResponseKind::ErrorStatus},
        {500, proven, edge::ResponseKind::ErrorStatus},
        {421, {}, edge::ResponseKind::Misdirected},
    }));
    const platform::PlatformAdapter dialect;
    http::Response answer;
    answer.status = row.status;
    answer.headers = row.headers;
    CHECK(dialect.parseResponse(answer, "a1").kind == row.kind);
}

//-----------------------------------------------------------------------------
// Directory
//-----------------------------------------------------------------------------

namespace {

membership::Member memberOf(const std::string &name, const std::string &region, double capacity = 0.25)
{
    membership::Member member;
    member.id = core::InstanceId(name);
    member.region = core::RegionId(region);
    member.domain = core::DomainId(region + "-a");
    member.callersUrl = name;
    member.capacity = capacity;
    return member;
}

} // namespace

TEST_CASE("callers are sent to their own region, else to a home of the routes that have one", "[directory]")
{
    struct Row
    {
        std::vector<membership::Member> live;
        std::set<std::string> named;
    };
    const auto row = GENERATE(values<Row>({
        {{memberOf("a", "x"), memberOf("b", "y"), memberOf("c", "z")}, {"a"}},
        {{memberOf("b", "y"), memberOf("c", "z")}, {"b"}}, // y is a home, z is not
        {{memberOf("c", "z")}, {"c"}},
        {{}, {}},
    }));
    pcg32 random(1);
    const edge::DirectoryQuery query{core::RegionId("x"), core::DomainId("x-a")};
    const auto entries = edge::sampleAddresses(row.live, query, {core::RegionId("y")}, edge::DirectorySettings{}, random);
    CHECK(std::set<std::string>(entries.begin(), entries.end()) == row.named);
}

TEST_CASE("callers are spread by the capacity of instances", "[directory]")
{
    std::vector<membership::Member> members;
    members.reserve(12);
    for (int i = 0; i < 12; ++i) {
        members.push_back(memberOf("n" + std::to_string(i), "x", i < 6 ? 0.5 : 0.125));
    }
    pcg32 random(1);
    const edge::DirectoryQuery query{core::RegionId("x"), core::DomainId("x-a")};
    std::map<std::string, double> share;
    for (int i = 0; i < 4'000; ++i) {
        const auto entries = edge::sampleAddresses(members, query, {}, edge::DirectorySettings{}, random);
        for (const std::string &entry : entries) {
            share[entry] += 1.0 / static_cast<double>(entries.size());
        }
    }
    CHECK(share["n0"] > 2 * share["n11"]);
    CHECK(share["n11"] > 0); // each gets some
}
