// Tests of parsers, codecs and validation: event streams, settings, datagrams, ledger messages, log lines, metrics and the
// simulated engine.

#include "arbutus/core/prefixblocks.h"
#include "arbutus/gateway/platformclient.h"
#include "arbutus/gateway/settings.h"
#include "arbutus/gateway/ssestreamfilter.h"
#include "arbutus/observe/logline.h"
#include "arbutus/observe/metrics.h"
#include "arbutus/peer/client.h"
#include "arbutus/peer/codec.h"
#include "arbutus/peer/server.h"
#include "arbutus/standin/engine.h"
#include "support/freeport.h"

#include <catch2/catch.hpp>
#include <peer.pb.h>

#include <future>
#include <optional>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

std::string tokenEvent(const std::string &id, const std::string &text)
{
    return "data: {\"id\":\"" + id + "\",\"choices\":[{\"finish_reason\":null,\"delta\":{\"content\":\"" + text + "\"}}]}\n\n";
}

const std::string ValidSettings = R"([instance]
name = "gw-1"
region = "bangkok"
failure_domain = "bangkok-a"
[listen]
callers = "127.0.0.1:8101"
admin = "127.0.0.1:8201"
peers = "127.0.0.1:8301"
gossip = "127.0.0.1:8401"
[peers]
cluster_key = "a cluster key of some length"
[platform]
addresses = ["127.0.0.1:7000"]
[keys]
admin = "an admin key of some length"
tickets = [{ id = "k1", secret = "a ticket secret of some length" }]
)";

std::string settingsWith(const std::string &original, const std::string &replacement)
{
    std::string text = ValidSettings;
    const std::size_t at = text.find(original);
    return text.replace(at, original.size(), replacement);
}

} // namespace

TEST_CASE("an event stream is passed on unchanged for any chunk size", "[gateway]")
{
    const std::string input = tokenEvent("a1", "x") + tokenEvent("a1", "y") + "data: [DONE]\n\n";
    const std::size_t chunkSize = GENERATE(1U, 2U, 7U, 50U, 1000U);
    gateway::SseStreamFilter filter(core::AttemptId("a1"), "a1");
    std::string out;
    for (std::size_t at = 0; at < input.size(); at += chunkSize) {
        out += filter.feed(std::string_view(input).substr(at, chunkSize));
    }
    REQUIRE(out == input);
    REQUIRE(filter.complete());
    REQUIRE_FALSE(filter.idMismatch());
    REQUIRE(filter.tokenCount() == 2);
}

TEST_CASE("an event with another attempt's id is not passed on", "[gateway]")
{
    gateway::SseStreamFilter filter(core::AttemptId("a1"), "a1");
    REQUIRE(filter.feed(tokenEvent("a1", "x")) == tokenEvent("a1", "x"));
    REQUIRE(filter.feed(tokenEvent("a2", "secret")).empty());
    REQUIRE(filter.idMismatch());
    REQUIRE(filter.feed(tokenEvent("a1", "z") + "data: [DONE]\n\n").empty());
    REQUIRE_FALSE(filter.complete());
}

TEST_CASE("a stream without an end marker is not complete", "[gateway]")
{
    gateway::SseStreamFilter filter(core::AttemptId("a1"), "a1");
    REQUIRE(filter.feed(tokenEvent("a1", "x") + "data: [DON").size() == tokenEvent("a1", "x").size());
    REQUIRE_FALSE(filter.complete());
}

TEST_CASE("a resumed stream keeps the id that the client has already seen", "[gateway]")
{
    gateway::SseStreamFilter filter(core::AttemptId("a2"), "a1");
    REQUIRE(filter.feed(tokenEvent("a2", "x")) == tokenEvent("a1", "x"));
}

TEST_CASE("valid settings are parsed", "[settings]")
{
    const auto settings = gateway::parseSettings(ValidSettings, "gw.toml");
    REQUIRE(settings);
    REQUIRE(settings.value().node.self.id.text == "gw-1");
    REQUIRE(settings.value().node.self.clientUrl == "http://127.0.0.1:8101");
    REQUIRE(settings.value().node.routerName == "scored");
}

