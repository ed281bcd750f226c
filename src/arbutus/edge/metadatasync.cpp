// Reading, fetching and registering.

#include "arbutus/edge/metadatasync.h"
#include "arbutus/core/asyncsleep.h"
#include "arbutus/edge/codec.h"
#include "arbutus/http/client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <charconv>

namespace arbutus::edge {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

const std::string EverythingPrefix; // one watch for configuration, evacuations and upstreams

} // namespace

MetadataSync::MetadataSync(InstanceContext &context, Fleet &fleet, MetadataCache &beliefs, std::uint64_t seed, MetadataSyncSettings settings)
    : m_context(context)
    , m_fleet(fleet)
    , m_beliefs(beliefs)
    , m_settings(settings)
    , m_random(seed)
    , m_lastResponseAt(context.now())
{
}

void MetadataSync::start(UpdateHandler changed)
{
    m_updateHandler = std::move(changed);
    asio::co_spawn(m_context.executor, readLoop(), asio::detached);
    asio::co_spawn(m_context.executor, registerLoop(), asio::detached);
    asio::co_spawn(m_context.executor, memberRefreshLoop(), asio::detached);
}

//-----------------------------------------------------------------------------
// Reading
//-----------------------------------------------------------------------------

core::Duration MetadataSync::readThreshold()
{
    const std::size_t rank = m_fleet.storeWatchRank();
    if (rank == 0) {
        return core::Duration::zero();
    }
    if (rank == 1) {
        return m_settings.standbyReadThreshold;
    }
    const auto &order = m_fleet.dispatcherRanking(m_context.settings.region);
    if (!order.empty() && order.front().id == m_context.settings.instanceId) {
        return m_settings.regionReadThreshold;
    }
    return m_settings.fallbackReadThreshold + core::Duration(m_random(static_cast<std::uint32_t>(m_settings.fallbackReadJitter.count())));
}

bool MetadataSync::recentStoreOutage(core::TimePoint now) const
{
    return m_hadOutage && now - m_outageEndedAt < m_settings.outageRecoveryPeriod;
}

void MetadataSync::recordStoreResult(bool answered, const std::string &what)
{
    const core::TimePoint now = m_context.now();
    const core::Duration silence = now - m_lastResponseAt;
    if (answered) {
        if (m_storeUnreachable && silence > m_settings.outageThreshold) {
            m_hadOutage = true;
            m_outageEndedAt = now;
        }
        if (m_storeUnreachable) {
            m_context.writeLog(observe::LogLine("store_reachable").add("outage_ms", core::toMilliseconds(silence)));
        }
        m_storeUnreachable = false;
        m_lastResponseAt = now;
        return;
    }
    m_context.metrics.incrementCounter("arbutus_store_failures_total");
    if (!m_storeUnreachable) {
        m_storeUnreachable = true;
        m_context.writeLog(
            observe::LogLine("store_unreachable").add("reason", what).add("metadata_staleness_ms", core::toMilliseconds(m_beliefs.staleness(now))));
    }
}

asio::awaitable<bool> MetadataSync::readOnce()
{
    const core::TimePoint startedAt = m_context.now();
    m_context.metrics.incrementCounter("arbutus_store_calls_total", m_fullReadNeeded ? "call=\"range\"" : "call=\"watch\"");
    if (m_fullReadNeeded) {
        auto range = co_await m_context.store.range(EverythingPrefix, metadata::ReadConsistency::Linearizable);
        recordStoreResult(range.has_value(), range ? "" : range.error().message);
        if (!range) {
            co_return false;
        }
        m_fullReadNeeded = false;
        for (const metadata::StoreItem &item : range.value().items) {
            if (item.key.starts_with(m_context.adapter.storeKeyPrefixes().memberPrefix)) { // who else lives is known as soon as the rest
                addContact(item);
            }
        }
        const MetadataUpdate change = m_beliefs.applyRange(range.value().items, range.value().revision, recentStoreOutage(m_context.now()), startedAt);
        reportUpdate(change, "store_range");
        co_return true;
    }
    auto changes = co_await m_context.store.watch(EverythingPrefix, m_beliefs.storeRevision(), m_settings.watchTimeout);
    if (!changes && changes.error().kind == metadata::StoreErrorKind::HistoryGone) {
        m_context.writeLog(observe::LogLine("store_history_compacted").add("store_revision", m_beliefs.storeRevision()));
        m_fullReadNeeded = true;
        co_return true;
    }
    recordStoreResult(changes.has_value(), changes ? "" : changes.error().message);
    if (!changes) {
        m_fullReadNeeded = true; // what happened meanwhile is read as a whole
        co_return false;
    }
    const MetadataUpdate change =
        m_beliefs.applyChanges(changes.value().changes, changes.value().revision, recentStoreOutage(m_context.now()), m_context.now());
    reportUpdate(change, "store_watch");
    co_return true;
}

