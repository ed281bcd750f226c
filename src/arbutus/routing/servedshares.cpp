// Decaying counts by kind and size.

#include "arbutus/routing/servedshares.h"

#include <algorithm>
#include <cmath>

namespace arbutus::routing {

namespace {

constexpr double FifthQuantile = 0.7;
constexpr double TenthQuantile = 0.9;

} // namespace

ServedShares::ServedShares(ServedSharesSettings settings)
    : m_settings(settings)
{
}

std::size_t ServedShares::sizeClassOf(const Kind &kind, double size)
{
    if (size <= kind.largestFifthBound) {
        return 0;
    }
    return size <= kind.largestTenthBound ? 1 : 2;
}

const ServedShares::Kind *ServedShares::findKind(const core::ServiceId &service, const KindId &kind) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return nullptr;
    }
    const auto row = found->second.kinds.find(kind);
    return row == found->second.kinds.end() ? nullptr : &row->second;
}

void ServedShares::decay(Service &service, core::TimePoint now) const
{
    const core::Duration elapsed = now - service.decayedAt;
    if (elapsed < m_settings.timeConstant / 100) {
        return;
    }
    const double factor = std::exp(-static_cast<double>(elapsed.count()) / static_cast<double>(m_settings.timeConstant.count()));
    const auto scale = [factor](Count &count) {
        count.served *= factor;
        count.all *= factor;
    };
    scale(service.total);
    for (auto &[id, kind] : service.kinds) {
        scale(kind.total);
        std::for_each(kind.bySize.begin(), kind.bySize.end(), scale);
    }
    service.decayedAt = now;
}

void ServedShares::recordSize(const core::ServiceId &service, const KindId &kind, double size)
{
    Kind &row = m_services[service].kinds[kind];
    if (row.meanSize <= 0) {
        row.meanSize = size;
        row.largestFifthBound = size;
        row.largestTenthBound = size;
        return;
    }
    row.meanSize += m_settings.meanWeight * (size - row.meanSize);
    const double step = m_settings.quantileStep * row.meanSize;
    const auto adapt = [&](double &bound, double quantile) { bound += step * (size > bound ? quantile : quantile - 1); };
    adapt(row.largestFifthBound, FifthQuantile);
    adapt(row.largestTenthBound, TenthQuantile);
    row.largestTenthBound = std::max(row.largestTenthBound, row.largestFifthBound);
}

void ServedShares::record(const core::ServiceId &service, const KindId &kind, double size, ServedOutcome outcome, core::TimePoint now)
{
    Service &counts = m_services[service];
    decay(counts, now);
    Kind &row = counts.kinds[kind];
    const auto add = [outcome](Count &count) {
        count.all += outcome == ServedOutcome::ServedAfterRefusal ? 0 : 1;
        count.served += outcome == ServedOutcome::Refused ? 0 : 1;
        count.all = std::max(count.all, count.served);
    };
    add(counts.total);
    add(row.total);
    add(row.bySize.at(sizeClassOf(row, size)));
}

double ServedShares::meanSize(const core::ServiceId &service, const KindId &kind) const
{
    const Kind *row = findKind(service, kind);
    return row == nullptr ? 0 : row->meanSize;
}

double ServedShares::boost(const core::ServiceId &service, const KindId &kind, double size) const
{
    const Kind *row = findKind(service, kind);
    if (row == nullptr) {
        return 1;
    }
    const Count &count = row->bySize.at(sizeClassOf(*row, size));
    const double target = m_settings.sizeTarget * row->total.share();
    if (count.all < m_settings.minCount || count.share() >= target) {
        return 1;
    }
    const double ratio = target / std::max(count.share(), target / m_settings.maxBoost);
    return std::min(m_settings.maxBoost, ratio * ratio);
}

bool ServedShares::isNeglected(const core::ServiceId &service, const KindId &kind) const
{
    const Kind *row = findKind(service, kind);
    return row != nullptr && row->total.all >= m_settings.minCount && row->total.share() < m_settings.kindTarget * m_services.at(service).total.share();
}

} // namespace arbutus::routing
