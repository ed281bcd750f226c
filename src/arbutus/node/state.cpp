// Shared state: look-ups, datagrams, entries, tickets.

#include "arbutus/node/state.h"

#include "arbutus/membership/rendezvous.h"

#include <algorithm>

namespace arbutus::node {

NodeState::NodeState(const core::Clock &nodeClock, NodeSettings nodeSettings)
    : clock(nodeClock)
    , settings(std::move(nodeSettings))
    , random(settings.randomSeed)
    , membershipView(settings.self, settings.membership, settings.randomSeed)
    , upstreamTable(settings.upstreamTable)
    , ticketCodec(settings.ticketKeys)
    , ownerLedger(core::InstanceRef{settings.self.id, settings.self.incarnation}, settings.ledgerLimits)
    , witnessLedger(core::InstanceRef{settings.self.id, settings.self.incarnation}, settings.ledgerLimits)
    , successorLedger(settings.ledgerLimits)
{
    for (const membership::Member &seed : settings.seeds) {
        if (seed.domain == settings.self.domain) {
            membershipView.addContact(seed);
        } else {
            remoteContacts[seed.domain].push_back(seed);
        }
    }
}

Datagram NodeState::makeDatagram(std::variant<membership::Message, Digest, LoadUpdate, DemandUpdate, RevisionAnnouncement> body) const
{
    return Datagram{core::InstanceRef{self().id, self().incarnation}, self().domain, self().region, config.head().revision, std::move(body)};
}

void NodeState::broadcastToDomain(std::variant<membership::Message, Digest, LoadUpdate, DemandUpdate, RevisionAnnouncement> body)
{
    const Datagram datagram = makeDatagram(std::move(body));
    for (const auto &[id, member] : membershipView.members()) {
        if (member.condition != membership::MemberCondition::Dead) {
            emit(SendDatagram{member.gossipAddress, datagram});
        }
    }
}

const membership::Member *NodeState::findMember(const core::InstanceId &id) const
{
    const auto found = membershipView.members().find(id);
    if (found != membershipView.members().end()) {
        return &found->second;
    }
    for (const auto &[domain, members] : remoteContacts) {
        for (const membership::Member &member : members) {
            if (member.id == id) {
                return &member;
            }
        }
    }
    return nullptr;
}

std::vector<EntryPoint> NodeState::entriesFor(const config::WorkspacePolicy &policy) const
{
    std::vector<EntryPoint> entries;
    const auto add = [&](std::vector<membership::Member> members) {
        members = membership::rankMembers(policy.workspace.text, std::move(members));
        members.resize(std::min(members.size(), settings.entriesPerDomain));
        for (const membership::Member &member : members) {
            entries.push_back(EntryPoint{member.id, member.region, member.domain, member.clientUrl});
        }
    };
    if (policy.residency.contains(self().region)) {
        add(membershipView.availableMembers());
    }
    const auto addContacts = [&](auto matchesRegion) {
        for (const auto &[domain, members] : remoteContacts) {
            if (!members.empty() && policy.residency.contains(members.front().region) && matchesRegion(members.front().region)) {
                add(members);
            }
        }
    };
    const core::RegionId &localRegion = self().region;
    addContacts([&](const core::RegionId &region) { return region == localRegion; });
    addContacts([&](const core::RegionId &region) { return region != localRegion && region == policy.homeRegion; });
    addContacts([&](const core::RegionId &region) { return region != localRegion && region != policy.homeRegion; });
    return entries;
}

std::vector<std::string> NodeState::alternateEntryUrls(const config::WorkspacePolicy &policy) const
{
    std::vector<std::string> urls;
    for (const EntryPoint &entry : entriesFor(policy)) {
        if (entry.id != self().id) {
            urls.push_back(entry.url);
        }
    }
    return urls;
}

limits::LimitPartition NodeState::limitPartitionFor(const config::WorkspacePolicy &policy) const
{
    const std::size_t members = listedInstanceCount > 0 ? listedInstanceCount : membershipView.availableMembers().size();
    const std::size_t entriesPerDomain = std::max<std::size_t>(1, std::min(settings.entriesPerDomain, members));
    limits::LimitPartition partition{0, entriesPerDomain - 1};
    for (const core::RegionId &region : policy.residency) {
        const auto found = domainCountByRegion.find(region);
        const std::size_t domains = found == domainCountByRegion.end() ? 1 : std::max<std::uint32_t>(1, found->second);
        partition.instanceCount += domains * entriesPerDomain;
        partition.demandSourceCount += region == self().region ? domains - 1 : 1;
    }
    partition.instanceCount = std::max<std::size_t>(1, partition.instanceCount);
    return partition;
}

std::string NodeState::issueTicket(const core::WorkspaceId &workspace)
{
    if (draining) {
        return {};
    }
    std::vector<membership::Member> witnesses;
    for (const membership::Member &member : membershipView.availableMembers()) {
        if (member.id != self().id && member.condition == membership::MemberCondition::Alive) {
            witnesses.push_back(member);
        }
    }
    if (witnesses.empty()) { // no other instance in this domain: use one of another domain in the region, if any
        for (const auto &[domain, members] : remoteContacts) {
            for (const membership::Member &member : members) {
                if (member.region == self().region && member.isAvailable()) {
                    witnesses.push_back(member);
                }
            }
        }
    }
    core::InstanceRef witness;
    if (!witnesses.empty()) {
        const membership::Member &member = witnesses[random(static_cast<std::uint32_t>(witnesses.size()))];
        witness = core::InstanceRef{member.id, member.incarnation};
    }
    return ticketCodec.encode(ownerLedger.issue(workspace, witness, clock.wallNow() + settings.ticketLifetime));
}

} // namespace arbutus::node
