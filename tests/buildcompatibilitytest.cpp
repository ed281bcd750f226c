// Instances of different builds side by side: messages recorded from older builds, and the fields that these builds read.
//
// tests/recorded/messages.txt has one line for each message: commit of the build, name, bytes in hexadecimal. The test case [.record]
// prints such lines for the present build. tests/recorded/fields.txt has one line for each field of the protocols: the oldest recorded
// commit that has it, file, message, number, and type with its label; "reserved" if no field has the number any more.

#include "arbutus/edge/codec.h"

#include "fleet.pb.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <map>
#include <regex>
#include <set>
#include <sstream>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

constexpr core::TimePoint Start = core::TimePoint{} + 1h;

//-----------------------------------------------------------------------------
// Messages
//-----------------------------------------------------------------------------

enum class Build {
    WithoutPaths, // 0bea10d: no lost paths, no relays, no leaving upstreams in notices
    WithPaths,    // 08d4e9d
};

struct NamedMessage
{
    std::string name;
    edge::FleetMessageBody body;
};

membership::Member sampleMember(const std::string &id, membership::MemberCondition condition)
{
    membership::Member member;
    member.id = core::InstanceId(id);
    member.incarnation = core::Incarnation(7);
    member.leaving = condition == membership::MemberCondition::Suspect;
    member.refutation = 2;
    member.condition = condition;
    member.domain = core::DomainId("z");
    member.region = core::RegionId("x");
    member.gossipAddress = "127.0.0.1:9001";
    member.peerAddress = "127.0.0.1:9002";
    member.clientUrl = "127.0.0.1:9003";
    member.capacity = 0.5;
    return member;
}

membership::Message sampleGossip(std::variant<membership::Ping, membership::PingRequest, membership::Ack> body)
{
    membership::Message message;
    message.sender = core::InstanceRef{core::InstanceId("n"), core::Incarnation(3)};
    message.body = std::move(body);
    message.updates = {sampleMember("m1", membership::MemberCondition::Alive),
                       sampleMember("m2", membership::MemberCondition::Suspect),
                       sampleMember("m3", membership::MemberCondition::Dead)};
    return message;
}

routing::PlacementRequest sampleRequest(Build build)
{
    routing::PlacementRequest request;
    request.id = routing::PlacementId("a1/2");
    request.service = core::ServiceId("s");
    request.priority = 2;
    request.latencyDeadline = Start + 300ms;
    request.responseDeadline = Start + 4s;
    request.completionDeadline = Start + 5s;
    request.prompt = {routing::PromptPart{~std::uint64_t(0), 7, routing::PromptPartId(11)}, routing::PromptPart{5, 9, routing::PromptPartId(12)}};
    request.fingerprint = routing::RequestFingerprint{21, 22};
    request.promptTokens = 16;
    request.outputTokens = 40;
    request.allowOtherRegions = true;
    request.allowedRegions = {core::RegionId("x"), core::RegionId("y")};
    request.excludedUpstreams = {core::UpstreamId("u1")};
    request.excludedRegions = {core::RegionId("q")};
    request.requiredVersion = routing::SoftwareVersion("v2");
    if (build == Build::WithPaths) {
        request.unreachableUpstreams = {core::UpstreamId("u2")};
        request.excludedRelays = {core::InstanceId("m1")};
    }
    return request;
}

std::vector<edge::PlacementReply> sampleReplies(Build build)
{
    std::vector<edge::PlacementReply> replies;
    const auto add = [&](const char *id, routing::PlacementDecision decision) {
        replies.push_back(edge::PlacementReply{routing::PlacementId(id), std::move(decision)});
    };
    add("a1/1", routing::Granted{core::UpstreamId("u1"), "127.0.0.1:8001", 9, 30ms, true, routing::SoftwareVersion("v1")});
    add("a2/1", routing::Queued{40ms});
    add("a3/1", routing::Redirected{core::RegionId("y"), 50ms});
    add("a4/1", routing::Refused{routing::RefusalReason::NoUpstream, 60ms});
    add("a5/1", routing::Refused{routing::RefusalReason::Overloaded, 70ms});
    add("a6/1", routing::Refused{routing::RefusalReason::Quarantined, 80ms});
    add("a7/1", routing::Refused{routing::RefusalReason::VersionGone, 90ms});
    if (build == Build::WithPaths) {
        add("a8/1", routing::Redirected{core::RegionId("x"), 20ms, core::Duration::zero(), core::InstanceId("m1")});
    }
    return replies;
}

