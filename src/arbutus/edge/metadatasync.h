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

#pragma once

#include "arbutus/edge/fleet.h"
#include "arbutus/edge/metadatacache.h"

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
    core::Duration substituteReportTime = std::chrono::milliseconds(1'500); // after a read in place of the watcher; longer than a watch and its pause
    std::chrono::milliseconds initialRetryDelay{150};                       // after a failed call; doubles with each failure
    std::chrono::milliseconds maxRetryDelay{1'000};
    core::Duration outageThreshold = std::chrono::milliseconds(1'000);      // time without a response that counts as an outage
    core::Duration outageRecoveryPeriod = std::chrono::milliseconds(2'000); // time after an outage during which missing entries are kept
    std::chrono::milliseconds leaseTtl{15'000};                             // lease of this instance's registration
    std::chrono::milliseconds leaseRenewalInterval{5'000};
    std::chrono::milliseconds memberRefreshInterval{15'000}; // for reading the registrations of other instances
    std::chrono::milliseconds peerFetchTimeout{700};         // for fetching a snapshot from a peer
};

class MetadataSync
{
public:
    using UpdateHandler = std::function<void(const MetadataUpdate &update)>;

    MetadataSync(InstanceContext &context, Fleet &fleet, MetadataCache &metadataCache, std::uint64_t seed, MetadataSyncSettings settings = {});

    void start(UpdateHandler handler);
    /// Fetches a metadata snapshot from a peer that has newer data.
    void fetchFromPeer(const core::InstanceId &peer);
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
    /// Logs a change of the generation that the store states; `call` is the call that showed it.
    void observeGeneration(metadata::StoreGeneration stated, std::string_view call);
    /// Reports and logs the effect of an update that leads to `position`.
    void reportUpdate(const MetadataUpdate &update, metadata::StorePosition position, std::string_view source);
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
    core::TimePoint m_lastResponseAt{};                         // last response of the store
    metadata::StoreGeneration m_statedGeneration;               // highest one in a response of the store
    std::optional<metadata::StoreGeneration> m_lowerGeneration; // in the last response, if that is lower
    core::TimePoint m_outageEndedAt{};                          // end of the last outage
    bool m_hadOutage = false;
    bool m_fetching = false;
    metadata::LeaseId m_lease;
    bool m_deregistering = false;
};

/// Response to GET /beliefs on the peer listener.
[[nodiscard]] http::Response metadataSnapshotResponse(const MetadataCache &metadataCache, const http::Request &request, core::TimePoint now);

} // namespace arbutus::edge
