// SWIM-style membership of one failure domain, or of all: which instances are alive, suspect, leaving or dead.
//
// Every probe period one member is pinged. If it does not acknowledge in time, a few other members are asked to ping it
// (indirect probe). If that fails too, it becomes suspect, and is declared dead after a timeout unless it refutes the
// suspicion. Membership updates are piggybacked on these messages. The class takes events and returns messages; it has no
// socket, thread or clock.
//
// Sections:
//   Messages         the protocol's messages
//   Settings         intervals, timeouts and limits
//   MembershipView   the state machine
//
// Q: What happens if the platform's list of instances differs from this view?
// A: The list only adds unknown members, as contacts to ping. It never revives or removes a member.

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
/// Asks the receiver to ping `target` and to forward its acknowledgement.
struct PingRequest
{
    std::uint64_t sequenceNumber = 0;
    core::InstanceId target;
};
struct Ack
{
    std::uint64_t sequenceNumber = 0;
};

/// A message with piggybacked membership updates.
struct Message
{
    core::InstanceRef sender;
    std::variant<Ping, PingRequest, Ack> body;
    std::vector<Member> updates;
};

/// A message and its destination.
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
    core::Duration ackTimeout = std::chrono::milliseconds(150);        // of a direct ping, before indirect probes start
    core::Duration suspicionTimeout = std::chrono::milliseconds(1500); // until a suspect is declared dead
    core::Duration deadMemberRetention = std::chrono::minutes(10);     // until a dead member is removed
    std::size_t indirectProbes = 2;                                    // members asked to ping an unresponsive one
    std::size_t updatesPerMessage = 6;
    std::size_t retransmitMultiplier = 4; // times log2 of the number of members
    bool allDomains = false;              // covers all failure domains instead of only this instance's
};

//-----------------------------------------------------------------------------
// MembershipView
//-----------------------------------------------------------------------------

/// One instance's view of the members of its failure domain, or of all with MembershipSettings::allDomains.
class MembershipView
{
public:
    MembershipView(Member self, MembershipSettings settings, std::uint64_t seed);

    /// Adds a member from the settings or the platform's list as a contact, unless it is known or out of scope.
    /// Returns whether it was added.
    bool addContact(const Member &contact);
    /// Pings a member outside the probe order, so that it and this instance learn of each other at once.
    std::vector<OutgoingMessage> pingMember(const core::InstanceId &id);
    /// Sends due probes and expires members; call at least every ackTimeout.
    std::vector<OutgoingMessage> tick(core::TimePoint now);
    /// Processes a message received from `address`.
    std::vector<OutgoingMessage> receive(const Message &message, const std::string &address, core::TimePoint now);
    /// Pings every member and contact, so that they learn of this instance at once.
    std::vector<OutgoingMessage> announce();
    /// Marks this instance as leaving and notifies every member at once.
    std::vector<OutgoingMessage> leave(core::TimePoint now);

    [[nodiscard]] const Member &self() const
    {
        return m_self;
    }
    [[nodiscard]] const std::map<core::InstanceId, Member> &members() const
    {
        return m_members; // excluding this instance
    }
    /// Members that can accept new work, including this instance unless it is leaving.
    [[nodiscard]] std::vector<Member> availableMembers() const;
    /// Increases with each change of the view.
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
        std::string requesterAddress;              // sender of the ping request
        std::uint64_t requesterSequenceNumber = 0; // sequence number for the acknowledgement
        core::TimePoint startedAt{};
    };
    [[nodiscard]] bool isInScope(const Member &member) const;
    void mergeUpdate(const Member &update, core::TimePoint now);
    void recordChange(const core::InstanceId &id);
    void markSuspect(const core::InstanceId &id, core::TimePoint now, std::vector<OutgoingMessage> &out);
    void pingAll(std::vector<OutgoingMessage> &out);
    void expireMembers(core::TimePoint now);
    void startProbe(core::TimePoint now, std::vector<OutgoingMessage> &out);
    void checkProbe(core::TimePoint now, std::vector<OutgoingMessage> &out);
    void handleAck(std::uint64_t sequenceNumber, const core::InstanceId &sender, std::vector<OutgoingMessage> &out);
    [[nodiscard]] Message makeMessage(std::variant<Ping, PingRequest, Ack> body);
    [[nodiscard]] std::optional<core::InstanceId> nextProbeTarget();
    [[nodiscard]] std::vector<Member> takeUpdates();

    Member m_self;
    MembershipSettings m_settings;
    pcg32 m_random;
    std::map<core::InstanceId, Member> m_members;
    std::map<core::InstanceId, core::TimePoint> m_changedAt;   // time of the last change, for the timeouts
    std::map<core::InstanceId, std::size_t> m_retransmitsLeft; // remaining transmissions of a change
    core::InstanceId m_updateCursor;                           // last member sent in round-robin order
    std::vector<core::InstanceId> m_probeOrder;                // remaining targets of this round, shuffled
    std::optional<Probe> m_probe;
    std::map<std::uint64_t, ForwardedProbe> m_forwardedProbes; // by the sequence number of the forwarded ping
    std::uint64_t m_nextSequenceNumber = 1;
    core::TimePoint m_nextProbeAt{};
    std::uint64_t m_version = 1;
};

} // namespace arbutus::membership
