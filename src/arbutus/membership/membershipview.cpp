// Probing, suspicion and dissemination of updates.

#include "arbutus/membership/membershipview.h"

#include <algorithm>
#include <bit>

namespace arbutus::membership {

MembershipView::MembershipView(Member self, MembershipSettings settings, std::uint64_t seed)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_random(seed)
{
}

bool MembershipView::isInScope(const Member &member) const
{
    return m_settings.allDomains || member.domain == m_self.domain;
}

bool MembershipView::addContact(const Member &contact)
{
    if (contact.id == m_self.id || !isInScope(contact) || m_members.contains(contact.id)) {
        return false;
    }
    Member added = contact;
    added.incarnation = core::Incarnation(); // unknown until gossip about it arrives
    added.leaving = false;
    added.condition = MemberCondition::Alive;
    m_members[contact.id] = std::move(added);
    return true;
}

std::vector<OutgoingMessage> MembershipView::pingMember(const core::InstanceId &id)
{
    std::vector<OutgoingMessage> out;
    const auto found = m_members.find(id);
    if (found != m_members.end()) {
        out.push_back(OutgoingMessage{found->second.gossipAddress, makeMessage(Ping{m_nextSequenceNumber++})});
    }
    return out;
}

std::vector<OutgoingMessage> MembershipView::tick(core::TimePoint now)
{
    std::vector<OutgoingMessage> out;
    expireMembers(now);
    checkProbe(now, out);
    if (now >= m_nextProbeAt) {
        m_nextProbeAt = now + m_settings.probePeriod;
        startProbe(now, out);
    }
    std::erase_if(m_forwardedProbes, [&](const auto &entry) { return now - entry.second.startedAt > m_settings.suspicionTimeout; });
    return out;
}

std::vector<OutgoingMessage> MembershipView::receive(const Message &message, const std::string &address, core::TimePoint now)
{
    std::vector<OutgoingMessage> out;
    const Member before = m_self;
    for (const Member &update : message.updates) {
        mergeUpdate(update, now);
    }
    if (m_self != before) { // refuted a suspicion: tells all members at once, before the suspicion times out
        pingAll(out);
    }
    if (const auto *ping = std::get_if<Ping>(&message.body)) {
        out.push_back(OutgoingMessage{address, makeMessage(Ack{ping->sequenceNumber})});
    } else if (const auto *request = std::get_if<PingRequest>(&message.body)) {
        const auto target = m_members.find(request->target);
        if (target != m_members.end()) {
            const std::uint64_t sequenceNumber = m_nextSequenceNumber++;
            m_forwardedProbes[sequenceNumber] = ForwardedProbe{address, request->sequenceNumber, now};
            out.push_back(OutgoingMessage{target->second.gossipAddress, makeMessage(Ping{sequenceNumber})});
        }
    } else if (const auto *ack = std::get_if<Ack>(&message.body)) {
        handleAck(ack->sequenceNumber, message.sender.id, out);
    }
    return out;
}

std::vector<OutgoingMessage> MembershipView::announce()
{
    std::vector<OutgoingMessage> out;
    pingAll(out);
    return out;
}

std::vector<OutgoingMessage> MembershipView::leave(core::TimePoint now)
{
    m_self.leaving = true;
    recordChange(m_self.id);
    std::vector<OutgoingMessage> out;
    pingAll(out);
    m_nextProbeAt = now + m_settings.probePeriod;
    return out;
}

void MembershipView::pingAll(std::vector<OutgoingMessage> &out)
{
    for (const auto &[id, member] : m_members) {
        if (member.condition != MemberCondition::Dead) {
            out.push_back(OutgoingMessage{member.gossipAddress, makeMessage(Ping{m_nextSequenceNumber++})});
        }
    }
}

std::vector<Member> MembershipView::availableMembers() const
{
    std::vector<Member> out;
    if (m_self.isAvailable()) {
        out.push_back(m_self);
    }
    for (const auto &[id, member] : m_members) {
        if (member.isAvailable()) {
            out.push_back(member);
        }
    }
    return out;
}

void MembershipView::mergeUpdate(const Member &update, core::TimePoint now)
{
    if (update.id == m_self.id) {
        if (update.incarnation > m_self.incarnation) { // an earlier incarnation had a higher number: the machine's clock went back
            m_self.incarnation = core::Incarnation(update.incarnation.value + 1);
            m_self.refutation = 0;
            recordChange(m_self.id);
            return;
        }
        const bool isCurrentIncarnation = update.incarnation == m_self.incarnation;
        if (isCurrentIncarnation && update.condition != MemberCondition::Alive && update.refutation >= m_self.refutation) {
            m_self.refutation = update.refutation + 1;
            recordChange(m_self.id);
        }
        return;
    }
    if (!isInScope(update) || update.incarnation.value == 0) {
        return;
    }
    const auto found = m_members.find(update.id);
    const bool changed = found == m_members.end() || merge(found->second, update);
    if (found == m_members.end()) {
        m_members[update.id] = update;
    }
    if (changed) {
        m_changedAt[update.id] = now;
        recordChange(update.id);
    }
}

void MembershipView::recordChange(const core::InstanceId &id)
{
    ++m_version;
    m_retransmitsLeft[id] = m_settings.retransmitMultiplier * static_cast<std::size_t>(std::bit_width(m_members.size() + 1));
}

void MembershipView::markSuspect(const core::InstanceId &id, core::TimePoint now, std::vector<OutgoingMessage> &out)
{
    const auto found = m_members.find(id);
    if (found == m_members.end() || found->second.incarnation.value == 0 || found->second.condition != MemberCondition::Alive) {
        return;
    }
    found->second.condition = MemberCondition::Suspect;
    m_changedAt[id] = now;
    recordChange(id);
    Message message = makeMessage(Ping{m_nextSequenceNumber++}); // notifies the suspect first, so that it can refute
    message.updates.push_back(found->second);
    out.push_back(OutgoingMessage{found->second.gossipAddress, std::move(message)});
}

void MembershipView::expireMembers(core::TimePoint now)
{
    std::vector<core::InstanceId> expired;
    for (auto &[id, member] : m_members) {
        const core::Duration age = now - m_changedAt[id];
        if (member.condition == MemberCondition::Suspect && age >= m_settings.suspicionTimeout) {
            member.condition = MemberCondition::Dead;
            m_changedAt[id] = now;
            recordChange(id);
        } else if (member.condition == MemberCondition::Dead && age >= m_settings.deadMemberRetention) {
            expired.push_back(id);
        }
    }
    for (const core::InstanceId &id : expired) {
        m_members.erase(id);
        m_changedAt.erase(id);
        m_retransmitsLeft.erase(id);
    }
}

void MembershipView::startProbe(core::TimePoint now, std::vector<OutgoingMessage> &out)
{
    const auto target = nextProbeTarget();
    if (!target) {
        return;
    }
    if (m_probe) { // the previous probe got no acknowledgement within the probe period
        markSuspect(m_probe->target, now, out);
    }
    m_probe = Probe{*target, m_nextSequenceNumber++, now, false};
    Member &member = m_members[*target];
    Message message = makeMessage(Ping{m_probe->sequenceNumber});
    if (member.condition != MemberCondition::Alive) { // includes the target's assumed state, so that it can refute
        message.updates.push_back(member);
    }
    out.push_back(OutgoingMessage{member.gossipAddress, std::move(message)});
}

void MembershipView::checkProbe(core::TimePoint now, std::vector<OutgoingMessage> &out)
{
    if (!m_probe || m_probe->indirect || now - m_probe->sentAt < m_settings.ackTimeout) {
        return;
    }
    m_probe->indirect = true;
    std::vector<const Member *> helpers;
    for (const auto &[id, member] : m_members) {
        if (id != m_probe->target && member.condition == MemberCondition::Alive) {
            helpers.push_back(&member);
        }
    }
    std::shuffle(helpers.begin(), helpers.end(), m_random);
    helpers.resize(std::min(helpers.size(), m_settings.indirectProbes));
    for (const Member *helper : helpers) {
        out.push_back(OutgoingMessage{helper->gossipAddress, makeMessage(PingRequest{m_probe->sequenceNumber, m_probe->target})});
    }
}

void MembershipView::handleAck(std::uint64_t sequenceNumber, const core::InstanceId &sender, std::vector<OutgoingMessage> &out)
{
    if (m_probe && m_probe->sequenceNumber == sequenceNumber) {
        m_probe.reset();
    }
    const auto forwarded = m_forwardedProbes.find(sequenceNumber);
    if (forwarded != m_forwardedProbes.end()) {
        Message message = makeMessage(Ack{forwarded->second.requesterSequenceNumber});
        const auto member = m_members.find(sender);
        if (member != m_members.end()) {
            message.updates.push_back(member->second);
        }
        out.push_back(OutgoingMessage{forwarded->second.requesterAddress, std::move(message)});
        m_forwardedProbes.erase(forwarded);
    }
}

Message MembershipView::makeMessage(std::variant<Ping, PingRequest, Ack> body)
{
    return Message{core::InstanceRef{m_self.id, m_self.incarnation}, std::move(body), takeUpdates()};
}

std::optional<core::InstanceId> MembershipView::nextProbeTarget()
{
    while (true) {
        if (m_probeOrder.empty()) {
            for (const auto &[id, member] : m_members) {
                m_probeOrder.push_back(id); // including dead members, which detects the end of a network partition
            }
            std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
        }
        if (m_probeOrder.empty()) {
            return std::nullopt;
        }
        const core::InstanceId target = m_probeOrder.back();
        m_probeOrder.pop_back();
        if (m_members.contains(target)) {
            return target;
        }
    }
}

std::vector<Member> MembershipView::takeUpdates()
{
    std::vector<Member> updates{m_self}; // every message includes the sender's own record
    std::vector<std::pair<std::size_t, core::InstanceId>> order;
    order.reserve(m_retransmitsLeft.size());
    for (const auto &[id, retransmitsLeft] : m_retransmitsLeft) {
        order.emplace_back(retransmitsLeft, id);
    }
    std::sort(order.rbegin(), order.rend());
    for (const auto &[retransmitsLeft, id] : order) {
        if (updates.size() >= m_settings.updatesPerMessage) {
            break;
        }
        const auto member = m_members.find(id);
        if (member != m_members.end()) {
            updates.push_back(member->second);
        }
        if (--m_retransmitsLeft[id] == 0) {
            m_retransmitsLeft.erase(id);
        }
    }
    if (updates.size() < m_settings.updatesPerMessage && !m_members.empty()) {
        // Adds one more member in round-robin order, so that new members learn of all.
        auto next = m_members.upper_bound(m_updateCursor);
        next = next == m_members.end() ? m_members.begin() : next;
        m_updateCursor = next->first;
        updates.push_back(next->second);
    }
    return updates;
}

} // namespace arbutus::membership
