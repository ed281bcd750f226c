// Following the log, claiming keys, reading lists.
//
// Sections:
//   Orders
//   Configuration
//   Claims
//   Leases of duties
//   List and directory

#include "arbutus/gateway/platformduty.h"
#include "arbutus/core/pause.h"

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

routing::UpstreamLine toUpstream(const json::object &line)
{
    routing::UpstreamLine out;
    out.id = core::UpstreamId(core::jsonText(line, "id"));
    out.kind = core::jsonText(line, "kind") == "service" ? routing::UpstreamKind::Service : routing::UpstreamKind::Model;
    out.region = core::RegionId(core::jsonText(line, "region"));
    out.domain = core::DomainId(core::jsonText(line, "failure_domain"));
    out.address = core::jsonText(line, "address");
    out.models = idsOf<core::ModelId>(core::jsonArray(line, "models"));
    out.service = core::ServiceId(core::jsonText(line, "service"));
    out.slots = static_cast<std::uint32_t>(core::jsonInteger(line, "slots", 16));
    out.price = core::jsonNumber(line, "price", 1.0);
    out.leaving = core::jsonText(line, "state") == "leaving";
    return out;
}

membership::Member toMember(const json::object &line)
{
    membership::Member out;
    out.id = core::InstanceId(core::jsonText(line, "id"));
    out.region = core::RegionId(core::jsonText(line, "region"));
    out.domain = core::DomainId(core::jsonText(line, "failure_domain"));
    out.gossipAddress = core::jsonText(line, "gossip");
    out.peerAddress = core::jsonText(line, "peers");
    out.url = core::jsonText(line, "url");
    return out;
}

node::ListRead toList(const json::object &answer, const core::DomainId &domain)
{
    node::ListRead read;
    std::map<core::RegionId, std::set<core::DomainId>> domains;
    for (const json::value &value : core::jsonArray(answer, "instances")) {
        if (!value.is_object()) {
            continue;
        }
        const json::object &line = value.as_object();
        if (core::jsonText(line, "kind") == "gateway") {
            membership::Member member = toMember(line);
            domains[member.region].insert(member.domain);
            read.instances.push_back(std::move(member));
        } else if (core::jsonText(line, "failure_domain") == domain.text) {
            read.upstreams.push_back(toUpstream(line));
        }
    }
    for (const auto &[region, names] : domains) {
        read.domainsOfRegion[region] = static_cast<std::uint32_t>(names.size());
    }
    return read;
}

std::string directoryLine(const node::WriteDirectory &order, const core::DomainId &domain, const core::RegionId &region)
{
    json::array entries;
    for (const node::EntryLine &entry : order.entries) {
        entries.push_back(json::object{{"id", entry.id.text}, {"url", entry.url}});
    }
    return json::serialize(json::object{{"failure_domain", domain.text}, {"region", region.text}, {"entries", std::move(entries)}});
}

} // namespace

//-----------------------------------------------------------------------------
// Orders
//-----------------------------------------------------------------------------

