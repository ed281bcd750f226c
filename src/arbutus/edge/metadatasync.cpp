// Reading the store, fetching from peers and registering this instance.

#include "arbutus/edge/metadatasync.h"
#include "arbutus/core/asyncsleep.h"
#include "arbutus/core/json.h"
#include "arbutus/edge/background.h"
#include "arbutus/edge/codec.h"
#include "arbutus/http/client.h"
#include "arbutus/http/machineaddress.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace arbutus::edge {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr auto CatchUpPollInterval = milliseconds(5);
const std::string AllKeysPrefix; // empty, so one watch covers configuration, evacuations and upstreams

} // namespace

MetadataSync::MetadataSync(InstanceContext &context, Fleet &fleet, MetadataCache &metadataCache, std::uint64_t seed, MetadataSyncSettings settings)
    : m_context(context)
    , m_fleet(fleet)
    , m_metadataCache(metadataCache)
    , m_settings(settings)
    , m_random(seed)
    , m_lastResponseAt(context.now())
    , m_registrationTimer(context.executor)
{
}

void MetadataSync::start(UpdateHandler handler)
{
    m_updateHandler = std::move(handler);
    spawnLoop(m_context, "metadata_read", [this] { return readLoop(); });
    spawnLoop(m_context, "metadata_register", [this] { return registerLoop(); });
    spawnLoop(m_context, "metadata_member_refresh", [this] { return memberRefreshLoop(); });
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
    const auto &ranking = m_fleet.dispatcherRanking(m_context.settings.region);
    if (!ranking.empty() && ranking.front().id == m_context.settings.instanceId) {
        return m_settings.regionReadThreshold;
    }
    return m_settings.fallbackReadThreshold + core::Duration(m_random(static_cast<std::uint32_t>(m_settings.fallbackReadJitter.count())));
}

bool MetadataSync::recentStoreOutage(core::TimePoint now) const
{
    return m_hadOutage && now - m_outageEndedAt < m_settings.outageRecoveryPeriod;
}

bool MetadataSync::isSubstituteReader() const
{
    return m_lastSubstituteReadAt && m_context.now() - *m_lastSubstituteReadAt < m_settings.substituteReportTime;
}

void MetadataSync::recordStoreResult(bool succeeded, const std::string &reason)
{
    const core::TimePoint now = m_context.now();
    const core::Duration sinceLastResponse = now - m_lastResponseAt;
    if (succeeded) {
        if (m_storeUnreachable && sinceLastResponse > m_settings.outageThreshold) {
            m_hadOutage = true;
            m_outageEndedAt = now;
        }
        if (m_storeUnreachable) {
            m_context.writeLog(observe::LogLine("store_reachable").add("outage_ms", core::toMilliseconds(sinceLastResponse)));
        }
        m_storeUnreachable = false;
        m_lastResponseAt = now;
        if (m_readsAsSubstitute) {
            m_lastSubstituteReadAt = now;
        }
        return;
    }
    m_context.metrics.incrementCounter("arbutus_store_failures_total");
    if (!m_storeUnreachable) {
        m_storeUnreachable = true;
        m_context.writeLog(
            observe::LogLine("store_unreachable").add("reason", reason).add("metadata_staleness_ms", core::toMilliseconds(m_metadataCache.staleness(now))));
    }
}

bool MetadataSync::observeGeneration(metadata::StoreGeneration stated, std::string_view call)
{
    if (stated.value == 0) {
        return true; // no response, or none stated
    }
    const metadata::StoreGeneration known = m_metadataCache.knownGeneration();
    if (stated < known) {
        if (!m_lowerGeneration || m_lowerGeneration->first != stated) {
            m_lowerGeneration = {stated, m_context.now()};
            m_context.writeLog(observe::LogLine("store_generation_lower").add("generation", stated).add("known_generation", known).add("call", call));
        } else if (m_context.now() - m_lowerGeneration->second >= m_settings.lowerGenerationTimeout) {
            m_lowerGeneration.reset();
            m_context.writeLog(observe::LogLine("store_generation_fell").add("old_generation", known).add("new_generation", stated).add("call", call));
            m_metadataCache.acceptLowerGeneration(stated);
            m_storeGeneration = metadata::StoreGeneration();
            onStoreRestored();
            return true;
        }
        return false;
    }
    m_lowerGeneration.reset();
    m_metadataCache.noteGeneration(stated);
    if (m_storeGeneration.value == 0) {
        m_storeGeneration = stated;
    } else if (stated > m_storeGeneration) {
        m_context.writeLog(observe::LogLine("store_generation_changed")
                               .add("old_generation", m_storeGeneration)
                               .add("new_generation", stated)
                               .add("store_revision", m_metadataCache.storePosition().revision)
                               .add("call", call));
        onStoreRestored();
    }
    return true;
}

