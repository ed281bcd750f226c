// What workspaces may spend at one dispatcher, by the shares of their quotas that it holds.
//
// In every window, the units of the requests of a workspace that run stay within
//
//   (rate * window + burst) * (1 + overshoot) + slack         over all instances together
//
// Each dispatcher has a bucket for each workspace. Rate, burst and the allowed debt of a bucket are the dispatcher's share of those of the
// quota (limits/quotaleases.h). The shares of all dispatchers add up to at most 1, except for what the tolerance pays for:
//
//   tolerance = (rate * window + burst) * overshoot + slack
//     0.30  debt of buckets: a request may cost more than a bucket contains, up to the share of this part
//     0.40  early leases
//     0.30  buckets that begin anew after a takeover or a restart and may be in debt again, large requests at several dispatchers, units that
//           are given back, and counts of instances that differ
//
// Sections:
//   QuotaTerms         what the deployment guarantees
//   QuotaBucket        one workspace at one dispatcher
//   WorkspaceQuotas    all workspaces at one dispatcher
//
// Q: What does the caller of a large request see?
// A: It is admitted if the bucket can bear the debt. If it costs more than the bucket can ever bear with the dispatcher's share, it
//    is admitted once the bucket is full, as long as the debt stays within the part of all dispatchers together. The workspace's next
//    requests are refused until the debt is repaid. A request that costs more than burst and this part together is always refused.
//
// Q: Why does a new bucket begin empty?
// A: It does not know what another dispatcher spent in the window. A burst that was spent twice would not stay in the bound.
//
// Q: What happens to the content of a bucket whose share is lent?
// A: The units that go with the lent part move with it, once; if the message is lost, so are they. When a loan ends, the borrower's bucket is
//    cut to its smaller size.
//
// Q: When are units given back?
// A: If a request is known not to run soon after they were spent. Units that are given back later would count in a window in which they
//    were not spent, so they are lost.

#pragma once

#include "arbutus/catalog/workspace.h"
#include "arbutus/limits/quotaleases.h"
#include "arbutus/routing/dispatcher.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace arbutus::limits {

//-----------------------------------------------------------------------------
// QuotaTerms
//-----------------------------------------------------------------------------

struct QuotaTerms
{
    core::Duration window = std::chrono::seconds(8);
    double overshoot = 0.1;
    double slack = 0; // units

    /// Units in one window that may exceed rate * window + burst.
    [[nodiscard]] double tolerance(const catalog::Quota &quota) const;
    /// Units by which the buckets of all dispatchers together may be in debt.
    [[nodiscard]] double maxDebt(const catalog::Quota &quota) const;
    /// Weight of an early lease: what is spent twice until the former lease ends stays within its part of the tolerance.
    [[nodiscard]] double earlyWeight(const catalog::Quota &quota, core::Duration leaseLength) const;
};

//-----------------------------------------------------------------------------
// QuotaBucket
//-----------------------------------------------------------------------------

class QuotaBucket
{
public:
    explicit QuotaBucket(core::TimePoint now)
        : m_updatedAt(now)
    {
    }

    /// Refills by the smaller of the last share and this one, since the share may have changed at any time between.
    void update(const catalog::Quota &quota, double share, core::TimePoint now);
    /// Spends the units if the bucket bears them; `maxDebt` is that of all dispatchers together.
    [[nodiscard]] bool trySpend(const catalog::Quota &quota, double units, double maxDebt);
    void giveBack(const catalog::Quota &quota, double units);
    /// Takes the units that go with a part of the share.
    [[nodiscard]] double takeFor(double lentShare);
    /// Time until trySpend() would succeed with this share; a maximum if it never would.
    [[nodiscard]] core::Duration timeUntil(const catalog::Quota &quota, double units, double maxDebt) const;

    [[nodiscard]] double units() const // negative: debt
    {
        return m_units;
    }
    [[nodiscard]] double share() const
    {
        return m_share;
    }

private:
    /// Units that the bucket must contain before `units` can be spent.
    [[nodiscard]] double requiredUnits(const catalog::Quota &quota, double units, double maxDebt) const;

    double m_units = 0;
    double m_share = 0;
    core::TimePoint m_updatedAt;
};

//-----------------------------------------------------------------------------
// WorkspaceQuotas
//-----------------------------------------------------------------------------

/// A request was refused because its workspace has used up its quota.
struct QuotaRefusal
{
    core::Duration retryAfter{};
    double share = 0;
    double availableUnits = 0;
    double demand = 0; // units a second that the workspace asks here
};

