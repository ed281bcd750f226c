// Keeps the metadata cache up to date from the metadata store or from a peer with newer data, and registers this instance.
//
// Calls to the store are expensive, so one instance of the fleet watches it and notifies the others of changes. An instance
// whose cached metadata is staler than its threshold reads the store itself. The thresholds are staggered: if the watcher dies
// or the network is partitioned, one more instance for each region reads the store, and all instances do so only when they
// receive no updates at all. An instance that reads the store in place of the others reports to them like the watcher, since
// those that usually report may be the very ones that the store refuses.
//
// Q: What happens during an outage of the store?
// A: The cache keeps its contents. Entries whose lease expires meanwhile are kept for a grace period after the store is back
//    (routing::UpstreamRegistry).
//
// Q: What happens when the store was restored from an older copy?
// A: Any response of the store tells its generation. If that is higher than before, an instance that watches the store reads all of
//    it at once and watches from there; the others learn of it from their peers, or read it themselves when nothing confirms their
//    data any more. What an acknowledged change means until it is written again is the cache's matter (MetadataCache). Registrations
//    are written again by their instances, spread over time (registrationDelay()).
//
// Q: What if the store's generation falls?
// A: A single lower one is that of an answer that was under way: it is dropped with a log line. If the store states nothing else for
//    `lowerGenerationTimeout`, it is taken to be another store: its contents are read like those of a restored one. Each instance
//    decides that by itself; until all have, those that have do not believe the others.

#pragma once

#include "arbutus/edge/fleet.h"
#include "arbutus/edge/metadatacache.h"

#include <boost/asio/steady_timer.hpp>
#include <pcg_random.hpp>

#include <optional>

