// Paths from one instance to the upstreams of its region: which upstreams it can open connections to.
//
// A path is a fact about one instance and one upstream; whether the upstream is healthy is one about all instances, and the
// dispatcher's (upstreamestimator.h). An instance without a path tells the dispatcher with each placement request. It gets other
// upstreams, or an instance of the region that has a path and sends the request for it.
//
// No sockets or clock: the caller opens connections, says how that ended, and makes the probes that are due.
//
//   paths.recordFailure(upstream, now);                   // a connection was not established
//   for (const auto &id : paths.takeDueProbes(upstreams, now)) // open a connection to each
//       paths.recordProbe(id, reached, now);
//
// Q: What does a lost connection, or an upstream that is silent, say about the path?
// A: Nothing by itself: the upstream may have crashed, or may go on soon. doubt() has the path probed, and a probe settles it.
//
// Q: When are paths probed that nobody doubts?
// A: When the paths to two other upstreams have been lost: unrelated upstreams that fail together point to this instance.
//
// Q: What ends the loss of a path?
// A: A new connection. Kept ones may live on while new ones are refused.

#pragma once

#include "arbutus/routing/upstreamregistry.h"

#include <pcg_random.hpp>

#include <map>
#include <set>
#include <vector>

namespace arbutus::routing {

struct UpstreamPathsSettings
{
    core::Duration minProbeInterval = std::chrono::milliseconds(200); // doubles with each failed probe
    core::Duration maxProbeInterval = std::chrono::milliseconds(1'600);
    double probeJitter = 0.2;                                    // share of the interval, up or down
    std::size_t relatedLosses = 2;                               // lost paths that put all others in doubt
    core::Duration freshness = std::chrono::milliseconds(1'000); // a path that was used later than this ago is not probed for related losses
};

class UpstreamPaths
{
public:
    explicit UpstreamPaths(std::uint64_t seed, UpstreamPathsSettings settings = {});

    /// A connection was opened. Returns whether the path had been lost.
    bool recordConnected(const core::UpstreamId &upstream, core::TimePoint now);
    /// A connection was refused or not established in time. Returns whether the path was not yet known to be lost.
    bool recordFailure(const core::UpstreamId &upstream, core::TimePoint now);
    /// Takes the result of a probe. Returns whether the path has been lost or found.
    bool recordProbe(const core::UpstreamId &upstream, bool reached, core::TimePoint now);
    /// The upstream responded, on a connection of any age.
    void recordResponse(const core::UpstreamId &upstream, core::TimePoint now);
    /// Has the path probed, because a request on it failed or is silent.
    void doubt(const core::UpstreamId &upstream, core::TimePoint now);
    /// Has the path probed unless it was used a moment ago, because another path to the upstream was lost.
    void doubtUnlessFresh(const core::UpstreamId &upstream, core::TimePoint now);

    /// Has the paths to all other upstreams probed that opened no connection since then.
    void doubtOthers(const core::UpstreamId &upstream, core::TimePoint since, core::TimePoint now);
    /// Whether a connection to another upstream was opened since then, or there is no other.
    [[nodiscard]] bool hasConnectedToOther(const core::UpstreamId &upstream, core::TimePoint since) const;
    [[nodiscard]] bool isLost(const core::UpstreamId &upstream) const
    {
        return m_lost.contains(upstream);
    }
    [[nodiscard]] const std::set<core::UpstreamId> &lost() const
    {
        return m_lost;
    }
    /// How long the path has been lost; zero if it is not.
    [[nodiscard]] core::Duration lostFor(const core::UpstreamId &upstream, core::TimePoint now) const;
    /// Upstreams to probe now, of those given; each is returned once until its result is recorded. Forgets all others.
    [[nodiscard]] std::vector<core::UpstreamId> takeDueProbes(const std::set<core::UpstreamId> &upstreams, core::TimePoint now);

private:
    struct Path
    {
        core::TimePoint lastUsedAt{};      // last new connection or response
        core::TimePoint lastConnectedAt{}; // last new connection
        core::TimePoint lostAt{};
        core::TimePoint probeAt = core::TimePoint::max(); // none is due
        core::Duration probeInterval{};
        bool isProbing = false;
    };

    void scheduleProbe(Path &path, core::TimePoint now);

    UpstreamPathsSettings m_settings;
    pcg32 m_random;
    std::map<core::UpstreamId, Path> m_paths;
    std::set<core::UpstreamId> m_lost;
};

} // namespace arbutus::routing
