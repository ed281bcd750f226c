// Moving averages.

#include "arbutus/placement/demandmeter.h"

#include <cmath>

namespace arbutus::placement {

namespace {

constexpr double AverageSeconds = 10.0;                         // time constant
constexpr core::Duration HeardStale = std::chrono::seconds(10); // then it is no demand
constexpr double LeastDemand = 0.05;                            // requests a second; less is not told

double decayed(double rate, core::TimePoint at, core::TimePoint now)
{
    return rate * std::exp(-std::chrono::duration<double>(now - at).count() / AverageSeconds);
}

} // namespace

void DemandMeter::recordRequest(const core::ModelId &model, core::TimePoint now)
{
    Rate &rate = m_own[model];
    rate.requestsPerSecond = decayed(rate.requestsPerSecond, rate.at, now) + 1 / AverageSeconds;
    rate.at = now;
}

void DemandMeter::updateRemoteDemand(const std::string &instance, const std::vector<ModelDemand> &demand, core::TimePoint now)
{
    m_others[instance] = Heard{demand, now};
}

std::vector<ModelDemand> DemandMeter::localDemand(core::TimePoint now) const
{
    std::vector<ModelDemand> out;
    for (const auto &[model, rate] : m_own) {
        const double current = decayed(rate.requestsPerSecond, rate.at, now);
        if (current >= LeastDemand) {
            out.push_back(ModelDemand{model, current});
        }
    }
    return out;
}

std::vector<ModelDemand> DemandMeter::domainDemand(core::TimePoint now) const
{
    std::vector<ModelDemand> out = localDemand(now);
    for (const auto &[instance, heard] : m_others) {
        if (now - heard.at < HeardStale) {
            out.insert(out.end(), heard.demand.begin(), heard.demand.end());
        }
    }
    return out;
}

} // namespace arbutus::placement