PlatformDuty::PlatformDuty(const core::Clock &clock,
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
    , m_ring(m_thread.executor(), RingCapacity, [this](PlatformOrder &&order) { take(std::move(order)); })
{
}

void PlatformDuty::start()
{
    m_thread.start();
}

void PlatformDuty::stop()
{
    m_thread.stop();
}

bool PlatformDuty::order(PlatformOrder order)
{
    return m_ring.push(std::move(order));
}

void PlatformDuty::take(PlatformOrder &&order)
{
    std::visit([this](const auto &chosen) { on(chosen); }, order);
}

void PlatformDuty::on(const node::WatchConfig &order)
{
    m_watching = order.on;
    ++m_generation;
    if (order.on) {
        asio::co_spawn(m_thread.executor(), followLog(m_generation), asio::detached);
    }
}

void PlatformDuty::on(const node::WriteSnapshot &order)
{
    asio::co_spawn(m_thread.executor(), writeSnapshot(order), asio::detached);
}

void PlatformDuty::on(const node::ClaimKey &order)
{
    asio::co_spawn(m_thread.executor(), claim(order), asio::detached);
}

void PlatformDuty::on(const node::ReadList & /*order*/)
{
    asio::co_spawn(m_thread.executor(), readList(), asio::detached);
}

void PlatformDuty::on(const node::WriteDirectory &order)
{
    asio::co_spawn(m_thread.executor(), writeDirectory(order), asio::detached);
}

void PlatformDuty::on(const node::HoldLease &order)
{
    ++m_leaseGeneration;
    if (order.on) {
        asio::co_spawn(m_thread.executor(), holdLease(order.name, m_leaseGeneration), asio::detached);
    }
}

void PlatformDuty::noteCall(const char *kind, bool good)
{
    m_metrics.count("arbutus_platform_calls_total", std::string("kind=\"") + kind + "\",result=\"" + (good ? "ok" : "failed") + "\"");
}

//-----------------------------------------------------------------------------
// Configuration
//-----------------------------------------------------------------------------

asio::awaitable<void> PlatformDuty::followLog(std::uint64_t generation)
{
    const auto stopped = [this, generation] { return !m_watching || m_generation != generation; };
    const auto onPut = [this](metadata::Stored stored) { adopt({std::move(stored)}); };
    while (!stopped()) {
        if (co_await readLog()) {
            const auto watched = co_await m_client.watch(std::string(LogPrefix), std::string(LogEnd), m_storeRevision + 1, onPut, stopped);
            noteCall("watch", static_cast<bool>(watched));
        }
        if (!stopped()) {
            asio::steady_timer timer(m_thread.executor(), WatchRetry);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }
}

asio::awaitable<bool> PlatformDuty::readLog()
{
    if (m_read.value == 0) {
        co_await readSnapshot();
    }
    while (true) {
        auto range = co_await m_client.range(config::logKey(core::Revision(m_read.value + 1)), std::string(LogEnd), EntriesPerRead);
        noteCall("range", static_cast<bool>(range));
        if (!range) {
            co_return false;
        }
        m_storeRevision = range.value().revision;
        adopt(range.value().pairs);
        if (range.value().pairs.size() < static_cast<std::size_t>(EntriesPerRead)) {
            co_return true;
        }
    }
}

void PlatformDuty::adopt(const std::vector<metadata::Stored> &pairs)
{
    node::ConfigEntriesRead read;
    for (const metadata::Stored &stored : pairs) {
        auto entry = config::parseEntry(stored.value);
        if (entry) {
            m_read = std::max(m_read, entry.value().revision);
            read.entries.push_back(std::move(entry.value()));
        }
    }
    if (!read.entries.empty()) {
        m_post(std::move(read));
    }
}

asio::awaitable<void> PlatformDuty::readSnapshot()
{
    auto head = co_await m_client.range(std::string(SnapshotHead), {});
    noteCall("range", static_cast<bool>(head));
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
        noteCall("range", static_cast<bool>(chunk));
        if (!chunk || chunk.value().pairs.empty()) {
            co_return;
        }
        text += chunk.value().pairs.front().value;
    }
    m_read = revision;
    m_post(node::ConfigSnapshotRead{std::move(text)});
}

asio::awaitable<void> PlatformDuty::writeSnapshot(node::WriteSnapshot order)
{
    std::size_t chunks = 0;
    for (std::size_t at = 0; at < order.snapshot.size(); at += ChunkBytes, ++chunks) {
        auto written = co_await m_client.create(chunkKey(order.revision, chunks), order.snapshot.substr(at, ChunkBytes));
        noteCall("create", static_cast<bool>(written));
        if (!written) {
            co_return; // the next snapshot is as good
        }
    }
    const std::string head = "{\"revision\":" + std::to_string(order.revision.value) + ",\"chunks\":" + std::to_string(chunks) + "}";
    const auto put = co_await m_client.put(std::string(SnapshotHead), head);
    noteCall("put", static_cast<bool>(put));
}

//-----------------------------------------------------------------------------
// Claims
//-----------------------------------------------------------------------------

asio::awaitable<void> PlatformDuty::claim(node::ClaimKey order)
{
    node::KeyClaimed claimed;
    claimed.key = order.key;
    while (m_grantingClaimLease) {
        co_await core::pause(ClaimWait);
    }
    if (m_claimLease == 0 || m_claimsUnderLease >= ClaimsPerLease) {
        m_grantingClaimLease = true;
        const auto lease = co_await m_client.grantLease(ClaimLife * 2);
        m_grantingClaimLease = false;
        noteCall("lease", static_cast<bool>(lease));
        if (!lease) {
            m_post(claimed);
            co_return;
        }
        m_claimLease = lease.value();
        m_claimsUnderLease = 0;
    }
    ++m_claimsUnderLease;
    const auto created = co_await m_client.create(order.claim, order.ticket, m_claimLease);
    noteCall("claim", static_cast<bool>(created));
    if (created) {
        claimed.ticket = created.value().created ? order.ticket : created.value().existing;
    } else {
        m_claimLease = 0; // the lease may be the cause
    }
    m_post(claimed);
}

//-----------------------------------------------------------------------------
// Leases of duties
//-----------------------------------------------------------------------------

asio::awaitable<void> PlatformDuty::holdLease(std::string name, std::uint64_t generation)
{
    while (m_leaseGeneration == generation) {
        const core::TimePoint since = m_clock.steadyNow();
        const auto lease = co_await m_client.grantLease(DutyLease);
        noteCall("lease", static_cast<bool>(lease));
        if (lease) {
            std::string value = m_self.id.text + "/" + std::to_string(m_self.incarnation.value) + "/" + std::to_string(++m_nonce);
            const auto created = co_await m_client.create("lease/" + name, std::move(value), lease.value());
            noteCall("create", static_cast<bool>(created));
            if (created && created.value().created) {
                const core::FencingToken fencing(static_cast<std::uint64_t>(created.value().revision));
                co_await keepHeldLease(lease.value(), fencing, since, generation);
            }
        }
        co_await core::pause(LeaseRetry);
    }
}

asio::awaitable<void> PlatformDuty::keepHeldLease(std::int64_t lease, core::FencingToken fencing, core::TimePoint since, std::uint64_t generation)
{
    while (m_leaseGeneration == generation) {
        node::LeaseHeld held;
        held.fencing = fencing;
        held.until = since + DutyLease - LeaseMargin;
        m_post(held);
        co_await core::pause(LeaseRenewal);
        const core::TimePoint asked = m_clock.steadyNow();
        const auto kept = co_await m_client.keepLease(lease);
        noteCall("keepalive", static_cast<bool>(kept));
        if (kept && !kept.value()) {
            co_return; // lapsed: another may hold it now
        }
        since = kept ? asked : since; // no answer: what was known before still holds, until it runs out
        if (m_clock.steadyNow() >= since + DutyLease) {
            co_return;
        }
    }
    const auto revoked = co_await m_client.revokeLease(lease); // the duty went to another member
    noteCall("lease", static_cast<bool>(revoked));
}

//-----------------------------------------------------------------------------
// List and directory
//-----------------------------------------------------------------------------

asio::awaitable<void> PlatformDuty::readList()
{
    auto answer = co_await m_client.call("GET", "/list?domain=" + m_domain.text, {});
    noteCall("list", static_cast<bool>(answer));
    if (answer) {
        m_post(toList(answer.value(), m_domain));
    }
}

asio::awaitable<void> PlatformDuty::writeDirectory(node::WriteDirectory order)
{
    const auto answer = co_await m_client.call("PUT", "/directory", directoryLine(order, m_domain, m_region));
    noteCall("directory", static_cast<bool>(answer));
}

} // namespace arbutus::gateway
