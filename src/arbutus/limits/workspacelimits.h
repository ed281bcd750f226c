// Rate and concurrency limits of workspaces, distributed over the instances that serve them.
//
// A workspace's callers are routed to a few instances of each failure domain (LimitPartition::instanceCount in total).
// Each of these instances enforces a share of the limit that follows demand:
//
//   guaranteed share = limit / 2 / instances                      always
//   demand share     = limit / 2 * own demand / total demand      while every source has a recent demand report
//                    = limit / 2 / instances                      while any report is missing
//
// Upper bound: the guaranteed shares add up to half of the limit. The demand shares of instances with reports from all
// sources add up to at most the other half, and so do the even demand shares of the remaining instances. The sum of all
// shares is therefore at most 1.5 times the limit, whichever messages are lost, as long as instanceCount is not less than
// the number of instances that serve the workspace. That number comes from the platform's instance list and keeps its last
// value while the list cannot be read, so that a network partition does not raise the shares.

#pragma once

#include "arbutus/config/document.h"
#include "arbutus/core/clock.h"
#include "arbutus/core/error.h"
#include "arbutus/limits/tokenbucket.h"

#include <map>
#include <string>
#include <vector>

namespace arbutus::limits {

/// Request rate of one workspace, as measured by an instance.
struct WorkspaceDemand
{
    core::WorkspaceId workspace;
    double requestsPerSecond = 0;
};

/// How a workspace's limit is divided between instances.
struct LimitPartition
{
    std::size_t instanceCount = 1;     // instances that serve the workspace, including this one
    std::size_t demandSourceCount = 0; // remote sources that report demand
};

/// Limits of all workspaces on one instance.
class WorkspaceLimits
{
public:
    /// Admits one request, or returns a RateLimited error. Every successful admit() must be paired with one release().
    core::Result<void> admit(const config::WorkspacePolicy &policy, const LimitPartition &partition, core::TimePoint now);
    void release(const core::WorkspaceId &workspace);

    /// Records the demand reported by another source: "instance:…" (same domain), "domain:…" (same region) or "region:…".
    void updateRemoteDemand(const std::string &source, const WorkspaceDemand &demand, core::TimePoint now);
    /// Demand measured by this instance, to be reported to the other instances.
    [[nodiscard]] std::vector<WorkspaceDemand> localDemand(core::TimePoint now) const;
    /// Demand of this domain, or of this region if `wholeRegion` is set: local demand plus recent remote reports.
    [[nodiscard]] std::vector<WorkspaceDemand> aggregateDemand(bool wholeRegion, core::TimePoint now) const;
    /// This instance's current share of a workspace's rate limit, in requests per second.
    [[nodiscard]] double rateShare(const config::WorkspacePolicy &policy, const LimitPartition &partition, core::TimePoint now) const;
    [[nodiscard]] std::uint32_t inFlight(const core::WorkspaceId &workspace) const;
    void removeIdle(core::TimePoint now);

private:
    struct RemoteDemand
    {
        double requestsPerSecond = 0;
        core::TimePoint receivedAt{};
    };
    struct WorkspaceState
    {
        TokenBucket bucket;
        std::uint32_t inFlight = 0;
        double demand = 0; // requests per second, moving average
        core::TimePoint lastArrival{};
        std::map<std::string, RemoteDemand> remoteDemand;
    };
    WorkspaceState &findOrCreateState(const config::WorkspacePolicy &policy, const LimitPartition &partition, core::TimePoint now);

    std::map<core::WorkspaceId, WorkspaceState> m_states;
};

} // namespace arbutus::limits
