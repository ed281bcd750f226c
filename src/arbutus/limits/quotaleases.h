// Who may spend which part of the quotas until when.
//
// Every instance owns an equal part of every quota and lends it to the dispatcher that it uses (QuotaLender). A dispatcher spends the
// parts that were lent to it, and lends on what its region does not need to dispatchers of other regions (QuotaLeases). A lease has an
// end, so what is cut off stops spending before another spends its part.
//
//   QuotaLender lender(settings, now);                       // at each instance
//   lender.noteClock(dispatcher, state.clock, now);          // the dispatcher's state has arrived
//   if (auto lease = lender.lend(dispatcher, count, now)) {} // sent with each report
//
//   QuotaLeases leases(settings, now);                       // at each dispatcher
//   leases.addLease(instance, lease, now);
//   leases.notePeer(peer, state, now);                       // also takes what the peer lends
//   const QuotaState state = leases.stateFor(peer, demands, now);
//   const double share = leases.share(workspace, 1, now);
//
// Sections:
//   Messages           QuotaClock, QuotaLease, QuotaState
//   QuotaLender        the part of one instance
//   QuotaLeases        what a dispatcher may spend
//
// Q: How do two processes without a common clock agree on the end of a lease?
// A: The borrower states its clock, and the lender returns that value with the lease. The borrower counts from that value, the lender from
//    the time at which it heard it, which is later. So the borrower's lease ends first, however late a message arrives.
//
// Q: Why may an instance lend its part anew before the last lease has ended?
// A: A dispatcher that crashed would otherwise leave its region without quota for the length of a lease. Such a lease is "early": it
//    counts with a weight that keeps the excess inside the tolerance of the quota, and an instance gives one in each window at most. A process
//    that has just started does not know what its predecessor lent, so its first lease is early too.
//
// Q: Why does a dispatcher divide by the largest number of instances that it knows?
// A: Two parts that are based on different numbers could exceed the whole. Members that are dead stay known for minutes. After a start of
//    the whole fleet few are known; until the window has passed, each region counts as large as this one.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/core/ids.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace arbutus::limits {

