// Controllers of the state that instances share: membership, configuration, upstreams, digests.
//
// Each takes its events, changes the NodeState and emits actions.
//
// Sections:
//   MembershipController   datagrams of the domain's membership
//   ConfigController       following the configuration log
//   UpstreamController     the platform's list, load reports, cache events
//   DigestController       what domains and regions tell each other

#pragma once

#include "arbutus/node/state.h"

#include <map>
#include <set>

namespace arbutus::node {

//-----------------------------------------------------------------------------
// MembershipController
//-----------------------------------------------------------------------------

/// Carries the domain view's messages and keeps the directory written.
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
    core::TimePoint m_nextDirectory{};
    std::uint64_t m_loggedVersion = 0;
};

//-----------------------------------------------------------------------------
// ConfigController
//-----------------------------------------------------------------------------

/// Adopts entries in order, announces revisions, pulls what peers have, and watches the log if it holds that duty.
class ConfigController
{
public:
    explicit ConfigController(NodeState &state);

    void tick();
    void handle(const ConfigEntriesReceived &read);
    void handle(const ConfigSnapshotReceived &read);
    void handle(const ConfigRequested &asked);
    /// A datagram told a revision, and perhaps where its entries can be fetched.
    void handleAnnouncedRevision(const core::InstanceRef &sender, core::Revision revision, const std::string &peerAddress);

private:
    void adopted(core::Revision before);
    void announce();

    NodeState &m_state;
    bool m_watching = false;
    core::TimePoint m_pullUntil{}; // a pull is under way until then
    core::Revision m_snapshotAt;   // last snapshot written
};

//-----------------------------------------------------------------------------
// UpstreamController
//-----------------------------------------------------------------------------

/// Reads some upstreams' reports, tells the domain what changed, and takes what the others tell.
class UpstreamController
{
public:
    explicit UpstreamController(NodeState &state);

    void tick();
    void handle(const PlatformListReceived &read);
    void handle(const LoadReportReceived &read);
    void handle(const LoadUpdate &news);

private:
    struct Reading
    {
        core::TimePoint next{};
        core::TimePoint toldAt{};
        std::uint32_t failures = 0;
        std::uint64_t lastEvent = 0;
        std::uint64_t reads = 0;
        bool duty = false; // this instance reads it
        std::optional<routing::LoadReport> told;
    };
    void readDue();
    [[nodiscard]] core::Duration readPeriod() const;
    void tellChanged();
    [[nodiscard]] bool worthTelling(const Reading &reading, const routing::LoadReport &report, bool primary) const;
    void takeEvents(const core::UpstreamId &id, Reading &reading, const std::vector<CacheEvent> &events);

    NodeState &m_state;
    core::TimePoint m_nextList{};
    std::size_t m_toRead = 0; // upstreams that this instance reads
    std::map<core::UpstreamId, Reading> m_readings;
    std::map<core::UpstreamId, routing::LoadReport> m_toTell;
};

//-----------------------------------------------------------------------------
// DigestController
//-----------------------------------------------------------------------------

/// Sends and relays digests, and exchanges demand.
class DigestController
{
public:
    explicit DigestController(NodeState &state);

    void tick();
    void handle(const Digest &digest);
    void handle(const core::InstanceRef &sender, const DemandUpdate &news);
    /// Rows of the own domain; public for tests.
    [[nodiscard]] std::vector<PoolSummary> localPools() const;
    /// Time between two digests to one domain.
    [[nodiscard]] core::Duration sendInterval() const;

private:
    [[nodiscard]] Digest makeDigest(bool wholeRegion);
    [[nodiscard]] bool isSenderTo(const core::DomainId &target, const core::RegionId &region) const;
    void addRegionRows(Digest &digest) const;
    void tellDemand();

    NodeState &m_state;
    std::map<core::DomainId, core::TimePoint> m_next;
    std::map<core::DomainId, std::uint64_t> m_lastNumber; // newest digest taken
    std::map<core::DomainId, Digest> m_neighbours;        // newest digests of the region's other domains
    std::map<core::DomainId, core::TimePoint> m_neighbourAt;
    core::TimePoint m_nextDemand{};
    std::uint64_t m_number;
};

} // namespace arbutus::node
