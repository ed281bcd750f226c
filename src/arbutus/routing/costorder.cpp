// Two passes of the algorithm of Moore and Hodgson.

#include "arbutus/routing/costorder.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace arbutus::routing {

namespace {

/// A request in one pass.
struct Job
{
    std::size_t index = 0;
    int priority = 0;
    core::TimePoint deadline{}; // of this pass, for the placement
    core::Duration slack{};     // until then, as far as it may be planned for
    double work = 0;
    double lossPerRoom = 0;
    bool cameBack = false;
    const PlacementId *id = nullptr;
};

bool goesBefore(const Job &left, const Job &right)
{
    if (left.priority != right.priority) {
        return left.priority < right.priority;
    }
    if (left.deadline != right.deadline) {
        return left.deadline < right.deadline;
    }
    if (left.cameBack != right.cameBack) {
        return left.cameBack;
    }
    return *left.id < *right.id;
}

struct Pass
{
    std::vector<Job> kept; // in order
    std::vector<Job> dropped;
    double work = 0; // of those kept
};

/// Keeps the jobs that meet their deadlines after `startWait`, and drops those with the least loss per room.
template<typename WaitOf>
Pass runPass(std::vector<Job> jobs, const WaitOf &waitOf, std::size_t maxDisplaced)
{
    std::sort(jobs.begin(), jobs.end(), goesBefore);
    using Cheapest = std::priority_queue<std::pair<double, std::size_t>, std::vector<std::pair<double, std::size_t>>, std::greater<>>;
    Cheapest cheapest; // loss per room and index of those kept of the present priority
    std::vector<bool> isDropped(jobs.size(), false);
    Pass pass;
    int priority = 0;
    std::vector<std::size_t> displaced;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        const Job &job = jobs[i];
        if (i == 0 || job.priority != priority) {
            cheapest = Cheapest();
            priority = job.priority;
        }
        const auto isLate = [&](double work) { return waitOf(work) > job.slack; }; // by the work before it
        displaced.clear();
        double work = pass.work;
        while (isLate(work) && displaced.size() < maxDisplaced && !cheapest.empty() && cheapest.top().first < job.lossPerRoom) {
            displaced.push_back(cheapest.top().second);
            work -= jobs[cheapest.top().second].work;
            cheapest.pop();
        }
        if (isLate(work)) {
            isDropped[i] = true;
            std::for_each(displaced.begin(), displaced.end(), [&](std::size_t index) { cheapest.emplace(jobs[index].lossPerRoom, index); });
            continue;
        }
        std::for_each(displaced.begin(), displaced.end(), [&](std::size_t index) { isDropped[index] = true; });
        pass.work = work + job.work;
        cheapest.emplace(job.lossPerRoom, i);
    }
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        (isDropped[i] ? pass.dropped : pass.kept).push_back(jobs[i]);
    }
    return pass;
}

} // namespace

CostOrder::CostOrder(CostOrderSettings settings)
    : m_settings(settings)
{
}

CostPlan CostOrder::plan(std::span<const CostEntry *const> entries, const PlacementRates &drain, const QueueRates &rates, core::TimePoint now) const
{
    CostPlan result;
    result.served.reserve(entries.size());
    std::vector<Job> jobs;
    std::vector<Job> late;
    jobs.reserve(entries.size());
    double begunWork = 0;
    const auto perRoom = [&](double loss, const CostEntry &entry) {
        return loss * entry.boost / static_cast<double>(std::max(entry.room, m_settings.minRoom).count());
    };
    const auto makeJob = [&](std::size_t index, core::TimePoint deadline, double loss) {
        const CostEntry &entry = *entries[index];
        const core::TimePoint placeBy = deadline - entry.minLatency;
        return Job{index, entry.priority, placeBy, placeBy - now, entry.work, perRoom(loss, entry), entry.cameBack, &entry.id};
    };
    const auto makeLateJob = [&](std::size_t index) {
        const CostEntry &entry = *entries[index];
        Job job = makeJob(index, entry.responseDeadline, 0);
        const core::Duration mayBeHeld = scaled(entry.responseDeadline - entry.requestedAt, m_settings.maxHoldRatio);
        job.slack = std::min(job.slack, entry.requestedAt + mayBeHeld - now);
        return job;
    };
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const CostEntry &entry = *entries[i];
        if (entry.hasBegun) {
            result.served.push_back({i, drain.drainTime(begunWork, rates.total), false});
            begunWork += entry.work;
        } else if (now + entry.minLatency > entry.latencyDeadline) {
            late.push_back(makeLateJob(i));
        } else {
            Job job = makeJob(i, entry.latencyDeadline, lossIfLate(m_settings.value, entry.value));
            job.slack = scaled(job.slack, m_settings.plannedSlackRatio);
            jobs.push_back(job);
        }
    }
    const core::Duration begunTime = drain.drainTime(begunWork, rates.total);
    const auto waitInOrder = [&](double work) { return begunTime + drain.drainTime(work, rates.total); };
    const double horizon = m_settings.overloadFactor * static_cast<double>(rates.busyFor.count()) / 1000;
    const auto lateWait = [&](double work) { // at the rate that arrivals leave over, as long as the overload is expected to last
        const double slowWork = rates.spare * horizon;
        return begunTime + drain.drainTime(std::min(work, slowWork), rates.spare) + drain.drainTime(work - slowWork, rates.total);
    };
    const auto place = [&](const Pass &pass, const auto &waitOf, bool isLate) {
        double work = 0;
        for (const Job &job : pass.kept) {
            result.served.push_back({job.index, waitOf(work), isLate});
            work += job.work;
        }
    };
    const Pass onTime = runPass(std::move(jobs), waitInOrder, m_settings.maxDisplaced);
    place(onTime, waitInOrder, false);
    for (const Job &job : onTime.dropped) {
        late.push_back(makeLateJob(job.index));
    }
    for (Job &job : late) {
        const CostEntry &entry = *entries[job.index];
        const RefusalFacts facts{
            now + entry.minLatency <= entry.latencyDeadline, entry.cameBack, now - entry.requestedAt, entry.latencyDeadline - entry.requestedAt};
        job.lossPerRoom = perRoom(lossIfRefused(m_settings.value, entry.value, facts), entry);
    }
    const Pass lateOnes = runPass(std::move(late), lateWait, m_settings.maxDisplaced);
    place(lateOnes, lateWait, true);
    for (const Job &job : lateOnes.dropped) {
        result.refused.push_back(job.index);
    }
    result.drainTime = drain.drainTime(begunWork + onTime.work + lateOnes.work, rates.total);
    return result;
}

} // namespace arbutus::routing
