// What an instance knows of the upstreams of its own failure domain and of other failure domains as a whole.
//
// Reports lag, so the table keeps this instance's own requests in flight beside the report and corrects one by the
// other. Upstreams that are leaving are sticky until the platform lists them anew as live. Nothing here scans the fleet:
// other domains appear as one row for each model.
//
// Sections:
//   Upstream     one upstream of the own domain
//   RemotePool   one model or service in another domain
//   Table        both, with the rules of change

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/core/ids.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutus::routing {

//-----------------------------------------------------------------------------
// Upstream
//-----------------------------------------------------------------------------

enum class UpstreamKind {
    Model,
    Service,
};

/// A line of the platform's list that describes an upstream.
struct UpstreamDescriptor
{
    core::UpstreamId id;
    UpstreamKind kind = UpstreamKind::Model;
    core::RegionId region;
    core::DomainId domain;
    std::string address;            // "127.0.0.1:7101"
    std::set<core::ModelId> models; // loaded at the start, for Model
    core::ServiceId service;        // for Service
    std::uint32_t slots = 16;       // requests that it serves at once
    double price = 1.0;             // price units for 1,000 tokens
    bool leaving = false;

    bool operator==(const UpstreamDescriptor &) const = default;
};

/// A load report, as read from the upstream or heard from another instance.
struct LoadReport
{
    core::UpstreamId id;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 16;
    core::Duration stepTime{6'000}; // time of one token
    bool leaving = false;
    bool reachable = true;
    std::uint64_t readAtMs = 0; // wall time at which it was read, Unix ms
    std::set<core::ModelId> models;

    bool operator==(const LoadReport &) const = default;
};

/// One upstream with all that is known of it.
struct Upstream
{
    UpstreamDescriptor descriptor;
    LoadReport report;
    core::TimePoint leavingUntil{};     // a report said that it leaves
    core::TimePoint reportedAt{};       // when the report was taken in
    std::uint32_t inFlight = 0;         // from this instance
    std::uint32_t inFlightAtReport = 0; // from this instance, when the report was taken in
    double slowdown = 1.0;              // observed over predicted time, moving average; 1 = as reported
    std::uint32_t consecutiveFailures = 0;
    core::TimePoint ejectedUntil{};                                // outlier ejection
    core::TimePoint probationUntil{};                              // after an ejection: one request at a time
    std::unordered_map<std::uint64_t, std::uint32_t> cachedBlocks; // blocks believed to be cached -> recency
    std::deque<std::uint64_t> cachedBlockOrder;                    // oldest first
    double cacheConfidence = 1.0;                                  // lowered by gaps in the cache events, 0 .. 1

    /// Requests inside it now, corrected by our own since the report.
    [[nodiscard]] std::uint32_t occupancy() const;
    [[nodiscard]] bool isLeaving() const
    {
        return descriptor.leaving || report.leaving;
    }
};

//-----------------------------------------------------------------------------
// RemotePool
//-----------------------------------------------------------------------------

/// An entry instance of another domain to which a request can be passed.
struct RemoteInstance
{
    core::InstanceRef instance;
    std::string peerAddress;
    std::string url;

    bool operator==(const RemoteInstance &) const = default;
};

/// A model (or a service) of another failure domain, as its digest tells.
struct RemotePool
{
    core::DomainId domain;
    core::RegionId region;
    core::Duration predictedWait{}; // predicted wait for a slot
    std::uint32_t freeSlots = 0;
    std::uint32_t slots = 0;
    double price = 1.0;
    core::TimePoint updatedAt{};
    core::TimePoint recoveredAt{};     // when it came back after silence; for the ramp
    std::uint32_t sentSinceUpdate = 0; // ours since the digest
    std::vector<RemoteInstance> instances;
};

//-----------------------------------------------------------------------------
// Table
//-----------------------------------------------------------------------------

/// Bounds and periods of the table.
struct UpstreamTableSettings
{
    core::Duration maxReportAge = std::chrono::seconds(5);     // a report older than this says nothing
    core::Duration maxDigestAge = std::chrono::seconds(20);    // a digest older than this says nothing
    core::Duration leavingHoldTime = std::chrono::seconds(10); // a report of leaving outlives contrary ones
    std::uint32_t consecutiveFailuresToEject = 3;              // failures in a row
    core::Duration baseEjectionTime = std::chrono::seconds(2); // first ejection, doubled by each further failure
    core::Duration maxEjectionTime = std::chrono::seconds(30);
    double maxEjectionRatio = 0.5;       // at most this share of a model's upstreams
    std::size_t maxCachedBlocks = 8'192; // remembered for each upstream
};

/// Everything that routing looks at.
class UpstreamTable
{
public:
    explicit UpstreamTable(UpstreamTableSettings settings);

    /// Newest list of the own domain; upstreams that are no longer listed are dropped when idle.
    void updateUpstreams(const std::vector<UpstreamDescriptor> &lines);
    /// A report. One that says "leaving" is believed for a while, whatever later reports say; false = unknown upstream.
    bool updateLoad(const LoadReport &report, core::TimePoint now);
    void updateRemoteModel(const core::ModelId &model, RemotePool pool, core::TimePoint now);
    void updateRemoteService(const core::ServiceId &service, RemotePool pool, core::TimePoint now);

    /// Marks blocks as cached by an upstream, from its events or from what was sent there.
    void addCachedBlocks(const core::UpstreamId &id, const std::vector<std::uint64_t> &blocks);
    void removeCachedBlock(const core::UpstreamId &id, std::uint64_t block);
    void recordCacheEventGap(const core::UpstreamId &id);

    /// Life of an attempt at an upstream of the own domain.
    void recordAttemptStart(const core::UpstreamId &id);
    void recordAttemptEnd(const core::UpstreamId &id, bool healthy, core::TimePoint now);
    /// Observed time to the first token against the predicted one.
    void recordFirstToken(const core::UpstreamId &id, core::Duration observed, core::Duration predicted);

    [[nodiscard]] Upstream *find(const core::UpstreamId &id);
    [[nodiscard]] const std::map<core::UpstreamId, Upstream> &upstreams() const
    {
        return m_upstreams;
    }
    /// Upstreams with a model loaded, or of a service; pointers stay valid until the next takeList().
    [[nodiscard]] const std::vector<Upstream *> &upstreamsWithModel(const core::ModelId &model) const;
    [[nodiscard]] const std::vector<Upstream *> &upstreamsOfService(const core::ServiceId &service) const;
    [[nodiscard]] const std::vector<RemotePool> &remotePoolsWithModel(const core::ModelId &model) const;
    [[nodiscard]] const std::vector<RemotePool> &remotePoolsOfService(const core::ServiceId &service) const;
    [[nodiscard]] RemotePool *findRemotePool(const core::ModelId &model, const core::ServiceId &service, const core::DomainId &domain);
    [[nodiscard]] std::set<core::ModelId> models() const;
    [[nodiscard]] std::set<core::ServiceId> services() const;
    [[nodiscard]] const UpstreamTableSettings &settings() const
    {
        return m_settings;
    }

private:
    void index();
    [[nodiscard]] bool mayEject(const Upstream &upstream, core::TimePoint now) const;
    static void takeInto(std::vector<RemotePool> &pools, RemotePool pool, core::TimePoint now, core::Duration stale);

    UpstreamTableSettings m_settings;
    std::map<core::UpstreamId, Upstream> m_upstreams;
    std::map<core::ModelId, std::vector<Upstream *>> m_byModel;
    std::map<core::ServiceId, std::vector<Upstream *>> m_byService;
    std::map<core::ModelId, std::vector<RemotePool>> m_remoteModels;
    std::map<core::ServiceId, std::vector<RemotePool>> m_remoteServices;
};

} // namespace arbutus::routing
