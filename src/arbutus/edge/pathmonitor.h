// Watches which upstreams of the region this instance can open connections to, and probes paths that are lost or in doubt.
//
// A probe opens a connection and closes it without sending anything. Without a loss or a doubt there are none. One that is refused while another
// upstream is reached shows that the path is there, and that the upstream is down.

#pragma once

#include "arbutus/edge/context.h"
#include "arbutus/edge/metadatacache.h"
#include "arbutus/routing/upstreampaths.h"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace arbutus::edge {

struct PathMonitorSettings
{
    std::chrono::milliseconds checkInterval{20};
    std::chrono::milliseconds connectTimeout{300};
    routing::UpstreamPathsSettings paths;
};

class PathMonitor
{
public:
    PathMonitor(InstanceContext &context, const MetadataCache &metadataCache, std::uint64_t seed, PathMonitorSettings settings = {});

    void start();
    /// A request opened a new connection to the upstream.
    void recordConnected(const core::UpstreamId &upstream);
    /// A request could not open a connection to the upstream.
    void recordFailure(const core::UpstreamId &upstream, const std::string &reason);
    /// The upstream responded, on a connection of any age.
    void recordResponse(const core::UpstreamId &upstream);
    /// Has the path probed, because a request on it failed or is silent.
    void doubt(const core::UpstreamId &upstream);
    /// Has the path probed unless it was used a moment ago, because another instance has lost its own.
    void doubtUnlessFresh(const core::UpstreamId &upstream);
    /// Whether this instance opens connections to another upstream than this one since then; probes the others to find out.
    boost::asio::awaitable<bool> reachesOthers(core::UpstreamId upstream, core::TimePoint since);
    /// Whether this instance opens a connection to some other upstream of the region, which is probed. A refusal is then the refusing
    /// upstream's own: nothing listens there. Load pattern: a quarter of the upstreams crashes at the peak, and every instance of the region
    /// finds each of them refused; without this all of them look for ways around.
    boost::asio::awaitable<bool> reachesAnother(core::UpstreamId refusing);
    [[nodiscard]] bool isLost(const core::UpstreamId &upstream) const
    {
        return m_paths.isLost(upstream);
    }
    [[nodiscard]] const std::set<core::UpstreamId> &lost() const
    {
        return m_paths.lost();
    }

private:
    boost::asio::awaitable<void> probeLoop();
    boost::asio::awaitable<void> probe(core::UpstreamId upstream, std::string address);
    /// Usable upstreams of this region. Those of other regions accept no connections from here.
    [[nodiscard]] std::set<core::UpstreamId> upstreamsOfRegion() const;
    void logChange(const core::UpstreamId &upstream, std::string_view evidence, core::Duration lostFor);

    InstanceContext &m_context;
    const MetadataCache &m_metadataCache;
    PathMonitorSettings m_settings;
    routing::UpstreamPaths m_paths;
    std::size_t m_refusalChecks = 0;

public:
    /// Called when a path has been lost or found.
    std::function<void(const core::UpstreamId &upstream, bool isLost)> onChanged;
};

} // namespace arbutus::edge