std::vector<routing::UpstreamNotice> sampleNotices(Build build)
{
    std::vector<routing::UpstreamNotice> notices = {
        routing::UpstreamNotice{core::UpstreamId("u1"), routing::StartTime(7), 2.5, Start - 200ms},
        routing::UpstreamNotice{core::UpstreamId("u2"), routing::StartTime(8), std::nullopt, Start - 1s},
    };
    if (build == Build::WithPaths) {
        notices.push_back(routing::UpstreamNotice{core::UpstreamId("u3"), routing::StartTime(9), std::nullopt, Start - 2s, true});
    }
    return notices;
}

routing::StreamRecord sampleStream()
{
    return routing::StreamRecord{routing::StreamId("a1"), routing::StreamOrigin{core::ServiceId("s"), routing::SoftwareVersion("v1")}, Start - 150ms};
}

edge::PlacementReport sampleReport(Build build)
{
    using routing::SendOutcome;
    edge::PlacementReport report;
    report.inFlight = {routing::ReportedRequest{routing::PlacementId("a1/1"), core::UpstreamId("u1"), 40ms, 7, sampleStream()},
                       routing::ReportedRequest{routing::PlacementId("a2/1"), core::UpstreamId("u2"), std::nullopt, 8, std::nullopt}};
    std::vector<SendOutcome> outcomes = {SendOutcome::Completed,
                                         SendOutcome::ClientDisconnected,
                                         SendOutcome::Rejected,
                                         SendOutcome::Unreachable,
                                         SendOutcome::Incomplete,
                                         SendOutcome::TimedOut,
                                         SendOutcome::ServerError,
                                         SendOutcome::NeverSent};
    if (build == Build::WithPaths) {
        outcomes.push_back(SendOutcome::NoPath);
        report.unreachableUpstreams = {core::UpstreamId("u2")};
    }
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        report.completed.push_back(edge::CompletedPlacement{routing::PlacementId("e" + std::to_string(i)), core::UpstreamId("u1"), outcomes[i]});
    }
    report.notices = sampleNotices(build);
    return report;
}

edge::RegionState sampleState(Build build)
{
    routing::ServiceLoad load;
    load.service = core::ServiceId("s");
    load.queueDelay = 12ms;
    load.prefillTokensPerMs = 6.5;
    load.freeSlots = 3;
    load.usableUpstreams = 4;
    load.serviceTime = 90ms;
    load.prefillUtilization = 0.25;
    load.cacheMissRatio = 0.75;
    load.versions = {routing::VersionLoad{routing::SoftwareVersion("v1"), 2, 30ms}, routing::VersionLoad{routing::SoftwareVersion("v2"), 2, 31ms}};
    edge::RegionState state;
    state.serviceLoads = {edge::RegionServiceLoad{core::RegionId("x"), load, 5ms}};
    state.lastChange.revision = metadata::StoreRevision(41);
    state.storePosition.revision = metadata::StoreRevision(43);
    state.metadataStaleness = 250ms;
    state.notices = sampleNotices(build);
    if (build == Build::WithPaths) {
        state.unreachableUpstreams = {core::UpstreamId("u2")};
    }
    return state;
}

std::vector<routing::CauseRecord> sampleCauses()
{
    routing::CauseRecord part;
    part.cause = routing::PromptPartId(17);
    part.generation = 3;
    part.quarantined = true;
    part.lastRequestedAt = Start - 400ms;
    part.crashes = {routing::CauseCrash{core::UpstreamId("u1"), Start - 900ms}, routing::CauseCrash{core::UpstreamId("u2"), Start - 800ms}};
    routing::CauseRecord request;
    request.cause = routing::RequestFingerprint{31, 32};
    request.lastRequestedAt = Start - 500ms;
    request.crashes = {routing::CauseCrash{core::UpstreamId("u1"), Start - 700ms}};
    return {part, request};
}

std::vector<NamedMessage> sampleMessages(Build build)
{
    return {
        {"ping", sampleGossip(membership::Ping{5})},
        {"ping_request", sampleGossip(membership::PingRequest{6, core::InstanceId("m2")})},
        {"ack", sampleGossip(membership::Ack{7})},
        {"placement_request", sampleRequest(build)},
        {"placement_replies", sampleReplies(build)},
        {"placement_report", sampleReport(build)},
        {"placement_cancellation", edge::PlacementCancellation{routing::PlacementId("a1/2")}},
        {"region_state", sampleState(build)},
        {"quarantine", sampleCauses()},
        {"stream_query", edge::StreamQuery{routing::StreamId("a1")}},
        {"stream_report", edge::StreamReport{{sampleStream()}, {routing::StreamId("a9")}}},
    };
}