TEST_CASE("an invalid settings file is rejected with file, line, key, value found and values allowed", "[settings]")
{
    struct Row
    {
        std::string text;
        std::string expectedMessage;
    };
    const Row row = GENERATE(
        Row{settingsWith("name = \"gw-1\"\n", ""), "instance.name: found nothing"},
        Row{settingsWith("callers = \"127.0.0.1:8101\"", "callers = \"localhost\""), "gw.toml:6: listen.callers: found \"localhost\", allowed is an IP"},
        Row{settingsWith("admin = \"an admin key of some length\"", "admin = \"short\""), "allowed is at least 16 bytes"},
        Row{settingsWith("region = \"bangkok\"", "region = 7"), "gw.toml:3: instance.region: found 7, allowed is a text"},
        Row{settingsWith("[platform]", "[routing]\nrouter = \"best\"\n[platform]"), "allowed is one of scored"},
        Row{settingsWith("[platform]", "[limits]\nretry_share = 7\n[platform]"), "allowed is a number from 0 to 1"},
        Row{settingsWith("[platform]", "[limits]\nspeed = 7\n[platform]"), "limits.speed: found an unknown key"},
        Row{settingsWith("[platform]", "[tls]\ncertificate = \"c.pem\"\n[platform]"), "allowed is both or none"},
        Row{settingsWith("id = \"k1\", ", ""), "keys.tickets: found an unusable key"},
        Row{"name = ", "gw.toml:1: invalid TOML"});
    const auto settings = gateway::parseSettings(row.text, "gw.toml");
    REQUIRE_FALSE(settings);
    INFO(settings.error().message);
    REQUIRE(settings.error().message.find(row.expectedMessage) != std::string::npos);
    REQUIRE(settings.error().kind == core::ErrorKind::SettingsInvalid);
}

TEST_CASE("an entry of the platform's list that cannot be used is left out, and the others stay", "[platform]")
{
    struct Row
    {
        std::string found;
        std::string replacement;
        bool valid;
    };
    const std::string upstream =
        R"({"id":"u1","kind":"model","region":"r","failure_domain":"d","address":"127.0.0.1:7100","models":["m"],"slots":16,"price":1.5})";
    const std::string instance =
        R"({"id":"n1","kind":"gateway","region":"r","failure_domain":"d","gossip":"127.0.0.1:1","peers":"127.0.0.1:2","url":"http://127.0.0.1:3"})";
    const auto row = GENERATE(values<Row>({
        {"16", "1", true},
        {"16", "10000", true},
        {"\"slots\":16,", "", true},
        {"1.5", "0", true},
        {"16", "0", false},
        {"16", "-1", false},
        {"16", "10001", false},
        {"16", "4294967297", false},
        {"1.5", "-0.1", false},
        {"1.5", "1e300", false},
        {"1.5", "1e400", false},
        {"u1", "", false},
        {"\"u1\"", "7", false},
        {"127.0.0.1:7100", "", false},
        {"127.0.0.1:7100", "127.0.0.1:0", false},
        {"127.0.0.1:7100", "127.0.0.1:70000", false},
        {"127.0.0.1:7100", ":7100", false},
        {"127.0.0.1:1", "127.0.0.1:-1", false},
        {"127.0.0.1:2", "", false},
        {"n1", "", false},
        {"\"region\":\"r\",\"failure_domain\":\"d\",\"gossip\"", "\"gossip\"", false},
    }));
    CAPTURE(row.found, row.replacement);
    const std::string rest = upstream + "," + instance;
    std::string odd = rest;
    odd.replace(odd.find(row.found), row.found.size(), row.replacement);
    const auto object = boost::json::parse(R"({"instances":[7,)" + odd + "," + rest + "]}");
    const gateway::PlatformList list = gateway::parsePlatformList(object.as_object(), core::DomainId("d"));
    CHECK(list.received.upstreams.size() + list.received.instances.size() == (row.valid ? 4 : 3));
    CHECK(list.invalidEntries.size() == (row.valid ? 1 : 2)); // one is not an object
    CHECK_FALSE(list.received.upstreams.empty());
    CHECK(list.received.domainCountByRegion.at(core::RegionId("r")) == 1);
}

TEST_CASE("datagrams round-trip through the codec and tampered ones are rejected", "[peer]")
{
    const peer::DatagramCodec codec("a cluster key of some length");
    node::Datagram datagram;
    datagram.sender = core::InstanceRef{core::InstanceId("n1"), core::Incarnation(5)};
    datagram.domain = core::DomainId("d");
    datagram.region = core::RegionId("r");
    datagram.revision = core::Revision(9);
    node::Digest digest;
    digest.domain = datagram.domain;
    digest.region = datagram.region;
    digest.sequence = 4;
    digest.domains = {node::DigestDomain{datagram.domain, {}}};
    digest.pools = {node::PoolSummary{"m", false, datagram.domain, 30ms, 5, 16, 1.25}};
    digest.demand = {limits::WorkspaceDemand{core::WorkspaceId("w"), 2.5}};
    datagram.body = digest;
    const std::string bytes = codec.encode(datagram);
    const auto result = codec.decode(bytes);
    REQUIRE(result.datagram);
    REQUIRE(result.datagram->revision == datagram.revision);
    const auto &decoded = std::get<node::Digest>(result.datagram->body);
    REQUIRE(decoded.pools == digest.pools);
    REQUIRE(decoded.demand.front().requestsPerSecond == 2.5);

    for (std::size_t i = 0; i < bytes.size(); ++i) {
        std::string tampered = bytes;
        tampered[i] = static_cast<char>(tampered[i] ^ 1);
        REQUIRE_FALSE(codec.decode(tampered).datagram);
    }
    REQUIRE(peer::DatagramCodec("another cluster key here").decode(bytes).error == peer::DatagramError::AuthenticationFailed);
    REQUIRE(codec.decode("short").error == peer::DatagramError::Malformed);
}

