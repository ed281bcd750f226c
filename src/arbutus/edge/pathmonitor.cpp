// Probes, and log lines for paths that are lost and found.

#include "arbutus/edge/pathmonitor.h"
#include "arbutus/core/asyncsleep.h"
#include "arbutus/edge/background.h"
#include "arbutus/http/client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace arbutus::edge {

namespace asio = boost::asio;

PathMonitor::PathMonitor(InstanceContext &context, const MetadataCache &metadataCache, std::uint64_t seed, PathMonitorSettings settings)
    : m_context(context)
    , m_metadataCache(metadataCache)
    , m_settings(settings)
    , m_paths(seed, settings.paths)
{
}

void PathMonitor::start()
{
    spawnLoop(m_context, "path_probe", [this] { return probeLoop(); });
}

std::set<core::UpstreamId> PathMonitor::upstreamsOfRegion() const
{
    std::set<core::UpstreamId> out;
    for (const auto &[id, entry] : m_metadataCache.registry().entries()) {
        if (entry.isUsable() && m_context.settings.isInRegion(entry.announcement.domain)) {
            out.insert(id);
        }
    }
    return out;
}

void PathMonitor::logChange(const core::UpstreamId &upstream, std::string_view evidence, core::Duration lostFor)
{
    const bool isLost = m_paths.isLost(upstream);
    m_context.metrics.incrementCounter("arbutus_upstream_path_changes_total", isLost ? "change=\"lost\"" : "change=\"found\"");
    m_context.writeLog(observe::LogLine(isLost ? "path_lost" : "path_found")
                           .add("upstream", upstream)
                           .add("evidence", evidence)
                           .add("lost_for_ms", core::toMilliseconds(lostFor))
                           .add("lost_paths", m_paths.lost().size()));
    if (onChanged) {
        onChanged(upstream, isLost);
    }
}

void PathMonitor::recordConnected(const core::UpstreamId &upstream)
{
    const core::TimePoint now = m_context.now();
    const core::Duration lostFor = m_paths.lostFor(upstream, now);
    if (m_paths.recordConnected(upstream, now)) {
        logChange(upstream, "request", lostFor);
    }
}

void PathMonitor::recordFailure(const core::UpstreamId &upstream, const std::string &reason)
{
    if (m_paths.recordFailure(upstream, m_context.now())) {
        logChange(upstream, "request: " + reason, core::Duration::zero());
    }
}

void PathMonitor::recordResponse(const core::UpstreamId &upstream)
{
    m_paths.recordResponse(upstream, m_context.now());
}

void PathMonitor::doubt(const core::UpstreamId &upstream)
{
    m_paths.doubt(upstream, m_context.now());
}

void PathMonitor::doubtUnlessFresh(const core::UpstreamId &upstream)
{
    m_paths.doubtUnlessFresh(upstream, m_context.now());
}

asio::awaitable<bool> PathMonitor::reachesOthers(core::UpstreamId upstream, core::TimePoint since)
{
    const core::TimePoint end = m_context.now() + m_settings.checkInterval + m_settings.connectTimeout;
    m_paths.doubtOthers(upstream, since, m_context.now());
    while (!m_paths.hasConnectedToOther(upstream, since) && m_context.now() < end) {
        constexpr auto PollInterval = std::chrono::milliseconds(5);
        co_await core::asyncSleep(PollInterval);
    }
    co_return m_paths.hasConnectedToOther(upstream, since);
}

asio::awaitable<bool> PathMonitor::reachesAnother(core::UpstreamId refusing)
{
    std::vector<core::UpstreamId> others;
    for (const core::UpstreamId &upstream : upstreamsOfRegion()) {
        if (upstream != refusing && !m_paths.isLost(upstream)) {
            others.push_back(upstream);
        }
    }
    if (others.empty()) {
        co_return false;
    }
    const core::UpstreamId other = others[m_refusalChecks++ % others.size()]; // another one each time
    const std::string address = m_metadataCache.registry().find(other)->announcement.address;
    const auto code = co_await http::probeConnection(m_context.executor, http::parseEndpoint(address), m_settings.connectTimeout);
    if (code) {
        doubt(other);
    } else {
        recordConnected(other);
    }
    co_return !code;
}

asio::awaitable<void> PathMonitor::probeLoop()
{
    std::set<core::UpstreamId> upstreams;
    std::optional<std::uint64_t> registryVersion;
    while (true) {
        co_await core::asyncSleep(m_settings.checkInterval);
        if (registryVersion != m_metadataCache.registry().version()) {
            registryVersion = m_metadataCache.registry().version();
            upstreams = upstreamsOfRegion();
        }
        for (const core::UpstreamId &upstream : m_paths.takeDueProbes(upstreams, m_context.now())) {
            const routing::RegistryEntry *entry = m_metadataCache.registry().find(upstream);
            if (entry != nullptr) {
                asio::co_spawn(m_context.executor, probe(upstream, entry->announcement.address), asio::detached);
            }
        }
    }
}

asio::awaitable<void> PathMonitor::probe(core::UpstreamId upstream, std::string address)
{
    const http::Endpoint endpoint = http::parseEndpoint(address);
    const auto code = co_await http::probeConnection(m_context.executor, endpoint, m_settings.connectTimeout);
    bool isReached = !code;
    if (code == asio::error::connection_refused) {
        isReached = co_await reachesAnother(upstream);
    }
    m_context.metrics.incrementCounter("arbutus_upstream_path_probes_total", code ? "result=\"failed\"" : "result=\"reached\"");
    const core::TimePoint now = m_context.now();
    const core::Duration lostFor = m_paths.lostFor(upstream, now);
    if (m_paths.recordProbe(upstream, isReached, now)) {
        logChange(upstream, code ? "probe: " + code.message() : "probe", lostFor);
    }
}

} // namespace arbutus::edge
