// Plan of a service's queue by what waiting costs callers: who is served on time, who late, who is refused now.
//
// Load that it answers: demand exceeds capacity for seconds (a burst of 2.6 times of the long kind, a quarter of the engines lost, callers
// that retry at once). Ordered by deadline alone, requests then are all served just when they are late. The plan serves on time as many as
// the placement rate allows. The ones that yield are those whose lateness costs least for the room they take. They are served
// after the others, as long as that is predicted to be before they are worthless. Of those for which that is not so, the ones whose
// refusal costs least for their room are refused at once.
//
// Sections:
//   CostEntry   what the plan depends on
//   CostOrder
//
// Q: Which algorithm?
// A: That of Moore and Hodgson, with weights: take the requests in order of deadline, and whenever one would miss its deadline, drop the one
//    with the least loss per room of those planned so far. It is optimal for equal weights and a good approximation otherwise, in
//    O(n log n). The first pass has the latency deadlines and drops to the second, which has the response deadlines and drops to refusal.
//
// Q: How long does an overload last?
// A: Nobody knows. For the predicted wait of late requests it is expected to go on for as long again as it has lasted; after that they
//    get the whole rate. So few are refused in a short burst, and what cannot be served is refused at once in a long one.
//
// Q: What about priorities?
// A: Between priorities the order is strict, among those on time and among those that are late, and a request only displaces requests of
//    its own priority. So a less urgent kind is not served better than a more urgent one.
//
// Q: What keeps small, cached requests from starving others?
// A: `boost`, from the shares that are served of each kind and size, and the refusals of each session (servedshares.h, heldplaces.h).
//
// No clock: the caller passes in the current time.

#pragma once

#include "arbutus/routing/placementrate.h"
#include "arbutus/routing/servicevalue.h"
#include "arbutus/routing/upstreamestimator.h"

#include <span>
#include <vector>

namespace arbutus::routing {

//-----------------------------------------------------------------------------
// CostEntry
//-----------------------------------------------------------------------------

/// What the plan depends on for one queued request.
struct CostEntry
{
    PlacementId id;
    bool hasBegun = false; // its stream has begun: it goes first, and is never refused for its cost
    int priority = 0;      // 0 is most urgent
    core::TimePoint requestedAt{};
    core::TimePoint latencyDeadline{};
    core::TimePoint responseDeadline{};
    core::Duration minLatency{}; // smallest unloaded time to the first event
    double work = 0;             // in the units of the placement rate
    double value = 1;            // worth of a response on time
    core::Duration room{};       // that serving it takes
    bool cameBack = false;       // was refused before, and has come back when it was told to
    double boost = 1;            // factor on its losses, from what its kind, size and session have been refused
};

//-----------------------------------------------------------------------------
// CostOrder
//-----------------------------------------------------------------------------

struct CostOrderSettings
{
    ServiceValueSettings value;
    double plannedSlackRatio = 0.6; // of the time until a request is late; the rest allows for errors of the predicted rate
    double overloadFactor = 1;      // an overload is expected to last for that many times its present duration
    double maxHoldRatio = 0.7;      // of the time until a response is worthless; a request that is held for longer costs more than it gains
    std::size_t maxDisplaced = 4;   // requests that one request may displace
    core::Duration minRoom = std::chrono::microseconds(100); // lower bound of the room that a request takes
};

/// `served` and `refused` are indexes of the entries passed in.
struct CostPlan
{
    struct Place
    {
        std::size_t index = 0;
        core::Duration predictedWait{};
        bool late = false;
    };
    std::vector<Place> served; // in the order of service
    std::vector<std::size_t> refused;
    core::Duration drainTime{}; // until all that are served have been placed
};

class CostOrder
{
public:
    explicit CostOrder(CostOrderSettings settings = {});

    /// The entries are those of one service; `drain` predicts waits from `rates`.
    [[nodiscard]] CostPlan plan(std::span<const CostEntry *const> entries, const PlacementRates &drain, const QueueRates &rates, core::TimePoint now) const;
    [[nodiscard]] const CostOrderSettings &settings() const
    {
        return m_settings;
    }

private:
    CostOrderSettings m_settings;
};

} // namespace arbutus::routing
