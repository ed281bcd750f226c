// Requests a second by model: own, as a moving average, and as the domain's other instances tell.

#pragma once

#include "arbutus/placement/planner.h"

#include <map>
#include <string>

namespace arbutus::placement {

/// Meter of one instance.
class DemandMeter
{
public:
    void recordRequest(const core::ModelId &model, core::TimePoint now);
    void updateRemoteDemand(const std::string &instance, const std::vector<ModelDemand> &demand, core::TimePoint now);
    [[nodiscard]] std::vector<ModelDemand> localDemand(core::TimePoint now) const;
    /// Own and what was heard freshly.
    [[nodiscard]] std::vector<ModelDemand> domainDemand(core::TimePoint now) const;

private:
    struct Rate
    {
        double requestsPerSecond = 0;
        core::TimePoint at{};
    };
    struct Heard
    {
        std::vector<ModelDemand> demand;
        core::TimePoint at{};
    };
    std::map<core::ModelId, Rate> m_own;
    std::map<std::string, Heard> m_others;
};

} // namespace arbutus::placement
