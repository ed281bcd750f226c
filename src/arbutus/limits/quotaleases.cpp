// Leases of instances' parts and loans between dispatchers.

#include "arbutus/limits/quotaleases.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace arbutus::limits {

namespace {

core::TimePoint toTimePoint(QuotaClock clock)
{
    return core::TimePoint(core::Duration(static_cast<std::int64_t>(clock.value)));
}

} // namespace

//-----------------------------------------------------------------------------
// QuotaLender
//-----------------------------------------------------------------------------

QuotaLender::QuotaLender(QuotaLeaseSettings settings, core::TimePoint startedAt)
    : m_settings(settings)
    , m_lentUntil(startedAt + settings.leaseLength)
    , m_nextEarlyAt(startedAt)
{
}

void QuotaLender::noteClock(const core::InstanceId &dispatcher, QuotaClock clock, core::TimePoint now)
{
    std::erase_if(m_clocks, [&](const auto &entry) { return now - entry.second.heardAt > m_settings.leaseLength; });
    const auto [found, isNew] = m_clocks.try_emplace(dispatcher, HeardClock{clock, now});
    if (!isNew && clock > found->second.clock) {
        found->second = HeardClock{clock, now};
    }
}

std::optional<QuotaLease> QuotaLender::lend(const core::InstanceId &dispatcher, std::size_t knownInstances, core::TimePoint now)
{
    const auto instances = static_cast<std::uint32_t>(knownInstances);
    const auto found = m_clocks.find(dispatcher);
    if (found == m_clocks.end() || now - found->second.heardAt > m_settings.leaseLength / 2) {
        return QuotaLease{QuotaClock(0), core::Duration::zero(), instances, false};
    }
    if (dispatcher != m_holder) {
        if (now < m_lentUntil) {
            if (now < m_nextEarlyAt) {
                return std::nullopt;
            }
            m_earlyUntil = m_lentUntil;
            m_nextEarlyAt = now + m_settings.window;
        }
        m_holder = dispatcher;
    }
    m_lentUntil = std::max(m_lentUntil, found->second.heardAt + m_settings.leaseLength);
    return QuotaLease{found->second.clock, m_settings.leaseLength, instances, now < m_earlyUntil};
}

//-----------------------------------------------------------------------------
// QuotaLeases
//-----------------------------------------------------------------------------

QuotaLeases::QuotaLeases(QuotaLeaseSettings settings, core::TimePoint startedAt)
    : m_settings(settings)
    , m_startedAt(startedAt)
{
}

void QuotaLeases::addLease(const core::InstanceId &instance, const QuotaLease &lease, core::TimePoint now)
{
    const core::TimePoint from = toTimePoint(lease.borrowerClock);
    if (lease.borrowerClock.value == 0 || from > now) {
        return;
    }
    HeldLease &held = m_leases[instance];
    if (lease.borrowerClock >= held.clock) { // otherwise it arrives after a later one
        held = HeldLease{lease.borrowerClock, from + std::min(lease.length, m_settings.leaseLength), lease.instances, lease.isEarly};
    }
}

QuotaLeases::PeerChange QuotaLeases::notePeer(const core::InstanceId &peer, const QuotaState &state, core::TimePoint now)
{
    Peer &known = m_peers[peer];
    PeerChange change;
    if (state.clock > known.state.clock) {
        change.isLatest = true;
        known.state = state;
        known.heardAt = now;
        const auto former = std::exchange(known.needs, {});
        for (const QuotaRow &row : state.rows) {
            known.needs[row.workspace] = row.neededShare;
            const auto formerNeed = former.find(row.workspace);
            change.hasGrown = change.hasGrown || row.neededShare >= (formerNeed == former.end() ? 0 : formerNeed->second) + m_settings.grownNeed;
        }
    }
    const core::TimePoint from = toTimePoint(state.borrowerClock);
    if (state.borrowerClock.value != 0 && from <= now && state.borrowerClock >= known.borrowedClock) {
        known.borrowedClock = state.borrowerClock;
        known.borrowed.clear();
        for (const QuotaRow &row : state.rows) {
            if (row.lentShare > 0) {
                known.borrowed[row.workspace] = Loan{std::min(row.lentShare, 1.0), from + std::min(state.loanLength, m_settings.loanLength)};
            }
        }
    }
    return change;
}

void QuotaLeases::expire(core::TimePoint now)
{
    std::erase_if(m_leases, [&](const auto &entry) { return entry.second.end <= now; });
    for (auto &[id, peer] : m_peers) {
        for (auto &[workspace, loans] : peer.lent) {
            std::erase_if(loans, [&](const Loan &loan) { return loan.end <= now; });
        }
        std::erase_if(peer.lent, [](const auto &entry) { return entry.second.empty(); });
    }
    std::erase_if(m_peers, [&](const auto &entry) { return now - entry.second.heardAt > m_settings.window && entry.second.lent.empty(); });
}

QuotaLeases::LeaseCounts QuotaLeases::countLeases(core::TimePoint until) const
{
    LeaseCounts counts;
    for (const auto &[instance, lease] : m_leases) {
        if (lease.end > until) {
            (lease.isEarly ? counts.early : counts.full) += 1;
        }
    }
    return counts;
}

std::size_t QuotaLeases::statedInstances() const
{
    std::size_t count = std::max<std::size_t>(m_knownInstances, 1);
    for (const auto &[instance, lease] : m_leases) {
        count = std::max<std::size_t>(count, lease.instances);
    }
    return count;
}

