// Datagram socket, membership ticks and role rankings.

#include "arbutus/edge/fleet.h"
#include "arbutus/edge/background.h"
#include "arbutus/membership/rendezvous.h"
#include "arbutus/peer/udp.h"

#include <algorithm>
#include <iterator>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace arbutus::edge {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

namespace {

constexpr std::string_view StoreWatchKey = "watch";
constexpr std::string_view DispatcherKey = "dispatch";

membership::Member makeSelf(const Settings &settings, core::Incarnation incarnation)
{
    membership::Member self;
    self.id = settings.instanceId;
    self.incarnation = incarnation;
    self.domain = settings.failureDomain;
    self.region = settings.region;
    self.gossipAddress = http::toString(settings.peersEndpoint);
    self.peerAddress = http::toString(settings.peersEndpoint);
    self.clientUrl = http::toString(settings.clientEndpoint);
    self.capacity = settings.capacity;
    return self;
}

membership::MembershipSettings makeMembershipSettings(const FleetSettings &settings)
{
    membership::MembershipSettings out;
    out.probePeriod = settings.probePeriod;
    out.suspicionTimeout = settings.suspicionTimeout;
    out.allDomains = true;
    out.updatesPerMessage = settings.updatesPerMessage;
    return out;
}

std::string_view toString(membership::MemberCondition condition)
{
    switch (condition) {
    case membership::MemberCondition::Alive:
        return "alive";
    case membership::MemberCondition::Suspect:
        return "suspect";
    case membership::MemberCondition::Dead:
        break;
    }
    return "dead";
}

} // namespace

Fleet::Fleet(InstanceContext &context, core::Incarnation incarnation, std::uint64_t seed, FleetSettings settings)
    : m_context(context)
    , m_settings(settings)
    , m_view(makeSelf(context.settings, incarnation), makeMembershipSettings(settings), seed)
    , m_socket(context.executor, Udp::endpoint(asio::ip::make_address(context.settings.peersEndpoint.host), context.settings.peersEndpoint.port))
{
}

void Fleet::start(MessageHandler handler)
{
    m_messageHandler = std::move(handler);
    for (const http::Endpoint &seed : m_context.settings.seedPeers) {
        membership::Member contact;
        contact.id = core::InstanceId("seed " + http::toString(seed)); // placeholder; the real id arrives with the first message
        contact.gossipAddress = http::toString(seed);
        if (seed != m_context.settings.peersEndpoint) {
            m_view.addContact(contact);
        }
    }
    sendAll(m_view.announce());
    m_socket.non_blocking(true);
    spawnLoop(m_context, "fleet_receive", [this] { return receiveLoop(); });
    spawnLoop(m_context, "fleet_tick", [this] { return tickLoop(); });
}

void Fleet::send(const std::string &address, FleetMessageBody body)
{
    boost::system::error_code code;
    const auto target = peer::parseUdpEndpoint(address, code);
    if (!target) {
        m_context.writeLog(observe::LogLine("datagram_send_failed").add("address", address).add("error", code.message()));
        return;
    }
    FleetMessage message{core::InstanceRef{self().id, self().incarnation}, self().region, std::move(body)};
    if (stateMetadata) {
        stateMetadata(message);
    }
    const std::string bytes = encode(message, m_context.now());
    m_socket.send_to(asio::buffer(bytes), *target, 0, code);
    m_context.metrics.incrementCounter(code ? "arbutus_datagrams_failed_total" : "arbutus_datagrams_sent_total");
}

void Fleet::sendAll(std::vector<membership::OutgoingMessage> outgoing)
{
    for (membership::OutgoingMessage &message : outgoing) {
        send(message.address, std::move(message.message));
    }
}

void Fleet::leave()
{
    sendAll(m_view.leave(m_context.now()));
}

void Fleet::addContact(const membership::Member &contact)
{
    if (m_view.addContact(contact)) {
        sendAll(m_view.pingMember(contact.id));
    }
}

bool Fleet::receiveWaiting()
{
    constexpr std::size_t MaxDatagrams = 64; // before others run
    const auto onDatagram = [this](std::string_view bytes, const std::string &from) {
        guard(m_context, "datagram", [&] { receive(bytes, from); }); // the datagrams after it are received all the same
    };
    const core::TimePoint now = m_context.now();
    m_context.evidenceClock.noteRunning(now);
    const bool isEmpty = peer::receiveWaiting(m_socket, MaxDatagrams, onDatagram);
    if (isEmpty) {
        m_context.evidenceClock.noteDrained(now);
    }
    return isEmpty;
}

