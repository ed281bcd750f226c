// Wiring, listeners, and the planned stop.

#include "arbutus/edge/routegateway.h"
#include "arbutus/core/asyncsleep.h"
#include "arbutus/edge/directory.h"
#include "arbutus/edge/forwarder.h"
#include "arbutus/edge/metadatasync.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <ctime>
#include <random>

namespace arbutus::edge {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr auto LogFlushPeriod = milliseconds(100);
constexpr auto BeliefTick = milliseconds(200);
constexpr auto StopCheck = milliseconds(50);
constexpr auto StopAnnounced = milliseconds(300);  // the other instances' directories do not name this one any more
constexpr auto StopMargin = milliseconds(700);     // before the grace period ends
constexpr auto SuspendedLeast = milliseconds(200); // a smaller gap between clocks is no suspension

/// Milliseconds since boot, suspended time included.
milliseconds bootTime()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::duration_cast<milliseconds>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

std::uint64_t drawSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) ^ device();
}

/// Later lives have higher numbers: the wall time leads, a drawn part keeps two starts in one millisecond apart.
core::Incarnation drawIncarnation(const core::Clock &clock, std::uint64_t seed)
{
    return core::Incarnation(static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count()) * 1000 + seed % 1000);
}

} // namespace

struct RouteGateway::Impl
{
    Impl(asio::io_context &theLoop,
         const core::Clock &clock,
         Settings theSettings,
         const ProtocolAdapter &dialect,
         metadata::MetadataStore &store,
         observe::LogBuffer &log,
         std::function<core::Result<Settings>()> theReload)
        : loop(theLoop)
        , settings(std::move(theSettings))
        , context{theLoop.get_executor(), clock, settings, dialect, store, log, metrics}
        , seed(drawSeed())
        , random(seed)
        , beliefs(dialect)
        , fleet(context, drawIncarnation(clock, seed), seed)
        , placement(context, fleet, beliefs)
        , storeDuty(context, fleet, beliefs, seed)
        , forwarder(context, fleet, beliefs, placement, seed)
        , reload(std::move(theReload))
        , callers(
              context.executor, settings.callersEndpoint, {}, [this](http::Exchange &exchange) { return forwarder.handleRequest(exchange); }, nullptr)
        , peers(
              context.executor, settings.peersEndpoint, {}, [this](http::Exchange &exchange) { return servePeers(exchange); }, nullptr)
        , directory(
              context.executor, settings.directoryEndpoint, {}, [this](http::Exchange &exchange) { return serveDirectory(exchange); }, nullptr)
        , readiness(
              context.executor, settings.readinessEndpoint, {}, [this](http::Exchange &exchange) { return serveReadiness(exchange); }, nullptr)
        , metricsServer(
              context.executor, settings.metricsEndpoint, {}, [this](http::Exchange &exchange) { return serveMetrics(exchange); }, nullptr)
        , signals(context.executor, SIGTERM, SIGINT, SIGHUP)
    {
    }

    asio::io_context &loop;
    Settings settings;
    observe::Metrics metrics;
    InstanceContext context;
    std::uint64_t seed;
    pcg32 random;
    MetadataCache beliefs;
    Fleet fleet;
    PlacementService placement;
    MetadataSync storeDuty;
    Forwarder forwarder;
    std::function<core::Result<Settings>()> reload;
    http::Server callers;
    http::Server peers;
    http::Server directory;
    http::Server readiness;
    http::Server metricsServer;
    asio::signal_set signals;
    bool draining = false;
    std::map<core::UpstreamId, std::string> addresses; // last known, to close kept connections

    [[nodiscard]] bool ready() const
    {
        return beliefs.catalog() != nullptr && !draining;
    }

    //--- Listeners

    asio::awaitable<void> servePeers(http::Exchange &exchange)
    {
        if (Forwarder::isForwardedRequest(exchange.request())) {
            co_await forwarder.handleForwardedRequest(exchange);
            co_return;
        }
        http::Response response;
        if (exchange.request().path() == "/beliefs") {
            response = metadataSnapshotResponse(beliefs, exchange.request(), context.now());
        } else {
            response.status = 404;
        }
        co_await exchange.respond(response);
    }

