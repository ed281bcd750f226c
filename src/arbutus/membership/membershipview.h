// SWIM-style membership inside one failure domain: who is alive, suspect, leaving or dead.
//
// Every probe period one member is pinged; if it does not answer in time, a few others are asked to ping it; if that
// brings nothing, it is suspected, and after a while held to be dead unless it refutes. Changes travel on the pings.
// Events in, messages out: no socket, no thread, no clock of its own.
//
// Sections:
//   Messages     what goes over the wire
//   Settings     periods and bounds
//   DomainView   the state machine
//
// Q: What if the platform's list says otherwise?
// A: A list line only adds members that were never heard of, as contacts to ping. It never revives or removes one.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/membership/member.h"

#include <pcg_random.hpp>

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace arbutus::membership {

//-----------------------------------------------------------------------------
// Messages
//-----------------------------------------------------------------------------

struct Ping
{
    std::uint64_t sequenceNumber = 0;
};
/// Asks the receiver to ping `target` and to pass its answer on.
struct PingRequest
{
    std::uint64_t sequenceNumber = 0;
    core::InstanceId target;
};
struct Ack
{
    std::uint64_t sequenceNumber = 0;
};

/// One message with the news that travel on it.
struct Message
{
    core::InstanceRef sender;
    std::variant<Ping, PingRequest, Ack> body;
    std::vector<Member> updates;
};

/// A message and where it goes.
struct OutgoingMessage
{
    std::string address;
    Message message;
};

//-----------------------------------------------------------------------------
// Settings
//-----------------------------------------------------------------------------

struct MembershipSettings
{
    core::Duration probePeriod = std::chrono::milliseconds(500);
    core::Duration ackTimeout = std::chrono::milliseconds(150);        // direct answer, then others are asked
    core::Duration suspicionTimeout = std::chrono::milliseconds(1500); // until a suspect is held to be dead
    core::Duration deadMemberRetention = std::chrono::minutes(10);     // a dead member is remembered
    std::size_t indirectProbes = 2;
    std::size_t updatesPerMessage = 6;
    std::size_t retransmitMultiplier = 4; // times log2 of the members
    bool allDomains = false;              // members of all failure domains, not only of the own one
};

//-----------------------------------------------------------------------------
// DomainView
//-----------------------------------------------------------------------------

/// One instance's view of its failure domain.
class MembershipView
{
public:
    MembershipView(Member self, MembershipSettings settings, std::uint64_t seed);

    /// Members known from the settings or the platform's list; unknown ones become contacts.
    /// Returns whether it was unknown.
    bool addContact(const Member &contact);
    /// A ping outside the turn, so that a newcomer and a member learn of each other at once.
    std::vector<OutgoingMessage> pingMember(const core::InstanceId &id);
    /// Time has passed; call at least every ackTimeout.
    std::vector<OutgoingMessage> tick(core::TimePoint now);
    /// A message came in from `address`.
    std::vector<OutgoingMessage> receive(const Message &message, const std::string &address, core::TimePoint now);
    /// Pings every member and contact, so that they hear of this instance at once.
    std::vector<OutgoingMessage> announce();
    /// This instance begins to leave; the news goes to every member at once.
    std::vector<OutgoingMessage> leave(core::TimePoint now);

    [[nodiscard]] const Member &self() const
    {
        return m_self;
    }
    [[nodiscard]] const std::map<core::InstanceId, Member> &members() const
    {
        return m_members; // without this instance
    }
    /// Members that can take new work, this one included unless it leaves.
    [[nodiscard]] std::vector<Member> availableMembers() const;
    /// Grows with each change of the view.
    [[nodiscard]] std::uint64_t version() const
    {
        return m_version;
    }

private:
    struct Probe
    {
        core::InstanceId target;
        std::uint64_t sequenceNumber = 0;
        core::TimePoint sentAt{};
        bool indirect = false;
    };
    struct ForwardedProbe
    {
        std::string requesterAddress;              // who asked
        std::uint64_t requesterSequenceNumber = 0; // number to answer with
        core::TimePoint startedAt{};
    };
    [[nodiscard]] bool isInScope(const Member &member) const;
    void mergeUpdate(const Member &heard, core::TimePoint now);
    void recordChange(const core::InstanceId &id);
    void markSuspect(const core::InstanceId &id, core::TimePoint now, std::vector<OutgoingMessage> &out);
    void pingAll(std::vector<OutgoingMessage> &out);
    void expireMembers(core::TimePoint now);
    void startProbe(core::TimePoint now, std::vector<OutgoingMessage> &out);
    void checkProbe(core::TimePoint now, std::vector<OutgoingMessage> &out);
    void handleAck(std::uint64_t number, const core::InstanceId &from, std::vector<OutgoingMessage> &out);
    [[nodiscard]] Message makeMessage(std::variant<Ping, PingRequest, Ack> body);
    [[nodiscard]] std::optional<core::InstanceId> nextProbeTarget();
    [[nodiscard]] std::vector<Member> takeUpdates();

    Member m_self;
    MembershipSettings m_settings;
    pcg32 m_random;
    std::map<core::InstanceId, Member> m_members;
    std::map<core::InstanceId, core::TimePoint> m_changedAt;   // for suspicion and forgetting
    std::map<core::InstanceId, std::size_t> m_retransmitsLeft; // times a change is still told
    core::InstanceId m_updateCursor;                           // cursor of the news that fill a message
    std::vector<core::InstanceId> m_probeOrder;                // shuffled targets of this round
    std::optional<Probe> m_probe;
    std::map<std::uint64_t, ForwardedProbe> m_forwardedProbes; // by our own ping number
    std::uint64_t m_nextSequenceNumber = 1;
    core::TimePoint m_nextProbeAt{};
    std::uint64_t m_version = 1;
};

} // namespace arbutus::membership
