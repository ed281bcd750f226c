// Wiring, listeners, and the planned stop.

#include "arbutus/edge/edge.h"
#include "arbutus/core/pause.h"
#include "arbutus/edge/directory.h"
#include "arbutus/edge/forwarder.h"
#include "arbutus/edge/storeduty.h"

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

struct Edge::Impl
{
    Impl(asio::io_context &theLoop,
         const core::Clock &clock,
         Settings theSettings,
         const Dialect &dialect,
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
              context.executor, settings.callers, {}, [this](http::Exchange &exchange) { return forwarder.serve(exchange); }, nullptr)
        , peers(
              context.executor, settings.peers, {}, [this](http::Exchange &exchange) { return servePeers(exchange); }, nullptr)
        , directory(
              context.executor, settings.directory, {}, [this](http::Exchange &exchange) { return serveDirectory(exchange); }, nullptr)
        , readiness(
              context.executor, settings.readiness, {}, [this](http::Exchange &exchange) { return serveReadiness(exchange); }, nullptr)
        , metricsServer(
              context.executor, settings.metrics, {}, [this](http::Exchange &exchange) { return serveMetrics(exchange); }, nullptr)
        , signals(context.executor, SIGTERM, SIGINT, SIGHUP)
    {
    }

    asio::io_context &loop;
    Settings settings;
    observe::Metrics metrics;
    Context context;
    std::uint64_t seed;
    pcg32 random;
    Beliefs beliefs;
    Fleet fleet;
    Placement placement;
    StoreDuty storeDuty;
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
        if (Forwarder::isHop(exchange.request())) {
            co_await forwarder.servePeer(exchange);
            co_return;
        }
        http::Response response;
        if (exchange.request().path() == "/beliefs") {
            response = beliefsAnswer(beliefs, exchange.request(), context.now());
        } else {
            response.status = 404;
        }
        co_await exchange.respond(response);
    }

    asio::awaitable<void> serveDirectory(http::Exchange &exchange)
    {
        const auto query = context.dialect.readDirectoryQuery(exchange.request());
        http::Response response;
        response.status = 404;
        if (query) {
            std::vector<membership::Member> members = fleet.members();
            if (!ready()) {
                std::erase_if(members, [&](const membership::Member &member) { return member.id == settings.id; });
            }
            const bool known = std::any_of(members.begin(), members.end(), [&](const membership::Member &member) { return member.region == query->region; });
            if (!known) {
                context.write(observe::LogLine("directory_region_empty").add("region", query->region).add("live", members.size()).add("ready", ready()));
            }
            const std::set<core::RegionId> homes = commonHomes(beliefs.catalog());
            const DirectorySettings directorySettings;
            const auto entries = chooseEntries(std::move(members), *query, homes, directorySettings, random);
            response.status = 503; // knows no instance that takes requests
            if (!entries.empty()) {
                response = context.dialect.directoryAnswer(entries, settings.directoryLifetime);
            }
            metrics.count("arbutus_directory_answers_total", entries.empty() ? "entries=\"none\"" : "entries=\"some\"");
        }
        co_await exchange.respond(response);
    }

    asio::awaitable<void> serveReadiness(http::Exchange &exchange)
    {
        http::Response response;
        response.status = !context.dialect.isReadinessQuery(exchange.request()) ? 404 : ready() ? 200 : 503;
        co_await exchange.respond(response);
    }

    asio::awaitable<void> serveMetrics(http::Exchange &exchange)
    {
        metrics.gauge("arbutus_evidence_age_seconds", "", std::chrono::duration<double>(beliefs.evidenceAge(context.now())).count());
        metrics.gauge("arbutus_configuration_version", "", beliefs.catalog() ? static_cast<double>(beliefs.catalog()->version().value) : 0);
        metrics.gauge("arbutus_live_members", "", static_cast<double>(fleet.members().size()));
        metrics.gauge("arbutus_waiting_requests", "", static_cast<double>(placement.dispatcher().waiting()));
        metrics.gauge("arbutus_log_lines_dropped", "", static_cast<double>(context.log.dropped()));
        metrics.gauge("arbutus_ready", "", ready() ? 1 : 0);
        http::Response response;
        response.headers["Content-Type"] = "text/plain; version=0.0.4";
        response.body = metrics.text();
        co_await exchange.respond(response);
    }

    //--- Beliefs

    void changed(const BeliefChange &change)
    {
        if (change.catalog) {
            const catalog::CallerLimits &limits = beliefs.catalog()->limits();
            http::ServerLimits serverLimits;
            serverLimits.headerBytes = limits.headerBytes;
            serverLimits.bodyBytes = limits.bodyBytes;
            serverLimits.headerTimeout = limits.headerTimeout;
            serverLimits.idleTimeout = limits.idleTimeout;
            callers.setLimits(serverLimits);
        }
        for (const auto &[id, entry] : beliefs.roster().entries()) {
            if (entry.usable()) {
                addresses[id] = entry.said.address;
            } else if (const auto known = addresses.find(id); known != addresses.end()) {
                forwarder.closeIdle(known->second);
                addresses.erase(known);
            }
        }
        placement.beliefsChanged();
    }

    void noteLeaving(const core::UpstreamId &id)
    {
        const BeliefChange change = beliefs.noteLeaving(id, context.now());
        if (change.matters()) {
            context.write(observe::LogLine("upstream").add("upstream", id).add("change", "leaving").add("source", "peer"));
            changed(change);
        }
    }

    //--- Loops

    asio::awaitable<void> flushLoop()
    {
        while (true) {
            co_await core::pause(LogFlushPeriod);
            context.log.flush();
        }
    }

    /// Notices that the machine stood still, which the steady clock does not count.
    asio::awaitable<void> beliefLoop()
    {
        milliseconds boot = bootTime();
        core::TimePoint steady = context.now();
        while (true) {
            co_await core::pause(BeliefTick);
            const milliseconds suspended = (bootTime() - boot) - std::chrono::duration_cast<milliseconds>(context.now() - steady);
            if (suspended >= SuspendedLeast) {
                context.write(observe::LogLine("was_suspended").add("for_ms", suspended.count()));
                beliefs.addSuspendedTime(suspended);
            }
            boot = bootTime();
            steady = context.now();
            const BeliefChange change = beliefs.tick(steady);
            for (const routing::RosterChange &row : change.upstreams) {
                context.write(observe::LogLine("upstream").add("upstream", row.id).add("change", routing::toString(row.kind)).add("source", "tick"));
            }
            if (change.matters()) {
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
                context.write(observe::LogLine("settings_read_again").add("result", read ? "good" : read.error().message));
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
        context.write(observe::LogLine("stop_begun").add("exchanges", callers.openExchanges()).add("connections", callers.openConnections()));
        callers.closeAfterAnswers();
        peers.closeAfterAnswers();
        fleet.leave();
        storeDuty.leave();
        const core::TimePoint latest = begunAt + settings.grace - StopMargin;
        co_await core::pause(StopAnnounced);
        callers.stopAccepting(); // callers go on elsewhere at once, instead of coming late with what cannot end in time
        while (context.now() < latest) {
            callers.closeIdle();
            co_await core::pause(StopCheck);
            if (callers.openExchanges() == 0 && peers.openExchanges() == 0) {
                break;
            }
        }
        context.write(observe::LogLine("stopped").add("exchanges", callers.openExchanges()).add("took_ms", core::toMilliseconds(context.now() - begunAt)));
        context.log.flush();
        loop.stop();
    }
};

Edge::Edge(asio::io_context &loop,
           const core::Clock &clock,
           Settings settings,
           const Dialect &dialect,
           metadata::MetadataStore &store,
           observe::LogBuffer &log,
           std::function<core::Result<Settings>()> reload)
    : m_impl(std::make_unique<Impl>(loop, clock, std::move(settings), dialect, store, log, std::move(reload)))
{
}

Edge::~Edge() = default;

void Edge::start()
{
    Impl &impl = *m_impl;
    impl.context.write(observe::LogLine("started")
                           .add("instance", impl.settings.id)
                           .add("incarnation", impl.fleet.self().incarnation)
                           .add("domain", impl.settings.domain)
                           .add("region", impl.settings.region)
                           .add("callers", http::toString(impl.settings.callers)));
    impl.placement.onNewerBeliefs = [&impl](const core::InstanceId &peer) { impl.storeDuty.fetchFrom(peer); };
    impl.placement.onLeaving = [&impl](const core::UpstreamId &upstream) { impl.noteLeaving(upstream); };
    impl.fleet.start([&impl](const FleetMessage &message, const std::string &from) { impl.placement.receive(message, from); });
    impl.placement.start();
    impl.storeDuty.start([&impl](const BeliefChange &change) { impl.changed(change); });
    asio::co_spawn(impl.context.executor, impl.flushLoop(), asio::detached);
    asio::co_spawn(impl.context.executor, impl.beliefLoop(), asio::detached);
    asio::co_spawn(impl.context.executor, impl.signalLoop(), asio::detached);
}

void Edge::run()
{
    start();
    m_impl->loop.run();
}

} // namespace arbutus::edge
