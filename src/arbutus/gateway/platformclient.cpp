// Configuration watch, idempotency claims, leases, instance list and client directory.
//
// Sections:
//   Commands
//   Configuration
//   Idempotency claims
//   Leases
//   Instance list and client directory

#include "arbutus/gateway/platformclient.h"
#include "arbutus/core/asyncsleep.h"

#include "arbutus/core/json.h"
#include "arbutus/observe/logline.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <boost/json.hpp>

#include <algorithm>

namespace arbutus::gateway {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t CommandQueueCapacity = 4'096;
constexpr auto WatchRetryDelay = 500ms; // delay before the log is read and watched again
constexpr std::int64_t EntriesPerRead = 256;
constexpr std::chrono::seconds ClaimRetention{3'600}; // intended retention of an Idempotency-Key; a claim lease lives twice as long
constexpr auto ClaimLeasePollInterval = 2ms;          // while another claim is requesting the shared lease
constexpr std::int64_t ClaimsPerLease = 1'000;        // a new lease is requested after this many, so that older claims can expire
constexpr std::chrono::seconds LeaseTimeToLive{9};    // of the leases requested by MaintainLease
constexpr auto LeaseSafetyMargin = 1s;                // the node treats a lease as expired this long before the store does
constexpr auto LeaseRenewalInterval = 3'000ms;
constexpr auto LeaseRetryDelay = 2'000ms;           // delay before the next attempt to acquire a lease
constexpr std::size_t SnapshotChunkBytes = 700'000; // the store limits values to 1 MB
constexpr std::int64_t MaxSnapshotChunks = 10'000;
constexpr std::size_t MaxLoggedBytes = 200;
constexpr std::string_view LogPrefix = "config/log/";
constexpr std::string_view LogRangeEnd = "config/log0"; // first key after all keys with the prefix
constexpr std::string_view SnapshotHeadKey = "config/snapshot/head";

std::string chunkKey(core::Revision revision, std::size_t index)
{
    return "config/snapshot/" + std::to_string(revision.value) + "/" + std::to_string(index);
}

template<class Id>
std::set<Id> parseIds(const json::array &texts)
{
    std::set<Id> out;
    for (const json::value &text : texts) {
        if (text.is_string()) {
            out.insert(Id(std::string(text.as_string())));
        }
    }
    return out;
}

constexpr std::int64_t DefaultSlots = 16;
constexpr std::int64_t MaxSlots = 10'000; // of one upstream
constexpr double MaxPrice = 1e6;

bool isAddress(const std::string &text)
{
    const http::Endpoint endpoint = http::parseEndpoint(text);
    return !endpoint.host.empty() && endpoint.port != 0;
}

/// Returns nothing if the entry names no upstream that could be used.
std::optional<routing::UpstreamDescriptor> parseUpstream(const json::object &object)
{
    routing::UpstreamDescriptor out;
    out.id = core::UpstreamId(core::jsonString(object, "id"));
    out.kind = core::jsonString(object, "kind") == "service" ? routing::UpstreamKind::Service : routing::UpstreamKind::Model;
    out.region = core::RegionId(core::jsonString(object, "region"));
    out.domain = core::DomainId(core::jsonString(object, "failure_domain"));
    out.address = core::jsonString(object, "address");
    out.models = parseIds<core::ModelId>(core::jsonArray(object, "models"));
    out.service = core::ServiceId(core::jsonString(object, "service"));
    const std::int64_t slots = core::jsonInteger(object, "slots", DefaultSlots);
    out.slots = static_cast<std::uint32_t>(std::clamp<std::int64_t>(slots, 0, MaxSlots));
    out.price = core::jsonNumber(object, "price", 1.0);
    out.leaving = core::jsonString(object, "state") == "leaving";
    const bool valid = !out.id.empty() && isAddress(out.address) && slots > 0 && slots <= MaxSlots && out.price >= 0 && out.price <= MaxPrice;
    return valid ? std::optional(std::move(out)) : std::nullopt;
}

/// Returns nothing if the entry names no instance that could be reached.
std::optional<membership::Member> parseMember(const json::object &object)
{
    membership::Member out;
    out.id = core::InstanceId(core::jsonString(object, "id"));
    out.region = core::RegionId(core::jsonString(object, "region"));
    out.domain = core::DomainId(core::jsonString(object, "failure_domain"));
    out.gossipAddress = core::jsonString(object, "gossip");
    out.peerAddress = core::jsonString(object, "peers");
    out.clientUrl = core::jsonString(object, "url");
    const bool valid = !out.id.empty() && !out.region.empty() && !out.domain.empty() && isAddress(out.gossipAddress) && isAddress(out.peerAddress);
    return valid ? std::optional(std::move(out)) : std::nullopt;
}

std::string directoryBody(const node::WriteDirectory &command, const core::DomainId &domain, const core::RegionId &region)
{
    json::array entries;
    for (const node::EntryPoint &entry : command.entries) {
        entries.push_back(json::object{{"id", entry.id.text}, {"url", entry.url}});
    }
    return json::serialize(json::object{{"failure_domain", domain.text}, {"region", region.text}, {"entries", std::move(entries)}});
}

} // namespace

PlatformList parsePlatformList(const json::object &response, const core::DomainId &domain)
{
    PlatformList list;
    std::map<core::RegionId, std::set<core::DomainId>> domains;
    for (const json::value &value : core::jsonArray(response, "instances")) {
        if (!value.is_object()) {
            list.invalidEntries.emplace_back("(not an object)");
            continue;
        }
        const json::object &object = value.as_object();
        bool valid = true;
        if (core::jsonString(object, "kind") == "gateway") {
            if (auto member = parseMember(object)) {
                domains[member->region].insert(member->domain);
                list.received.instances.push_back(std::move(*member));
            } else {
                valid = false;
            }
        } else if (core::jsonString(object, "failure_domain") == domain.text) {
            if (auto upstream = parseUpstream(object)) {
                list.received.upstreams.push_back(std::move(*upstream));
            } else {
                valid = false;
            }
        }
        if (!valid) {
            list.invalidEntries.push_back(core::jsonString(object, "id", "(without id)"));
        }
    }
    for (const auto &[region, domainIds] : domains) {
        list.received.domainCountByRegion[region] = static_cast<std::uint32_t>(domainIds.size());
    }
    return list;
}

//-----------------------------------------------------------------------------
// Commands
//-----------------------------------------------------------------------------

PlatformClient::PlatformClient(const core::Clock &clock,
                               std::vector<http::Endpoint> endpoints,
                               const membership::Member &self,
                               observe::Metrics &metrics,
                               std::function<void(node::Event)> post)
    : m_clock(clock)
    , m_self(self.id, self.incarnation)
    , m_domain(self.domain)
    , m_region(self.region)
    , m_metrics(metrics)
    , m_post(std::move(post))
    , m_client(m_thread.executor(), std::move(endpoints), self.domain.text)
    , m_commandQueue(m_thread.executor(), CommandQueueCapacity, [this](PlatformCommand &&command) { dispatchCommand(std::move(command)); })
{
}

void PlatformClient::start()
{
    m_thread.start();
}

void PlatformClient::stop()
{
    m_thread.stop();
}

bool PlatformClient::trySubmit(PlatformCommand command)
{
    return m_commandQueue.tryPush(std::move(command));
}

void PlatformClient::dispatchCommand(PlatformCommand &&command)
{
    std::visit([this](const auto &alternative) { execute(alternative); }, command);
}

void PlatformClient::execute(const node::WatchConfig &command)
{
    m_watching = command.enabled;
    ++m_watchGeneration;
    if (command.enabled) {
        asio::co_spawn(m_thread.executor(), watchConfigLog(m_watchGeneration), asio::detached);
    }
}

void PlatformClient::execute(const node::WriteSnapshot &command)
{
    asio::co_spawn(m_thread.executor(), writeSnapshot(command), asio::detached);
}

void PlatformClient::execute(const node::ClaimIdempotencyKey &command)
{
    asio::co_spawn(m_thread.executor(), claimIdempotencyKey(command), asio::detached);
}

void PlatformClient::execute(const node::FetchPlatformList & /*command*/)
{
    asio::co_spawn(m_thread.executor(), fetchPlatformList(), asio::detached);
}

void PlatformClient::execute(const node::WriteDirectory &command)
{
    asio::co_spawn(m_thread.executor(), writeDirectory(command), asio::detached);
}

void PlatformClient::execute(const node::MaintainLease &command)
{
    ++m_leaseGeneration;
    if (command.enabled) {
        asio::co_spawn(m_thread.executor(), maintainLease(command.name, m_leaseGeneration), asio::detached);
    }
}

void PlatformClient::recordCall(const char *kind, bool succeeded)
{
    m_metrics.incrementCounter("arbutus_platform_calls_total", std::string("kind=\"") + kind + "\",result=\"" + (succeeded ? "ok" : "failed") + "\"");
}

//-----------------------------------------------------------------------------
// Configuration
//-----------------------------------------------------------------------------

asio::awaitable<void> PlatformClient::watchConfigLog(std::uint64_t generation)
{
    const auto stopped = [this, generation] { return !m_watching || m_watchGeneration != generation; };
    const auto onPut = [this](metadata::KvPair pair) { postConfigEntries({std::move(pair)}); };
    while (!stopped()) {
        if (co_await readConfigLog()) {
            const auto watched = co_await m_client.watch(std::string(LogPrefix), std::string(LogRangeEnd), m_storeRevision + 1, onPut, stopped);
            recordCall("watch", static_cast<bool>(watched));
        }
        if (!stopped()) {
            asio::steady_timer timer(m_thread.executor(), WatchRetryDelay);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }
}

asio::awaitable<bool> PlatformClient::readConfigLog()
{
    if (m_lastReadRevision.value == 0) {
        co_await readSnapshot();
    }
    while (true) {
        auto range = co_await m_client.range(config::logEntryKey(core::Revision(m_lastReadRevision.value + 1)), std::string(LogRangeEnd), EntriesPerRead);
        recordCall("range", static_cast<bool>(range));
        if (!range) {
            co_return false;
        }
        m_storeRevision = range.value().revision;
        const core::Revision before = m_lastReadRevision;
        postConfigEntries(range.value().pairs);
        if (range.value().pairs.size() < static_cast<std::size_t>(EntriesPerRead)) {
            co_return true;
        }
        if (m_lastReadRevision == before) { // no entry can be read: the same read would be made for ever
            co_return false;
        }
    }
}

void PlatformClient::postConfigEntries(const std::vector<metadata::KvPair> &pairs)
{
    node::ConfigEntriesReceived received;
    for (const metadata::KvPair &pair : pairs) {
        auto entry = config::parseLogEntry(pair.value);
        // An entry that states a later revision than its key would hide all entries up to that revision.
        if (entry && pair.key == config::logEntryKey(entry.value().revision)) {
            m_lastReadRevision = std::max(m_lastReadRevision, entry.value().revision);
            received.entries.push_back(std::move(entry.value()));
        }
    }
    if (!received.entries.empty()) {
        m_post(std::move(received));
    }
}

asio::awaitable<void> PlatformClient::readSnapshot()
{
    auto head = co_await m_client.range(std::string(SnapshotHeadKey), {});
    recordCall("range", static_cast<bool>(head));
    if (!head || head.value().pairs.empty()) {
        co_return;
    }
    const auto parsed = core::parseJsonObject(head.value().pairs.front().value);
    if (!parsed) {
        co_return;
    }
    const core::Revision revision(static_cast<std::uint64_t>(core::jsonInteger(parsed.value(), "revision")));
    const std::int64_t chunks = core::jsonInteger(parsed.value(), "chunks");
    if (core::jsonInteger(parsed.value(), "revision") <= 0 || chunks <= 0 || chunks > MaxSnapshotChunks) {
        observe::LogLine("snapshot_head_invalid").add("value", head.value().pairs.front().value.substr(0, MaxLoggedBytes)).warn();
        co_return;
    }
    std::string text;
    for (std::int64_t i = 0; i < chunks; ++i) {
        auto chunk = co_await m_client.range(chunkKey(revision, static_cast<std::size_t>(i)), {});
        recordCall("range", static_cast<bool>(chunk));
        if (!chunk || chunk.value().pairs.empty()) {
            co_return;
        }
        text += chunk.value().pairs.front().value;
    }
    m_lastReadRevision = revision;
    m_post(node::ConfigSnapshotReceived{std::move(text)});
}

asio::awaitable<void> PlatformClient::writeSnapshot(node::WriteSnapshot command)
{
    std::size_t chunks = 0;
    for (std::size_t offset = 0; offset < command.snapshot.size(); offset += SnapshotChunkBytes, ++chunks) {
        auto written = co_await m_client.create(chunkKey(command.revision, chunks), command.snapshot.substr(offset, SnapshotChunkBytes));
        recordCall("create", static_cast<bool>(written));
        if (!written) {
            co_return; // not retried; a later snapshot replaces this one
        }
    }
    const std::string head = "{\"revision\":" + std::to_string(command.revision.value) + ",\"chunks\":" + std::to_string(chunks) + "}";
    const auto put = co_await m_client.put(std::string(SnapshotHeadKey), head);
    recordCall("put", static_cast<bool>(put));
}

//-----------------------------------------------------------------------------
// Idempotency claims
//-----------------------------------------------------------------------------

asio::awaitable<void> PlatformClient::claimIdempotencyKey(node::ClaimIdempotencyKey command)
{
    node::IdempotencyKeyClaimed claimed;
    claimed.key = command.key;
    while (m_grantingClaimLease) {
        co_await core::asyncSleep(ClaimLeasePollInterval);
    }
    if (m_claimLease == 0 || m_claimsUnderLease >= ClaimsPerLease) {
        m_grantingClaimLease = true;
        const auto lease = co_await m_client.grantLease(ClaimRetention * 2);
        m_grantingClaimLease = false;
        recordCall("lease", static_cast<bool>(lease));
        if (!lease) {
            m_post(claimed);
            co_return;
        }
        m_claimLease = lease.value();
        m_claimsUnderLease = 0;
    }
    ++m_claimsUnderLease;
    const auto created = co_await m_client.create(command.storeKey, command.ticket, m_claimLease);
    recordCall("claim", static_cast<bool>(created));
    if (created) {
        claimed.ticket = created.value().created ? command.ticket : created.value().existingValue;
    } else {
        m_claimLease = 0; // the lease may have expired; grant a new one for the next claim
    }
    m_post(claimed);
}

//-----------------------------------------------------------------------------
// Leases
//-----------------------------------------------------------------------------

asio::awaitable<void> PlatformClient::maintainLease(std::string name, std::uint64_t generation)
{
    while (m_leaseGeneration == generation) {
        const core::TimePoint lastRenewedAt = m_clock.steadyNow();
        const auto lease = co_await m_client.grantLease(LeaseTimeToLive);
        recordCall("lease", static_cast<bool>(lease));
        if (lease) {
            std::string value = m_self.id.text + "/" + std::to_string(m_self.incarnation.value) + "/" + std::to_string(++m_nonce);
            const auto created = co_await m_client.create("lease/" + name, std::move(value), lease.value());
            recordCall("create", static_cast<bool>(created));
            if (created && created.value().created) {
                const core::FencingToken fencing(static_cast<std::uint64_t>(created.value().revision));
                co_await renewLease(lease.value(), fencing, lastRenewedAt, generation);
            }
        }
        co_await core::asyncSleep(LeaseRetryDelay);
    }
}

asio::awaitable<void> PlatformClient::renewLease(std::int64_t lease, core::FencingToken fencing, core::TimePoint lastRenewedAt, std::uint64_t generation)
{
    while (m_leaseGeneration == generation) {
        node::LeaseGranted granted;
        granted.fencingToken = fencing;
        granted.expiry = lastRenewedAt + LeaseTimeToLive - LeaseSafetyMargin;
        m_post(granted);
        co_await core::asyncSleep(LeaseRenewalInterval);
        const core::TimePoint renewalSentAt = m_clock.steadyNow();
        const auto renewed = co_await m_client.keepLeaseAlive(lease);
        recordCall("keepalive", static_cast<bool>(renewed));
        if (renewed && !renewed.value()) {
            co_return; // expired; another instance may hold the lease by now
        }
        lastRenewedAt = renewed ? renewalSentAt : lastRenewedAt; // no response: the lease stays valid until the last known expiry
        if (m_clock.steadyNow() >= lastRenewedAt + LeaseTimeToLive) {
            co_return;
        }
    }
    const auto revoked = co_await m_client.revokeLease(lease); // superseded by a newer command
    recordCall("lease", static_cast<bool>(revoked));
}

//-----------------------------------------------------------------------------
// Instance list and client directory
//-----------------------------------------------------------------------------

asio::awaitable<void> PlatformClient::fetchPlatformList()
{
    auto response = co_await m_client.call("GET", "/list?domain=" + m_domain.text, {});
    recordCall("list", static_cast<bool>(response));
    if (response) {
        PlatformList list = parsePlatformList(response.value(), m_domain);
        for (const std::string &entry : list.invalidEntries) {
            if (!m_invalidEntries.contains(entry)) {
                observe::LogLine("list_entry_invalid").add("entry", entry).warn();
            }
        }
        m_invalidEntries = std::set<std::string>(list.invalidEntries.begin(), list.invalidEntries.end());
        m_post(std::move(list.received));
    }
}

asio::awaitable<void> PlatformClient::writeDirectory(node::WriteDirectory command)
{
    const auto response = co_await m_client.call("PUT", "/directory", directoryBody(command, m_domain, m_region));
    recordCall("directory", static_cast<bool>(response));
}

} // namespace arbutus::gateway
