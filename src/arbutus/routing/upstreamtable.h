// An instance's view of the upstreams of its own failure domain, and of other failure domains in aggregate.
//
// Load reports lag, so the table also counts this instance's own requests in flight and corrects the report by them. An
// upstream that is leaving stays in that state until the platform lists it as live again. Nothing here depends on the size
// of the fleet: another domain is represented by one RemotePool per model or service.
//
// Sections:
//   Upstream     one upstream of the own domain
//   RemotePool   one model or service in another domain
//   Table        both, and how they are updated

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

/// An upstream as described in the platform's list.
struct UpstreamDescriptor
{
    core::UpstreamId id;
    UpstreamKind kind = UpstreamKind::Model;
    core::RegionId region;
    core::DomainId domain;
    std::string address;            // "127.0.0.1:7101"
    std::set<core::ModelId> models; // loaded at startup, for Model
    core::ServiceId service;        // for Service
    std::uint32_t slots = 16;       // concurrent requests
    double price = 1.0;             // price units per 1,000 tokens
    bool leaving = false;

    bool operator==(const UpstreamDescriptor &) const = default;
};

/// A load report, read from the upstream or received from another instance.
struct LoadReport
{
    core::UpstreamId id;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 16;
    core::Duration stepTime{6'000}; // per output token
    bool leaving = false;
    bool reachable = true;
    std::uint64_t sampledAtMs = 0; // wall-clock time of the reading, Unix ms
    std::set<core::ModelId> models;

    bool operator==(const LoadReport &) const = default;
};

/// One upstream with its last report and local statistics.
struct Upstream
{
    UpstreamDescriptor descriptor;
    LoadReport report;
    core::TimePoint leavingUntil{};     // a report stated that it is leaving
    core::TimePoint reportedAt{};       // when the report was applied
    std::uint32_t inFlight = 0;         // from this instance
    std::uint32_t inFlightAtReport = 0; // from this instance, when the report was applied
    double slowdown = 1.0;              // observed over predicted time, moving average; 1 = as predicted
    std::uint32_t consecutiveFailures = 0;
    core::TimePoint ejectedUntil{};                                // outlier ejection
    core::TimePoint probationUntil{};                              // after an ejection: one request at a time
    std::unordered_map<std::uint64_t, std::uint32_t> cachedBlocks; // blocks assumed to be cached; the mapped value is always 1
    std::deque<std::uint64_t> cachedBlockOrder;                    // oldest first
    double cacheConfidence = 1.0;                                  // lowered by gaps in the cache events, 0 .. 1

    /// Estimated current requests at the upstream: the report, corrected by this instance's own requests since then.
    [[nodiscard]] std::uint32_t occupancy() const;
    [[nodiscard]] bool isLeaving() const
    {
        return descriptor.leaving || report.leaving;
    }
};

//-----------------------------------------------------------------------------
// RemotePool
//-----------------------------------------------------------------------------

/// An instance of another domain to which requests can be forwarded.
struct RemoteInstance
{
    core::InstanceRef instance;
    std::string peerAddress;
    std::string url;

    bool operator==(const RemoteInstance &) const = default;
};

/// A model (or a service) of another failure domain, as described by its digest.
struct RemotePool
{
    core::DomainId domain;
    core::RegionId region;
    core::Duration predictedWait{}; // for a free slot
    std::uint32_t freeSlots = 0;
    std::uint32_t slots = 0;
    double price = 1.0;
    core::TimePoint updatedAt{};
    core::TimePoint recoveredAt{};     // when digests resumed after a gap; start of the ramp-up
    std::uint32_t sentSinceUpdate = 0; // requests from this instance since the digest
    std::vector<RemoteInstance> instances;
};

//-----------------------------------------------------------------------------
// Table
//-----------------------------------------------------------------------------

/// Limits and timeouts of the table.
struct UpstreamTableSettings
{
    core::Duration maxReportAge = std::chrono::seconds(5);     // age from which a report is stale; not enforced at present
    core::Duration maxDigestAge = std::chrono::seconds(20);    // older digests are ignored
    core::Duration leavingHoldTime = std::chrono::seconds(10); // a report of leaving overrides later ones for this long
    std::uint32_t consecutiveFailuresToEject = 3;
    core::Duration baseEjectionTime = std::chrono::seconds(2); // of the first ejection, doubled by each further failure
    core::Duration maxEjectionTime = std::chrono::seconds(30);
    double maxEjectionRatio = 0.5;       // largest share of all model upstreams, or of one service's, that may be ejected at once
    std::size_t maxCachedBlocks = 8'192; // per upstream
};

/// All state that routing decisions are based on.
class UpstreamTable
{
public:
    explicit UpstreamTable(UpstreamTableSettings settings);

    /// Applies the latest list of the own domain; upstreams no longer listed are removed once idle.
    void updateUpstreams(const std::vector<UpstreamDescriptor> &descriptors);
    /// Applies a report; returns false if the upstream is unknown. A report of leaving holds for `leavingHoldTime`, whatever later reports say.
    bool updateLoad(const LoadReport &report, core::TimePoint now);
    void updateRemoteModel(const core::ModelId &model, RemotePool pool, core::TimePoint now);
    void updateRemoteService(const core::ServiceId &service, RemotePool pool, core::TimePoint now);

    /// Marks blocks as cached by an upstream, based on its cache events or on requests sent to it.
    void addCachedBlocks(const core::UpstreamId &id, const std::vector<std::uint64_t> &blocks);
    void removeCachedBlock(const core::UpstreamId &id, std::uint64_t block);
    void recordCacheEventGap(const core::UpstreamId &id);

    /// Start and end of an attempt at an upstream of the own domain.
    void recordAttemptStart(const core::UpstreamId &id);
    void recordAttemptEnd(const core::UpstreamId &id, bool healthy, core::TimePoint now);
    /// Updates the slowdown from the observed and the predicted time to the first token.
    void recordFirstToken(const core::UpstreamId &id, core::Duration observed, core::Duration predicted);

    [[nodiscard]] Upstream *find(const core::UpstreamId &id);
    [[nodiscard]] const std::map<core::UpstreamId, Upstream> &upstreams() const
    {
        return m_upstreams;
    }
    /// Upstreams with a model loaded, or of a service; pointers stay valid until the next updateUpstreams().
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
    void rebuildIndex();
    [[nodiscard]] bool canEject(const Upstream &upstream, core::TimePoint now) const;
    static void updatePool(std::vector<RemotePool> &pools, RemotePool pool, core::TimePoint now, core::Duration maxAge);

    UpstreamTableSettings m_settings;
    std::map<core::UpstreamId, Upstream> m_upstreams;
    std::map<core::ModelId, std::vector<Upstream *>> m_byModel;
    std::map<core::ServiceId, std::vector<Upstream *>> m_byService;
    std::map<core::ModelId, std::vector<RemotePool>> m_remoteModels;
    std::map<core::ServiceId, std::vector<RemotePool>> m_remoteServices;
};

} // namespace arbutus::routing