void MetadataSync::onStoreRestored()
{
    const metadata::StoreGeneration generation = m_metadataCache.knownGeneration();
    if (generation == m_storeGeneration) {
        return; // done
    }
    m_storeGeneration = generation;
    m_context.metrics.incrementCounter("arbutus_store_generation_changes_total");
    m_fullReadNeeded = true;
    m_readsAtOnce = true;
    // Entries that upstreams wrote may expire before they write them again, as after an outage.
    m_hadOutage = true;
    m_outageEndedAt = m_context.now();
    m_lease = metadata::LeaseId(); // the store may have given its id to another instance
    m_isRegistrationLost = true;
    m_registrationTimer.cancel();
}

void MetadataSync::logRestore(const MetadataUpdate &update, std::string_view source)
{
    const metadata::StorePosition position = m_metadataCache.storePosition();
    std::string kept;
    for (const core::DomainId &domain : update.keptEvacuations) {
        kept += (kept.empty() ? "" : ",") + domain.text;
    }
    const auto missing = std::count_if(update.upstreamChanges.begin(), update.upstreamChanges.end(), [](const routing::RegistryChange &change) {
        return change.kind == routing::RegistryChange::Kind::Missing;
    });
    m_context.writeLog(observe::LogLine("store_restored")
                           .add("old_generation", update.positionBefore->generation)
                           .add("old_revision", update.positionBefore->revision)
                           .add("new_generation", position.generation)
                           .add("new_revision", position.revision)
                           .add("configuration", m_metadataCache.knownCatalog().version)
                           .add("kept_evacuations", kept)
                           .add("missing_upstreams", missing)
                           .add("source", source));
}

asio::awaitable<bool> MetadataSync::readOnce()
{
    const core::TimePoint startedAt = m_context.now();
    const BootTime askedAt = InstanceContext::bootNow();
    m_context.metrics.incrementCounter("arbutus_store_calls_total", m_fullReadNeeded ? "call=\"range\"" : "call=\"watch\"");
    if (m_fullReadNeeded) {
        auto range = co_await m_context.store.range(AllKeysPrefix, metadata::ReadConsistency::Linearizable);
        recordStoreResult(range.has_value(), range ? "" : range.error().message);
        const bool isUsable = observeGeneration(range ? range.value().position.generation : range.error().generation, "range");
        if (!range || !isUsable) {
            co_return false;
        }
        m_fullReadNeeded = false;
        reportInvalidItems(range.value().invalidItems);
        for (const metadata::StoreItem &item : range.value().items) {
            // Learns of the other instances without waiting for the member refresh.
            if (item.key.starts_with(m_context.adapter.storeKeyPrefixes().memberPrefix)) {
                addContact(item);
            }
        }
        const metadata::StorePosition position = range.value().position;
        const MetadataUpdate update = m_metadataCache.applyRange(range.value().items, position, recentStoreOutage(m_context.now()), startedAt);
        reportUpdate(update, position, "store_range");
        m_metadataCache.recordStoreRead(askedAt);
        co_return true;
    }
    const metadata::StorePosition after = m_metadataCache.storePosition(); // may change meanwhile
    const milliseconds timeout = m_isCatchingUp ? m_settings.catchUpWatchTimeout : m_settings.watchTimeout;
    auto changes = co_await m_context.store.watch(AllKeysPrefix, after.revision, timeout);
    const bool isUsable = observeGeneration(changes ? changes.value().position.generation : changes.error().generation, "watch");
    if (!changes && changes.error().kind == metadata::StoreErrorKind::HistoryCompacted) {
        m_context.writeLog(observe::LogLine("store_history_compacted").add("store_revision", after.revision));
        m_fullReadNeeded = true;
        co_return true;
    }
    recordStoreResult(changes.has_value(), changes ? "" : changes.error().message);
    if (!changes || !isUsable) {
        m_fullReadNeeded = true; // changes may have been missed
        co_return false;
    }
    reportInvalidItems(changes.value().invalidItems);
    const metadata::StorePosition position = changes.value().position;
    const core::TimePoint readAt = m_context.evidenceClock.answerTime(startedAt, m_context.now());
    const MetadataUpdate update = m_metadataCache.applyChanges(changes.value().changes, after, position, recentStoreOutage(m_context.now()), readAt);
    reportUpdate(update, position, "store_watch");
    if (update.isFullReadNeeded) {
        m_fullReadNeeded = true;
        m_readsAtOnce = true;
    } else {
        m_metadataCache.recordStoreRead(provenByWatch(askedAt, InstanceContext::bootNow(), timeout, !changes.value().changes.empty()));
    }
    co_return true;
}

