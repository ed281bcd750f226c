// Buckets of workspaces at one dispatcher.

#include "arbutus/limits/workspacequota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace arbutus::limits {

namespace {

constexpr double DebtPart = 0.3;         // of the tolerance; see the table in the header
constexpr double EarlyPart = 0.4;        // of the tolerance
constexpr double FullBucket = 0.999;     // of its size; the rest is rounding
constexpr double MinOversizeShare = 0.2; // so that at most 5 buckets admit requests beyond what their shares bear
constexpr double MinNeededShare = 0.001; // smaller needs are not stated
constexpr core::Duration MinRetryAfter = std::chrono::milliseconds(50);
constexpr core::Duration MaxRetryAfter = std::chrono::seconds(60);

double toSeconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

//-----------------------------------------------------------------------------
// QuotaTerms
//-----------------------------------------------------------------------------

double QuotaTerms::tolerance(const catalog::Quota &quota) const
{
    return (quota.unitsPerSecond * toSeconds(window) + quota.burstUnits) * overshoot + slack;
}

double QuotaTerms::maxDebt(const catalog::Quota &quota) const
{
    return tolerance(quota) * DebtPart;
}

double QuotaTerms::earlyWeight(const catalog::Quota &quota, core::Duration leaseLength) const
{
    const double doubled = quota.unitsPerSecond * toSeconds(leaseLength);
    return doubled > 0 ? std::min(tolerance(quota) * EarlyPart / doubled, 1.0) : 1.0;
}

//-----------------------------------------------------------------------------
// QuotaBucket
//-----------------------------------------------------------------------------

void QuotaBucket::update(const catalog::Quota &quota, double share, core::TimePoint now)
{
    const double seconds = now > m_updatedAt ? toSeconds(now - m_updatedAt) : 0;
    m_units += quota.unitsPerSecond * std::min(m_share, share) * seconds;
    m_units = std::min(m_units, quota.burstUnits * std::min(m_share, share)); // a share that has grown brings no units with it
    m_share = share;
    m_updatedAt = std::max(m_updatedAt, now);
}

double QuotaBucket::requiredUnits(const catalog::Quota &quota, double units, double maxDebt) const
{
    const double full = quota.burstUnits * m_share;
    if (units <= full + maxDebt * m_share || m_share < MinOversizeShare) {
        return units - maxDebt * m_share;
    }
    return std::max(full * FullBucket, units - maxDebt);
}

bool QuotaBucket::trySpend(const catalog::Quota &quota, double units, double maxDebt)
{
    if (m_share <= 0 || m_units < requiredUnits(quota, units, maxDebt)) {
        return false;
    }
    m_units -= units;
    return true;
}

void QuotaBucket::giveBack(const catalog::Quota &quota, double units)
{
    m_units = std::min(m_units + units, std::max(m_units, quota.burstUnits * m_share));
}

double QuotaBucket::takeFor(double lentShare)
{
    const double taken = m_share > 0 ? std::max(m_units, 0.0) * std::clamp(lentShare / m_share, 0.0, 1.0) : 0;
    m_units -= taken;
    return taken;
}

core::Duration QuotaBucket::timeUntil(const catalog::Quota &quota, double units, double maxDebt) const
{
    const double rate = quota.unitsPerSecond * m_share;
    const double required = requiredUnits(quota, units, maxDebt);
    if (rate <= 0 || required > quota.burstUnits * m_share) {
        return MaxRetryAfter;
    }
    const double seconds = std::clamp((required - m_units) / rate, 0.0, toSeconds(MaxRetryAfter));
    return std::max(MinRetryAfter, std::chrono::ceil<std::chrono::milliseconds>(std::chrono::duration<double>(seconds)) + core::Duration::zero());
}

//-----------------------------------------------------------------------------
// WorkspaceQuotas
//-----------------------------------------------------------------------------

WorkspaceQuotas::WorkspaceQuotas(WorkspaceQuotaSettings settings, core::TimePoint startedAt)
    : m_settings(settings)
    , m_leases(settings.leases, startedAt)
{
}

void WorkspaceQuotas::setQuotas(const std::vector<catalog::Workspace> &workspaces, core::TimePoint now)
{
    std::map<core::WorkspaceId, Entry> entries;
    for (const catalog::Workspace &workspace : workspaces) {
        if (!workspace.quota) {
            continue;
        }
        const auto found = m_entries.find(workspace.id);
        Entry entry = found == m_entries.end() ? Entry{*workspace.quota, QuotaBucket(now)} : found->second;
        updateBucket(workspace.id, entry, now); // by the quota until now
        entry.quota = *workspace.quota;
        updateBucket(workspace.id, entry, now);
        entries.emplace(workspace.id, entry);
    }
    m_entries = std::move(entries);
}

void WorkspaceQuotas::updateBucket(const core::WorkspaceId &workspace, Entry &entry, core::TimePoint now)
{
    const double earlyWeight = m_settings.terms.earlyWeight(entry.quota, m_settings.leases.leaseLength);
    entry.bucket.update(entry.quota, m_leases.share(workspace, earlyWeight, now), now);
}

core::Duration WorkspaceQuotas::demandTime(const Entry &entry) const
{
    const std::chrono::duration<double> wanted(entry.largest / (entry.quota.unitsPerSecond * m_settings.demandTimeRate));
    return std::clamp(std::chrono::duration_cast<core::Duration>(wanted), m_settings.minDemandTime, m_settings.maxDemandTime);
}

void WorkspaceQuotas::fadeDemand(Entry &entry, core::TimePoint now) const
{
    const double factor = std::exp(-toSeconds(now - entry.demandAt) / toSeconds(demandTime(entry)));
    entry.demand *= factor;
    entry.largest *= std::exp(-toSeconds(now - entry.demandAt) / toSeconds(m_settings.largestTime));
    entry.demandAt = now;
}

std::optional<QuotaRefusal>
WorkspaceQuotas::spend(const routing::PlacementId &request, const core::WorkspaceId &workspace, std::uint32_t units, core::TimePoint now)
{
    const auto found = m_entries.find(workspace);
    if (units == 0 || found == m_entries.end() || m_spent.contains(request)) {
        return std::nullopt;
    }
    Entry &entry = found->second;
    if (m_counted.try_emplace(request, now).second) {
        m_expiries.emplace_back(now, request);
        fadeDemand(entry, now);
        entry.largest = std::max<double>(entry.largest, units);
        entry.demand += units / toSeconds(demandTime(entry));
    }
    updateBucket(workspace, entry, now);
    const double maxDebt = m_settings.terms.maxDebt(entry.quota);
    if (entry.bucket.trySpend(entry.quota, units, maxDebt)) {
        m_spent.emplace(request, Spent{workspace, units, now});
        entry.usage.spentUnits += units;
        noteLevel(entry, now);
        return std::nullopt;
    }
    noteLevel(entry, now);
    entry.usage.refusedRequests += 1;
    return QuotaRefusal{entry.bucket.timeUntil(entry.quota, units, maxDebt), entry.bucket.share(), entry.bucket.units(), entry.demand};
}

void WorkspaceQuotas::giveBack(const routing::PlacementId &request, core::TimePoint now)
{
    const auto found = m_spent.find(request);
    if (found == m_spent.end()) {
        return;
    }
    const Spent spent = found->second;
    m_spent.erase(found);
    const auto entry = m_entries.find(spent.workspace);
    if (entry != m_entries.end() && now - spent.at <= m_settings.giveBackTime) {
        entry->second.bucket.giveBack(entry->second.quota, spent.units);
        entry->second.usage.givenBackUnits += spent.units;
    }
}

void WorkspaceQuotas::update(core::TimePoint now)
{
    if (now - m_updatedAt < m_settings.updateInterval) {
        return;
    }
    m_updatedAt = now;
    for (auto &[workspace, entry] : m_entries) {
        updateBucket(workspace, entry, now);
    }
    while (!m_expiries.empty() && now - m_expiries.front().first > m_settings.memoryTime) {
        m_spent.erase(m_expiries.front().second);
        m_counted.erase(m_expiries.front().second);
        m_expiries.pop_front();
    }
}

double WorkspaceQuotas::neededShare(const Entry &entry, core::TimePoint now) const
{
    const double debt = std::max(-entry.bucket.units(), 0.0);
    const double bearable = entry.bucket.units() + entry.bucket.share() * m_settings.terms.maxDebt(entry.quota);
    const double lacking = std::max(entry.largest - bearable, debt);
    const double forDemand = (entry.demand + lacking / toSeconds(m_settings.repayTime)) / entry.quota.unitsPerSecond;
    const double forLargest = entry.largest / (entry.quota.burstUnits + m_settings.terms.maxDebt(entry.quota));
    const double need = std::max(forDemand, forLargest);
    const bool isLow = entry.lowAt && now - *entry.lowAt <= m_settings.lowTime;
    return isLow ? need : std::min(need, m_leases.ownShare(now) / m_settings.leases.demandHeadroom); // large requests come in no even sequence
}

void WorkspaceQuotas::noteLevel(Entry &entry, core::TimePoint now)
{
    if (entry.bucket.units() < entry.quota.burstUnits * entry.bucket.share() * m_settings.lowLevel) {
        entry.lowAt = now;
    }
    if (entry.lowAt == now) {
        entry.hasDebt = true;
        m_hasDebt = true;
    }
}

bool WorkspaceQuotas::isNeedUrgent(core::TimePoint now)
{
    if (!m_hasDebt || now - m_urgentAt < m_settings.urgentInterval) {
        return false;
    }
    m_hasDebt = false;
    for (auto &[workspace, entry] : m_entries) {
        if (std::exchange(entry.hasDebt, false) && neededShare(entry, now) >= entry.statedNeed + m_settings.urgentNeed) {
            m_urgentAt = now;
            return true;
        }
    }
    return false;
}

QuotaState WorkspaceQuotas::stateFor(const core::InstanceId &peer, core::TimePoint now)
{
    std::map<core::WorkspaceId, double> needs;
    std::map<core::WorkspaceId, double> pledged;
    for (auto &[workspace, entry] : m_entries) {
        updateBucket(workspace, entry, now);
        fadeDemand(entry, now);
        const double maxDebt = m_settings.terms.maxDebt(entry.quota);
        const double need = neededShare(entry, now);
        entry.statedNeed = need;
        if (need >= MinNeededShare) {
            needs[workspace] = need;
        }
        if (entry.bucket.units() < 0 && maxDebt > 0) {
            pledged[workspace] = -entry.bucket.units() / maxDebt;
        }
    }
    QuotaState state = m_leases.stateFor(peer, needs, pledged, now);
    for (QuotaRow &row : state.rows) {
        const auto found = m_entries.find(row.workspace);
        if (row.lentShare > 0 && found != m_entries.end()) {
            const double earlyWeight = m_settings.terms.earlyWeight(found->second.quota, m_settings.leases.leaseLength);
            row.movedUnits = found->second.bucket.takeFor(found->second.bucket.share() - m_leases.share(row.workspace, earlyWeight, now));
            updateBucket(row.workspace, found->second, now);
        }
    }
    return state;
}

bool WorkspaceQuotas::notePeer(const core::InstanceId &peer, const QuotaState &state, core::TimePoint now)
{
    const QuotaLeases::PeerChange change = m_leases.notePeer(peer, state, now);
    for (const QuotaRow &row : state.rows) {
        const auto found = m_entries.find(row.workspace);
        if (row.lentShare > 0 && found != m_entries.end()) {
            updateBucket(row.workspace, found->second, now);
            found->second.bucket.giveBack(found->second.quota, change.isLatest ? row.movedUnits : 0);
        }
    }
    return change.hasGrown;
}

std::map<core::WorkspaceId, WorkspaceQuotas::Usage> WorkspaceQuotas::takeUsage()
{
    std::map<core::WorkspaceId, Usage> usages;
    for (auto &[workspace, entry] : m_entries) {
        const double formerShare = std::exchange(entry.usage.share, entry.bucket.share());
        if (entry.usage.spentUnits != 0 || entry.usage.refusedRequests != 0 || entry.usage.share != formerShare) {
            usages[workspace] = entry.usage;
        }
        entry.usage = Usage{.share = entry.usage.share};
    }
    return usages;
}

} // namespace arbutus::limits
