// Look-ups over the shared state.

#include "arbutus/node/state.h"

#include "arbutus/membership/rendezvous.h"

#include <algorithm>

namespace arbutus::node {

NodeState::NodeState(const core::Clock &clockUsed, NodeSettings nodeSettings)
    : clock(clockUsed)
    , settings(std::move(nodeSettings))
    , random(settings.seed)
    , view(settings.self, settings.view, settings.seed)
    , table(settings.table)
    , tickets(settings.ticketKeys)
    , owner(core::InstanceRef{settings.self.id, settings.self.incarnation}, settings.ledger)
    , witness(core::InstanceRef{settings.self.id, settings.self.incarnation}, settings.ledger)
    , inherited(settings.ledger)
{
    for (const membership::Member &seed : settings.seeds) {
        if (seed.domain == settings.self.domain) {
            view.addContact(seed);
        } else {
            contacts[seed.domain].push_back(seed);
        }
    }
}

Datagram NodeState::makeDatagram(std::variant<membership::Message, Digest, LoadNews, DemandNews, HeadNews> body) const
{
    return Datagram{core::InstanceRef{self().id, self().incarnation}, self().domain, self().region, config.head().revision, std::move(body)};
}

void NodeState::tellDomain(std::variant<membership::Message, Digest, LoadNews, DemandNews, HeadNews> body)
{
    const Datagram datagram = makeDatagram(std::move(body));
    for (const auto &[id, member] : view.members()) {
        if (member.condition != membership::Condition::Dead) {
            emit(SendDatagram{member.gossipAddress, datagram});
        }
    }
}

const membership::Member *NodeState::findMember(const core::InstanceId &id) const
{
    const auto found = view.members().find(id);
    if (found != view.members().end()) {
        return &found->second;
    }
    for (const auto &[domain, members] : contacts) {
        for (const membership::Member &member : members) {
            if (member.id == id) {
                return &member;
            }
        }
    }
    return nullptr;
}

std::vector<EntryLine> NodeState::entriesFor(const config::Policy &policy) const
{
    std::vector<EntryLine> out;
    const auto add = [&](std::vector<membership::Member> members) {
        members = membership::rankMembers(policy.workspace.text, std::move(members));
        members.resize(std::min(members.size(), settings.entriesPerDomain));
        for (const membership::Member &member : members) {
            out.push_back(EntryLine{member.id, member.region, member.domain, member.url});
        }
    };
    if (policy.residency.contains(self().region)) {
        add(view.usable());
    }
    const auto addContacts = [&](auto wanted) {
        for (const auto &[domain, members] : contacts) {
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

std::vector<std::string> NodeState::otherEntries(const config::Policy &policy) const
{
    std::vector<std::string> out;
    for (const EntryLine &entry : entriesFor(policy)) {
        if (entry.id != self().id) {
            out.push_back(entry.url);
        }
    }
    return out;
}

limits::Sharing NodeState::sharingOf(const config::Policy &policy) const
{
    const std::size_t members = listedInDomain > 0 ? listedInDomain : view.usable().size();
    const std::size_t here = std::max<std::size_t>(1, std::min(settings.entriesPerDomain, members));
    limits::Sharing sharing{0, here - 1};
    for (const core::RegionId &region : policy.residency) {
        const auto found = domainsOfRegion.find(region);
        const std::size_t domains = found == domainsOfRegion.end() ? 1 : std::max<std::uint32_t>(1, found->second);
        sharing.instances += domains * here;
        sharing.sources += region == self().region ? domains - 1 : 1;
    }
    sharing.instances = std::max<std::size_t>(1, sharing.instances);
    return sharing;
}

std::string NodeState::issueTicket(const core::WorkspaceId &workspace)
{
    if (draining) {
        return {};
    }
    std::vector<membership::Member> witnesses;
    for (const membership::Member &member : view.usable()) {
        if (member.id != self().id && member.condition == membership::Condition::Alive) {
            witnesses.push_back(member);
        }
    }
    if (witnesses.empty()) { // alone in the domain: another domain of the region, or none
        for (const auto &[domain, members] : contacts) {
            for (const membership::Member &member : members) {
                if (member.region == self().region && member.usable()) {
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
    return tickets.write(owner.issue(workspace, chosen, clock.wallNow() + settings.ticketLife));
}

} // namespace arbutus::node