asio::awaitable<void> MetadataSync::readLoop()
{
    milliseconds retryDelay = m_settings.initialRetryDelay;
    while (!m_deregistering) {
        if (m_isAskingPeers) { // a call to the store may not be needed
            co_await core::asyncSleep(CatchUpPollInterval);
            continue;
        }
        const core::Duration threshold = m_metadataCache.catalog() ? readThreshold() : core::Duration::zero();
        if (m_metadataCache.storeStaleness(m_context.now()) < threshold) {
            co_await core::asyncSleep(m_settings.stalenessCheckInterval);
            continue;
        }
        m_readsAsSubstitute = threshold > core::Duration::zero();
        if (co_await readOnce()) {
            retryDelay = m_settings.initialRetryDelay;
            const bool isStoreCurrent = m_metadataCache.storeStaleness(m_context.now()) < m_settings.currentStaleness;
            if (m_isCatchingUp && !isStoreCurrent) { // the call was under way when the process stood still
                co_await core::asyncSleep(CatchUpPollInterval);
            } else if (!std::exchange(m_readsAtOnce, false)) {
                co_await core::asyncSleep(m_settings.watchPause);
            } else if (m_readsAsSubstitute) { // as others may do now
                co_await core::asyncSleep(milliseconds(m_random(static_cast<std::uint32_t>(m_settings.substituteReadJitter.count()))));
            }
            continue;
        }
        const auto jitter = milliseconds(m_random(static_cast<std::uint32_t>(retryDelay.count())));
        co_await core::asyncSleep(retryDelay / 2 + jitter);
        retryDelay = std::min(retryDelay * 2, m_settings.maxRetryDelay);
    }
}

void MetadataSync::reportInvalidItems(const std::vector<std::string> &reasons)
{
    constexpr std::size_t MaxReported = 1'000; // reasons remembered
    for (const std::string &reason : reasons) {
        if (m_reportedInvalidItems.size() >= MaxReported) {
            m_reportedInvalidItems.clear();
        }
        if (m_reportedInvalidItems.insert(reason).second) {
            m_context.writeLog(observe::LogLine("store_item_invalid").add("reason", reason));
        }
    }
}

