// State shared by a node's controllers. Not synchronized: all controllers run on one thread, one after another.

#pragma once

#include "arbutus/config/configlog.h"
#include "arbutus/core/clock.h"
#include "arbutus/delivery/ledger.h"
#include "arbutus/delivery/successorledger.h"
#include "arbutus/limits/workspacelimits.h"
#include "arbutus/membership/membershipview.h"
#include "arbutus/node/events.h"
#include "arbutus/node/settings.h"
#include "arbutus/placement/demandmeter.h"
#include "arbutus/routing/upstreamtable.h"

#include <pcg_random.hpp>

#include <map>
#include <vector>

namespace arbutus::node {

/// State of one node.
struct NodeState
{
    NodeState(const core::Clock &nodeClock, NodeSettings nodeSettings);

    const core::Clock &clock;
    NodeSettings settings;
    pcg32 random;
    config::ConfigState config;
    membership::MembershipView membershipView;
    routing::UpstreamTable upstreamTable;
    limits::WorkspaceLimits limits;
    placement::DemandMeter modelDemand;
    delivery::TicketCodec ticketCodec;
    delivery::OwnerLedger ownerLedger;
    delivery::WitnessLedger witnessLedger;
    delivery::SuccessorLedger successorLedger;
    std::map<core::DomainId, std::vector<membership::Member>> remoteContacts; // known instances of other failure domains
    std::map<core::RegionId, std::uint32_t> domainCountByRegion;              // last known; kept while the platform's list cannot be read
    std::size_t listedInstanceCount = 0;                                      // instances of this domain in the platform's list
    bool draining = false;
    Actions pendingActions;
    std::uint64_t nextCallNumber = 1;

    [[nodiscard]] core::TimePoint now() const
    {
        return clock.steadyNow();
    }
    [[nodiscard]] const membership::Member &self() const
    {
        return membershipView.self();
    }
    void emit(Action action)
    {
        pendingActions.push_back(std::move(action));
    }
    void logEvent(std::string event, std::vector<std::pair<std::string, std::string>> fields)
    {
        emit(LogEvent{std::move(event), std::move(fields)});
    }
    [[nodiscard]] CallKey nextCallKey()
    {
        return CallKey(nextCallNumber++);
    }
    /// Sends a datagram to every member of this domain that is not dead.
    void broadcastToDomain(std::variant<membership::Message, Digest, LoadUpdate, DemandUpdate, RevisionAnnouncement> body);
    /// Creates a datagram with this node's identity and configuration revision.
    [[nodiscard]] Datagram makeDatagram(std::variant<membership::Message, Digest, LoadUpdate, DemandUpdate, RevisionAnnouncement> body) const;
    /// Finds a member of any domain by id; null if unknown.
    [[nodiscard]] const membership::Member *findMember(const core::InstanceId &id) const;
    /// Entries for a workspace's callers: those of this domain, of this region, of the home region, then all others.
    [[nodiscard]] std::vector<EntryPoint> entriesFor(const config::WorkspacePolicy &policy) const;
    /// URLs of entriesFor(), without this instance.
    [[nodiscard]] std::vector<std::string> alternateEntryUrls(const config::WorkspacePolicy &policy) const;
    /// Number of instances and demand sources that share a workspace's limits.
    [[nodiscard]] limits::LimitPartition limitPartitionFor(const config::WorkspacePolicy &policy) const;
    /// Issues an encoded ticket owned by this instance; empty while draining.
    [[nodiscard]] std::string issueTicket(const core::WorkspaceId &workspace);
};

} // namespace arbutus::node
