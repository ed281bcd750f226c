// What is checked for each kind of input.

#include "fuzz/targets.h"

#include "arbutus/config/configlog.h"
#include "arbutus/core/hash.h"
#include "arbutus/edge/codec.h"
#include "arbutus/edge/metadatasync.h"
#include "arbutus/http/responsehead.h"
#include "arbutus/http/sectionreader.h"
#include "arbutus/peer/codec.h"
#include "platform/platformadapter.h"
#include "platform/storeclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/_experimental/test/stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json.hpp>
#include <google/protobuf/stubs/logging.h>
#include <peer.pb.h>

#include <cmath>
#include <exception>
#include <string>

namespace arbutus::fuzz {

using namespace std::chrono_literals;

namespace {

const core::TimePoint Now(1000s);
const core::UpstreamId SoundUpstream("sound");
const std::string SoundEntry =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":1})";
const std::string SoundConfiguration = R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/a/","route_type":"safe","service":"s"}],)"
                                       R"("services":[{"name":"s"}]})";
constexpr core::Duration LongestTime = std::chrono::days(366);

void require(bool holds, const char *what)
{
    if (!holds) {
        throw Violation(what);
    }
}

void requireTime(core::Duration time)
{
    require(time >= -LongestTime && time <= LongestTime, "a time is bounded");
}

void requireAmount(double amount)
{
    require(std::isfinite(amount) && amount >= 0, "an amount is finite and not negative");
}

metadata::StoreItem item(const std::string &key, const std::string &value)
{
    return metadata::StoreItem{key, value, metadata::StoreRevision(1)};
}

metadata::StorePosition position(std::uint64_t revision)
{
    return metadata::StorePosition{{}, metadata::StoreRevision(revision)};
}

void requireSoundData(const edge::MetadataCache &cache)
{
    const routing::RegistryEntry *entry = cache.registry().find(SoundUpstream);
    require(entry != nullptr && cache.registry().isEligible(*entry), "a sound upstream stays usable beside the input");
    require(cache.catalog() != nullptr, "a configuration stays in force");
}

//-----------------------------------------------------------------------------
// Messages between instances that forward by route
//-----------------------------------------------------------------------------

void requireNotice(const routing::UpstreamNotice &notice)
{
    require(notice.at <= Now, "a notice is not from the future");
    requireTime(Now - notice.at);
    requireAmount(notice.maxRequestRate.value_or(0));
}

struct RequireBounded
{
    void operator()(const membership::Message &message) const
    {
        membership::MembershipSettings settings;
        settings.allDomains = true;
        membership::Member self;
        self.id = core::InstanceId("self");
        membership::MembershipView view(self, settings, 1);
        (void)view.receive(message, "127.0.0.1:1", Now);
        (void)view.tick(Now + 1s);
        for (const auto &[id, member] : view.members()) {
            require(!id.empty(), "a member has an id");
            requireAmount(member.capacity);
        }
    }
    void operator()(const routing::PlacementRequest &request) const
    {
        requireTime(request.latencyDeadline - Now);
        requireTime(request.responseDeadline - Now);
        requireTime(request.completionDeadline - Now);
    }
    void operator()(const std::vector<edge::PlacementReply> &replies) const
    {
        for (const edge::PlacementReply &reply : replies) {
            if (const auto *granted = std::get_if<routing::Granted>(&reply.decision)) {
                requireTime(granted->predictedLatency);
            } else if (const auto *queued = std::get_if<routing::Queued>(&reply.decision)) {
                requireTime(queued->predictedWait);
            } else if (const auto *refused = std::get_if<routing::Refused>(&reply.decision)) {
                requireTime(refused->retryAfter);
            }
        }
    }
    void operator()(const edge::PlacementReport &report) const
    {
        for (const routing::UpstreamNotice &notice : report.notices) {
            requireNotice(notice);
        }
        for (const routing::ReportedRequest &request : report.inFlight) {
            requireTime(request.timeToFirstEvent.value_or(0ms));
        }
        for (const edge::CompletedPlacement &completed : report.completed) {
            require(completed.outcome <= routing::SendOutcome::NoPath, "an outcome is known");
            requireTime(completed.timing.duration);
            requireTime(completed.timing.maxGap);
        }
    }
    void operator()(const edge::RegionState &state) const
    {
        for (const routing::UpstreamNotice &notice : state.notices) {
            requireNotice(notice);
        }
        for (const edge::RegionServiceLoad &row : state.serviceLoads) {
            require(row.age >= 0ms, "a load is not from the future");
            requireTime(row.age);
            requireTime(row.load.queueDelay);
            requireTime(row.load.serviceTime);
            requireAmount(row.load.prefillTokensPerMs);
            requireAmount(row.load.prefillUtilization);
            requireAmount(row.load.cacheMissRatio);
        }
        for (const routing::ProfileReport &report : state.profiles) {
            requireAmount(report.figures.figures.prefillTokensPerMs);
            requireAmount(report.figures.figures.step.count());
            requireAmount(report.figures.figures.stepPerRequest.count());
            requireAmount(report.figures.figures.pause.count());
            requireAmount(report.figures.evidence);
            for (const double doubt : report.figures.doubts) {
                requireAmount(doubt);
            }
        }
        require(state.metadataStaleness >= 0ms, "metadata are not from the future");
        requireTime(state.metadataStaleness);
    }
    void operator()(const std::vector<routing::CauseRecord> &records) const
    {
        for (const routing::CauseRecord &record : records) {
            require(record.lastRequestedAt <= Now, "a request is not from the future");
            for (const routing::CauseCrash &crash : record.crashes) {
                require(crash.at <= Now, "a crash is not from the future");
            }
        }
    }
    void operator()(const edge::StreamReport &report) const
    {
        for (const routing::StreamRecord &record : report.records) {
            require(record.beganAt <= Now, "a stream is not from the future");
        }
    }
    void operator()(const edge::PlacementCancellation &) const
    {
    }
    void operator()(const edge::StreamQuery &) const
    {
    }
    void operator()(const limits::QuotaState &state) const
    {
        requireAmount(state.ownShare);
        requireTime(state.loanLength);
        for (const limits::QuotaRow &row : state.rows) {
            requireAmount(row.neededShare);
            requireAmount(row.lentShare);
        }
    }
};

} // namespace

void announcement(std::string_view input)
{
    const platform::PlatformAdapter adapter;
    const std::string value(input);
    const auto parsed = adapter.parseAnnouncement("servers/other", value);
    if (parsed) {
        const routing::Announcement &announcement = parsed.value();
        const http::Endpoint endpoint = http::parseEndpoint(announcement.address);
        require(endpoint.port != 0 && !endpoint.host.empty(), "an upstream has an address");
        require(announcement.slots >= 1 && announcement.slots <= 10'000, "slots are bounded");
        require(announcement.coldRemaining >= 0ms, "a cold time is not negative");
        requireTime(announcement.coldRemaining);
        require(announcement.shutdownIn.value_or(0ms) >= 0ms, "a time until the end is not negative");
        requireTime(announcement.shutdownIn.value_or(0ms));
        require(!announcement.service.empty() && !announcement.domain.empty(), "an upstream has a service and a failure domain");
    } else {
        require(!parsed.error().message.empty() && parsed.error().message.size() < 500, "a refusal has a short reason");
    }
    edge::MetadataCache cache(adapter);
    const std::string soundKey = "servers/" + SoundUpstream.text;
    (void)cache.applyRange({item("op/config", SoundConfiguration), item(soundKey, SoundEntry), item("servers/other", value)}, position(5), false, Now);
    requireSoundData(cache);
    require((cache.registry().find(core::UpstreamId("other")) != nullptr) == parsed.has_value(), "an entry that is refused names no upstream");
    (void)cache.applyChanges({metadata::StoreChange{item("servers/other", SoundEntry), false}}, position(5), position(6), false, Now + 1s);
    requireSoundData(cache);
    (void)edge::parseRegistration(core::InstanceId("n"), value);
}

void configuration(std::string_view input)
{
    const platform::PlatformAdapter adapter;
    const std::string value(input);
    edge::MetadataCache cache(adapter);
    const std::string soundKey = "servers/" + SoundUpstream.text;
    (void)cache.applyRange({item("op/config", SoundConfiguration), item(soundKey, SoundEntry)}, position(5), false, Now);
    (void)cache.applyChanges({metadata::StoreChange{item("op/config", value), false}}, position(5), position(6), false, Now + 1s);
    requireSoundData(cache);
    for (const catalog::Route &route : cache.catalog()->routes()) {
        require(route.maxUpstreamsPerAttempt >= 1, "a request may be sent to an upstream");
        for (const auto time : {route.timeout, route.latencyObjective, route.maxEventGap}) {
            require(time >= 0ms, "a configured time is not negative");
            requireTime(time);
        }
        require(!route.trafficSplits.empty(), "a route has a service");
        (void)cache.catalog()->findService(route.serviceFor("attempt"));
        (void)cache.catalog()->matchRoute(route.host, route.pathPrefix);
    }
    const catalog::ClientLimits &limits = cache.catalog()->limits();
    require(limits.maxHeaderBytes > 0 && limits.maxHeaderBytes <= (std::size_t(1) << 30U), "the header limit is bounded");
    require(limits.headerTimeout > 0ms && limits.idleTimeout > 0ms, "a connection may wait");

    if (const auto entry = config::parseLogEntry(input)) {
        config::ConfigState state;
        (void)state.apply(entry.value());
        require(config::parseLogEntry(entry.value().serialize()).has_value(), "an entry that was read can be read again");
    }
    config::ConfigState state;
    if (state.installSnapshot(input)) {
        require(config::ConfigState().installSnapshot(state.serializeSnapshot()), "a snapshot that was installed can be installed again");
    }
}

void storeAnswer(std::string_view input)
{
    boost::system::error_code code;
    const boost::json::value document = boost::json::parse(boost::json::string_view(input.data(), input.size()), code);
    if (code || !document.is_object()) {
        return;
    }
    const platform::PlatformAdapter adapter;
    edge::MetadataCache cache(adapter);
    const std::string soundKey = "servers/" + SoundUpstream.text;
    (void)cache.applyRange({item("op/config", SoundConfiguration), item(soundKey, SoundEntry)}, position(5), false, Now);
    try {
        metadata::StoreRange range;
        const platform::RangePage page = platform::parseRangePage(document.as_object(), range);
        require(page.revision.value <= (std::uint64_t(1) << 53U), "a revision is bounded");
        require(page.lastKey.empty() || !range.items.empty(), "the last key is that of an item");
        for (const metadata::StoreItem &read : range.items) {
            require(!read.key.empty(), "an item has a key");
        }
        (void)cache.applyRange(range.items, position(page.revision.value), false, Now + 1s);
        require(cache.catalog() != nullptr, "a configuration stays in force");
    } catch (const Violation &) {
        throw;
    } catch (const std::exception &) { // refused, as by the store client
    }
    try {
        const metadata::StoreChanges changes = platform::parseChanges(document.as_object());
        (void)cache.applyChanges(changes.changes, cache.storePosition(), changes.position, false, Now + 2s);
    } catch (const Violation &) {
        throw;
    } catch (const std::exception &) { // refused, as by the store client
    }
}

void fleetMessage(std::string_view input)
{
    const google::protobuf::LogSilencer silencer;
    if (const auto message = edge::decodeFleetMessage(input, Now)) {
        require(!message->sender.id.empty(), "a sender has an id");
        std::visit(RequireBounded(), message->body);
        require(edge::decodeFleetMessage(edge::encode(*message, Now), Now).has_value(), "a message that was read can be sent on");
    }
    if (const auto snapshot = edge::decodeMetadataSnapshot(std::string(input))) {
        const platform::PlatformAdapter adapter;
        edge::MetadataCache cache(adapter);
        (void)cache.applyRange({item("op/config", SoundConfiguration)}, position(5), false, Now);
        (void)cache.applySnapshot(*snapshot, Now + 1s);
        require(cache.catalog() != nullptr, "a configuration stays in force");
        require(cache.staleness(Now + 1s) >= 0ms, "metadata are not from the future");
        requireTime(cache.staleness(Now + 1s));
    }
}

void clusterMessage(std::string_view input)
{
    const google::protobuf::LogSilencer silencer;
    constexpr std::size_t MacHexDigits = 16; // as in the codec
    const std::string key = "a cluster key of some length";
    const peer::DatagramCodec codec(key);
    (void)codec.decode(input);
    const peer::DecodedDatagram decoded = codec.decode(core::hmacSha256Hex(key, input).substr(0, MacHexDigits) + std::string(input));
    if (decoded.datagram) {
        require(codec.decode(codec.encode(*decoded.datagram)).datagram.has_value(), "a datagram that was read can be sent on");
    }
    wire::LedgerRequest request;
    if (request.ParseFromArray(input.data(), static_cast<int>(input.size()))) {
        wire::LedgerRequest again;
        peer::toWire(peer::fromWire(request), again);
    }
    wire::LedgerReply reply;
    if (reply.ParseFromArray(input.data(), static_cast<int>(input.size()))) {
        wire::LedgerReply again;
        peer::toWire(peer::fromWire(reply), again);
    }
}

namespace {

/// Runs the coroutine; throws what it throws.
void runToEnd(boost::asio::io_context &loop, boost::asio::awaitable<void> operation)
{
    std::exception_ptr failure;
    boost::asio::co_spawn(loop, std::move(operation), [&failure](std::exception_ptr thrown) { failure = std::move(thrown); });
    loop.run();
    if (failure) {
        std::rethrow_exception(failure);
    }
}

} // namespace

void clientRequest(std::string_view input)
{
    namespace wire = boost::beast::http;
    constexpr std::size_t MaxSectionBytes = 256;
    constexpr std::size_t MaxBodyBytes = 512;
    boost::asio::io_context loop{1};
    boost::beast::test::stream stream(loop, input);
    stream.close_remote();
    boost::beast::flat_buffer buffer;
    http::BufferHold hold(nullptr);
    auto read = [&]() -> boost::asio::awaitable<void> {
        for (boost::system::error_code code; !code;) {
            http::SectionReader<boost::beast::test::stream> reader(stream, buffer, hold);
            wire::request_parser<wire::string_body> parser;
            parser.header_limit(MaxSectionBytes);
            parser.body_limit(MaxBodyBytes);
            while (!code && !parser.is_done()) {
                const std::size_t consumedBefore = reader.consumedBytes();
                code = co_await reader.readSome(parser, MaxSectionBytes);
                require(code || parser.is_done() || reader.consumedBytes() > consumedBefore, "a read that succeeds goes on");
                require(buffer.size() <= MaxSectionBytes, "an unfinished section is bounded");
                require(parser.get().body().size() <= MaxBodyBytes, "a body is bounded");
                require(reader.exceeded().empty() || code == wire::error::buffer_overflow, "a bound that is exceeded ends the message");
            }
        }
    };
    runToEnd(loop, read());
}

void upstreamResponse(std::string_view input)
{
    namespace wire = boost::beast::http;
    constexpr std::size_t MaxHeadBytes = 512;
    boost::asio::io_context loop{1};
    boost::beast::test::stream stream(loop, input);
    stream.read_size(1 + input.size() % 7); // bytes of a read
    stream.close_remote();
    boost::beast::flat_buffer buffer;
    auto read = [&]() -> boost::asio::awaitable<void> {
        for (bool isFinal = false; !isFinal;) {
            const std::string_view head = input.substr(input.size() - stream.buffer().size() - buffer.size());
            wire::response_parser<wire::empty_body> parser;
            parser.header_limit(MaxHeadBytes);
            const boost::system::error_code code = co_await http::readResponseHead(stream, buffer, parser, MaxHeadBytes);
            if (code) {
                co_return;
            }
            const unsigned status = parser.get().result_int();
            require(status >= 100 && status <= 599, "the status is that of a response");
            const std::string_view lines = head.substr(0, head.find("\r\n\r\n"));
            require(lines.find("\n ") == std::string_view::npos && lines.find("\n\t") == std::string_view::npos, "no line of the head is folded");
            isFinal = status >= 200;
        }
    };
    runToEnd(loop, read());
}

} // namespace arbutus::fuzz