void MetadataSync::reportUpdate(const MetadataUpdate &update, metadata::StorePosition position, std::string_view source)
{
    const core::TimePoint now = m_context.now();
    const metadata::StorePosition cached = m_metadataCache.storePosition();
    if (update.isObsolete) {
        m_context.metrics.incrementCounter("arbutus_obsolete_metadata_updates_total");
        m_context.writeLog(observe::LogLine("metadata_update_obsolete")
                               .add("store_generation", position.generation)
                               .add("store_revision", position.revision)
                               .add("known_generation", cached.generation)
                               .add("known_revision", cached.revision)
                               .add("source", source));
    }
    for (const std::string &error : update.parseErrors) {
        m_context.writeLog(observe::LogLine("store_entry_invalid").add("reason", error).add("source", source));
    }
    if (update.positionBefore) {
        logRestore(update, source);
        onStoreRestored();
    }
    if (update.replacedCatalog) {
        m_context.writeLog(observe::LogLine("configuration_content_replaced")
                               .add("version", *update.replacedCatalog)
                               .add("store_generation", cached.generation)
                               .add("store_revision", cached.revision)
                               .add("source", source));
    }
    if (update.lowerCatalog) {
        m_context.writeLog(observe::LogLine("configuration_kept")
                               .add("version", m_metadataCache.knownCatalog().version)
                               .add("store_version", *update.lowerCatalog)
                               .add("store_generation", cached.generation)
                               .add("store_revision", cached.revision)
                               .add("source", source));
    }
    if (update.catalogChanged) {
        m_context.writeLog(observe::LogLine("configuration_applied")
                               .add("version", m_metadataCache.catalog()->version())
                               .add("routes", m_metadataCache.catalog()->routes().size())
                               .add("store_generation", cached.generation)
                               .add("store_revision", cached.revision)
                               .add("source", source));
    }
    if (update.evacuationChanged) {
        std::string domains;
        for (const core::DomainId &domain : m_metadataCache.registry().evacuatedDomains()) {
            domains += (domains.empty() ? "" : ",") + domain.text;
        }
        m_context.writeLog(observe::LogLine("evacuation")
                               .add("domains", domains)
                               .add("store_generation", cached.generation)
                               .add("store_revision", cached.revision)
                               .add("source", source));
    }
    for (const auto &[domain, removedAt] : update.removedEvacuations) {
        std::string guarded;
        for (const auto &[id, entry] : m_metadataCache.registry().entries()) {
            if (entry.announcement.domain == domain && entry.isUsable() && now < entry.guardedUntil) {
                guarded += (guarded.empty() ? "" : ",") + id.text + "@" + std::to_string(entry.announcement.writtenAt.value);
            }
        }
        m_context.writeLog(observe::LogLine("evacuation_removed")
                               .add("domain", domain)
                               .add("removed_at", removedAt)
                               .add("store_revision", cached.revision)
                               .add("guarded", guarded)
                               .add("source", source));
    }
    for (const routing::RegistryChange &registryChange : update.upstreamChanges) {
        const routing::RegistryEntry *entry = m_metadataCache.registry().find(registryChange.id);
        m_context.writeLog(observe::LogLine("upstream")
                               .add("upstream", registryChange.id)
                               .add("software_version", entry == nullptr ? routing::SoftwareVersion() : entry->announcement.version)
                               .add("change", routing::toString(registryChange.kind))
                               .add("written_at", entry == nullptr ? routing::SnapshotRevision() : entry->announcement.writtenAt)
                               .add("cold_ms", entry == nullptr ? 0 : core::toMilliseconds(entry->announcement.coldRemaining))
                               .add("store_generation", cached.generation)
                               .add("store_revision", cached.revision)
                               .add("metadata_staleness_ms", core::toMilliseconds(m_metadataCache.staleness(now)))
                               .add("source", source));
    }
    if (update.hasChanges()) {
        m_updateHandler(update);
    }
}

//-----------------------------------------------------------------------------
// Peers
//-----------------------------------------------------------------------------

void MetadataSync::stateMetadata(FleetMessage &message) const
{
    message.catalogVersion = m_metadataCache.knownCatalog().version;
    message.keptEvacuations = m_metadataCache.keptEvacuations(m_context.now());
    if (m_context.settings.maxWithdrawalDelay) {
        message.catalogGeneration = m_metadataCache.knownCatalog().generation;
        message.proofAge = m_metadataCache.proof().age(InstanceContext::bootNow());
    }
}

void MetadataSync::noteStatedMetadata(const FleetMessage &message)
{
    noteCatalogVersion(message.sender.id, message.catalogVersion);
    if (message.proofAge) {
        const KnownCatalog stated{message.catalogVersion, message.catalogGeneration};
        const BootTime bootNow = InstanceContext::bootNow();
        const core::TimePoint now = m_context.now();
        m_metadataCache.noteClocks(bootNow, now);
        const BootTime arrivedAt = bootNow - (now - message.arrivedAt);
        m_metadataCache.recordStatedProof(*message.proofAge, stated, arrivedAt);
    }
    const MetadataUpdate update = m_metadataCache.noteKeptEvacuations(message.keptEvacuations, m_context.now());
    reportUpdate(update, m_metadataCache.storePosition(), "peer");
}