TEST_CASE("a load update without reports is not malformed", "[peer]")
{
    const peer::DatagramCodec codec("a cluster key of some length");
    node::Datagram datagram;
    datagram.sender = core::InstanceRef{core::InstanceId("n1"), core::Incarnation(5)};
    datagram.body = node::LoadUpdate{};
    CHECK(codec.decode(codec.encode(datagram)).datagram);
}

TEST_CASE("the current and the previous protocol version are supported, a newer one is not", "[peer]")
{
    REQUIRE(peer::isVersionSupported(peer::ProtocolVersion));
    REQUIRE(peer::isVersionSupported(peer::ProtocolVersion - 1));
    REQUIRE_FALSE(peer::isVersionSupported(peer::ProtocolVersion + 1));
}

TEST_CASE("ledger calls round-trip through the wire format", "[peer]")
{
    delivery::Handover handover;
    handover.records.push_back(
        {"key",
         core::WallTime(5s),
         {delivery::LedgerStatus::Completed, "digest", delivery::RecordedOutcome{delivery::OutcomeKind::Completed, 201, "text/plain", "done", true}}});
    handover.closedOwners.push_back({core::InstanceRef{core::InstanceId("o"), core::Incarnation(3)}, core::WallTime(9s)});
    const std::vector<node::LedgerCall> calls{node::LedgerIntent{"t", "d"},
                                              node::LedgerOutcome{"t", delivery::RecordedOutcome{delivery::OutcomeKind::Unknown, 0, "", "", true}},
                                              node::LedgerSeal{"t"},
                                              node::LedgerLookup{"t"},
                                              handover};
    for (const node::LedgerCall &call : calls) {
        wire::LedgerRequest out;
        peer::toWire(call, out);
        REQUIRE(peer::fromWire(out).index() == call.index());
    }
    wire::LedgerRequest out;
    peer::toWire(calls.back(), out);
    const auto decoded = std::get<delivery::Handover>(peer::fromWire(out));
    REQUIRE(decoded.records.front().result.outcome == handover.records.front().result.outcome);
    REQUIRE(decoded.closedOwners.front().owner == handover.closedOwners.front().owner);
}

TEST_CASE("an outcome recorded by another instance is complete only with a valid status", "[peer]")
{
    struct Row
    {
        unsigned status;
        delivery::OutcomeKind kind;
    };
    using enum delivery::OutcomeKind;
    const auto row = GENERATE(values<Row>({{0, Unknown}, {99, Unknown}, {100, Unknown}, {200, Completed}, {404, Completed}, {599, Completed}, {600, Unknown}}));
    CAPTURE(row.status);
    const delivery::RecordedOutcome outcome{Completed, row.status, "text/plain", "done", true};
    wire::LedgerRequest request;
    peer::toWire(node::LedgerOutcome{"t", outcome}, request);
    CHECK(std::get<node::LedgerOutcome>(peer::fromWire(request)).outcome.kind == row.kind);
    wire::LedgerReply reply;
    peer::toWire(delivery::LedgerResult{delivery::LedgerStatus::Completed, "digest", outcome}, reply);
    CHECK(peer::fromWire(reply).outcome->kind == row.kind);
}

TEST_CASE("a response of another instance is read only behind a head with a valid status", "[peer]")
{
    struct Row
    {
        std::optional<unsigned> status; // none: the response has no head
        bool accepted;
    };
    const auto row =
        GENERATE(values<Row>({{{}, false}, {0, false}, {99, false}, {103, false}, {200, true}, {404, true}, {599, true}, {600, false}, {999, false}}));
    CAPTURE(row.status.value_or(0), row.status.has_value());
    const std::string key = "a cluster key of some length";
    const std::string address = "127.0.0.1:" + std::to_string(tests::freePort());
    peer::ServerHandlers handlers;
    handlers.onForwardedRequest = [&row](const std::shared_ptr<peer::ForwardSession> &session) {
        if (row.status) {
            session->sendHead(http::Response{*row.status, {{"Content-Type", "text/plain"}}, {}}, [](bool) {});
        }
        session->sendBody("body", [](bool) {});
        session->finish(true);
    };
    const peer::Server server(address, key, handlers);
    peer::Client client(key);
    peer::ForwardCall call;
    call.remainingTime = 5s;
    const auto stream = client.forward(address, call);
    const auto read = [&] {
        std::promise<std::optional<peer::ForwardChunk>> chunk;
        stream->read([&chunk](std::optional<peer::ForwardChunk> arrived) { chunk.set_value(std::move(arrived)); });
        return chunk.get_future().get();
    };
    const auto head = read();
    REQUIRE(head.has_value() == row.accepted);
    if (row.accepted) {
        CHECK(head->head.status == row.status);
        CHECK(read()->body == "body");
        CHECK(read()->last);
    } else {
        CHECK_FALSE(read().has_value());
    }
}