edge::MetadataSnapshot sampleSnapshot()
{
    edge::MetadataSnapshot snapshot;
    snapshot.lastChange.revision = metadata::StoreRevision(41);
    snapshot.storePosition.revision = metadata::StoreRevision(43);
    snapshot.staleness = 250ms;
    snapshot.catalogValue = R"({"version":1})";
    snapshot.upstreamEntries = {{"servers/u1", "entry 1"}, {"servers/u2", "entry 2"}};
    snapshot.evacuatedDomains = {core::DomainId("z")};
    snapshot.recentStoreOutage = true;
    return snapshot;
}

std::string encodeSample(const edge::FleetMessageBody &body)
{
    return edge::encode(edge::FleetMessage{core::InstanceRef{core::InstanceId("n"), core::Incarnation(3)}, core::RegionId("x"), body}, Start);
}

std::string toHex(const std::string &bytes)
{
    std::string out;
    for (const char byte : bytes) {
        constexpr std::string_view Digits = "0123456789abcdef";
        const auto value = static_cast<unsigned char>(byte);
        out += Digits[value / 16];
        out += Digits[value % 16];
    }
    return out;
}

std::string fromHex(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
        out += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
    }
    return out;
}

struct RecordedMessage
{
    std::string commit;
    std::string name;
    std::string bytes;
};

std::vector<RecordedMessage> readRecordedMessages()
{
    std::ifstream file(ARBUTUS_RECORDED_DIR "/messages.txt");
    std::vector<RecordedMessage> out;
    RecordedMessage message;
    while (file >> message.commit >> message.name >> message.bytes) {
        message.bytes = fromHex(message.bytes);
        out.push_back(message);
    }
    return out;
}

struct RecordedBuild
{
    std::string commit;
    Build build;
};

const std::array RecordedBuilds = {RecordedBuild{"0bea10d", Build::WithoutPaths}, RecordedBuild{"08d4e9d", Build::WithPaths}};

//-----------------------------------------------------------------------------
// Fields
//-----------------------------------------------------------------------------

using FieldKey = std::pair<std::string, int>; // full name of the message, and number

/// The parts of a .proto file that determine the encoding.
struct ProtoFields
{
    std::map<FieldKey, std::string> types; // with the label
    std::set<FieldKey> reserved;
};

/// Reads a .proto file with one field or several on a line, as ours have.
ProtoFields readProto(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    for (std::string line; std::getline(file, line);) {
        text << line.substr(0, line.find("//")) << ' ';
    }
    static const std::regex spaces("[ ]+");
    static const std::regex fieldLine("^(repeated |optional )?([A-Za-z0-9_.]+) ([a-z0-9_]+) ?= ?([0-9]+)$");
    static const std::regex reservedLine("^reserved ([0-9, ]+)$");
    ProtoFields out;
    std::vector<std::string> scopes; // kind and name of the blocks around
    std::string statement;
    const auto messageName = [&] {
        std::string name;
        for (const std::string &scope : scopes) {
            if (scope.starts_with("message ")) {
                name += (name.empty() ? "" : ".") + scope.substr(std::string("message ").size());
            }
        }
        return name;
    };
    const auto trimmed = [](std::string value) {
        value = std::regex_replace(value, spaces, " ");
        const std::size_t begin = value.find_first_not_of(' ');
        return begin == std::string::npos ? std::string() : value.substr(begin, value.find_last_not_of(' ') - begin + 1);
    };
    for (const char character : text.str()) {
        if (character == '{') {
            scopes.push_back(trimmed(std::exchange(statement, {})));
        } else if (character == '}') {
            scopes.pop_back();
        } else if (character == ';') {
            const std::string line = trimmed(std::exchange(statement, {}));
            const bool isInEnum = !scopes.empty() && scopes.back().starts_with("enum ");
            const std::string message = isInEnum ? messageName() + "." + scopes.back().substr(std::string("enum ").size()) : messageName();
            static const std::regex enumValue("^([A-Z0-9_]+) ?= ?([0-9]+)$");
            std::smatch match;
            if (isInEnum && std::regex_match(line, match, enumValue)) {
                out.types[{message, std::stoi(match[2])}] = match[1];
            } else if (std::regex_match(line, match, reservedLine)) {
                std::stringstream numbers(match[1]);
                for (std::string number; std::getline(numbers, number, ',');) {
                    out.reserved.insert({message, std::stoi(number)});
                }
            } else if (!message.empty() && std::regex_match(line, match, fieldLine)) {
                out.types[{message, std::stoi(match[4])}] = match[1].str() + match[2].str();
            }
        } else {
            statement += character;
        }
    }
    return out;
}

} // namespace

