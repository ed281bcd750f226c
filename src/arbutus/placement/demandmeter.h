// Request rate per model: a local moving average plus the rates reported by the other instances of the failure domain.

#pragma once

#include "arbutus/placement/planner.h"

#include <map>
#include <string>

namespace arbutus::placement {

/// Demand meter of one instance.
class DemandMeter
{
public:
    void recordRequest(const core::ModelId &model, core::TimePoint now);
    void updateRemoteDemand(const std::string &instance, const std::vector<ModelDemand> &demand, core::TimePoint now);
    [[nodiscard]] std::vector<ModelDemand> localDemand(core::TimePoint now) const;
    /// Local demand followed by recent remote reports; a model may occur more than once.
    [[nodiscard]] std::vector<ModelDemand> domainDemand(core::TimePoint now) const;

private:
    struct Rate
    {
        double requestsPerSecond = 0;
        core::TimePoint updatedAt{};
    };
    struct RemoteDemand
    {
        std::vector<ModelDemand> demand;
        core::TimePoint receivedAt{};
    };
    std::map<core::ModelId, Rate> m_localRates;
    std::map<std::string, RemoteDemand> m_remoteDemand;
};

} // namespace arbutus::placement
