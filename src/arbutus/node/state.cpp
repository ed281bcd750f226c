// Look-ups over the shared state.

#include "arbutus/node/state.h"

#include "arbutus/membership/rendezvous.h"

#include <algorithm>

namespace arbutus::node {

NodeState::NodeState(const core::Clock &clockUsed, NodeSettings nodeSettings)
    : clock(clockUsed)
    , settings(std::move(nodeSettings))
    , random(settings.randomSeed)
    , domainView(settings.self, settings.domainView, settings.randomSeed)
    , upstreamTable(settings.upstreamTable)
    , ticketCodec(settings.ticketKeys)
    , ownerLedger(core::InstanceRef{settings.self.id, settings.self.incarnation}, settings.ledgerLimits)
    , witnessLedger(core::InstanceRef{settings.self.id, settings.self.incarnation}, settings.ledgerLimits)
    , successorLedger(settings.ledgerLimits)
{
    for (const membership::Member &seed : settings.seeds) {
        if (seed.domain == settings.self.domain) {
            domainView.addContact(seed);
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
    for (const auto &[id, member] : domainView.members()) {
        if (member.condition != membership::MemberCondition::Dead) {
            emit(SendDatagram{member.gossipAddress, datagram});
        }
    }
}

const membership::Member *NodeState::findMember(const core::InstanceId &id) const
{
    const auto found = domainView.members().find(id);
    if (found != domainView.members().end()) {
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
    std::vector<EntryPoint> out;
    const auto add = [&](std::vector<membership::Member> members) {
        members = membership::rankMembers(policy.workspace.text, std::move(members));
        members.resize(std::min(members.size(), settings.entriesPerDomain));
        for (const membership::Member &member : members) {
            out.push_back(EntryPoint{member.id, member.region, member.domain, member.callersUrl});
        }
    };
    if (policy.residency.contains(self().region)) {
        add(domainView.availableMembers());
    }
    const auto addContacts = [&](auto wanted) {
        for (const auto &[domain, members] : remoteContacts) {
            if (!members.empty() && policy.residency.contains(members.front().region) && wanted(members.front().region)) {
                add(members);
            }
        }
    };
    const core::RegionId &here = self().region;
    addContacts([&](const core::RegionId &region) { return region == here; });
    addContacts([&](const core::RegionId &region) { return region != here && region == policy.homeRegion; });
    addContacts([&](const core::RegionId &region) { return region != here && region != policy.homeRegion; });
    return out;
}

std::vector<std::string> NodeState::alternateEntryUrls(const config::WorkspacePolicy &policy) const
{
    std::vector<std::string> out;
    for (const EntryPoint &entry : entriesFor(policy)) {
        if (entry.id != self().id) {
            out.push_back(entry.url);
        }
    }
    return out;
}

limits::LimitPartition NodeState::limitPartitionFor(const config::WorkspacePolicy &policy) const
{
    const std::size_t members = listedInstanceCount > 0 ? listedInstanceCount : domainView.availableMembers().size();
    const std::size_t here = std::max<std::size_t>(1, std::min(settings.entriesPerDomain, members));
    limits::LimitPartition sharing{0, here - 1};
    for (const core::RegionId &region : policy.residency) {
        const auto found = domainCountByRegion.find(region);
        const std::size_t domains = found == domainCountByRegion.end() ? 1 : std::max<std::uint32_t>(1, found->second);
        sharing.instanceCount += domains * here;
        sharing.demandSourceCount += region == self().region ? domains - 1 : 1;
    }
    sharing.instanceCount = std::max<std::size_t>(1, sharing.instanceCount);
    return sharing;
}

std::string NodeState::issueTicket(const core::WorkspaceId &workspace)
{
    if (draining) {
        return {};
    }
    std::vector<membership::Member> witnesses;
    for (const membership::Member &member : domainView.availableMembers()) {
        if (member.id != self().id && member.condition == membership::MemberCondition::Alive) {
            witnesses.push_back(member);
        }
    }
    if (witnesses.empty()) { // alone in the domain: another domain of the region, or none
        for (const auto &[domain, members] : remoteContacts) {
            for (const membership::Member &member : members) {
                if (member.region == self().region && member.isAvailable()) {
                    witnesses.push_back(member);
                }
            }
        }
    }
    core::InstanceRef chosen;
    if (!witnesses.empty()) {
        const membership::Member &member = witnesses[random(static_cast<std::uint32_t>(witnesses.size()))];
        chosen = core::InstanceRef{member.id, member.incarnation};
    }
    return ticketCodec.encode(ownerLedger.issue(workspace, chosen, clock.wallNow() + settings.ticketLifetime));
}

} // namespace arbutus::node
