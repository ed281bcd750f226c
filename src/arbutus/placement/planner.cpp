// Needs, surpluses and the choice of an engine.

#include "arbutus/placement/planner.h"

#include <algorithm>
#include <cmath>

namespace arbutus::placement {

Planner::Planner(PlannerSettings settings)
    : m_settings(settings)
{
}

std::size_t Planner::replicasNeeded(double requestsPerSecond, std::uint32_t slots) const
{
    if (requestsPerSecond <= 0) {
        return 0;
    }
    const double busySlots = requestsPerSecond * m_settings.secondsPerRequest * m_settings.headroom;
    return static_cast<std::size_t>(std::ceil(busySlots / std::max<std::uint32_t>(1, slots)));
}

bool Planner::lasted(std::map<core::ModelId, core::TimePoint> &since, const core::ModelId &model, bool now, core::TimePoint at, core::Duration length)
{
    if (!now) {
        since.erase(model);
        return false;
    }
    return at - since.try_emplace(model, at).first->second >= length;
}

std::optional<PlacementCommand> Planner::nextCommand(const std::vector<EngineState> &engines, const std::vector<ModelDemand> &demand, core::TimePoint now)
{
    std::map<core::ModelId, std::size_t> copies;
    std::map<core::ModelId, double> asked;
    std::uint32_t slots = 16;
    for (const EngineState &engine : engines) {
        slots = engine.slots;
        for (const core::ModelId &model : engine.models) {
            copies[model] += engine.usable ? 1 : 0;
            asked.try_emplace(model, 0);
        }
    }
    for (const ModelDemand &item : demand) {
        asked[item.model] += item.requestsPerSecond;
    }
    std::map<core::ModelId, std::size_t> surplus; // lasting, beyond what is needed and the last copy
    std::vector<core::ModelId> wanted;
    for (const auto &[model, rate] : asked) {
        const std::size_t needed = replicasNeeded(rate, slots);
        const std::size_t keep = std::max<std::size_t>(1, needed);
        if (lasted(m_surplusSince, model, copies[model] > keep, now, m_settings.scaleDownDelay)) {
            surplus[model] = copies[model] - keep;
        }
        if (lasted(m_shortSince, model, needed > copies[model], now, m_settings.scaleUpDelay)) {
            wanted.push_back(model);
        }
    }
    std::sort(wanted.begin(), wanted.end(), [&](const auto &left, const auto &right) { return asked[left] > asked[right]; });
    for (const core::ModelId &model : wanted) {
        if (auto order = loadFor(model, engines, surplus)) {
            return order;
        }
    }
    for (const auto &[model, count] : surplus) {
        if (auto order = unloadOf(model, engines, copies[model])) {
            return order;
        }
    }
    return std::nullopt;
}

std::optional<PlacementCommand>
Planner::loadFor(const core::ModelId &model, const std::vector<EngineState> &engines, const std::map<core::ModelId, std::size_t> &surplus) const
{
    const EngineState *best = nullptr;
    for (const EngineState &engine : engines) {
        const bool room = engine.usable && !engine.models.contains(model) && engine.models.size() < m_settings.maxModelsPerEngine;
        if (room && (best == nullptr || engine.inFlight < best->inFlight)) {
            best = &engine;
        }
    }
    if (best != nullptr) {
        return PlacementCommand{best->id, PlacementCommandKind::Load, model};
    }
    for (const auto &[other, count] : surplus) { // no room anywhere: make some
        if (auto order = unloadOf(other, engines, count + 1)) {
            return order;
        }
    }
    return std::nullopt;
}

std::optional<PlacementCommand> Planner::unloadOf(const core::ModelId &model, const std::vector<EngineState> &engines, std::size_t copies) const
{
    const EngineState *best = nullptr;
    for (const EngineState &engine : engines) {
        const bool mayUnload = copies > 1 && (engine.checksFencing || copies > m_settings.minRemainingReplicas);
        if (engine.usable && engine.models.contains(model) && mayUnload && (best == nullptr || engine.inFlight < best->inFlight)) {
            best = &engine;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(PlacementCommand{best->id, PlacementCommandKind::Unload, model});
}

} // namespace arbutus::placement
