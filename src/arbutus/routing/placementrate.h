// Rate at which the queued requests of each service are placed, and the waits that follow from it.
//
// Load pattern: demand exceeds capacity for seconds, as in a burst beside a crash of a quarter of the engines. The estimated capacity then
// says too little: slots, memory and failing upstreams bound what is placed. So once requests have been queued for a while, the measured
// rate counts. Requests that have missed their latency deadline come after all that can still meet it, also after those that arrive from
// now on. They get only the part of the rate that arrivals leave over, and one that would not be served by that is refused when this is
// known, not at its deadline.
//
// Work is counted in units: uncached tokens, or requests of a plain service.
//
// Sections:
//   PlacementRateSettings
//   PlacementRates
//
// No clock: the caller passes in the current time.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/core/ids.h"

#include <cstdint>
#include <map>

namespace arbutus::routing {

//-----------------------------------------------------------------------------
// PlacementRateSettings
//-----------------------------------------------------------------------------

struct PlacementRateSettings
{
    core::Duration timeConstant = std::chrono::milliseconds(1'000); // of the moving average of the placement rate
    core::Duration minBusyTime = std::chrono::milliseconds(600);    // requests must have been queued for this long before the measured rate is used
    core::Duration maxPredictedWait = std::chrono::seconds(60);     // upper bound of predicted waits
    core::Duration arrivalPeriod = std::chrono::milliseconds(250);  // arrivals of this period and the one before count
    double minSpareRatio = 0.1;                                     // of the placement rate, for requests past their latency deadline
    double placedWorkWeight = 0.05;                                 // weight of one placement in the mean work of a request
    double cacheMissRatioWeight = 0.02;                             // weight of one prompt in the cache miss ratio
};

//-----------------------------------------------------------------------------
// PlacementRates
//-----------------------------------------------------------------------------

/// Rates at which a queue is served.
struct QueueRates
{
    double total = 0;         // work units per millisecond
    double spare = 0;         // the part that arriving requests leave over
    core::Duration busyFor{}; // requests have been queued for so long
};

/// What the wait of a queued request follows from.
struct WaitFactors
{
    core::TimePoint latencyDeadline{};
    core::Duration minLatency{}; // smallest unloaded time to the first event
    double workAhead = 0;        // of requests that go before it
};

class PlacementRates
{
public:
    explicit PlacementRates(PlacementRateSettings settings = {});

    /// A new request, placed or queued.
    void recordArrival(const core::ServiceId &service, double work, core::TimePoint now);
    /// A queued request begins a busy period of its service, unless one is under way.
    void recordQueued(const core::ServiceId &service, core::TimePoint now);
    void recordPlacement(const core::ServiceId &service, double work, core::TimePoint now);
    /// `ratio`: share of a long prompt's tokens that was not cached where it was placed.
    void recordCacheMiss(const core::ServiceId &service, double ratio);
    /// Ends the busy period of each service for which `isQueued` is false.
    template<typename IsQueued>
    void endBusyPeriods(const IsQueued &isQueued)
    {
        for (auto &[service, row] : m_rows) {
            if (row.queuedSince != core::TimePoint{} && !isQueued(service)) {
                row.queuedSince = core::TimePoint{};
            }
        }
    }

    /// Work units that can be placed per millisecond: `capacity`, or the measured rate if that is lower. The measured rate counts only
    /// after requests have been queued for `minBusyTime`.
    [[nodiscard]] double estimate(const core::ServiceId &service, double capacity, core::TimePoint now) const;
    [[nodiscard]] QueueRates estimateQueueRates(const core::ServiceId &service, double capacity, core::TimePoint now) const;
    /// Time until `work` is placed; zero if that cannot be predicted, for lack of a healthy upstream.
    [[nodiscard]] core::Duration drainTime(double work, double rate) const;
    /// Wait of a request that new requests overtake once it has missed its latency deadline.
    [[nodiscard]] core::Duration predictWait(const WaitFactors &factors, const QueueRates &rates, core::TimePoint now) const;
    /// Mean work of a placed request; 0: none yet.
    [[nodiscard]] double meanWork(const core::ServiceId &service) const;
    /// Moving average of what recordCacheMiss() was told; 1 at first.
    [[nodiscard]] double cacheMissRatio(const core::ServiceId &service) const;

private:
    struct Row
    {
        double placedWork = 0; // decays with the time constant
        core::TimePoint updatedAt{};
        core::TimePoint queuedSince{}; // the queue has not been empty since then
        double arrivedWork = 0;        // since `arrivalsSince`
        double arrivedWorkBefore = 0;  // in the period before
        core::TimePoint arrivalsSince{};
        double meanWork = 0;
        double cacheMissRatio = 1;
    };
    [[nodiscard]] const Row &rowOf(const core::ServiceId &service) const;
    /// Whether requests have been queued for so long that measured rates count.
    [[nodiscard]] bool isBusy(const Row &row, core::TimePoint now) const;

    PlacementRateSettings m_settings;
    std::map<core::ServiceId, Row> m_rows;
};

} // namespace arbutus::routing