    asio::awaitable<void> serveDirectory(http::Exchange &exchange)
    {
        const auto query = context.adapter.parseDirectoryQuery(exchange.request());
        http::Response response;
        response.status = 404;
        if (query) {
            std::vector<membership::Member> members = fleet.liveMembers();
            if (!ready()) {
                std::erase_if(members, [&](const membership::Member &member) { return member.id == settings.instanceId; });
            }
            const bool known = std::any_of(members.begin(), members.end(), [&](const membership::Member &member) { return member.region == query->region; });
            if (!known) {
                context.writeLog(observe::LogLine("directory_region_empty").add("region", query->region).add("live", members.size()).add("ready", ready()));
            }
            const std::set<core::RegionId> homes = mostCommonHomeRegions(beliefs.catalog());
            const DirectorySettings directorySettings;
            const auto entries = sampleAddresses(std::move(members), *query, homes, directorySettings, random);
            response.status = 503; // knows no instance that takes requests
            if (!entries.empty()) {
                response = context.adapter.directoryResponse(entries, settings.directoryTtl);
            }
            metrics.incrementCounter("arbutus_directory_answers_total", entries.empty() ? "entries=\"none\"" : "entries=\"some\"");
        }
        co_await exchange.respond(response);
    }

    asio::awaitable<void> serveReadiness(http::Exchange &exchange)
    {
        http::Response response;
        response.status = !context.adapter.isReadinessProbe(exchange.request()) ? 404 : ready() ? 200 : 503;
        co_await exchange.respond(response);
    }

    asio::awaitable<void> serveMetrics(http::Exchange &exchange)
    {
        metrics.setGauge("arbutus_evidence_age_seconds", "", std::chrono::duration<double>(beliefs.staleness(context.now())).count());
        metrics.setGauge("arbutus_configuration_version", "", beliefs.catalog() ? static_cast<double>(beliefs.catalog()->version().value) : 0);
        metrics.setGauge("arbutus_live_members", "", static_cast<double>(fleet.liveMembers().size()));
        metrics.setGauge("arbutus_waiting_requests", "", static_cast<double>(placement.dispatcher().queueLength()));
        metrics.setGauge("arbutus_log_lines_dropped", "", static_cast<double>(context.log.droppedLines()));
        metrics.setGauge("arbutus_ready", "", ready() ? 1 : 0);
        http::Response response;
        response.headers["Content-Type"] = "text/plain; version=0.0.4";
        response.body = metrics.prometheusText();
        co_await exchange.respond(response);
    }

    //--- Beliefs

    void changed(const MetadataUpdate &change)
    {
        if (change.catalogChanged) {
            const catalog::CallerLimits &limits = beliefs.catalog()->limits();
            http::ServerLimits serverLimits;
            serverLimits.maxHeaderBytes = limits.maxHeaderBytes;
            serverLimits.maxBodyBytes = limits.maxBodyBytes;
            serverLimits.headerTimeout = limits.headerTimeout;
            serverLimits.idleTimeout = limits.idleTimeout;
            callers.setLimits(serverLimits);
        }
        for (const auto &[id, entry] : beliefs.registry().entries()) {
            if (entry.isUsable()) {
                addresses[id] = entry.announcement.address;
            } else if (const auto known = addresses.find(id); known != addresses.end()) {
                forwarder.closeIdleConnections(known->second);
                addresses.erase(known);
            }
        }
        placement.onMetadataChanged();
    }

    void noteLeaving(const core::UpstreamId &id)
    {
        const MetadataUpdate change = beliefs.markLeaving(id, context.now());
        if (change.hasChanges()) {
            context.writeLog(observe::LogLine("upstream").add("upstream", id).add("change", "leaving").add("source", "peer"));
            changed(change);
        }
    }

    //--- Loops

    asio::awaitable<void> flushLoop()
    {
        while (true) {
            co_await core::asyncSleep(LogFlushPeriod);
            context.log.flush();
        }
    }

