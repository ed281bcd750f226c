// Controllers of the state that instances exchange: membership, configuration, upstreams, digests.
//
// Each controller handles its events, updates the NodeState and emits actions.
//
// Sections:
//   MembershipController   membership datagrams within the domain, client directory
//   ConfigController       following the configuration log
//   UpstreamController     the platform's list, load reports, cache events
//   DigestController       summaries exchanged between domains and regions

#pragma once

#include "arbutus/node/state.h"

#include <map>
#include <set>

namespace arbutus::node {

//-----------------------------------------------------------------------------
// MembershipController
//-----------------------------------------------------------------------------

/// Sends and receives the messages of the domain's membership view, and writes the client directory.
class MembershipController
{
public:
    explicit MembershipController(NodeState &state);

    void tick();
    void receive(const std::string &address, const membership::Message &message);
    void leave();

private:
    void send(std::vector<membership::OutgoingMessage> messages);
    void writeDirectory();

    NodeState &m_state;
    core::TimePoint m_nextDirectoryWrite{};
    std::uint64_t m_loggedVersion = 0;
};

//-----------------------------------------------------------------------------
// ConfigController
//-----------------------------------------------------------------------------

/// Applies configuration entries in order, announces revisions, fetches newer ones from peers, and watches the log if this
/// instance is one of the domain's watchers.
class ConfigController
{
public:
    explicit ConfigController(NodeState &state);

    void tick();
    void handle(const ConfigEntriesReceived &event);
    void handle(const ConfigSnapshotReceived &event);
    void handle(const ConfigRequested &event);
    /// Called with the revision in a datagram, and the address to fetch it from if the datagram names one.
    void handleAnnouncedRevision(const core::InstanceRef &sender, core::Revision revision, const std::string &peerAddress);

private:
    void handleRevisionChange(core::Revision previous);
    void announce();

    NodeState &m_state;
    bool m_watching = false;
    core::TimePoint m_fetchTimeoutAt{};    // a fetch is in progress until then
    core::Revision m_lastSnapshotRevision; // revision of the last snapshot written
};

//-----------------------------------------------------------------------------
// UpstreamController
//-----------------------------------------------------------------------------

/// Reads the load reports of the upstreams assigned to this instance, broadcasts changes to the domain, and applies the
/// reports that other instances broadcast.
class UpstreamController
{
public:
    explicit UpstreamController(NodeState &state);

    void tick();
    void handle(const PlatformListReceived &event);
    void handle(const LoadReportReceived &event);
    void handle(const LoadUpdate &update);

private:
    struct ReportReader
    {
        core::TimePoint nextRead{};
        core::TimePoint lastBroadcastAt{};
        std::uint32_t failureCount = 0;
        std::uint64_t lastEventSequence = 0;
        std::uint64_t readCount = 0;
        bool assigned = false; // this instance reads the upstream's reports
        std::optional<routing::LoadReport> lastBroadcast;
    };
    void fetchDueReports();
    [[nodiscard]] core::Duration readInterval() const;
    void broadcastPendingReports();
    [[nodiscard]] bool shouldBroadcast(const ReportReader &reader, const routing::LoadReport &report, bool primary) const;
    void applyCacheEvents(const core::UpstreamId &id, ReportReader &reader, const std::vector<CacheEvent> &events);

    NodeState &m_state;
    core::TimePoint m_nextPlatformList{};
    std::size_t m_assignedCount = 0; // number of upstreams whose reports this instance reads
    std::map<core::UpstreamId, ReportReader> m_reportReaders;
    std::map<core::UpstreamId, routing::LoadReport> m_pendingReports;
};

//-----------------------------------------------------------------------------
// DigestController
//-----------------------------------------------------------------------------

/// Sends and relays digests, and broadcasts demand within the domain.
class DigestController
{
public:
    explicit DigestController(NodeState &state);

    void tick();
    void handle(const Digest &digest);
    void handle(const core::InstanceRef &sender, const DemandUpdate &update);
    /// Summaries of this domain's pools. Public for tests.
    [[nodiscard]] std::vector<PoolSummary> localPools() const;
    /// Interval between two digests to the same domain.
    [[nodiscard]] core::Duration sendInterval() const;

private:
    [[nodiscard]] Digest makeDigest(bool forRegion);
    [[nodiscard]] bool isSenderTo(const core::DomainId &target, const core::RegionId &region) const;
    void addRegionPools(Digest &digest) const;
    void broadcastDemand();

    NodeState &m_state;
    std::map<core::DomainId, core::TimePoint> m_nextDigest;
    std::map<core::DomainId, std::uint64_t> m_lastSequence; // of the newest digest applied
    std::map<core::DomainId, Digest> m_regionDigests;       // newest digests of other domains in this region
    std::map<core::DomainId, core::TimePoint> m_regionDigestTimes;
    core::TimePoint m_nextDemandBroadcast{};
    std::uint64_t m_sequence;
};

} // namespace arbutus::node