void MetadataSync::noteCatalogVersion(const core::InstanceId &peer, catalog::CatalogVersion stated)
{
    m_metadataCache.noteCatalogVersion(stated);
    const catalog::CatalogVersion known = m_metadataCache.knownCatalog().version;
    if (stated <= known) {
        return;
    }
    const core::TimePoint now = m_context.now();
    if (stated > m_reportedCatalogVersion) {
        m_reportedCatalogVersion = stated;
        m_context.writeLog(observe::LogLine("configuration_behind")
                               .add("version", known)
                               .add("newer_version", stated)
                               .add("peer", peer)
                               .add("store_generation", m_metadataCache.storePosition().generation)
                               .add("store_revision", m_metadataCache.storePosition().revision)
                               .add("metadata_staleness_ms", core::toMilliseconds(m_metadataCache.staleness(now))));
    }
    if (!m_lastCatalogFetchAt || now - *m_lastCatalogFetchAt >= m_settings.catalogFetchInterval) {
        m_lastCatalogFetchAt = now;
        fetchFromPeer(peer);
    }
}

void MetadataSync::fetchFromPeer(const core::InstanceId &peer)
{
    const membership::Member *member = m_fleet.findMember(peer);
    if (member == nullptr || std::exchange(m_fetching, true)) {
        return;
    }
    asio::co_spawn(m_context.executor, fetchSnapshot(*member, m_settings.peerFetchTimeout), asio::detached);
}

asio::awaitable<void> MetadataSync::fetchSnapshot(membership::Member peer, milliseconds timeout)
{
    const core::TimePoint askedAt = m_context.now();
    http::Request request;
    const KnownCatalog known = m_metadataCache.knownCatalog();
    request.target = "/beliefs?catalog=" + std::to_string(known.version.value) + "&generation=" + std::to_string(known.generation.value);
    http::Endpoint endpoint = http::parseEndpoint(peer.peerAddress);
    auto response = co_await http::fetch(m_context.executor, endpoint, request, timeout);
    m_fetching = false;
    if (!response) {
        m_context.writeLog(observe::LogLine("metadata_fetch_failed").add("peer", peer.id).add("reason", response.error().message));
        co_return;
    }
    auto snapshot = decodeMetadataSnapshot(response.value().body);
    if (!snapshot) {
        m_context.writeLog(observe::LogLine("metadata_fetch_failed").add("peer", peer.id).add("reason", "the response body is not a valid metadata snapshot"));
        co_return;
    }
    snapshot->staleness += m_context.now() - askedAt; // the answer may have waited
    const MetadataUpdate update = m_metadataCache.applySnapshot(*snapshot, m_context.now());
    reportUpdate(update, snapshot->storePosition, "peer");
}

//-----------------------------------------------------------------------------
// After a stall
//-----------------------------------------------------------------------------

bool MetadataSync::isCurrent() const
{
    return m_metadataCache.staleness(m_context.now()) < m_settings.currentStaleness;
}

void MetadataSync::onStalled(core::Duration stalledFor)
{
    if (stalledFor < m_settings.minStall || isCurrent() || !m_metadataCache.catalog() || std::exchange(m_isCatchingUp, true)) {
        return;
    }
    m_isAskingPeers = true;
    asio::co_spawn(m_context.executor, catchUp(), asio::detached);
}

std::vector<membership::Member> MetadataSync::peersToCatchUpWith()
{
    std::vector<membership::Member> out;
    const auto add = [&](const std::vector<membership::Member> &members) {
        for (const membership::Member &member : members) {
            if (member.id != m_context.settings.instanceId && out.size() < m_settings.catchUpPeers) {
                out.push_back(member);
            }
        }
    };
    add(m_fleet.dispatcherRanking(m_context.settings.region)); // they are told of changes first
    if (out.empty()) {
        add(m_fleet.liveMembers());
    }
    return out;
}