TEST_CASE("log lines quote and escape values where necessary", "[observe]")
{
    observe::LogLine line("thing_done");
    line.add("count", 3).add("reason", "two words").add("empty", "").add("quote", "a\"b\n");
    REQUIRE(line.text() == "event=thing_done count=3 reason=\"two words\" empty=\"\" quote=\"a\\\"b \"");
}

TEST_CASE("metrics are rendered as Prometheus text", "[observe]")
{
    observe::Metrics metrics;
    metrics.incrementCounter("requests_total", "class=\"desk\"");
    metrics.incrementCounter("requests_total", "class=\"desk\"", 2);
    metrics.setGauge("queued", "", 4);
    metrics.observeDuration("seconds", "", 10ms);
    const std::string text = metrics.prometheusText();
    REQUIRE(text.find("requests_total{class=\"desk\"} 3\n") != std::string::npos);
    REQUIRE(text.find("queued 4\n") != std::string::npos);
    REQUIRE(text.find("seconds_count 1\n") != std::string::npos);
    REQUIRE(text.find("seconds_bucket{le=\"+Inf\"} 1\n") != std::string::npos);
}

TEST_CASE("the simulated engine batches, honors priorities and bounds its cache", "[standin]")
{
    standin::EngineOptions options;
    options.slots = 2;
    options.cacheBlocks = 4;
    standin::Engine engine(options);
    const auto sequence = [](int priority, std::size_t tokens, std::vector<std::uint64_t> blocks = {}) {
        standin::Sequence out;
        out.priority = priority;
        out.promptTokens = 100;
        out.maxTokens = tokens;
        out.blocks = std::move(blocks);
        return out;
    };
    const auto first = engine.submit(sequence(1, 3));
    engine.submit(sequence(1, 3));
    const auto lowPriority = engine.submit(sequence(2, 1));
    const auto highPriority = engine.submit(sequence(0, 1));
    standin::StepResult step = engine.step(core::TimePoint());
    const auto isScheduled = [&](standin::SequenceId id) {
        return std::any_of(step.emitted.begin(), step.emitted.end(), [id](const auto &pair) { return pair.first == id; });
    };
    REQUIRE(step.emitted.size() == 2);
    REQUIRE(isScheduled(highPriority)); // submitted last, but scheduled before sequences of lower priority
    REQUIRE(isScheduled(first));
    REQUIRE_FALSE(isScheduled(lowPriority));
    REQUIRE(engine.running() + engine.waiting() == 3);
    engine.cancel(first);
    for (int i = 0; i < 20 && engine.running() + engine.waiting() > 0; ++i) {
        step = engine.step(core::TimePoint());
    }
    REQUIRE(engine.running() + engine.waiting() == 0);
    REQUIRE(engine.step(core::TimePoint()).duration.count() == 0);

    engine.submit(sequence(0, 1, {1, 2, 3}));
    engine.step(core::TimePoint());
    REQUIRE(engine.cachedBlocks({1, 2, 3, 9}) == 3);
    engine.submit(sequence(0, 1, {4, 5}));
    engine.step(core::TimePoint());
    REQUIRE(engine.cachedBlocks({1, 2, 3}) == 0); // block 1 was the least recently used and has been evicted
    REQUIRE(engine.cacheEvents().back().stored == false);
    standin::Sequence resumed = sequence(0, 5);
    resumed.resumeOffset = 3;
    engine.submit(resumed);
    REQUIRE(engine.step(core::TimePoint()).emitted.front().second == 3);
}

TEST_CASE("prompts with a common prefix have equal hashes for its blocks", "[core]")
{
    const std::string common(core::PrefixBlockBytes * 2, 'a');
    const auto left = core::prefixBlockHashes(common + std::string(core::PrefixBlockBytes, 'x'));
    const auto right = core::prefixBlockHashes(common + std::string(core::PrefixBlockBytes, 'y') + "z");
    REQUIRE(left.size() == 3);
    REQUIRE(left[0] == right[0]);
    REQUIRE(left[1] == right[1]);
    REQUIRE(left[2] != right[2]);
    REQUIRE(core::prefixBlockHashes("short").empty());
}
