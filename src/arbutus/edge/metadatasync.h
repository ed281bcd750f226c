// Keeps beliefs fresh: reads the metadata store, or fetches from a peer that knows more; registers this instance.
//
// Each call to the store costs, so one instance of the fleet watches it and the others hear of changes from it. Whoever's
// evidence gets older than a bound reads the store itself; the bounds are spread, so that after the watcher's death or a cut
// one more instance reads for each region, and all of them only when nothing else is heard.
//
// Q: What if the store is out?
// A: Beliefs stay as they are. Entries that lapse meanwhile are kept for a while after its return (routing::Roster).

#pragma once

#include "arbutus/edge/fleet.h"
#include "arbutus/edge/metadatacache.h"

#include <pcg_random.hpp>

namespace arbutus::edge {

struct MetadataSyncSettings
{
    std::chrono::milliseconds watchTimeout{900};                             // of one watch call without changes
    std::chrono::milliseconds watchPause{300};                               // between calls; announcements change a few times a second
    std::chrono::milliseconds stalenessCheckInterval{50};                    // whether to read, while another instance does
    core::Duration standbyReadThreshold = std::chrono::milliseconds(700);    // evidence age at which the next in the ranking reads too
    core::Duration regionReadThreshold = std::chrono::milliseconds(900);     // and the duty holder of a region
    core::Duration fallbackReadThreshold = std::chrono::milliseconds(1'200); // and any instance, plus a drawn part
    core::Duration fallbackReadJitter = std::chrono::milliseconds(500);
    std::chrono::milliseconds initialRetryDelay{150}; // after a failed call; doubles
    std::chrono::milliseconds maxRetryDelay{1'000};
    core::Duration outageThreshold = std::chrono::milliseconds(1'000);      // without an answer, the store counts as having been away
    core::Duration outageRecoveryPeriod = std::chrono::milliseconds(2'000); // after its return, lapsed entries are given time
    std::chrono::milliseconds leaseTtl{15'000};                             // of this instance's registration
    std::chrono::milliseconds leaseRenewalInterval{5'000};
    std::chrono::milliseconds memberRefreshInterval{15'000}; // other instances' registrations
    std::chrono::milliseconds peerFetchTimeout{700};         // of beliefs from a peer
};

class MetadataSync
{
public:
    using UpdateHandler = std::function<void(const MetadataUpdate &change)>;

    MetadataSync(InstanceContext &context, Fleet &fleet, MetadataCache &beliefs, std::uint64_t seed, MetadataSyncSettings settings = {});

    void start(UpdateHandler changed);
    /// A peer knows newer beliefs.
    void fetchFromPeer(const core::InstanceId &peer);
    /// Ends the registration; planned stop.
    void deregister();

private:
    boost::asio::awaitable<void> readLoop();
    boost::asio::awaitable<void> registerLoop();
    boost::asio::awaitable<void> memberRefreshLoop();
    boost::asio::awaitable<void> fetchSnapshot(membership::Member peer);
    boost::asio::awaitable<bool> readOnce();
    boost::asio::awaitable<bool> readMembers(metadata::ReadConsistency freshness);
    /// A registered instance; greeted if it is new.
    void addContact(const metadata::StoreItem &item);
    [[nodiscard]] core::Duration readThreshold();
    [[nodiscard]] bool recentStoreOutage(core::TimePoint now) const;
    void recordStoreResult(bool answered, const std::string &what);
    void reportUpdate(const MetadataUpdate &change, std::string_view source);
    [[nodiscard]] std::string registrationValue() const;

    InstanceContext &m_context;
    Fleet &m_fleet;
    MetadataCache &m_beliefs;
    MetadataSyncSettings m_settings;
    pcg32 m_random;
    UpdateHandler m_updateHandler;
    bool m_fullReadNeeded = true;       // nothing read yet, or the history is gone
    bool m_storeUnreachable = false;    // the last call failed
    core::TimePoint m_lastResponseAt{}; // last answer of the store
    core::TimePoint m_outageEndedAt{};  // end of the last time that it was away
    bool m_hadOutage = false;
    bool m_fetching = false;
    metadata::LeaseId m_lease;
    bool m_deregistering = false;
};

/// Answer of GET /beliefs on the peers' listener.
[[nodiscard]] http::Response metadataSnapshotResponse(const MetadataCache &beliefs, const http::Request &request, core::TimePoint now);

} // namespace arbutus::edge