std::size_t QuotaLeases::divisor(core::TimePoint now) const
{
    std::size_t count = statedInstances();
    std::size_t held = 0;
    for (const auto &[instance, lease] : m_leases) {
        held += lease.end > now ? 1 : 0;
    }
    for (const auto &[id, peer] : m_peers) {
        count = std::max<std::size_t>(count, peer.state.instances);
    }
    const bool isYoung = now - m_startedAt < m_settings.window;
    return std::max(count, isYoung ? held * m_settings.regionCount : held);
}

double QuotaLeases::ownShare(core::TimePoint now) const
{
    return static_cast<double>(countLeases(now).full) / static_cast<double>(divisor(now));
}

double QuotaLeases::lentTo(const Peer &peer, const core::WorkspaceId &workspace, core::TimePoint now)
{
    double most = 0;
    const auto found = peer.lent.find(workspace);
    if (found != peer.lent.end()) {
        for (const Loan &loan : found->second) {
            most = loan.end > now ? std::max(most, loan.share) : most;
        }
    }
    return most;
}

double QuotaLeases::share(const core::WorkspaceId &workspace, double earlyWeight, core::TimePoint now) const
{
    const LeaseCounts counts = countLeases(now);
    double total = (static_cast<double>(counts.full) + earlyWeight * static_cast<double>(counts.early)) / static_cast<double>(divisor(now));
    for (const auto &[id, peer] : m_peers) {
        total -= lentTo(peer, workspace, now);
        const auto borrowed = peer.borrowed.find(workspace);
        if (borrowed != peer.borrowed.end() && borrowed->second.end > now) {
            total += borrowed->second.share;
        }
    }
    return std::max(total, 0.0);
}

bool QuotaLeases::isFresh(const Peer &peer, core::TimePoint now) const
{
    return now - peer.heardAt <= m_settings.peerStateMaxAge;
}

double QuotaLeases::wantedLoan(const Peer &peer, const core::WorkspaceId &workspace, double need, double ownShare, core::TimePoint now) const
{
    struct Position
    {
        double own = 0;
        double target = 0;
    };
    const auto targetOf = [&](const Peer &other) {
        const auto found = other.needs.find(workspace);
        return found == other.needs.end() ? 0 : found->second * m_settings.demandHeadroom;
    };
    Position self{ownShare, need * m_settings.demandHeadroom};
    Position receiver{peer.state.ownShare, targetOf(peer)};
    double totalTarget = self.target;
    for (const auto &[id, other] : m_peers) {
        totalTarget += isFresh(other, now) ? targetOf(other) : 0;
    }
    const double scale = totalTarget > 1 ? 1 / totalTarget : 1; // more is asked than there is: by need
    double surplus = std::max(self.own - std::max(self.target * scale, self.own * m_settings.keptShare), 0.0);
    double deficit = 0;
    double totalSurplus = surplus;
    for (const auto &[id, other] : m_peers) {
        if (isFresh(other, now)) {
            const double lack = targetOf(other) * scale - other.state.ownShare;
            (lack > 0 ? deficit : totalSurplus) += std::abs(lack);
        }
    }
    const double lack = receiver.target * scale - receiver.own;
    if (surplus <= 0 || lack <= 0) {
        return 0;
    }
    double lentToOthers = 0;
    for (const auto &[id, other] : m_peers) {
        lentToOthers += &other == &peer ? 0 : lentTo(other, workspace, now);
    }
    return std::min(lack / deficit * std::min(surplus, surplus / totalSurplus * deficit), surplus - lentToOthers);
}

QuotaState QuotaLeases::stateForInstances(core::TimePoint now)
{
    expire(now);
    QuotaState state;
    state.clock = toQuotaClock(now);
    state.instances = static_cast<std::uint32_t>(statedInstances()); // what peers state would come back to them
    state.ownShare = ownShare(now);
    return state;
}

QuotaState QuotaLeases::stateFor(const core::InstanceId &receiver,
                                 const std::map<core::WorkspaceId, double> &needs,
                                 const std::map<core::WorkspaceId, double> &pledged,
                                 core::TimePoint now)
{
    QuotaState state = stateForInstances(now);
    for (const auto &[workspace, need] : needs) {
        state.rows.push_back(QuotaRow{workspace, need, 0});
    }
    const auto found = m_peers.find(receiver);
    if (found == m_peers.end() || !isFresh(found->second, now)) {
        return state;
    }
    Peer &peer = found->second;
    state.borrowerClock = peer.state.clock;
    state.loanLength = m_settings.loanLength;
    const core::TimePoint end = peer.heardAt + m_settings.loanLength;
    const double lasting = static_cast<double>(countLeases(end).full) / static_cast<double>(divisor(now));
    for (const auto &[workspace, peerNeed] : peer.needs) {
        const auto own = needs.find(workspace);
        const auto advance = pledged.find(workspace);
        double free = lasting - (advance == pledged.end() ? 0 : advance->second);
        for (const auto &[id, other] : m_peers) {
            free -= id == receiver ? 0 : lentTo(other, workspace, now);
        }
        const double wanted = wantedLoan(peer, workspace, own == needs.end() ? 0 : own->second, state.ownShare, now);
        const double lent = std::min(wanted, free);
        if (lent <= 0) {
            continue;
        }
        auto &loans = peer.lent[workspace];
        std::erase_if(loans, [&](const Loan &loan) { return loan.share <= lent && loan.end <= end; });
        loans.push_back(Loan{lent, end});
        if (own != needs.end()) {
            state.rows[static_cast<std::size_t>(std::distance(needs.begin(), own))].lentShare = lent;
        } else {
            state.rows.push_back(QuotaRow{workspace, 0, lent});
        }
    }
    return state;
}

} // namespace arbutus::limits
