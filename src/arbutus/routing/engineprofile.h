// What the engines of a service can do, learned from their traffic: prefill rate, time of a step, its cost for each request in the
// batch, the pause that prefill adds to it, and the delay before a first event that does not depend on the prompt.
//
// Each completed observation is compared with what the figures predict for the same work. The logarithm of the ratio is shared out over the
// figures by their shares of the predicted time, as in a recursive least squares fit of the logarithms. So a figure is positive, errors
// of a factor of ten above and below weigh the same, and no figure needs a bound.
//
// An engine's figures are those of its service, corrected by as much as the engine's own traffic shows: without any traffic they are
// the service's, and old evidence fades. The service's are learned over all of its engines. They start from EngineFigures' defaults.
//
// No sockets, threads or clock.
//
// Sections:
//   Figures and observations
//   Evidence                  fit of the figures' logarithms
//   Service profile
//   Engine profile
//   Engine profiles           of all services; what is exchanged between instances
//
// Q: Why not one factor for each engine?
// A: A factor on constants keeps their ratios. Engines that read prompts 2.5 times faster than others take half the time for a step, but
//    four times as long for each request in it; under a common factor either first events or streams are predicted wrongly.
//
// Q: What if an engine is slow for a moment, or reads again what was thought to be cached?
// A: Observations far from the prediction count less, by the doubt that is left. If all observations stay far off in the same direction
//    for longer than such a moment, the engine has changed: its earlier evidence is mostly dropped.
//
// Q: What does a restarted engine start from?
// A: From its service's figures, like a new one. Profiles that other instances report name the run that they were learned from.
//
// Q: Could profiles that instances exchange confirm each other without any traffic?
// A: No. An instance reports only what it has evidence for itself, and what it was told stays apart from that, with a doubt of its own.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/core/ids.h"
#include "arbutus/routing/upstreamregistry.h"

#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace arbutus::routing {

//-----------------------------------------------------------------------------
// Figures and observations
//-----------------------------------------------------------------------------

using FractionalMs = std::chrono::duration<double, std::milli>;

[[nodiscard]] inline FractionalMs toFractionalMs(core::Duration duration)
{
    return duration;
}
[[nodiscard]] inline core::Duration toDuration(FractionalMs time)
{
    return std::chrono::duration_cast<core::Duration>(time);
}

/// What an engine can do.
struct EngineFigures
{
    double prefillTokensPerMs = 36;
    FractionalMs step{6};              // one decode step, which makes one token for each request, without prefill
    FractionalMs stepPerRequest{0.03}; // added for each other request in flight
    FractionalMs pause{50};            // added to a step that prefill runs beside
    FractionalMs firstEventDelay{10};  // before a first event, beside prefill and steps: admission and network

    bool operator==(const EngineFigures &) const = default;
};

constexpr std::size_t FigureCount = 5;
using FigureVector = std::array<double, FigureCount>; // one value for each figure, in the order of EngineFigures
using FigureMatrix = std::array<FigureVector, FigureCount>;

/// Work whose time is predicted or was observed.
struct EngineWork
{
    double prefillTokens = 0; // of the request and those before it
    double steps = 0;
    double otherRequests = 0;      // in flight, mean
    double prefillUtilization = 0; // share of the engine's time spent on prefill beside the steps, 0 to 1
    double firstEvents = 0;        // 1 if the work ends with a first event
};

/// How long some work took.
struct EngineObservation
{
    EngineWork work;
    FractionalMs time{};
    FractionalMs doubt{}; // of the time, beside the usual noise
};

[[nodiscard]] FractionalMs predictTime(const EngineFigures &figures, const EngineWork &work);

struct EngineProfileSettings
{
    EngineFigures initial; // of a service without evidence

    //--- Doubts, as standard deviations of the logarithm of a time
    double initialCommonDoubt = 1.5;   // of the initial figures, common to all
    double initialFigureDoubt = 1.0;   // of the initial figures, each
    double speedSpread = 0.5;          // of the speeds of a service's engines
    double figureSpread = 0.15;        // of the figures of a service's engines beside that
    double reportedServiceDoubt = 0.3; // of a service's figures in another region, beside their own doubt
    double reportedEngineDoubt = 0.15; // of an engine's reported figures, beside their own doubt

