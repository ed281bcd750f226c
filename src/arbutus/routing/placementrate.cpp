// Moving averages of placements and arrivals, and the waits that follow from them.

#include "arbutus/routing/placementrate.h"

#include <algorithm>
#include <cmath>

namespace arbutus::routing {

PlacementRates::PlacementRates(PlacementRateSettings settings)
    : m_settings(settings)
{
}

const PlacementRates::Row &PlacementRates::rowOf(const core::ServiceId &service) const
{
    static const Row empty;
    const auto found = m_rows.find(service);
    return found == m_rows.end() ? empty : found->second;
}

bool PlacementRates::isBusy(const Row &row, core::TimePoint now) const
{
    return row.queuedSince != core::TimePoint{} && now - row.queuedSince >= m_settings.minBusyTime;
}

void PlacementRates::recordArrival(const core::ServiceId &service, double work, core::TimePoint now)
{
    Row &row = m_rows[service];
    const core::Duration elapsed = now - row.arrivalsSince;
    if (elapsed >= m_settings.arrivalPeriod) {
        row.arrivedWorkBefore = elapsed < 2 * m_settings.arrivalPeriod ? row.arrivedWork : 0;
        row.arrivedWork = 0;
        row.arrivalsSince = now;
    }
    row.arrivedWork += work;
}

void PlacementRates::recordQueued(const core::ServiceId &service, core::TimePoint now)
{
    Row &row = m_rows[service];
    if (row.queuedSince == core::TimePoint{}) {
        row.queuedSince = now;
    }
}

void PlacementRates::recordPlacement(const core::ServiceId &service, double work, core::TimePoint now)
{
    Row &row = m_rows[service];
    const double timeConstant = static_cast<double>(m_settings.timeConstant.count());
    row.placedWork *= std::exp(-static_cast<double>((now - row.updatedAt).count()) / timeConstant);
    row.placedWork += work;
    row.meanWork = row.meanWork == 0 ? work : row.meanWork + m_settings.placedWorkWeight * (work - row.meanWork);
    row.updatedAt = now;
}

void PlacementRates::recordCacheMiss(const core::ServiceId &service, double ratio)
{
    double &mean = m_rows[service].cacheMissRatio;
    mean += m_settings.cacheMissRatioWeight * (ratio - mean);
}

double PlacementRates::estimate(const core::ServiceId &service, double capacity, core::TimePoint now) const
{
    const Row &row = rowOf(service);
    if (!isBusy(row, now)) {
        return capacity;
    }
    const double timeConstant = static_cast<double>(m_settings.timeConstant.count());
    const double placedWork = row.placedWork * std::exp(-static_cast<double>((now - row.updatedAt).count()) / timeConstant);
    return std::min(capacity, placedWork / (timeConstant / 1000));
}

QueueRates PlacementRates::estimateQueueRates(const core::ServiceId &service, double capacity, core::TimePoint now) const
{
    const double total = estimate(service, capacity, now);
    const Row &row = rowOf(service);
    const core::Duration elapsed = now - row.arrivalsSince;
    if (!isBusy(row, now) || elapsed >= 2 * m_settings.arrivalPeriod) {
        return QueueRates{total, total, {}};
    }
    const bool isOver = elapsed >= m_settings.arrivalPeriod;
    const double work = row.arrivedWork + (isOver ? 0 : row.arrivedWorkBefore);
    const core::Duration period = isOver ? elapsed : elapsed + m_settings.arrivalPeriod;
    const double arrivals = work * 1000 / static_cast<double>(period.count());
    return QueueRates{total, std::max(total - arrivals, m_settings.minSpareRatio * total), now - row.queuedSince};
}

core::Duration PlacementRates::drainTime(double work, double rate) const
{
    if (work <= 0 || rate <= 0) {
        return core::Duration::zero();
    }
    const auto maxWait = static_cast<double>(m_settings.maxPredictedWait.count());
    return core::Duration(static_cast<core::Duration::rep>(std::min(maxWait, work * 1000 / rate)));
}

core::Duration PlacementRates::predictWait(const WaitFactors &factors, const QueueRates &rates, core::TimePoint now) const
{
    const core::Duration inOrder = drainTime(factors.workAhead, rates.total);
    const core::Duration untilLate = std::max(core::Duration::zero(), factors.latencyDeadline - factors.minLatency - now);
    if (inOrder <= untilLate) {
        return inOrder;
    }
    const double workLeft = factors.workAhead - rates.total * static_cast<double>(untilLate.count()) / 1000;
    return untilLate + drainTime(workLeft, rates.spare);
}

double PlacementRates::meanWork(const core::ServiceId &service) const
{
    return rowOf(service).meanWork;
}

double PlacementRates::cacheMissRatio(const core::ServiceId &service) const
{
    return rowOf(service).cacheMissRatio;
}

} // namespace arbutus::routing