TEST_CASE("messages of older builds have the meaning that they had", "[codec]")
{
    const std::vector<RecordedMessage> recorded = readRecordedMessages();
    for (const RecordedBuild &build : RecordedBuilds) {
        for (const NamedMessage &message : sampleMessages(build.build)) {
            CAPTURE(build.commit, message.name);
            const auto found = std::find_if(
                recorded.begin(), recorded.end(), [&](const RecordedMessage &row) { return row.commit == build.commit && row.name == message.name; });
            REQUIRE(found != recorded.end());
            const auto decoded = edge::decodeFleetMessage(found->bytes, Start);
            REQUIRE(decoded);
            CHECK(decoded->ignoredParts == 0);
            CHECK(decoded->sender.id == core::InstanceId("n"));
            CHECK(toHex(edge::encode(*decoded, Start)) == toHex(encodeSample(message.body)));
        }
        const auto found =
            std::find_if(recorded.begin(), recorded.end(), [&](const RecordedMessage &row) { return row.commit == build.commit && row.name == "snapshot"; });
        REQUIRE(found != recorded.end());
        const auto snapshot = edge::decodeMetadataSnapshot(found->bytes);
        REQUIRE(snapshot);
        CHECK(toHex(edge::encode(*snapshot)) == toHex(edge::encode(sampleSnapshot())));
    }
}

TEST_CASE("what an older build can say is sent in the bytes that it reads", "[codec]")
{
    for (const RecordedMessage &row : readRecordedMessages()) {
        const bool hasRemovedField = row.commit == "0bea10d" && row.name == "region_state"; // RegionState.leaving
        if (hasRemovedField) {
            continue;
        }
        CAPTURE(row.commit, row.name);
        std::string bytes = edge::encode(sampleSnapshot());
        for (const RecordedBuild &build : RecordedBuilds) {
            for (const NamedMessage &message : sampleMessages(build.build)) {
                if (build.commit == row.commit && message.name == row.name) {
                    bytes = encodeSample(message.body);
                }
            }
        }
        CHECK(toHex(bytes) == toHex(row.bytes));
    }
}

TEST_CASE("a message does not state the configuration version of its sender", "[codec]")
{
    const catalog::CatalogVersion version(6);
    for (const NamedMessage &message : sampleMessages(Build::WithPaths)) {
        CAPTURE(message.name);
        edge::FleetMessage sent{core::InstanceRef{core::InstanceId("n"), core::Incarnation(3)}, core::RegionId("x"), message.body};
        sent.catalogVersion = version;
        const auto received = edge::decodeFleetMessage(edge::encode(sent, Start), Start);
        REQUIRE(received);
        CHECK(received->catalogVersion == version);
    }
}

TEST_CASE("a message does not state the evacuations that its sender keeps", "[codec]")
{
    const edge::KeptEvacuations kept{metadata::StoreGeneration(2), {{core::DomainId("z"), 4s}, {core::DomainId("z2"), 0s}}};
    for (const NamedMessage &message : sampleMessages(Build::WithPaths)) {
        CAPTURE(message.name);
        edge::FleetMessage sent{core::InstanceRef{core::InstanceId("n"), core::Incarnation(3)}, core::RegionId("x"), message.body};
        sent.keptEvacuations = kept;
        const auto received = edge::decodeFleetMessage(edge::encode(sent, Start), Start);
        REQUIRE(received);
        CHECK(received->keptEvacuations.generation == kept.generation);
        CHECK(received->keptEvacuations.domains == kept.domains);
    }
}