    /// Notices that the machine stood still, which the steady clock does not count.
    asio::awaitable<void> beliefLoop()
    {
        milliseconds boot = bootTime();
        core::TimePoint steady = context.now();
        while (true) {
            co_await core::asyncSleep(BeliefTick);
            const milliseconds suspended = (bootTime() - boot) - std::chrono::duration_cast<milliseconds>(context.now() - steady);
            if (suspended >= SuspendedLeast) {
                context.writeLog(observe::LogLine("suspend_detected").add("duration_ms", suspended.count()));
                beliefs.addSuspendedTime(suspended);
            }
            boot = bootTime();
            steady = context.now();
            const MetadataUpdate change = beliefs.expireEntries(steady);
            for (const routing::RegistryChange &row : change.upstreamChanges) {
                context.writeLog(observe::LogLine("upstream").add("upstream", row.id).add("change", routing::toString(row.kind)).add("source", "tick"));
            }
            if (change.hasChanges()) {
                changed(change);
            }
        }
    }

    asio::awaitable<void> signalLoop()
    {
        while (true) {
            boost::system::error_code code;
            const int signal = co_await signals.async_wait(asio::redirect_error(asio::use_awaitable, code));
            if (code) {
                co_return;
            }
            if (signal == SIGHUP) {
                const auto read = reload();
                context.writeLog(observe::LogLine("settings_checked").add("result", read ? "good" : read.error().message));
                continue;
            }
            if (!std::exchange(draining, true)) {
                asio::co_spawn(context.executor, stop(), asio::detached);
            }
        }
    }

    asio::awaitable<void> stop()
    {
        const core::TimePoint begunAt = context.now();
        context.writeLog(
            observe::LogLine("shutdown_started").add("open_requests", callers.activeExchangeCount()).add("connections", callers.openConnectionCount()));
        callers.closeAfterResponses();
        peers.closeAfterResponses();
        fleet.leave();
        storeDuty.deregister();
        const core::TimePoint latest = begunAt + settings.shutdownGracePeriod - StopMargin;
        co_await core::asyncSleep(StopAnnounced);
        callers.stopAccepting(); // callers go on elsewhere at once, instead of coming late with what cannot end in time
        while (context.now() < latest) {
            callers.closeIdleConnections();
            co_await core::asyncSleep(StopCheck);
            if (callers.activeExchangeCount() == 0 && peers.activeExchangeCount() == 0) {
                break;
            }
        }
        context.writeLog(observe::LogLine("shutdown_finished")
                             .add("open_requests", callers.activeExchangeCount())
                             .add("took_ms", core::toMilliseconds(context.now() - begunAt)));
        context.log.flush();
        loop.stop();
    }
};

RouteGateway::RouteGateway(asio::io_context &loop,
                           const core::Clock &clock,
                           Settings settings,
                           const ProtocolAdapter &dialect,
                           metadata::MetadataStore &store,
                           observe::LogBuffer &log,
                           std::function<core::Result<Settings>()> reload)
    : m_impl(std::make_unique<Impl>(loop, clock, std::move(settings), dialect, store, log, std::move(reload)))
{
}

RouteGateway::~RouteGateway() = default;

void RouteGateway::start()
{
    Impl &impl = *m_impl;
    impl.context.writeLog(observe::LogLine("started")
                              .add("instance", impl.settings.instanceId)
                              .add("incarnation", impl.fleet.self().incarnation)
                              .add("domain", impl.settings.failureDomain)
                              .add("region", impl.settings.region)
                              .add("callers", http::toString(impl.settings.callersEndpoint)));
    impl.placement.onNewerMetadata = [&impl](const core::InstanceId &peer) { impl.storeDuty.fetchFromPeer(peer); };
    impl.placement.onUpstreamLeaving = [&impl](const core::UpstreamId &upstream) { impl.noteLeaving(upstream); };
    impl.fleet.start([&impl](const FleetMessage &message, const std::string &from) { impl.placement.handleMessage(message, from); });
    impl.placement.start();
    impl.storeDuty.start([&impl](const MetadataUpdate &change) { impl.changed(change); });
    asio::co_spawn(impl.context.executor, impl.flushLoop(), asio::detached);
    asio::co_spawn(impl.context.executor, impl.beliefLoop(), asio::detached);
    asio::co_spawn(impl.context.executor, impl.signalLoop(), asio::detached);
}

void RouteGateway::run()
{
    start();
    m_impl->loop.run();
}

} // namespace arbutus::edge