asio::awaitable<void> Fleet::receiveLoop()
{
    while (true) {
        boost::system::error_code code;
        co_await m_socket.async_wait(Udp::socket::wait_read, asio::redirect_error(asio::use_awaitable, code));
        if (code) {
            co_return; // the socket is closed
        }
        while (!receiveWaiting()) {
            co_await asio::post(asio::use_awaitable);
        }
    }
}

void Fleet::receive(std::string_view bytes, const std::string &from)
{
    auto message = decodeFleetMessage(bytes, m_context.now());
    if (!message) {
        m_context.metrics.incrementCounter("arbutus_datagrams_refused_total");
        return;
    }
    message->arrivedAt = m_context.evidenceClock.arrivalTime(m_context.now());
    if (message->ignoredParts > 0) {
        m_context.metrics.incrementCounter("arbutus_datagram_parts_ignored_total", "", static_cast<double>(message->ignoredParts));
    }
    if (auto *membershipMessage = std::get_if<membership::Message>(&message->body)) {
        sendAll(m_view.receive(*membershipMessage, from, m_context.now()));
        refreshMembers();
    }
    if (onMetadataStated) { // its sender may be a member only now
        onMetadataStated(*message);
    }
    if (std::holds_alternative<membership::Message>(message->body)) {
        return;
    }
    m_messageHandler(std::move(*message), from);
}

asio::awaitable<void> Fleet::tickLoop()
{
    asio::steady_timer timer(m_context.executor);
    while (true) {
        m_context.evidenceClock.noteRunning(m_context.now());
        if (!m_context.evidenceClock.isDrained()) {
            receiveWaiting();
        }
        sendAll(m_view.tick(m_context.now()));
        refreshMembers();
        timer.expires_after(m_settings.tickInterval);
        boost::system::error_code code;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
        if (code) {
            co_return;
        }
    }
}

void Fleet::refreshMembers()
{
    if (m_membersVersion == m_view.version()) {
        return;
    }
    m_membersVersion = m_view.version();
    m_members.clear();
    m_dispatcherRankings.clear();
    m_storeWatchRank.reset();
    for (const membership::Member &member : m_view.availableMembers()) {
        if (member.condition == membership::MemberCondition::Alive) {
            m_members.push_back(member);
        }
    }
    for (const auto &[id, member] : m_view.members()) {
        const auto logged = m_loggedStates.find(id);
        if (member.incarnation.value != 0 && (logged == m_loggedStates.end() || logged->second != std::pair(member.condition, member.leaving))) {
            m_loggedStates[id] = {member.condition, member.leaving};
            m_context.writeLog(observe::LogLine("member")
                                   .add("member", id)
                                   .add("incarnation", member.incarnation)
                                   .add("condition", toString(member.condition))
                                   .add("leaving", member.leaving)
                                   .add("live", m_members.size()));
        }
    }
}

const std::vector<membership::Member> &Fleet::liveMembers()
{
    refreshMembers();
    return m_members;
}

const std::vector<membership::Member> &Fleet::dispatcherRanking(const core::RegionId &region)
{
    const std::vector<membership::Member> &members = liveMembers();
    const auto cached = m_dispatcherRankings.find(region);
    if (cached != m_dispatcherRankings.end()) {
        return cached->second;
    }
    std::vector<membership::Member> inRegion;
    std::copy_if(members.begin(), members.end(), std::back_inserter(inRegion), [&](const membership::Member &member) { return member.region == region; });
    return m_dispatcherRankings[region] = membership::rankLargeMembersFirst(DispatcherKey, std::move(inRegion));
}

std::size_t Fleet::storeWatchRank()
{
    const std::vector<membership::Member> &members = liveMembers();
    if (!m_storeWatchRank) {
        const auto ranking = membership::rankLargeMembersFirst(StoreWatchKey, members);
        const auto position = std::find_if(ranking.begin(), ranking.end(), [&](const membership::Member &member) { return member.id == self().id; });
        m_storeWatchRank = static_cast<std::size_t>(position - ranking.begin());
    }
    return *m_storeWatchRank;
}

const membership::Member *Fleet::findMember(const core::InstanceId &id) const
{
    const auto found = m_view.members().find(id);
    return found == m_view.members().end() ? nullptr : &found->second;
}

std::size_t Fleet::knownMemberCountInRegion() const
{
    std::size_t count = 1;
    for (const auto &[id, member] : m_view.members()) {
        count += member.region == self().region && !member.leaving ? 1 : 0;
    }
    return count;
}

std::size_t Fleet::knownMemberCount() const
{
    std::size_t count = 1;
    for (const auto &[id, member] : m_view.members()) {
        count += member.incarnation.value != 0 ? 1 : 0;
    }
    return std::max(count, m_context.settings.seedPeers.size());
}

} // namespace arbutus::edge