namespace arbutus::edge {

struct MetadataSyncSettings
{
    std::chrono::milliseconds watchTimeout{900};                             // of a watch call that sees no changes
    std::chrono::milliseconds watchPause{300};                               // between watch calls; announcements change a few times a second
    std::chrono::milliseconds stalenessCheckInterval{50};                    // while another instance reads the store
    core::Duration standbyReadThreshold = std::chrono::milliseconds(700);    // staleness at which the second instance in the watch ranking reads
    core::Duration regionReadThreshold = std::chrono::milliseconds(900);     // staleness at which the dispatcher of a region reads
    core::Duration fallbackReadThreshold = std::chrono::milliseconds(1'200); // staleness at which any instance reads, plus a random jitter
    core::Duration fallbackReadJitter = std::chrono::milliseconds(500);
    std::chrono::milliseconds substituteReadJitter{300};                    // before the full read after a restore in place of the watcher
    core::Duration substituteReportTime = std::chrono::milliseconds(1'500); // after a read in place of the watcher; longer than a watch and its pause
    std::chrono::milliseconds initialRetryDelay{150};                       // after a failed call; doubles with each failure
    std::chrono::milliseconds maxRetryDelay{1'000};
    core::Duration outageThreshold = std::chrono::milliseconds(1'000);      // time without a response that counts as an outage
    core::Duration outageRecoveryPeriod = std::chrono::milliseconds(2'000); // time after an outage during which missing entries are kept
    std::chrono::milliseconds leaseTtl{15'000};                             // lease of this instance's registration
    std::chrono::milliseconds leaseRenewalInterval{5'000};
    int registrationsPerSecond = 100; // of all instances after a restore of the store; each takes two writing calls
    core::Duration lowerGenerationTimeout = std::chrono::seconds(30);
    std::chrono::milliseconds memberRefreshInterval{15'000};              // for reading the registrations of other instances
    std::chrono::milliseconds peerFetchTimeout{700};                      // for fetching a snapshot from a peer
    core::Duration catalogFetchInterval = std::chrono::milliseconds(200); // between fetches for a newer configuration that peers state
};

class MetadataSync
{
public:
    using UpdateHandler = std::function<void(const MetadataUpdate &update)>;

    MetadataSync(InstanceContext &context, Fleet &fleet, MetadataCache &metadataCache, std::uint64_t seed, MetadataSyncSettings settings = {});

    void start(UpdateHandler handler);
    /// Fetches a metadata snapshot from a peer that has newer data.
    void fetchFromPeer(const core::InstanceId &peer);
    /// Records the version of the configuration that a peer states, and fetches it if it is newer than this instance's.
    void noteCatalogVersion(const core::InstanceId &peer, catalog::CatalogVersion stated);
    /// Returns whether this instance reads the store although another one should, because no update has arrived.
    [[nodiscard]] bool isSubstituteReader() const;
    /// Revokes this instance's registration before a planned shutdown.
    void deregister();

private:
    boost::asio::awaitable<void> readLoop();
    boost::asio::awaitable<void> registerLoop();
    boost::asio::awaitable<void> memberRefreshLoop();
    boost::asio::awaitable<void> fetchSnapshot(membership::Member peer);
    boost::asio::awaitable<bool> readOnce();
    boost::asio::awaitable<bool> readMembers(metadata::ReadConsistency consistency);
    /// Adds a registered instance to the fleet, which pings it if it is new.
    void addContact(const metadata::StoreItem &item);
    [[nodiscard]] core::Duration readThreshold();
    [[nodiscard]] bool recentStoreOutage(core::TimePoint now) const;
    void recordStoreResult(bool succeeded, const std::string &reason);
    /// Records the generation that a response states, and reacts to a restore; `call` is the call that showed it. Returns whether
    /// the response may be used: it is not of an earlier generation.
    bool observeGeneration(metadata::StoreGeneration stated, std::string_view call);
    /// Reads the store and registers again after a restore.
    void onStoreRestored(); // once for each generation
    void logRestore(const MetadataUpdate &update, std::string_view source);
    /// Reports and logs the effect of an update that leads to `position`.
    void reportUpdate(const MetadataUpdate &update, metadata::StorePosition position, std::string_view source);
    /// Logs each reason once.
    void reportInvalidItems(const std::vector<std::string> &reasons);
    [[nodiscard]] std::string registrationValue() const;

    InstanceContext &m_context;
    Fleet &m_fleet;
    MetadataCache &m_metadataCache;
    MetadataSyncSettings m_settings;
    pcg32 m_random;
    UpdateHandler m_updateHandler;
    bool m_fullReadNeeded = true;     // nothing read yet, the last watch failed, or the history was compacted
    bool m_storeUnreachable = false;  // the last call failed
    bool m_readsAsSubstitute = false; // the current read is not the watcher's or this instance's first
    std::optional<core::TimePoint> m_lastSubstituteReadAt;
    core::TimePoint m_lastResponseAt{};                                                     // last response of the store
    std::optional<std::pair<metadata::StoreGeneration, core::TimePoint>> m_lowerGeneration; // than the known one, in all responses since then
    core::TimePoint m_outageEndedAt{};                                                      // end of the last outage
    bool m_hadOutage = false;
    std::set<std::string> m_reportedInvalidItems;
    std::map<std::string, std::string> m_invalidRegistrations; // reasons by key, so that each is reported once
    bool m_fetching = false;
    std::optional<core::TimePoint> m_lastCatalogFetchAt;
    catalog::CatalogVersion m_reportedCatalogVersion; // highest one that this instance was logged to lack
    metadata::LeaseId m_lease;
    metadata::StoreGeneration m_leaseGeneration;   // in which it was granted
    metadata::StoreGeneration m_storeGeneration;   // latest one that this instance has reacted to
    bool m_isRegistrationLost = false;             // by a restore of the store
    bool m_readsAtOnce = false;                    // after a restore
    boost::asio::steady_timer m_registrationTimer; // until the next call; cancelled when m_isRegistrationLost is set
    bool m_deregistering = false;
};

/// Decodes another instance's registration; the error names the field that is missing or invalid.
[[nodiscard]] core::Result<membership::Member> parseRegistration(const core::InstanceId &id, const std::string &value);

/// Random time after a restore of the store at which one of `instanceCount` instances registers again. All learn of it at about the
/// same time, and the store bounds the writing calls of all together.
[[nodiscard]] core::Duration registrationDelay(std::size_t instanceCount, int registrationsPerSecond, pcg32 &random);

/// Response to GET /beliefs on the peer listener.
[[nodiscard]] http::Response metadataSnapshotResponse(const MetadataCache &metadataCache, const http::Request &request, core::TimePoint now);

} // namespace arbutus::edge