struct QuotaLeaseSettings
{
    core::Duration window = std::chrono::seconds(8);                   // in which a quota is bounded
    core::Duration leaseLength = std::chrono::milliseconds(2'000);     // of an instance's part
    core::Duration loanLength = std::chrono::milliseconds(900);        // between dispatchers; shorter than what is left of a renewed lease
    core::Duration peerStateMaxAge = std::chrono::milliseconds(1'500); // until a dispatcher that is not heard counts as gone
    double grownNeed = 0.05;                                           // growth of a needed share that is answered at once
    double demandHeadroom = 1.3;                                       // share kept or borrowed, per share needed
    double keptShare = 0.25;                                           // of the shares from instances, which is not lent, for sudden demand
    std::size_t regionCount = 1;
};

//-----------------------------------------------------------------------------
// Messages
//-----------------------------------------------------------------------------

/// Value of the steady clock of one process, which only that process can interpret; 0: not stated.
using QuotaClock = core::StrongNumber<struct QuotaClockTag>;

[[nodiscard]] inline QuotaClock toQuotaClock(core::TimePoint at)
{
    return QuotaClock(static_cast<std::uint64_t>(at.time_since_epoch().count()));
}

/// An instance lends its part of all quotas.
struct QuotaLease
{
    QuotaClock borrowerClock; // from which the lease counts; 0: the borrower is asked to state it
    core::Duration length{};
    std::uint32_t instances = 0; // that the lender knows
    bool isEarly = false;
    bool operator==(const QuotaLease &) const = default;
};

/// What a dispatcher needs of a workspace, and what it lends to the receiver.
struct QuotaRow
{
    core::WorkspaceId workspace;
    double neededShare = 0; // of the quota
    double lentShare = 0;   // of the quota
    double movedUnits = 0;  // from the sender's bucket to the receiver's, once
    bool operator==(const QuotaRow &) const = default;
};

/// Sent by a dispatcher to the instances of its region and to other dispatchers.
struct QuotaState
{
    QuotaClock clock; // of the sender
    std::uint32_t instances = 0;
    double ownShare = 0; // lent to it by instances
    std::vector<QuotaRow> rows;
    QuotaClock borrowerClock; // of the receiver, from which what is lent counts
    core::Duration loanLength{};
    bool operator==(const QuotaState &) const = default;
};

//-----------------------------------------------------------------------------
// QuotaLender
//-----------------------------------------------------------------------------

class QuotaLender
{
public:
    QuotaLender(QuotaLeaseSettings settings, core::TimePoint startedAt);

    /// Records the clock that a dispatcher stated.
    void noteClock(const core::InstanceId &dispatcher, QuotaClock clock, core::TimePoint now);
    /// The lease to send to the dispatcher; nothing while the part is lent to another.
    [[nodiscard]] std::optional<QuotaLease> lend(const core::InstanceId &dispatcher, std::size_t knownInstances, core::TimePoint now);
    [[nodiscard]] const core::InstanceId &holder() const
    {
        return m_holder;
    }

private:
    struct HeardClock
    {
        QuotaClock clock;
        core::TimePoint heardAt{};
    };

    QuotaLeaseSettings m_settings;
    core::InstanceId m_holder;
    core::TimePoint m_lentUntil;    // to anyone
    core::TimePoint m_earlyUntil{}; // a lease to the present holder is early until then
    core::TimePoint m_nextEarlyAt;  // the part may be lent before its lease has ended from then on
    std::map<core::InstanceId, HeardClock> m_clocks;
};

//-----------------------------------------------------------------------------
// QuotaLeases
//-----------------------------------------------------------------------------

class QuotaLeases
{
public:
    QuotaLeases(QuotaLeaseSettings settings, core::TimePoint startedAt);

    void addLease(const core::InstanceId &instance, const QuotaLease &lease, core::TimePoint now);
    struct PeerChange
    {
        bool isLatest = false; // of all states of this peer
        bool hasGrown = false; // it needs more than it had stated
    };
    /// Records the state of another dispatcher, and what it lends.
    PeerChange notePeer(const core::InstanceId &peer, const QuotaState &state, core::TimePoint now);
    void setKnownInstances(std::size_t count)
    {
        m_knownInstances = count;
    }
    /// State for another dispatcher, with what is lent to it from now on. `needs` are the shares that this region needs, without headroom;
    /// `pledged` the shares that cannot be lent because they are spent in advance.
    [[nodiscard]] QuotaState stateFor(const core::InstanceId &peer,
                                      const std::map<core::WorkspaceId, double> &needs,
                                      const std::map<core::WorkspaceId, double> &pledged,
                                      core::TimePoint now);
    /// State for the instances of the region.
    [[nodiscard]] QuotaState stateForInstances(core::TimePoint now);

    /// Share of a quota that may be spent here now; early leases count with `earlyWeight`.
    [[nodiscard]] double share(const core::WorkspaceId &workspace, double earlyWeight, core::TimePoint now) const;
    /// Shares that instances lent without an early lease, of all quotas.
    [[nodiscard]] double ownShare(core::TimePoint now) const;
    /// Number of instances by which the quotas are divided.
    [[nodiscard]] std::size_t divisor(core::TimePoint now) const;

private:
    struct HeldLease
    {
        QuotaClock clock;
        core::TimePoint end{};
        std::uint32_t instances = 0;
        bool isEarly = false;
    };
    struct Loan
    {
        double share = 0;
        core::TimePoint end{};
    };
    struct Peer
    {
        QuotaState state;
        core::TimePoint heardAt{};
        std::map<core::WorkspaceId, double> needs;
        QuotaClock borrowedClock;
        std::map<core::WorkspaceId, Loan> borrowed;
        std::map<core::WorkspaceId, std::deque<Loan>> lent; // all that may still be in use; the peer has one of them
    };
    struct LeaseCounts
    {
        std::size_t full = 0;
        std::size_t early = 0;
    };

    void expire(core::TimePoint now);
    /// Number of instances that this one and its lenders know.
    [[nodiscard]] std::size_t statedInstances() const;
    [[nodiscard]] LeaseCounts countLeases(core::TimePoint until) const;
    [[nodiscard]] bool isFresh(const Peer &peer, core::TimePoint now) const;
    [[nodiscard]] static double lentTo(const Peer &peer, const core::WorkspaceId &workspace, core::TimePoint now);
    /// Share of a quota to lend to the peer, by what the dispatchers need.
    [[nodiscard]] double wantedLoan(const Peer &peer, const core::WorkspaceId &workspace, double need, double ownShare, core::TimePoint now) const;

    QuotaLeaseSettings m_settings;
    core::TimePoint m_startedAt;
    std::size_t m_knownInstances = 1;
    std::map<core::InstanceId, HeldLease> m_leases;
    std::map<core::InstanceId, Peer> m_peers;
};

} // namespace arbutus::limits
