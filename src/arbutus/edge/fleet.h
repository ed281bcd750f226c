// The instances of the fleet: membership, role assignment, and the datagrams between instances.
//
// Membership is SWIM over all instances (membership::MembershipView). A role is assigned to the first live member of a
// rendezvous ranking in which members with a large capacity come first. There is no consensus on the ranking, so two instances
// may briefly hold the same role; every role must tolerate that.

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
    core::Duration suspicionTimeout = std::chrono::milliseconds(1'200); // until a suspect is declared dead
    std::chrono::milliseconds tickInterval{50};
    std::size_t updatesPerMessage = 12; // about 1.3 kB; when a whole fleet restarts at once, there are updates about every member
};

class Fleet
{
public:
    using MessageHandler = std::function<void(FleetMessage message, const std::string &from)>;

    Fleet(InstanceContext &context, core::Incarnation incarnation, std::uint64_t seed, FleetSettings settings = {});

    /// `handler` receives every message except membership messages.
    void start(MessageHandler handler);
    void send(const std::string &address, FleetMessageBody body);
    /// Announces that this instance accepts no new work.
    void leave();
    /// Adds a member known from the store or the settings and pings it if it is new.
    void addContact(const membership::Member &contact);

    [[nodiscard]] const membership::Member &self() const
    {
        return m_view.self();
    }
    /// Live members that are neither leaving nor suspect, including this instance unless it is leaving.
    [[nodiscard]] const std::vector<membership::Member> &liveMembers();
    /// Changes with the live members and the rankings.
    [[nodiscard]] std::uint64_t membersVersion()
    {
        refreshMembers();
        return m_membersVersion;
    }
    /// Live members of a region by priority for the dispatcher role; valid until the next iteration of the event loop.
    [[nodiscard]] const std::vector<membership::Member> &dispatcherRanking(const core::RegionId &region);
    /// This instance's rank among the live members for watching the store; 0 is the watcher.
    [[nodiscard]] std::size_t storeWatchRank();
    [[nodiscard]] const membership::Member *findMember(const core::InstanceId &id) const;
    /// Number of known instances in this region that are not leaving, alive or not, including this one.
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
    std::vector<membership::Member> m_members; // live members as of m_membersVersion
    std::uint64_t m_membersVersion = 0;
    std::map<core::RegionId, std::vector<membership::Member>> m_dispatcherRankings;          // cache as of m_membersVersion; ranking hashes every member
    std::optional<std::size_t> m_storeWatchRank;                                             // cache as of m_membersVersion
    std::map<core::InstanceId, std::pair<membership::MemberCondition, bool>> m_loggedStates; // condition and leaving flag, as last logged

public:
    /// Returns the version of this instance's configuration, which every message states.
    std::function<catalog::CatalogVersion()> ownCatalogVersion;
    /// Called for every message, before it is handled.
    std::function<void(const core::InstanceId &peer, catalog::CatalogVersion stated)> onCatalogVersion;
};

} // namespace arbutus::edge
