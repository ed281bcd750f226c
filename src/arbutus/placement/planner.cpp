// Replica shortage and surplus, and the choice of the engine.

#include "arbutus/placement/planner.h"

#include <algorithm>
#include <cmath>

namespace arbutus::placement {

Planner::Planner(PlannerSettings settings)
    : m_settings(settings)
{
}

std::size_t Planner::replicasNeeded(double requestsPerSecond, std::uint32_t slotsPerEngine) const
{
    if (requestsPerSecond <= 0) {
        return 0;
    }
    const double busySlots = requestsPerSecond * m_settings.secondsPerRequest * m_settings.headroom;
    return static_cast<std::size_t>(std::ceil(busySlots / std::max<std::uint32_t>(1, slotsPerEngine)));
}

bool Planner::hasPersisted(
    std::map<core::ModelId, core::TimePoint> &since, const core::ModelId &model, bool active, core::TimePoint now, core::Duration minDuration)
{
    if (!active) {
        since.erase(model);
        return false;
    }
    return now - since.try_emplace(model, now).first->second >= minDuration;
}

std::optional<PlacementCommand> Planner::nextCommand(const std::vector<EngineState> &engines, const std::vector<ModelDemand> &demand, core::TimePoint now)
{
    std::map<core::ModelId, std::size_t> replicas;
    std::map<core::ModelId, double> requestRates;
    std::uint32_t slotsPerEngine = 16;
    for (const EngineState &engine : engines) {
        slotsPerEngine = engine.slots;
        for (const core::ModelId &model : engine.models) {
            replicas[model] += engine.usable ? 1 : 0;
            requestRates.try_emplace(model, 0);
        }
    }
    for (const ModelDemand &modelDemand : demand) {
        requestRates[modelDemand.model] += modelDemand.requestsPerSecond;
    }
    std::map<core::ModelId, std::size_t> surplus; // replicas above the needed number (at least one) for longer than scaleDownDelay
    std::vector<core::ModelId> underReplicated;
    for (const auto &[model, rate] : requestRates) {
        const std::size_t needed = replicasNeeded(rate, slotsPerEngine);
        const std::size_t replicasToKeep = std::max<std::size_t>(1, needed);
        if (hasPersisted(m_surplusSince, model, replicas[model] > replicasToKeep, now, m_settings.scaleDownDelay)) {
            surplus[model] = replicas[model] - replicasToKeep;
        }
        if (hasPersisted(m_shortageSince, model, needed > replicas[model], now, m_settings.scaleUpDelay)) {
            underReplicated.push_back(model);
        }
    }
    std::sort(underReplicated.begin(), underReplicated.end(), [&](const auto &left, const auto &right) { return requestRates[left] > requestRates[right]; });
    for (const core::ModelId &model : underReplicated) {
        if (auto command = planLoad(model, engines, surplus)) {
            return command;
        }
    }
    for (const auto &[model, count] : surplus) {
        if (auto command = planUnload(model, engines, replicas[model])) {
            return command;
        }
    }
    return std::nullopt;
}

std::optional<PlacementCommand>
Planner::planLoad(const core::ModelId &model, const std::vector<EngineState> &engines, const std::map<core::ModelId, std::size_t> &surplus) const
{
    const EngineState *best = nullptr;
    for (const EngineState &engine : engines) {
        const bool hasCapacity = engine.usable && !engine.models.contains(model) && engine.models.size() < m_settings.maxModelsPerEngine;
        if (hasCapacity && (best == nullptr || engine.inFlight < best->inFlight)) {
            best = &engine;
        }
    }
    if (best != nullptr) {
        return PlacementCommand{best->id, PlacementCommandKind::Load, model};
    }
    for (const auto &[other, count] : surplus) { // no engine has capacity: unload a surplus replica first
        if (auto command = planUnload(other, engines, count + 1)) {
            return command;
        }
    }
    return std::nullopt;
}

std::optional<PlacementCommand> Planner::planUnload(const core::ModelId &model, const std::vector<EngineState> &engines, std::size_t replicas) const
{
    const EngineState *best = nullptr;
    for (const EngineState &engine : engines) {
        const bool mayUnload = replicas > 1 && (engine.checksFencing || replicas > m_settings.minRemainingReplicas);
        if (engine.usable && engine.models.contains(model) && mayUnload && (best == nullptr || engine.inFlight < best->inFlight)) {
            best = &engine;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(PlacementCommand{best->id, PlacementCommandKind::Unload, model});
}

} // namespace arbutus::placement