asio::awaitable<void> MetadataSync::readLoop()
{
    milliseconds retry = m_settings.initialRetryDelay;
    while (!m_deregistering) {
        const core::Duration after = m_beliefs.catalog() ? readThreshold() : core::Duration::zero();
        if (m_beliefs.staleness(m_context.now()) < after) {
            co_await core::asyncSleep(m_settings.stalenessCheckInterval);
            continue;
        }
        if (co_await readOnce()) {
            retry = m_settings.initialRetryDelay;
            co_await core::asyncSleep(m_settings.watchPause);
            continue;
        }
        const auto jitter = milliseconds(m_random(static_cast<std::uint32_t>(retry.count())));
        co_await core::asyncSleep(retry / 2 + jitter);
        retry = std::min(retry * 2, m_settings.maxRetryDelay);
    }
}

void MetadataSync::reportUpdate(const MetadataUpdate &change, std::string_view source)
{
    const core::TimePoint now = m_context.now();
    for (const std::string &fault : change.parseErrors) {
        m_context.writeLog(observe::LogLine("store_entry_invalid").add("reason", fault).add("source", source));
    }
    if (change.catalogChanged) {
        m_context.writeLog(observe::LogLine("configuration_applied")
                               .add("version", m_beliefs.catalog()->version())
                               .add("routes", m_beliefs.catalog()->routes().size())
                               .add("store_revision", m_beliefs.storeRevision())
                               .add("source", source));
    }
    if (change.evacuationChanged) {
        std::string domains;
        for (const core::DomainId &domain : m_beliefs.registry().evacuatedDomains()) {
            domains += (domains.empty() ? "" : ",") + domain.text;
        }
        m_context.writeLog(observe::LogLine("evacuation").add("domains", domains).add("store_revision", m_beliefs.storeRevision()).add("source", source));
    }
    for (const routing::RegistryChange &row : change.upstreamChanges) {
        m_context.writeLog(observe::LogLine("upstream")
                               .add("upstream", row.id)
                               .add("change", routing::toString(row.kind))
                               .add("store_revision", m_beliefs.storeRevision())
                               .add("metadata_staleness_ms", core::toMilliseconds(m_beliefs.staleness(now)))
                               .add("source", source));
    }
    if (change.hasChanges()) {
        m_updateHandler(change);
    }
}

//-----------------------------------------------------------------------------
// Peers
//-----------------------------------------------------------------------------

void MetadataSync::fetchFromPeer(const core::InstanceId &peer)
{
    const membership::Member *member = m_fleet.findMember(peer);
    if (member == nullptr || std::exchange(m_fetching, true)) {
        return;
    }
    asio::co_spawn(m_context.executor, fetchSnapshot(*member), asio::detached);
}

asio::awaitable<void> MetadataSync::fetchSnapshot(membership::Member peer)
{
    http::Request request;
    const auto known = m_beliefs.catalog() ? m_beliefs.catalog()->version() : catalog::CatalogVersion();
    request.target = "/beliefs?catalog=" + std::to_string(known.value);
    http::Endpoint endpoint = http::parseEndpoint(peer.peerAddress);
    auto answer = co_await http::fetch(m_context.executor, endpoint, request, m_settings.peerFetchTimeout);
    m_fetching = false;
    if (!answer) {
        m_context.writeLog(observe::LogLine("metadata_fetch_failed").add("peer", peer.id).add("reason", answer.error().message));
        co_return;
    }
    const auto snapshot = decodeMetadataSnapshot(answer.value().body);
    if (!snapshot) {
        m_context.writeLog(observe::LogLine("metadata_fetch_failed").add("peer", peer.id).add("reason", "the answer cannot be read"));
        co_return;
    }
    const MetadataUpdate change = m_beliefs.applySnapshot(*snapshot, m_context.now());
    reportUpdate(change, "peer");
}