asio::awaitable<void> MetadataSync::catchUp()
{
    const core::TimePoint startedAt = m_context.now();
    for (const membership::Member &peer : peersToCatchUpWith()) {
        try {
            co_await fetchSnapshot(peer, m_settings.catchUpFetchTimeout);
        } catch (const std::exception &error) { // requests wait for the end of this coroutine
            m_context.writeLog(observe::LogLine("metadata_fetch_failed").add("peer", peer.id).add("reason", error.what()));
        }
        if (isCurrent()) {
            break;
        }
    }
    m_isAskingPeers = false;
    while (!isCurrent() && m_context.now() - startedAt < m_settings.catchUpTimeout) {
        co_await core::asyncSleep(CatchUpPollInterval);
    }
    m_isCatchingUp = false;
    m_context.writeLog(observe::LogLine("caught_up")
                           .add("current", isCurrent())
                           .add("took_ms", core::toMilliseconds(m_context.now() - startedAt))
                           .add("metadata_staleness_ms", core::toMilliseconds(m_metadataCache.staleness(m_context.now()))));
}

asio::awaitable<void> MetadataSync::waitUntilCurrent()
{
    m_context.evidenceClock.noteRunning(m_context.now());
    while (m_isCatchingUp) {
        co_await core::asyncSleep(CatchUpPollInterval);
    }
}

http::Response metadataSnapshotResponse(const MetadataCache &metadataCache, const http::Request &request, core::TimePoint now)
{
    const auto numberParameter = [&request](std::string_view name, std::uint64_t fallback) {
        const std::string text = request.queryParameter(name);
        std::from_chars(text.data(), text.data() + text.size(), fallback);
        return fallback;
    };
    const catalog::CatalogVersion version(numberParameter("catalog", 0));
    // A peer that states no generation of its configuration can't replace the content of a version.
    const metadata::StoreGeneration generation(numberParameter("generation", std::numeric_limits<std::uint64_t>::max()));
    http::Response response;
    response.headers["Content-Type"] = "application/x-protobuf";
    response.body = encode(metadataCache.snapshot(KnownCatalog{version, generation}, now));
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
    out["callers"] = self.clientUrl;
    out["capacity"] = self.capacity;
    return json::serialize(out);
}

core::Result<membership::Member> parseRegistration(const core::InstanceId &id, const std::string &value)
{
    constexpr std::size_t MaxNameBytes = 200;
    const auto invalid = [](std::string_view name) { return core::makeError(core::ErrorKind::BadRequest, std::string(name) + " is missing or invalid"); };
    const auto isName = [](const std::string &text) {
        const auto isControl = [](unsigned char c) { return c < ' ' || c == 0x7f; };
        return !text.empty() && text.size() <= MaxNameBytes && std::none_of(text.begin(), text.end(), isControl);
    };
    BOOST_OUTCOME_TRY(const json::object fields, core::parseJsonObject(value));
    membership::Member contact;
    contact.id = id;
    contact.domain = core::DomainId(core::jsonString(fields, "domain"));
    contact.region = core::RegionId(core::jsonString(fields, "region"));
    contact.peerAddress = core::jsonString(fields, "peer");
    contact.gossipAddress = contact.peerAddress;
    contact.clientUrl = core::jsonString(fields, "callers");
    if (!isName(id.text)) {
        return invalid("the id");
    }
    if (!isName(contact.domain.text)) {
        return invalid("domain");
    }
    if (!isName(contact.region.text)) {
        return invalid("region");
    }
    if (!http::isMachineAddress(contact.peerAddress)) {
        return invalid("peer");
    }
    if (!http::isMachineAddress(contact.clientUrl)) {
        return invalid("callers");
    }
    return contact;
}

void MetadataSync::addContact(const metadata::StoreItem &item)
{
    const std::string &prefix = m_context.adapter.storeKeyPrefixes().memberPrefix;
    const auto contact = parseRegistration(core::InstanceId(item.key.substr(prefix.size())), item.value);
    if (contact) {
        m_invalidRegistrations.erase(item.key);
        m_fleet.addContact(contact.value());
    } else if (std::exchange(m_invalidRegistrations[item.key], contact.error().message) != contact.error().message) {
        m_context.writeLog(observe::LogLine("registration_invalid").add("key", item.key).add("reason", contact.error().message));
    }
}

asio::awaitable<bool> MetadataSync::readMembers(metadata::ReadConsistency consistency)
{
    m_context.metrics.incrementCounter("arbutus_store_calls_total", "call=\"members\"");
    auto range = co_await m_context.store.range(m_context.adapter.storeKeyPrefixes().memberPrefix, consistency);
    const metadata::StoreGeneration stated = range ? range.value().position.generation : range.error().generation;
    // A serializable read may be from before a restore that is already known.
    const bool mayBeOld = consistency == metadata::ReadConsistency::Serializable;
    if (stated >= m_metadataCache.knownGeneration() || !mayBeOld) {
        observeGeneration(stated, "members");
    }
    if (!range) {
        co_return false;
    }
    reportInvalidItems(range.value().invalidItems);
    for (const metadata::StoreItem &item : range.value().items) {
        addContact(item);
    }
    co_return true;
}

