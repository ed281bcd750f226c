// Which model goes onto which upstream of a failure domain, one order at a time.
//
// Pure planning: it is told what is loaded and what is asked for, and names the next order, or none. Changes are damped: a
// need must last before a load, and a surplus must last longer before an unload. The last copy of a model is never
// unloaded. Upstreams that ignore fencing numbers get loads only, or unloads with copies to spare, so that a late order of
// a former controller does no harm that the next reading of their state does not mend.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/core/ids.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace arbutus::placement {

/// What is asked of a model in the domain.
struct ModelDemand
{
    core::ModelId model;
    double requestsPerSecond = 0;

    bool operator==(const ModelDemand &) const = default;
};

/// An upstream as the planner sees it.
struct EngineState
{
    core::UpstreamId id;
    std::set<core::ModelId> models; // loaded, as read back from it
    std::uint32_t slots = 16;
    std::uint32_t inFlight = 0; // requests inside
    bool usable = true;         // reachable, not leaving
    bool checksFencing = false;
};

enum class PlacementCommandKind {
    Load,
    Unload,
};

/// One order to an upstream. Idempotent: it names the state that is wanted.
struct PlacementCommand
{
    core::UpstreamId upstream;
    PlacementCommandKind kind = PlacementCommandKind::Load;
    core::ModelId model;

    bool operator==(const PlacementCommand &) const = default;
};

struct PlannerSettings
{
    double secondsPerRequest = 0.6;                          // of one slot
    double headroom = 1.3;                                   // capacity over demand
    std::size_t maxModelsPerEngine = 2;                      // loaded at once
    core::Duration scaleUpDelay = std::chrono::seconds(10);  // a need lasts so long before a load
    core::Duration scaleDownDelay = std::chrono::minutes(5); // a surplus lasts so long before an unload
    std::size_t minRemainingReplicas = 2;                    // others, before an unload where fencing is ignored
};

/// The planner of one failure domain.
class Planner
{
public:
    explicit Planner(PlannerSettings settings);

    /// Next order; nothing when all is as it should be or damping says wait.
    [[nodiscard]] std::optional<PlacementCommand>
    nextCommand(const std::vector<EngineState> &engines, const std::vector<ModelDemand> &demand, core::TimePoint now);
    /// Copies that a demand needs.
    [[nodiscard]] std::size_t replicasNeeded(double requestsPerSecond, std::uint32_t slots) const;

private:
    [[nodiscard]] bool lasted(std::map<core::ModelId, core::TimePoint> &since, const core::ModelId &model, bool now, core::TimePoint at, core::Duration length);
    [[nodiscard]] std::optional<PlacementCommand>
    loadFor(const core::ModelId &model, const std::vector<EngineState> &engines, const std::map<core::ModelId, std::size_t> &surplus) const;
    [[nodiscard]] std::optional<PlacementCommand> unloadOf(const core::ModelId &model, const std::vector<EngineState> &engines, std::size_t copies) const;

    PlannerSettings m_settings;
    std::map<core::ModelId, core::TimePoint> m_shortSince;
    std::map<core::ModelId, core::TimePoint> m_surplusSince;
};

} // namespace arbutus::placement