struct WorkspaceQuotaSettings
{
    QuotaTerms terms;
    QuotaLeaseSettings leases;
    core::Duration minDemandTime = std::chrono::milliseconds(400);  // time constant of the measured demand
    core::Duration maxDemandTime = std::chrono::seconds(3);         // if single requests are large
    double demandTimeRate = 0.1;                                    // the time constant is that of the largest request at this part of the rate
    core::Duration largestTime = std::chrono::seconds(30);          // in which the size of the largest request fades
    core::Duration repayTime = std::chrono::seconds(1);             // in which debt is to be repaid by borrowed shares
    core::Duration urgentInterval = std::chrono::milliseconds(100); // between states that do not wait for their time
    double lowLevel = 0.3;                                          // of a bucket's size, below which it needs more than this region's own share
    core::Duration lowTime = std::chrono::milliseconds(1'500);      // for which it does
    double urgentNeed = 0.05;                                       // growth of a needed share that makes a state urgent
    core::Duration updateInterval = std::chrono::milliseconds(100); // of all buckets
    core::Duration giveBackTime = std::chrono::milliseconds(250);   // after the spending
    core::Duration memoryTime = std::chrono::seconds(20);           // of requests that have spent; longer than a request is asked for again
};

class WorkspaceQuotas
{
public:
    WorkspaceQuotas(WorkspaceQuotaSettings settings, core::TimePoint startedAt);

    /// Applies the quotas of a configuration at once.
    void setQuotas(const std::vector<catalog::Workspace> &workspaces, core::TimePoint now);
    [[nodiscard]] bool hasQuotas() const
    {
        return !m_entries.empty();
    }

    /// Spends the units of a request; nothing if it may go on. A request that has spent does not spend again.
    [[nodiscard]] std::optional<QuotaRefusal>
    spend(const routing::PlacementId &request, const core::WorkspaceId &workspace, std::uint32_t units, core::TimePoint now);
    /// The request is known not to run. If it is asked for again, it spends again.
    void giveBack(const routing::PlacementId &request, core::TimePoint now);

    /// Updates all buckets, when it is time; call it several times a second.
    void update(core::TimePoint now);
    /// Whether a workspace in debt needs more than was stated last; then other dispatchers should be told at once.
    [[nodiscard]] bool isNeedUrgent(core::TimePoint now);
    /// State for another dispatcher, with what is lent to it.
    [[nodiscard]] QuotaState stateFor(const core::InstanceId &peer, core::TimePoint now);
    /// Records the state of another dispatcher, and what it lends. Returns whether it needs more than it had stated.
    bool notePeer(const core::InstanceId &peer, const QuotaState &state, core::TimePoint now);
    [[nodiscard]] QuotaLeases &leases()
    {
        return m_leases;
    }

    struct Usage
    {
        double spentUnits = 0;
        double givenBackUnits = 0;
        std::uint64_t refusedRequests = 0;
        double share = 0;
    };
    /// Since the last call, by workspace with traffic; for metrics.
    [[nodiscard]] std::map<core::WorkspaceId, Usage> takeUsage();

private:
    struct Entry
    {
        catalog::Quota quota;
        QuotaBucket bucket;
        double demand = 0; // units a second, moving average
        core::TimePoint demandAt{};
        double largest = 0;                   // units of a request, fading
        double statedNeed = 0;                // share
        bool hasDebt = false;                 // since its urgency was looked at
        std::optional<core::TimePoint> lowAt; // the bucket was last below lowLevel
        Usage usage;
    };
    struct Spent
    {
        core::WorkspaceId workspace;
        std::uint32_t units = 0;
        core::TimePoint at{};
    };

    void updateBucket(const core::WorkspaceId &workspace, Entry &entry, core::TimePoint now);
    [[nodiscard]] core::Duration demandTime(const Entry &entry) const;
    void fadeDemand(Entry &entry, core::TimePoint now) const;
    void noteLevel(Entry &entry, core::TimePoint now);
    [[nodiscard]] double neededShare(const Entry &entry, core::TimePoint now) const;

    WorkspaceQuotaSettings m_settings;
    QuotaLeases m_leases;
    std::map<core::WorkspaceId, Entry> m_entries; // of workspaces with a quota
    std::map<routing::PlacementId, Spent> m_spent;
    std::map<routing::PlacementId, core::TimePoint> m_counted; // requests whose units are in the demand
    std::deque<std::pair<core::TimePoint, routing::PlacementId>> m_expiries;
    core::TimePoint m_updatedAt{};
    core::TimePoint m_urgentAt{};
    bool m_hasDebt = false; // of any workspace, since it was looked at
};

} // namespace arbutus::limits