TEST_CASE("a placement request and its refusal do not state the configuration that they go by", "[codec]")
{
    routing::PlacementRequest request = sampleRequest(Build::WithPaths);
    request.route = catalog::RouteId("r");
    request.catalogVersion = catalog::CatalogVersion(6);
    const auto received = edge::decodeFleetMessage(encodeSample(request), Start);
    REQUIRE(received);
    CHECK(std::get<routing::PlacementRequest>(received->body).route == request.route);
    CHECK(std::get<routing::PlacementRequest>(received->body).catalogVersion == request.catalogVersion);
    const std::vector replies = {edge::PlacementReply{request.id, routing::Refused{routing::RefusalReason::Outdated, 60ms}}};
    const auto reply = edge::decodeFleetMessage(encodeSample(replies), Start);
    REQUIRE(reply);
    const auto &decision = std::get<std::vector<edge::PlacementReply>>(reply->body).front().decision;
    CHECK(std::get<routing::Refused>(decision).reason == routing::RefusalReason::Outdated);
}

TEST_CASE("an older build mistakes a refusal as outdated for one that needs more than another attempt", "[codec]")
{
    const std::vector replies = {edge::PlacementReply{routing::PlacementId("a1/1"), routing::Refused{routing::RefusalReason::Outdated, 60ms}}};
    fleet::Datagram datagram;
    REQUIRE(datagram.ParseFromString(encodeSample(replies)));
    const fleet::Verdict &verdict = datagram.verdicts().verdicts(0);
    CHECK(verdict.kind() == fleet::Verdict::REFUSED);
    CHECK_FALSE(verdict.overloaded());
    CHECK_FALSE(verdict.quarantined());
    CHECK_FALSE(verdict.version_gone());
    CHECK(verdict.retry_after_us() == 60'000);
}

TEST_CASE("a placement request of an older build is taken to state a route", "[codec]")
{
    for (const RecordedMessage &row : readRecordedMessages()) {
        if (row.name != "placement_request") {
            continue;
        }
        CAPTURE(row.commit);
        const auto message = edge::decodeFleetMessage(row.bytes, Start);
        REQUIRE(message);
        CHECK(std::get<routing::PlacementRequest>(message->body).route.empty());
        CHECK(std::get<routing::PlacementRequest>(message->body).catalogVersion.value == 0);
    }
}

TEST_CASE("a message of an older build is taken to state a configuration version", "[codec]")
{
    for (const RecordedMessage &row : readRecordedMessages()) {
        CAPTURE(row.commit, row.name);
        const bool isSnapshot = row.name == "snapshot";
        const auto snapshot = isSnapshot ? edge::decodeMetadataSnapshot(row.bytes) : std::nullopt;
        const auto message = isSnapshot ? std::nullopt : edge::decodeFleetMessage(row.bytes, Start);
        REQUIRE((snapshot || message));
        CHECK((isSnapshot ? snapshot->catalogVersion : message->catalogVersion).value == 0);
        CHECK((isSnapshot || message->keptEvacuations.domains.empty()));
    }
}

TEST_CASE("a report does not state when the events of a stream came", "[codec]")
{
    edge::PlacementReport report = sampleReport(Build::WithPaths);
    report.completed.front().timing = routing::StreamTiming{31, 400ms, 35ms};
    const std::string bytes = encodeSample(report);
    const auto received = edge::decodeFleetMessage(bytes, Start);
    REQUIRE(received);
    CHECK(std::get<edge::PlacementReport>(received->body).completed.front().timing == report.completed.front().timing);
    CHECK(std::get<edge::PlacementReport>(received->body).completed.back().timing == routing::StreamTiming{});
    fleet::Datagram datagram; // what an older build reads
    REQUIRE(datagram.ParseFromString(bytes));
    fleet::Work::Ended *ended = datagram.mutable_work()->mutable_ended(0);
    ended->clear_events();
    ended->clear_stream_us();
    ended->clear_max_gap_us();
    const auto readByOlder = edge::decodeFleetMessage(datagram.SerializeAsString(), Start);
    REQUIRE(readByOlder);
    CHECK(toHex(edge::encode(*readByOlder, Start)) == toHex(encodeSample(sampleReport(Build::WithPaths))));
}

TEST_CASE("a region's state does not state what was learned about engines", "[codec]")
{
    edge::RegionState state = sampleState(Build::WithPaths);
    const routing::EngineFigures figures{64, routing::FractionalMs(4), routing::FractionalMs(0.125), routing::FractionalMs(32)};
    state.profiles = {routing::ProfileReport{core::ServiceId("s"), {}, {}, {figures, {0.25, 0.5, 0.75, 1}, 40}},
                      routing::ProfileReport{core::ServiceId("s"), core::UpstreamId("u1"), routing::StartTime(7), {figures, {0.125, 0.25, 0.5, 1}, 20}}};
    const std::string bytes = encodeSample(state);
    const auto received = edge::decodeFleetMessage(bytes, Start);
    REQUIRE(received);
    CHECK(received->ignoredParts == 0);
    CHECK(std::get<edge::RegionState>(received->body).profiles == state.profiles);
    fleet::Datagram datagram; // what an older build reads
    REQUIRE(datagram.ParseFromString(bytes));
    datagram.mutable_region_state()->clear_profiles();
    const auto readByOlder = edge::decodeFleetMessage(datagram.SerializeAsString(), Start);
    REQUIRE(readByOlder);
    CHECK(toHex(edge::encode(*readByOlder, Start)) == toHex(encodeSample(sampleState(Build::WithPaths))));
}

TEST_CASE("a message of an older build is taken to say something about engines", "[codec]")
{
    for (const RecordedMessage &row : readRecordedMessages()) {
        if (row.name != "placement_report" && row.name != "region_state") {
            continue;
        }
        CAPTURE(row.commit, row.name);
        const auto message = edge::decodeFleetMessage(row.bytes, Start);
        REQUIRE(message);
        if (const auto *report = std::get_if<edge::PlacementReport>(&message->body)) {
            const auto isStated = [](const edge::CompletedPlacement &completed) { return completed.timing != routing::StreamTiming{}; };
            CHECK(std::none_of(report->completed.begin(), report->completed.end(), isStated));
        } else {
            CHECK(std::get<edge::RegionState>(message->body).profiles.empty());
        }
    }
}

TEST_CASE("a snapshot does not state the configuration version of its sender", "[codec]")
{
    edge::MetadataSnapshot sent = sampleSnapshot();
    sent.catalogVersion = catalog::CatalogVersion(6);
    const auto received = edge::decodeMetadataSnapshot(edge::encode(sent));
    REQUIRE(received);
    CHECK(received->catalogVersion == sent.catalogVersion);
}

TEST_CASE("a snapshot does not state how old its entries and the ends of evacuations are", "[codec]")
{
    edge::MetadataSnapshot sent = sampleSnapshot();
    sent.entryRevisions[sent.upstreamEntries.begin()->first] = metadata::StoreRevision(40);
    sent.removedEvacuations[core::DomainId("y")] = edge::RemovedEvacuation{metadata::StoreRevision(41), 1'500ms};
    const auto received = edge::decodeMetadataSnapshot(edge::encode(sent));
    REQUIRE(received);
    CHECK(received->entryRevisions == sent.entryRevisions);
    CHECK(received->removedEvacuations == sent.removedEvacuations);
    CHECK(received->upstreamEntries == sent.upstreamEntries); // what an older build reads
    CHECK(received->evacuatedDomains == sent.evacuatedDomains);
}

TEST_CASE("no field of an older build has another type or number, or is used again", "[codec]")
{
    const std::map<std::string, ProtoFields> protos = {{"fleet.proto", readProto(ARBUTUS_PROTO_DIR "/fleet.proto")},
                                                       {"peer.proto", readProto(ARBUTUS_PROTO_DIR "/peer.proto")}};
    std::ifstream file(ARBUTUS_RECORDED_DIR "/fields.txt");
    std::size_t count = 0;
    for (std::string line; std::getline(file, line);) {
        std::stringstream columns(line);
        std::string commit;
        std::string proto;
        FieldKey key;
        std::string type;
        columns >> commit >> proto >> key.first >> key.second;
        std::getline(columns >> std::ws, type);
        CAPTURE(line);
        REQUIRE(protos.contains(proto));
        const ProtoFields &fields = protos.at(proto);
        const auto field = fields.types.find(key);
        ++count;
        if (field == fields.types.end() || type == "reserved") {
            CHECK(fields.reserved.contains(key));
        } else {
            CHECK(field->second == type);
        }
    }
    constexpr std::size_t MinFields = 200;
    CHECK(count >= MinFields);
}

TEST_CASE("what a newer build may send is ignored and counted", "[codec]")
{
    constexpr std::uint32_t NewerValue = 9; // of an enumeration
    fleet::Datagram datagram;
    datagram.set_version(edge::FleetProtocolVersion);
    datagram.set_sender("n");
    constexpr std::size_t OnePart = 1;
    SECTION("condition of a member")
    {
        datagram.mutable_ping()->set_number(5);
        for (const std::uint32_t condition : {0U, NewerValue}) {
            datagram.add_members()->set_id("m" + std::to_string(condition));
            datagram.mutable_members()->rbegin()->set_condition(condition);
        }
        const auto decoded = edge::decodeFleetMessage(datagram.SerializeAsString(), Start);
        REQUIRE(decoded);
        const auto &updates = std::get<membership::Message>(decoded->body).updates;
        REQUIRE(updates.size() == 1);
        CHECK(updates.front().id == core::InstanceId("m0"));
        CHECK(decoded->ignoredParts == OnePart);
    }
    SECTION("decision on a placement")
    {
        for (const int kind : {static_cast<int>(fleet::Verdict::WAITS), static_cast<int>(NewerValue)}) {
            fleet::Verdict *verdict = datagram.mutable_verdicts()->add_verdicts();
            verdict->set_id("a" + std::to_string(kind));
            verdict->set_kind(static_cast<fleet::Verdict::Kind>(kind));
        }
        const auto decoded = edge::decodeFleetMessage(datagram.SerializeAsString(), Start);
        REQUIRE(decoded);
        const auto &replies = std::get<std::vector<edge::PlacementReply>>(decoded->body);
        REQUIRE(replies.size() == 1);
        CHECK(replies.front().id == routing::PlacementId("a1"));
        CHECK(decoded->ignoredParts == OnePart);
    }
    SECTION("outcome of a send, which has ended all the same")
    {
        fleet::Work::Ended *ended = datagram.mutable_work()->add_ended();
        ended->set_id("a1");
        ended->set_ending(NewerValue);
        const auto decoded = edge::decodeFleetMessage(datagram.SerializeAsString(), Start);
        REQUIRE(decoded);
        const auto &completed = std::get<edge::PlacementReport>(decoded->body).completed;
        REQUIRE(completed.size() == 1);
        CHECK(completed.front().outcome == routing::SendOutcome::NeverSent); // says nothing about the upstream
        CHECK(decoded->ignoredParts == OnePart);
    }
    SECTION("cause of crashes")
    {
        datagram.mutable_quarantine()->add_records()->set_quarantined(true); // no part and no request that this build knows
        datagram.mutable_quarantine()->add_records()->set_part(0);
        const auto decoded = edge::decodeFleetMessage(datagram.SerializeAsString(), Start);
        REQUIRE(decoded);
        const auto &causes = std::get<std::vector<routing::CauseRecord>>(decoded->body);
        REQUIRE(causes.size() == 1);
        CHECK_FALSE(causes.front().quarantined);
        CHECK(decoded->ignoredParts == OnePart);
    }
    SECTION("profile with more figures")
    {
        for (const int figures : {static_cast<int>(routing::FigureCount), static_cast<int>(routing::FigureCount) + 1}) {
            fleet::EngineProfile *profile = datagram.mutable_region_state()->add_profiles();
            profile->set_service("s" + std::to_string(figures));
            for (int i = 0; i < figures; ++i) {
                profile->add_doubts(0.5);
            }
        }
        const auto decoded = edge::decodeFleetMessage(datagram.SerializeAsString(), Start);
        REQUIRE(decoded);
        const auto &profiles = std::get<edge::RegionState>(decoded->body).profiles;
        REQUIRE(profiles.size() == 1);
        CHECK(profiles.front().service == core::ServiceId("s" + std::to_string(routing::FigureCount)));
        CHECK(decoded->ignoredParts == OnePart);
    }
    SECTION("kind of message, and another version of the protocol")
    {
        CHECK_FALSE(edge::decodeFleetMessage(datagram.SerializeAsString(), Start)); // a body that this build does not know is absent
        datagram.mutable_ping();
        CHECK(edge::decodeFleetMessage(datagram.SerializeAsString(), Start));
        datagram.set_version(edge::FleetProtocolVersion + 1);
        CHECK_FALSE(edge::decodeFleetMessage(datagram.SerializeAsString(), Start));
    }
}

TEST_CASE("prints the messages of this build for tests/recorded/messages.txt", "[.record]")
{
    for (const NamedMessage &message : sampleMessages(Build::WithPaths)) {
        std::cout << "COMMIT " << message.name << " " << toHex(encodeSample(message.body)) << std::endl;
    }
    std::cout << "COMMIT snapshot " << toHex(edge::encode(sampleSnapshot())) << std::endl;
}