http::Response metadataSnapshotResponse(const MetadataCache &beliefs, const http::Request &request, core::TimePoint now)
{
    const std::string text = request.queryParameter("catalog");
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    http::Response response;
    response.headers["Content-Type"] = "application/x-protobuf";
    response.body = encode(beliefs.snapshot(catalog::CatalogVersion(version), now));
    return response;
}

//-----------------------------------------------------------------------------
// Registration
//-----------------------------------------------------------------------------

std::string MetadataSync::registrationValue() const
{
    const membership::Member &self = m_fleet.self();
    json::object out;
    out["domain"] = self.domain.text;
    out["region"] = self.region.text;
    out["peer"] = self.peerAddress;
    out["callers"] = self.callersUrl;
    out["capacity"] = self.capacity;
    return json::serialize(out);
}

void MetadataSync::addContact(const metadata::StoreItem &item)
{
    const std::string &prefix = m_context.adapter.storeKeyPrefixes().memberPrefix;
    boost::system::error_code code;
    const json::value value = json::parse(item.value, code);
    const json::object *said = code ? nullptr : value.if_object();
    const auto text = [&](std::string_view name) {
        const json::value *field = said == nullptr ? nullptr : said->if_contains(name);
        return field != nullptr && field->is_string() ? std::string(field->get_string()) : std::string();
    };
    membership::Member contact;
    contact.id = core::InstanceId(item.key.substr(prefix.size()));
    contact.domain = core::DomainId(text("domain"));
    contact.region = core::RegionId(text("region"));
    contact.gossipAddress = text("peer");
    contact.peerAddress = contact.gossipAddress;
    contact.callersUrl = text("callers");
    if (contact.gossipAddress.empty()) {
        m_context.writeLog(observe::LogLine("registration_invalid").add("key", item.key));
        return;
    }
    m_fleet.addContact(contact);
}

asio::awaitable<bool> MetadataSync::readMembers(metadata::ReadConsistency freshness)
{
    m_context.metrics.incrementCounter("arbutus_store_calls_total", "call=\"members\"");
    auto range = co_await m_context.store.range(m_context.adapter.storeKeyPrefixes().memberPrefix, freshness);
    if (!range) {
        co_return false;
    }
    for (const metadata::StoreItem &item : range.value().items) {
        addContact(item);
    }
    co_return true;
}

asio::awaitable<void> MetadataSync::registerLoop()
{
    const std::string key = m_context.adapter.storeKeyPrefixes().memberPrefix + m_context.settings.instanceId.text;
    while (!m_deregistering) {
        if (m_lease.empty()) {
            auto lease = co_await m_context.store.grantLease(m_settings.leaseTtl);
            if (lease) {
                const std::string value = registrationValue();
                auto written = co_await m_context.store.put(key, value, lease.value());
                if (written) {
                    m_lease = lease.value();
                    m_context.writeLog(observe::LogLine("registered").add("key", key).add("lease", m_lease));
                } else {
                    m_context.writeLog(observe::LogLine("registration_failed").add("reason", written.error().message));
                }
            }
        } else {
            auto kept = co_await m_context.store.keepLeaseAlive(m_lease);
            if (!kept && kept.error().kind == metadata::StoreErrorKind::LeaseGone) {
                m_context.writeLog(observe::LogLine("registration_expired").add("lease", m_lease));
                m_lease = metadata::LeaseId();
                continue;
            }
        }
        co_await core::asyncSleep(m_lease.empty() ? m_settings.maxRetryDelay : m_settings.leaseRenewalInterval);
    }
}

asio::awaitable<void> MetadataSync::memberRefreshLoop()
{
    constexpr auto FirstRead = milliseconds(600); // the others have registered by then when all start at once
    co_await core::asyncSleep(FirstRead);
    while (!m_deregistering) {
        const bool answered = co_await readMembers(metadata::ReadConsistency::Serializable);
        co_await core::asyncSleep(answered ? m_settings.memberRefreshInterval + milliseconds(m_random(3'000)) : m_settings.maxRetryDelay);
    }
}

void MetadataSync::deregister()
{
    m_deregistering = true;
    if (m_lease.empty()) {
        return;
    }
    auto end = [](metadata::MetadataStore &store, metadata::LeaseId lease) -> asio::awaitable<void> {
        const auto ended = co_await store.revokeLease(lease); // otherwise it lapses by itself
        (void)ended;
    };
    asio::co_spawn(m_context.executor, end(m_context.store, m_lease), asio::detached);
}

} // namespace arbutus::edge
