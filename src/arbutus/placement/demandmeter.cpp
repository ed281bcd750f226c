// Exponentially decaying request rates.

#include "arbutus/placement/demandmeter.h"

#include <cmath>

namespace arbutus::placement {

namespace {

constexpr double RateTimeConstantSeconds = 10.0;                        // time constant of the moving average
constexpr core::Duration RemoteDemandMaxAge = std::chrono::seconds(10); // older reports are ignored
constexpr double MinReportedDemand = 0.05;                              // requests per second; lower demand is not reported

double decayedRate(double rate, core::TimePoint updatedAt, core::TimePoint now)
{
    return rate * std::exp(-std::chrono::duration<double>(now - updatedAt).count() / RateTimeConstantSeconds);
}

} // namespace

void DemandMeter::recordRequest(const core::ModelId &model, core::TimePoint now)
{
    Rate &rate = m_localRates[model];
    rate.requestsPerSecond = decayedRate(rate.requestsPerSecond, rate.updatedAt, now) + 1 / RateTimeConstantSeconds;
    rate.updatedAt = now;
}

void DemandMeter::updateRemoteDemand(const std::string &instance, const std::vector<ModelDemand> &demand, core::TimePoint now)
{
    m_remoteDemand[instance] = RemoteDemand{demand, now};
}

std::vector<ModelDemand> DemandMeter::localDemand(core::TimePoint now) const
{
    std::vector<ModelDemand> demands;
    for (const auto &[model, rate] : m_localRates) {
        const double current = decayedRate(rate.requestsPerSecond, rate.updatedAt, now);
        if (current >= MinReportedDemand) {
            demands.push_back(ModelDemand{model, current});
        }
    }
    return demands;
}

std::vector<ModelDemand> DemandMeter::domainDemand(core::TimePoint now) const
{
    std::vector<ModelDemand> demands = localDemand(now);
    for (const auto &[instance, remote] : m_remoteDemand) {
        if (now - remote.receivedAt < RemoteDemandMaxAge) {
            demands.insert(demands.end(), remote.demand.begin(), remote.demand.end());
        }
    }
    return demands;
}

} // namespace arbutus::placement