    //--- Observations
    double relativeNoise = 0.25;     // of an observed time
    FractionalMs absoluteNoise{5};   // network and scheduling
    double outlierLimit = 1.5;       // in standard deviations; further ones count less
    FractionalMs maxTime{120'000};   // longer ones are rejected
    double engineRetention = 0.97;   // of an engine's evidence at each observation
    double serviceRetention = 0.998; // of a service's

    //--- Changes of an engine
    core::Duration changePeriod = std::chrono::milliseconds(1'200); // all observations of this period are off in the same direction
    int changeObservations = 6;                                     // at least
    double changeRetention = 0.05;                                  // of the evidence after a change

    double minReportedEvidence = 8; // observations, after fading; less is not reported
};

//-----------------------------------------------------------------------------
// Evidence
//-----------------------------------------------------------------------------

/// Logarithms of the figures, as times, and their covariance.
struct FigureEstimate
{
    FigureVector mean{};
    FigureMatrix covariance{};
};

/// Fading sum of observations, each of a linear combination of the logarithms.
struct FigureEvidence
{
    FigureMatrix precision{};
    FigureVector weighted{}; // precision times mean
    double count = 0;

    void fade(double retention);
    void add(const FigureVector &shares, double value, double weight);
};

//-----------------------------------------------------------------------------
// Service profile
//-----------------------------------------------------------------------------

/// Figures with the doubt of each, as the standard deviation of its logarithm.
struct ReportedFigures
{
    EngineFigures figures;
    FigureVector doubts{};
    double evidence = 0; // observations, after fading

    bool operator==(const ReportedFigures &) const = default;
};

/// Figures of a service's engines.
class ServiceProfile
{
public:
    explicit ServiceProfile(const EngineProfileSettings &settings);

    [[nodiscard]] const EngineFigures &figures() const
    {
        return m_figures;
    }
    [[nodiscard]] const FigureEstimate &estimate() const
    {
        return m_estimate;
    }
    /// Changes whenever the figures have changed noticeably.
    [[nodiscard]] std::uint64_t revision() const
    {
        return m_revision;
    }
    [[nodiscard]] const EngineProfileSettings &settings() const
    {
        return m_settings;
    }
    /// Takes an observation of `value`, the sum of the logarithms weighted by `shares`, at one of the engines.
    void record(const FigureVector &shares, double value, double variance);
    /// Takes what the dispatcher of a region has learned, in place of its last report.
    void adopt(const core::RegionId &region, const ReportedFigures &reported);
    /// What this instance has evidence for itself.
    [[nodiscard]] std::optional<ReportedFigures> report() const;

private:
    void update();

    EngineProfileSettings m_settings;
    FigureEvidence m_initial;
    FigureEvidence m_evidence; // of this instance
    std::map<core::RegionId, ReportedFigures> m_reported;
    FigureEstimate m_estimate;
    EngineFigures m_figures;
    FigureVector m_meanAtRevision{};
    std::uint64_t m_revision = 0;
};

//-----------------------------------------------------------------------------
// Engine profile
//-----------------------------------------------------------------------------

/// Figures of one run of an engine.
class EngineProfile
{
public:
    explicit EngineProfile(std::shared_ptr<ServiceProfile> service);

    [[nodiscard]] const EngineFigures &figures() const;
    [[nodiscard]] FractionalMs predict(const EngineWork &work) const
    {
        return predictTime(figures(), work);
    }
    /// Standard deviation of the logarithm of the prefill rate.
    [[nodiscard]] double doubt() const;
    /// Observations that the figures rest on, after fading.
    [[nodiscard]] double evidence() const
    {
        return m_evidence.count;
    }
    /// Learns from an observation; returns whether it is plausible enough to count.
    bool record(const EngineObservation &observation, core::TimePoint now);
    /// Takes what the region's dispatcher has learned about this run.
    void adopt(const ReportedFigures &reported);
    /// What this instance has evidence for itself.
    [[nodiscard]] std::optional<ReportedFigures> report() const;

private:
    void update() const;
    void watchForChange(double deviation, bool isOutlier, core::TimePoint now);

    std::shared_ptr<ServiceProfile> m_service;
    FigureEvidence m_evidence;
    std::optional<ReportedFigures> m_reported;
    int m_outliers = 0; // in succession; negative: below the prediction
    core::TimePoint m_outliersSince{};
    mutable FigureEstimate m_estimate; // as of m_serviceRevision
    mutable EngineFigures m_figures;
    mutable std::optional<std::uint64_t> m_serviceRevision;
};

//-----------------------------------------------------------------------------
// Engine profiles
//-----------------------------------------------------------------------------

/// What an instance tells others about a service's engines, or about one run of an engine.
struct ProfileReport
{
    core::ServiceId service;
    core::UpstreamId upstream; // empty: the service
    StartTime startTime;       // of the upstream's run
    ReportedFigures figures;

    bool operator==(const ProfileReport &) const = default;
};

/// Profiles of all services, and of the engines that are in use.
class EngineProfiles
{
public:
    explicit EngineProfiles(EngineProfileSettings settings);

    [[nodiscard]] const std::shared_ptr<ServiceProfile> &service(const core::ServiceId &id);
    /// Profile of a run of an engine; it ends with its last user.
    [[nodiscard]] std::shared_ptr<EngineProfile> engine(const core::ServiceId &service, const core::UpstreamId &upstream, StartTime startTime);
    [[nodiscard]] std::vector<ProfileReport> serviceReports() const;
    /// The next `limit` engines in turn.
    [[nodiscard]] std::vector<ProfileReport> engineReports(std::size_t limit);
    /// Takes a report of the dispatcher of `region`. What it says about a run that is not known here is ignored.
    void adopt(const ProfileReport &report, const core::RegionId &region);

private:
    struct Engine
    {
        core::ServiceId service;
        StartTime startTime;
        std::weak_ptr<EngineProfile> profile;
    };

    EngineProfileSettings m_settings;
    std::map<core::ServiceId, std::shared_ptr<ServiceProfile>> m_services;
    std::map<core::UpstreamId, Engine> m_engines;
    core::UpstreamId m_lastReported;
};

} // namespace arbutus::routing