core::Duration registrationDelay(std::size_t instanceCount, int registrationsPerSecond, pcg32 &random)
{
    const core::Duration spread = core::Duration(std::chrono::seconds(instanceCount)) / registrationsPerSecond;
    return core::Duration(random(static_cast<std::uint32_t>(std::max<core::Duration::rep>(spread.count(), 1))));
}

asio::awaitable<void> MetadataSync::registerLoop()
{
    const std::string key = m_context.adapter.storeKeyPrefixes().memberPrefix + m_context.settings.instanceId.text;
    while (!m_deregistering) {
        if (std::exchange(m_isRegistrationLost, false)) {
            const core::Duration delay = registrationDelay(m_fleet.knownMemberCount(), m_settings.registrationsPerSecond, m_random);
            co_await core::asyncSleep(delay);
            if (m_leaseGeneration != m_storeGeneration) { // not if it was granted after the restore
                m_lease = metadata::LeaseId();
            }
            continue;
        }
        if (m_lease.empty()) {
            auto grant = co_await m_context.store.grantLease(m_settings.leaseTtl);
            observeGeneration(grant ? grant.value().generation : grant.error().generation, "lease_grant");
            if (grant) {
                const std::string value = registrationValue();
                auto registration = co_await m_context.store.put(key, value, grant.value().lease);
                observeGeneration(registration ? registration.value().generation : registration.error().generation, "registration");
                if (registration && registration.value().generation != grant.value().generation) {
                    m_context.writeLog(observe::LogLine("registration_failed").add("reason", "the store was restored meanwhile"));
                } else if (registration) {
                    m_lease = grant.value().lease;
                    m_leaseGeneration = grant.value().generation;
                    m_context.writeLog(
                        observe::LogLine("registered").add("key", key).add("lease", m_lease).add("store_generation", registration.value().generation));
                } else {
                    m_context.writeLog(observe::LogLine("registration_failed").add("reason", registration.error().message));
                }
            }
        } else {
            const metadata::LeaseId lease = m_lease; // a restore of the store resets it
            auto renewal = co_await m_context.store.keepLeaseAlive(lease);
            observeGeneration(renewal ? renewal.value() : renewal.error().generation, "lease_renewal");
            if (!renewal && renewal.error().kind == metadata::StoreErrorKind::LeaseNotFound) {
                m_context.writeLog(observe::LogLine("registration_expired").add("lease", lease));
                m_lease = metadata::LeaseId();
                continue;
            }
        }
        if (!m_isRegistrationLost) {
            const milliseconds pause = m_lease.empty() ? m_settings.maxRetryDelay : m_settings.leaseRenewalInterval;
            m_registrationTimer.expires_after(pause);
            boost::system::error_code code;
            co_await m_registrationTimer.async_wait(asio::redirect_error(asio::use_awaitable, code));
        }
    }
}

asio::awaitable<void> MetadataSync::memberRefreshLoop()
{
    constexpr auto InitialDelay = milliseconds(600); // lets the others register first when all instances start at once
    co_await core::asyncSleep(InitialDelay);
    while (!m_deregistering) {
        const bool succeeded = co_await readMembers(metadata::ReadConsistency::Serializable);
        co_await core::asyncSleep(succeeded ? m_settings.memberRefreshInterval + milliseconds(m_random(3'000)) : m_settings.maxRetryDelay);
    }
}

void MetadataSync::deregister()
{
    m_deregistering = true;
    if (m_lease.empty()) {
        return;
    }
    auto revoke = [](metadata::MetadataStore &store, metadata::LeaseId lease) -> asio::awaitable<void> {
        const auto result = co_await store.revokeLease(lease); // on failure the lease expires by itself
        (void)result;
    };
    asio::co_spawn(m_context.executor, revoke(m_context.store, m_lease), asio::detached);
}

} // namespace arbutus::edge
