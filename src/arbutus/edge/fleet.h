// The instances of the fleet: who lives, who holds which duty, and the datagrams between them.
//
// Membership is SWIM over all instances (membership::DomainView). A duty is held by the first live member in a rendezvous
// ranking that begins with the strongest; nobody agrees on it, so two may hold it for a moment, and every duty is harmless then.

#pragma once

#include "arbutus/edge/codec.h"
#include "arbutus/edge/context.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <vector>

namespace arbutus::edge {

struct FleetSettings
{
    core::Duration probePeriod = std::chrono::milliseconds(300);
    core::Duration suspicionTimeout = std::chrono::milliseconds(1'200); // until a suspect is held to be dead
    std::chrono::milliseconds tickInterval{50};
    std::size_t updatesPerMessage = 12; // about 1.3 kB; a fleet that starts again at once has news of everyone
};

class Fleet
{
public:
    using MessageHandler = std::function<void(FleetMessage message, const std::string &from)>;

    Fleet(InstanceContext &context, core::Incarnation incarnation, std::uint64_t seed, FleetSettings settings = {});

    /// `receiver` gets every message but those of membership.
    void start(MessageHandler receiver);
    void send(const std::string &address, FleetMessageBody body);
    /// Tells the others that this instance takes no new work.
    void leave();
    /// A member known from the store or the settings; a new one is greeted.
    void addContact(const membership::Member &contact);

    [[nodiscard]] const membership::Member &self() const
    {
        return m_view.self();
    }
    /// Live members that are neither leaving nor suspected, this one included unless it leaves.
    [[nodiscard]] const std::vector<membership::Member> &liveMembers();
    /// Members of a region in the order in which they hold its duties; valid until the loop's next turn.
    [[nodiscard]] const std::vector<membership::Member> &dispatcherRanking(const core::RegionId &region);
    /// This instance's place among all members for reading the store; 0 is first.
    [[nodiscard]] std::size_t storeWatchRank();
    [[nodiscard]] const membership::Member *findMember(const core::InstanceId &id) const;
    /// Instances of the own region that are known, alive or not.
    [[nodiscard]] std::size_t knownMemberCountInRegion() const;
    [[nodiscard]] std::size_t knownMemberCount() const;

private:
    void receive(std::string_view bytes, const std::string &from);
    boost::asio::awaitable<void> tickLoop();
    void sendAll(std::vector<membership::OutgoingMessage> outgoing);
    void refreshMembers();

    InstanceContext &m_context;
    FleetSettings m_settings;
    membership::MembershipView m_view;
    boost::asio::ip::udp::socket m_socket;
    MessageHandler m_messageHandler;
    std::vector<membership::Member> m_members; // of m_membersVersion
    std::uint64_t m_membersVersion = 0;
    std::map<core::RegionId, std::vector<membership::Member>> m_dispatcherRankings;          // of m_membersVersion; ranking hashes each member
    std::optional<std::size_t> m_storeWatchRank;                                             // of m_membersVersion
    std::map<core::InstanceId, std::pair<membership::MemberCondition, bool>> m_loggedStates; // condition and leaving
};

} // namespace arbutus::edge
