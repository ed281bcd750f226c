// Probing, suspicion and news.

#include "arbutus/membership/domainview.h"

#include <algorithm>
#include <bit>

namespace arbutus::membership {

DomainView::DomainView(Member self, ViewSettings settings, std::uint64_t seed)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_random(seed)
{
}

bool DomainView::inScope(const Member &member) const
{
    return m_settings.wholeFleet || member.domain == m_self.domain;
}

bool DomainView::addContact(const Member &contact)
{
    if (contact.id == m_self.id || !inScope(contact) || m_members.contains(contact.id)) {
        return false;
    }
    Member added = contact;
    added.incarnation = core::Incarnation(); // unknown until it speaks
    added.leaving = false;
    added.condition = Condition::Alive;
    m_members[contact.id] = std::move(added);
    return true;
}

std::vector<Outgoing> DomainView::greet(const core::InstanceId &id)
{
    std::vector<Outgoing> out;
    const auto found = m_members.find(id);
    if (found != m_members.end()) {
        out.push_back(Outgoing{found->second.gossipAddress, makeMessage(Ping{m_nextNumber++})});
    }
    return out;
}

std::vector<Outgoing> DomainView::tick(core::TimePoint now)
{
    std::vector<Outgoing> out;
    expireSuspects(now);
    checkProbe(now, out);
    if (now >= m_nextProbe) {
        m_nextProbe = now + m_settings.probePeriod;
        startProbe(now, out);
    }
    std::erase_if(m_relays, [&](const auto &entry) { return now - entry.second.at > m_settings.suspicion; });
    return out;
}

std::vector<Outgoing> DomainView::receive(const Message &message, const std::string &address, core::TimePoint now)
{
    std::vector<Outgoing> out;
    const Member before = m_self;
    for (const Member &heard : message.news) {
        learn(heard, now);
    }
    if (m_self != before) { // contradicted a suspicion: all hear it at once, before it becomes a death
        tellAll(out);
    }
    if (const auto *ping = std::get_if<Ping>(&message.body)) {
        out.push_back(Outgoing{address, makeMessage(Ack{ping->number})});
    } else if (const auto *request = std::get_if<PingRequest>(&message.body)) {
        const auto target = m_members.find(request->target);
        if (target != m_members.end()) {
            const std::uint64_t number = m_nextNumber++;
            m_relays[number] = Relay{address, request->number, now};
            out.push_back(Outgoing{target->second.gossipAddress, makeMessage(Ping{number})});
        }
    } else if (const auto *ack = std::get_if<Ack>(&message.body)) {
        answerProbe(ack->number, message.sender.id, out);
    }
    return out;
}

std::vector<Outgoing> DomainView::announce()
{
    std::vector<Outgoing> out;
    tellAll(out);
    return out;
}

std::vector<Outgoing> DomainView::leave(core::TimePoint now)
{
    m_self.leaving = true;
    noteChange(m_self.id);
    std::vector<Outgoing> out;
    tellAll(out);
    m_nextProbe = now + m_settings.probePeriod;
    return out;
}

void DomainView::tellAll(std::vector<Outgoing> &out)
{
    for (const auto &[id, member] : m_members) {
        if (member.condition != Condition::Dead) {
            out.push_back(Outgoing{member.gossipAddress, makeMessage(Ping{m_nextNumber++})});
        }
    }
}

std::vector<Member> DomainView::usable() const
{
    std::vector<Member> out;
    if (m_self.usable()) {
        out.push_back(m_self);
    }
    for (const auto &[id, member] : m_members) {
        if (member.usable()) {
            out.push_back(member);
        }
    }
    return out;
}

void DomainView::learn(const Member &heard, core::TimePoint now)
{
    if (heard.id == m_self.id) {
        if (heard.incarnation > m_self.incarnation) { // an earlier life drew a higher number: the machine's clock has gone back
            m_self.incarnation = core::Incarnation(heard.incarnation.value + 1);
            m_self.refutation = 0;
            noteChange(m_self.id);
            return;
        }
        const bool aboutThisLife = heard.incarnation == m_self.incarnation;
        if (aboutThisLife && heard.condition != Condition::Alive && heard.refutation >= m_self.refutation) {
            m_self.refutation = heard.refutation + 1;
            noteChange(m_self.id);
        }
        return;
    }
    if (!inScope(heard) || heard.incarnation.value == 0) {
        return;
    }
    const auto found = m_members.find(heard.id);
    const bool changed = found == m_members.end() || merge(found->second, heard);
    if (found == m_members.end()) {
        m_members[heard.id] = heard;
    }
    if (changed) {
        m_changedAt[heard.id] = now;
        noteChange(heard.id);
    }
}

void DomainView::noteChange(const core::InstanceId &id)
{
    ++m_version;
    m_newsLeft[id] = m_settings.newsRepeats * static_cast<std::size_t>(std::bit_width(m_members.size() + 1));
}

void DomainView::suspect(const core::InstanceId &id, core::TimePoint now, std::vector<Outgoing> &out)
{
    const auto found = m_members.find(id);
    if (found == m_members.end() || found->second.incarnation.value == 0 || found->second.condition != Condition::Alive) {
        return;
    }
    found->second.condition = Condition::Suspect;
    m_changedAt[id] = now;
    noteChange(id);
    Message message = makeMessage(Ping{m_nextNumber++}); // the suspect hears of it first, so that it can refute
    message.news.push_back(found->second);
    out.push_back(Outgoing{found->second.gossipAddress, std::move(message)});
}

void DomainView::expireSuspects(core::TimePoint now)
{
    std::vector<core::InstanceId> forgotten;
    for (auto &[id, member] : m_members) {
        const core::Duration age = now - m_changedAt[id];
        if (member.condition == Condition::Suspect && age >= m_settings.suspicion) {
            member.condition = Condition::Dead;
            m_changedAt[id] = now;
            noteChange(id);
        } else if (member.condition == Condition::Dead && age >= m_settings.deadKept) {
            forgotten.push_back(id);
        }
    }
    for (const core::InstanceId &id : forgotten) {
        m_members.erase(id);
        m_changedAt.erase(id);
        m_newsLeft.erase(id);
    }
}

void DomainView::startProbe(core::TimePoint now, std::vector<Outgoing> &out)
{
    const auto target = nextTarget();
    if (!target) {
        return;
    }
    if (m_probe) { // the one before has had its whole period
        suspect(m_probe->target, now, out);
    }
    m_probe = Probe{*target, m_nextNumber++, now, false};
    Member &member = m_members[*target];
    Message message = makeMessage(Ping{m_probe->number});
    if (member.condition != Condition::Alive) { // tells it what is believed, so that it can refute
        message.news.push_back(member);
    }
    out.push_back(Outgoing{member.gossipAddress, std::move(message)});
}

void DomainView::checkProbe(core::TimePoint now, std::vector<Outgoing> &out)
{
    if (!m_probe || m_probe->indirect || now - m_probe->sentAt < m_settings.ackTimeout) {
        return;
    }
    m_probe->indirect = true;
    std::vector<const Member *> helpers;
    for (const auto &[id, member] : m_members) {
        if (id != m_probe->target && member.condition == Condition::Alive) {
            helpers.push_back(&member);
        }
    }
    std::shuffle(helpers.begin(), helpers.end(), m_random);
    helpers.resize(std::min(helpers.size(), m_settings.indirectProbes));
    for (const Member *helper : helpers) {
        out.push_back(Outgoing{helper->gossipAddress, makeMessage(PingRequest{m_probe->number, m_probe->target})});
    }
}

void DomainView::answerProbe(std::uint64_t number, const core::InstanceId &from, std::vector<Outgoing> &out)
{
    if (m_probe && m_probe->number == number) {
        m_probe.reset();
    }
    const auto relay = m_relays.find(number);
    if (relay != m_relays.end()) {
        Message message = makeMessage(Ack{relay->second.number});
        const auto member = m_members.find(from);
        if (member != m_members.end()) {
            message.news.push_back(member->second);
        }
        out.push_back(Outgoing{relay->second.address, std::move(message)});
        m_relays.erase(relay);
    }
}

Message DomainView::makeMessage(std::variant<Ping, PingRequest, Ack> body)
{
    return Message{core::InstanceRef{m_self.id, m_self.incarnation}, std::move(body), takeNews()};
}

std::optional<core::InstanceId> DomainView::nextTarget()
{
    while (true) {
        if (m_round.empty()) {
            for (const auto &[id, member] : m_members) {
                m_round.push_back(id); // dead ones too: a healed partition is noticed by this
            }
            std::shuffle(m_round.begin(), m_round.end(), m_random);
        }
        if (m_round.empty()) {
            return std::nullopt;
        }
        const core::InstanceId target = m_round.back();
        m_round.pop_back();
        if (m_members.contains(target)) {
            return target;
        }
    }
}

std::vector<Member> DomainView::takeNews()
{
    std::vector<Member> news{m_self}; // every message says who speaks
    std::vector<std::pair<std::size_t, core::InstanceId>> order;
    order.reserve(m_newsLeft.size());
    for (const auto &[id, left] : m_newsLeft) {
        order.emplace_back(left, id);
    }
    std::sort(order.rbegin(), order.rend());
    for (const auto &[left, id] : order) {
        if (news.size() >= m_settings.newsPerMessage) {
            break;
        }
        const auto member = m_members.find(id);
        if (member != m_members.end()) {
            news.push_back(member->second);
        }
        if (--m_newsLeft[id] == 0) {
            m_newsLeft.erase(id);
        }
    }
    if (news.size() < m_settings.newsPerMessage && !m_members.empty()) { // one more in turn, so that newcomers learn all
        auto next = m_members.upper_bound(m_lastTold);
        next = next == m_members.end() ? m_members.begin() : next;
        m_lastTold = next->first;
        news.push_back(next->second);
    }
    return news;
}

} // namespace arbutus::membership
