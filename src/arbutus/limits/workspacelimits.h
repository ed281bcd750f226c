// Rate and concurrency limits of workspaces, shared over the instances that serve them.
//
// A workspace's callers are sent to a few entries of each failure domain (Sharing::instances in all). Each of these holds
// a share of the limit, which follows demand:
//
//   floor = limit / 2 / instances               always held, also when nothing is heard
//   claim = limit / 2 * own / all demand        while the demand of every source is heard freshly
//         = limit / 2 / instances               while a source is silent
//
// Bound: the floors add up to half of the limit. The claims of those who hear all sources add up to at most the other
// half, and so do the even claims of those who do not; so the sum of all shares is at most 1.5 times the limit, whatever
// is lost, as long as Sharing::instances is not less than the instances that serve the workspace. That number comes from
// the platform's list and stays at its last value while the list cannot be read, so that a cut does not raise shares.

#pragma once

#include "arbutus/config/document.h"
#include "arbutus/core/clock.h"
#include "arbutus/core/error.h"
#include "arbutus/limits/tokenbucket.h"

#include <map>
#include <string>
#include <vector>

namespace arbutus::limits {

/// Requests a second of one workspace, as an instance saw them.
struct WorkspaceDemand
{
    core::WorkspaceId workspace;
    double requestsPerSecond = 0;
};

/// Among how many a workspace's limit is shared.
struct LimitPartition
{
    std::size_t instanceCount = 1;     // instances that serve the workspace, this one included
    std::size_t demandSourceCount = 0; // names under which the demand of the others is told
};

/// Limits of all workspaces at one instance.
class WorkspaceLimits
{
public:
    /// Admits one request or says why not. Every admit() that succeeds is paired with one release().
    core::Result<void> admit(const config::WorkspacePolicy &policy, const LimitPartition &sharing, core::TimePoint now);
    void release(const core::WorkspaceId &workspace);

    /// Demand of another source: "instance:…" of the own domain, "domain:…" of the region, or another "region:…".
    void updateRemoteDemand(const std::string &source, const WorkspaceDemand &demand, core::TimePoint now);
    /// Own demand of the workspaces in use; to be told to the others.
    [[nodiscard]] std::vector<WorkspaceDemand> localDemand(core::TimePoint now) const;
    /// Demand of this domain, or with `wholeRegion` of this region: own and what was heard freshly.
    [[nodiscard]] std::vector<WorkspaceDemand> aggregateDemand(bool wholeRegion, core::TimePoint now) const;
    /// This instance's share of a workspace's rate now, requests a second.
    [[nodiscard]] double rateShare(const config::WorkspacePolicy &policy, const LimitPartition &sharing, core::TimePoint now) const;
    [[nodiscard]] std::uint32_t inFlight(const core::WorkspaceId &workspace) const;
    void removeIdle(core::TimePoint now);

private:
    struct Heard
    {
        double requestsPerSecond = 0;
        core::TimePoint at{};
    };
    struct State
    {
        TokenBucket bucket;
        std::uint32_t inFlight = 0;
        double demand = 0; // requests a second, moving average
        core::TimePoint lastArrival{};
        std::map<std::string, Heard> others;
    };
    State &stateOf(const config::WorkspacePolicy &policy, const LimitPartition &sharing, core::TimePoint now);

    std::map<core::WorkspaceId, State> m_states;
};

} // namespace arbutus::limits
