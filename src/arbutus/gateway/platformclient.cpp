// Following the log, claiming keys, reading lists.
//
// Sections:
//   Orders
//   Configuration
//   Claims
//   Leases of duties
//   List and directory

#include "arbutus/gateway/platformclient.h"
#include "arbutus/core/asyncsleep.h"

#include "arbutus/core/json.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <boost/json.hpp>

namespace arbutus::gateway {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t RingCapacity = 4'096;
constexpr auto WatchRetry = 500ms; // pause before a failed watch is tried again
constexpr std::int64_t EntriesPerRead = 256;
constexpr std::chrono::seconds ClaimLife{3'600}; // window in which an Idempotency-Key is remembered
constexpr auto ClaimWait = 2ms;                  // for a lease that another claim is asking for
constexpr std::int64_t ClaimsPerLease = 1'000;   // then a new lease is taken, so that old claims lapse
constexpr std::chrono::seconds DutyLease{9};     // time to live of a duty's lease
constexpr auto LeaseMargin = 1s;                 // given up before it lapses
constexpr auto LeaseRenewal = 3'000ms;
constexpr auto LeaseRetry = 2'000ms;        // pause before it is asked for again
constexpr std::size_t ChunkBytes = 700'000; // of a snapshot; values are at most a megabyte
constexpr std::string_view LogPrefix = "config/log/";
constexpr std::string_view LogEnd = "config/log0"; // the first key after the prefix
constexpr std::string_view SnapshotHead = "config/snapshot/head";

std::string chunkKey(core::Revision revision, std::size_t index)
{
    return "config/snapshot/" + std::to_string(revision.value) + "/" + std::to_string(index);
}

template<class Id>
std::set<Id> idsOf(const json::array &texts)
{
    std::set<Id> out;
    for (const json::value &text : texts) {
        if (text.is_string()) {
            out.insert(Id(std::string(text.as_string())));
        }
    }
    return out;
}

routing::UpstreamDescriptor toUpstream(const json::object &line)
{
    routing::UpstreamDescriptor out;
    out.id = core::UpstreamId(core::jsonString(line, "id"));
    out.kind = core::jsonString(line, "kind") == "service" ? routing::UpstreamKind::Service : routing::UpstreamKind::Model;
    out.region = core::RegionId(core::jsonString(line, "region"));
    out.domain = core::DomainId(core::jsonString(line, "failure_domain"));
    out.address = core::jsonString(line, "address");
    out.models = idsOf<core::ModelId>(core::jsonArray(line, "models"));
    out.service = core::ServiceId(core::jsonString(line, "service"));
    out.slots = static_cast<std::uint32_t>(core::jsonInteger(line, "slots", 16));
    out.price = core::jsonNumber(line, "price", 1.0);
    out.leaving = core::jsonString(line, "state") == "leaving";
    return out;
}

membership::Member toMember(const json::object &line)
{
    membership::Member out;
    out.id = core::InstanceId(core::jsonString(line, "id"));
    out.region = core::RegionId(core::jsonString(line, "region"));
    out.domain = core::DomainId(core::jsonString(line, "failure_domain"));
    out.gossipAddress = core::jsonString(line, "gossip");
    out.peerAddress = core::jsonString(line, "peers");
    out.callersUrl = core::jsonString(line, "url");
    return out;
}

node::PlatformListReceived toList(const json::object &answer, const core::DomainId &domain)
{
    node::PlatformListReceived read;
    std::map<core::RegionId, std::set<core::DomainId>> domains;
    for (const json::value &value : core::jsonArray(answer, "instances")) {
        if (!value.is_object()) {
            continue;
        }
        const json::object &line = value.as_object();
        if (core::jsonString(line, "kind") == "gateway") {
            membership::Member member = toMember(line);
            domains[member.region].insert(member.domain);
            read.instances.push_back(std::move(member));
        } else if (core::jsonString(line, "failure_domain") == domain.text) {
            read.upstreams.push_back(toUpstream(line));
        }
    }
    for (const auto &[region, names] : domains) {
        read.domainCountByRegion[region] = static_cast<std::uint32_t>(names.size());
    }
    return read;
}

std::string directoryLine(const node::WriteDirectory &order, const core::DomainId &domain, const core::RegionId &region)
{
    json::array entries;
    for (const node::EntryPoint &entry : order.entries) {
        entries.push_back(json::object{{"id", entry.id.text}, {"url", entry.url}});
    }
    return json::serialize(json::object{{"failure_domain", domain.text}, {"region", region.text}, {"entries", std::move(entries)}});
}

} // namespace

//-----------------------------------------------------------------------------
// Orders
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
    , m_ring(m_thread.executor(), RingCapacity, [this](PlatformCommand &&order) { dispatchCommand(std::move(order)); })
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

bool PlatformClient::trySubmit(PlatformCommand order)
{
    return m_ring.tryPush(std::move(order));
}

void PlatformClient::dispatchCommand(PlatformCommand &&order)
{
    std::visit([this](const auto &chosen) { execute(chosen); }, order);
}

void PlatformClient::execute(const node::WatchConfig &order)
{
    m_watching = order.enabled;
    ++m_watchGeneration;
    if (order.enabled) {
        asio::co_spawn(m_thread.executor(), watchConfigLog(m_watchGeneration), asio::detached);
    }
}

void PlatformClient::execute(const node::WriteSnapshot &order)
{
    asio::co_spawn(m_thread.executor(), writeSnapshot(order), asio::detached);
}

void PlatformClient::execute(const node::ClaimIdempotencyKey &order)
{
    asio::co_spawn(m_thread.executor(), claim(order), asio::detached);
}

void PlatformClient::execute(const node::FetchPlatformList & /*order*/)
{
    asio::co_spawn(m_thread.executor(), readList(), asio::detached);
}

void PlatformClient::execute(const node::WriteDirectory &order)
{
    asio::co_spawn(m_thread.executor(), writeDirectory(order), asio::detached);
}

void PlatformClient::execute(const node::MaintainLease &order)
{
    ++m_leaseGeneration;
    if (order.enabled) {
        asio::co_spawn(m_thread.executor(), holdLease(order.name, m_leaseGeneration), asio::detached);
    }
}

void PlatformClient::recordCall(const char *kind, bool good)
{
    m_metrics.incrementCounter("arbutus_platform_calls_total", std::string("kind=\"") + kind + "\",result=\"" + (good ? "ok" : "failed") + "\"");
}

//-----------------------------------------------------------------------------
// Configuration
//-----------------------------------------------------------------------------

asio::awaitable<void> PlatformClient::watchConfigLog(std::uint64_t generation)
{
    const auto stopped = [this, generation] { return !m_watching || m_watchGeneration != generation; };
    const auto onPut = [this](metadata::KvPair stored) { postConfigEntries({std::move(stored)}); };
    while (!stopped()) {
        if (co_await readConfigLog()) {
            const auto watched = co_await m_client.watch(std::string(LogPrefix), std::string(LogEnd), m_storeRevision + 1, onPut, stopped);
            recordCall("watch", static_cast<bool>(watched));
        }
        if (!stopped()) {
            asio::steady_timer timer(m_thread.executor(), WatchRetry);
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
        auto range = co_await m_client.range(config::logEntryKey(core::Revision(m_lastReadRevision.value + 1)), std::string(LogEnd), EntriesPerRead);
        recordCall("range", static_cast<bool>(range));
        if (!range) {
            co_return false;
        }
        m_storeRevision = range.value().revision;
        postConfigEntries(range.value().pairs);
        if (range.value().pairs.size() < static_cast<std::size_t>(EntriesPerRead)) {
            co_return true;
        }
    }
}

void PlatformClient::postConfigEntries(const std::vector<metadata::KvPair> &pairs)
{
    node::ConfigEntriesReceived read;
    for (const metadata::KvPair &stored : pairs) {
        auto entry = config::parseLogEntry(stored.value);
        if (entry) {
            m_lastReadRevision = std::max(m_lastReadRevision, entry.value().revision);
            read.entries.push_back(std::move(entry.value()));
        }
    }
    if (!read.entries.empty()) {
        m_post(std::move(read));
    }
}

asio::awaitable<void> PlatformClient::readSnapshot()
{
    auto head = co_await m_client.range(std::string(SnapshotHead), {});
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

asio::awaitable<void> PlatformClient::writeSnapshot(node::WriteSnapshot order)
{
    std::size_t chunks = 0;
    for (std::size_t at = 0; at < order.snapshot.size(); at += ChunkBytes, ++chunks) {
        auto written = co_await m_client.create(chunkKey(order.revision, chunks), order.snapshot.substr(at, ChunkBytes));
        recordCall("create", static_cast<bool>(written));
        if (!written) {
            co_return; // the next snapshot is as good
        }
    }
    const std::string head = "{\"revision\":" + std::to_string(order.revision.value) + ",\"chunks\":" + std::to_string(chunks) + "}";
    const auto put = co_await m_client.put(std::string(SnapshotHead), head);
    recordCall("put", static_cast<bool>(put));
}

//-----------------------------------------------------------------------------
// Claims
//-----------------------------------------------------------------------------

asio::awaitable<void> PlatformClient::claim(node::ClaimIdempotencyKey order)
{
    node::IdempotencyKeyClaimed claimed;
    claimed.key = order.key;
    while (m_grantingClaimLease) {
        co_await core::asyncSleep(ClaimWait);
    }
    if (m_claimLease == 0 || m_claimsUnderLease >= ClaimsPerLease) {
        m_grantingClaimLease = true;
        const auto lease = co_await m_client.grantLease(ClaimLife * 2);
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
    const auto created = co_await m_client.create(order.storeKey, order.ticket, m_claimLease);
    recordCall("claim", static_cast<bool>(created));
    if (created) {
        claimed.ticket = created.value().created ? order.ticket : created.value().existingValue;
    } else {
        m_claimLease = 0; // the lease may be the cause
    }
    m_post(claimed);
}

//-----------------------------------------------------------------------------
// Leases of duties
//-----------------------------------------------------------------------------

asio::awaitable<void> PlatformClient::holdLease(std::string name, std::uint64_t generation)
{
    while (m_leaseGeneration == generation) {
        const core::TimePoint since = m_clock.steadyNow();
        const auto lease = co_await m_client.grantLease(DutyLease);
        recordCall("lease", static_cast<bool>(lease));
        if (lease) {
            std::string value = m_self.id.text + "/" + std::to_string(m_self.incarnation.value) + "/" + std::to_string(++m_nonce);
            const auto created = co_await m_client.create("lease/" + name, std::move(value), lease.value());
            recordCall("create", static_cast<bool>(created));
            if (created && created.value().created) {
                const core::FencingToken fencing(static_cast<std::uint64_t>(created.value().revision));
                co_await renewLease(lease.value(), fencing, since, generation);
            }
        }
        co_await core::asyncSleep(LeaseRetry);
    }
}

asio::awaitable<void> PlatformClient::renewLease(std::int64_t lease, core::FencingToken fencing, core::TimePoint since, std::uint64_t generation)
{
    while (m_leaseGeneration == generation) {
        node::LeaseGranted held;
        held.fencingToken = fencing;
        held.expiry = since + DutyLease - LeaseMargin;
        m_post(held);
        co_await core::asyncSleep(LeaseRenewal);
        const core::TimePoint asked = m_clock.steadyNow();
        const auto kept = co_await m_client.keepLeaseAlive(lease);
        recordCall("keepalive", static_cast<bool>(kept));
        if (kept && !kept.value()) {
            co_return; // lapsed: another may hold it now
        }
        since = kept ? asked : since; // no answer: what was known before still holds, until it runs out
        if (m_clock.steadyNow() >= since + DutyLease) {
            co_return;
        }
    }
    const auto revoked = co_await m_client.revokeLease(lease); // the duty went to another member
    recordCall("lease", static_cast<bool>(revoked));
}

//-----------------------------------------------------------------------------
// List and directory
//-----------------------------------------------------------------------------

asio::awaitable<void> PlatformClient::readList()
{
    auto answer = co_await m_client.call("GET", "/list?domain=" + m_domain.text, {});
    recordCall("list", static_cast<bool>(answer));
    if (answer) {
        m_post(toList(answer.value(), m_domain));
    }
}

asio::awaitable<void> PlatformClient::writeDirectory(node::WriteDirectory order)
{
    const auto answer = co_await m_client.call("PUT", "/directory", directoryLine(order, m_domain, m_region));
    recordCall("directory", static_cast<bool>(answer));
}

} // namespace arbutus::gateway
