// State that a node's controllers share. Plain data: one thread, the controllers in turn.

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

/// What the node knows.
struct NodeState
{
    NodeState(const core::Clock &clockUsed, NodeSettings nodeSettings);

    const core::Clock &clock;
    NodeSettings settings;
    pcg32 random;
    config::ConfigState config;
    membership::MembershipView domainView;
    routing::UpstreamTable upstreamTable;
    limits::WorkspaceLimits limits;
    placement::DemandMeter modelDemand;
    delivery::TicketCodec ticketCodec;
    delivery::OwnerLedger ownerLedger;
    delivery::WitnessLedger witnessLedger;
    delivery::SuccessorLedger successorLedger;
    std::map<core::DomainId, std::vector<membership::Member>> remoteContacts; // of other failure domains
    std::map<core::RegionId, std::uint32_t> domainCountByRegion;              // last known; kept while the list cannot be read
    std::size_t listedInstanceCount = 0;                                      // instances that the platform lists here
    bool draining = false;
    Actions pendingActions;
    std::uint64_t nextCallNumber = 1;

    [[nodiscard]] core::TimePoint now() const
    {
        return clock.steadyNow();
    }
    [[nodiscard]] const membership::Member &self() const
    {
        return domainView.self();
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
    /// Sends to every member of the own domain that is not dead.
    void broadcastToDomain(std::variant<membership::Message, Digest, LoadUpdate, DemandUpdate, RevisionAnnouncement> body);
    /// A datagram with this node's identity and revision.
    [[nodiscard]] Datagram makeDatagram(std::variant<membership::Message, Digest, LoadUpdate, DemandUpdate, RevisionAnnouncement> body) const;
    /// A member of any domain by id; null when unknown.
    [[nodiscard]] const membership::Member *findMember(const core::InstanceId &id) const;
    /// Entries for a workspace's callers, best first.
    [[nodiscard]] std::vector<EntryPoint> entriesFor(const config::WorkspacePolicy &policy) const;
    /// URLs of entriesFor() without this instance.
    [[nodiscard]] std::vector<std::string> alternateEntryUrls(const config::WorkspacePolicy &policy) const;
    /// Among how many a workspace's limits are shared.
    [[nodiscard]] limits::LimitPartition limitPartitionFor(const config::WorkspacePolicy &policy) const;
    /// A fresh ticket of this owner, as text; empty while draining.
    [[nodiscard]] std::string issueTicket(const core::WorkspaceId &workspace);
};

} // namespace arbutus::node
