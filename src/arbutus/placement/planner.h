// Plans which models are loaded on which upstreams of a failure domain, one command at a time.
//
// The planner performs no I/O: given the loaded models and the demand, it returns the next command, or none. Changes are
// damped: a shortage must persist before a load, and a surplus must persist longer before an unload. The last replica of a
// model is never unloaded. Upstreams that ignore fencing tokens only get loads, or unloads while enough other replicas
// remain, so that the effect of a delayed command from a former lease holder can be corrected after the next state read.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/core/ids.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace arbutus::placement {

/// Request rate of a model in the failure domain.
struct ModelDemand
{
    core::ModelId model;
    double requestsPerSecond = 0;

    bool operator==(const ModelDemand &) const = default;
};

/// State of an upstream, as input to the planner.
struct EngineState
{
    core::UpstreamId id;
    std::set<core::ModelId> models; // loaded models, as reported by the upstream
    std::uint32_t slots = 16;
    std::uint32_t inFlight = 0; // running requests
    bool usable = true;         // reachable and not draining
    bool checksFencing = false;
};

enum class PlacementCommandKind {
    Load,
    Unload,
};

/// A command to an upstream. Idempotent, because it states the desired state.
struct PlacementCommand
{
    core::UpstreamId upstream;
    PlacementCommandKind kind = PlacementCommandKind::Load;
    core::ModelId model;

    bool operator==(const PlacementCommand &) const = default;
};

struct PlannerSettings
{
    double secondsPerRequest = 0.6;                          // time that a request occupies a slot
    double headroom = 1.3;                                   // factor of capacity over demand
    std::size_t maxModelsPerEngine = 2;                      // loaded at the same time
    core::Duration scaleUpDelay = std::chrono::seconds(10);  // minimum duration of a shortage before a load
    core::Duration scaleDownDelay = std::chrono::minutes(5); // minimum duration of a surplus before an unload
    std::size_t minRemainingReplicas = 2;                    // other replicas required for an unload from an upstream that ignores fencing
};

/// The planner of one failure domain.
class Planner
{
public:
    explicit Planner(PlannerSettings settings);

    /// Next command; nullopt if no change is needed or a change is still being damped.
    [[nodiscard]] std::optional<PlacementCommand>
    nextCommand(const std::vector<EngineState> &engines, const std::vector<ModelDemand> &demand, core::TimePoint now);
    /// Number of replicas needed to serve a request rate.
    [[nodiscard]] std::size_t replicasNeeded(double requestsPerSecond, std::uint32_t slotsPerEngine) const;

private:
    /// Whether a condition of a model has been active for at least `minDuration`; keeps its start time in `since`.
    [[nodiscard]] bool
    hasPersisted(std::map<core::ModelId, core::TimePoint> &since, const core::ModelId &model, bool active, core::TimePoint now, core::Duration minDuration);
    /// Loads the model on the least busy engine; if none has capacity, unloads a surplus replica first.
    [[nodiscard]] std::optional<PlacementCommand>
    planLoad(const core::ModelId &model, const std::vector<EngineState> &engines, const std::map<core::ModelId, std::size_t> &surplus) const;
    [[nodiscard]] std::optional<PlacementCommand> planUnload(const core::ModelId &model, const std::vector<EngineState> &engines, std::size_t replicas) const;

    PlannerSettings m_settings;
    std::map<core::ModelId, core::TimePoint> m_shortageSince;
    std::map<core::ModelId, core::TimePoint> m_surplusSince;
};

} // namespace arbutus::placement
