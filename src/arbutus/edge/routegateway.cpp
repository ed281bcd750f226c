// Construction of the components, listeners and graceful shutdown.

#include "arbutus/edge/routegateway.h"
#include "arbutus/core/asyncsleep.h"
#include "arbutus/edge/background.h"
#include "arbutus/edge/directory.h"
#include "arbutus/edge/forwarder.h"
#include "arbutus/edge/hoplimits.h"
#include "arbutus/edge/metadatasync.h"
#include "arbutus/edge/quarantineservice.h"
#include "arbutus/edge/streamdirectory.h"

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
constexpr auto MetadataExpiryPeriod = milliseconds(200);
constexpr auto ShutdownPollPeriod = milliseconds(50);
constexpr auto LeavePropagationDelay = milliseconds(300); // after which the directories of other instances no longer list this one

// Part of the grace period after which the process exits, also with connections that are still being closed.
constexpr double ShutdownShare = 15.0 / 16;

constexpr auto MinSuspension = milliseconds(200); // smaller differences between the clocks are ignored

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) ^ device();
}

/// Later starts get higher incarnations: the wall clock time is the leading part, and a random part distinguishes two starts
/// within one millisecond.
core::Incarnation generateIncarnation(const core::Clock &clock, std::uint64_t seed)
{
    return core::Incarnation(static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count()) * 1000 + seed % 1000);
}

std::size_t maxConnections(const Settings &settings)
{
    return settings.maxConnections > 0 ? settings.maxConnections : limits::ConnectionBudget::shareOf(http::maxDescriptors());
}

} // namespace

struct RouteGateway::Impl
{
    Impl(asio::io_context &theIoContext,
         const core::Clock &clock,
         Settings theSettings,
         const ProtocolAdapter &adapter,
         metadata::MetadataStore &store,
         observe::LogBuffer &log,
         std::function<core::Result<Settings>()> theReloadSettings)
        : ioContext(theIoContext)
        , settings(std::move(theSettings))
        , evidenceClock(clock.steadyNow())
        , context{theIoContext.get_executor(), clock, settings, adapter, store, log, metrics, evidenceClock}
        , seed(randomSeed())
        , random(seed)
        , metadataCache(adapter)
        , fleet(context, generateIncarnation(clock, seed), seed)
        , paths(context, metadataCache, seed)
        , placement(context, fleet, metadataCache, paths)
        , metadataSync(context, fleet, metadataCache, seed)
        , quarantine(context, fleet, metadataCache, paths, seed)
        , streamDirectory(context, fleet, metadataCache)
        , forwarder(context, fleet, metadataCache, placement, paths, quarantine, streamDirectory, seed)
        , reloadSettings(std::move(theReloadSettings))
        , clientServer(
              context.executor, settings.clientEndpoint, {}, [this](http::Exchange &exchange) { return forwarder.handleRequest(exchange); }, nullptr)
        , peerServer(
              context.executor, settings.peersEndpoint, peerServerLimits(), [this](http::Exchange &exchange) { return servePeers(exchange); }, nullptr)
        , directoryServer(
              context.executor, settings.directoryEndpoint, {}, [this](http::Exchange &exchange) { return serveDirectory(exchange); }, nullptr)
        , readinessServer(
              context.executor, settings.readinessEndpoint, {}, [this](http::Exchange &exchange) { return serveReadiness(exchange); }, nullptr)
        , metricsServer(
              context.executor, settings.metricsEndpoint, {}, [this](http::Exchange &exchange) { return serveMetrics(exchange); }, nullptr)
        , signals(context.executor, SIGTERM, SIGINT, SIGHUP)
    {
        clientServer.setUnansweredCallback([this](const http::UnansweredRequest &unanswered) { recordUnanswered("clients", unanswered); });
        peerServer.setUnansweredCallback([this](const http::UnansweredRequest &unanswered) { recordUnanswered("peers", unanswered); });
        const http::ServerResources resources{forwarder.bodies(), connections};
        for (const auto &[name, server] : {std::pair{"clients", &clientServer},
                                           std::pair{"peers", &peerServer},
                                           std::pair{"directory", &directoryServer},
                                           std::pair{"readiness", &readinessServer},
                                           std::pair{"metrics", &metricsServer}}) {
            server->setResources(resources);
            server->setRejectedCallback([this, name = name](std::string_view reason) { recordRejected(name, reason); });
        }
    }

    asio::io_context &ioContext;
    Settings settings;
    observe::Metrics metrics;
    EvidenceClock evidenceClock;
    InstanceContext context;
    std::uint64_t seed;
    pcg32 random;
    MetadataCache metadataCache;
    Fleet fleet;
    PathMonitor paths;
    PlacementService placement;
    MetadataSync metadataSync;
    QuarantineService quarantine;
    StreamDirectory streamDirectory;
    Forwarder forwarder;
    std::function<core::Result<Settings>()> reloadSettings;
    std::shared_ptr<limits::ConnectionBudget> connections = std::make_shared<limits::ConnectionBudget>(maxConnections(settings));
    http::Server clientServer;
    http::Server peerServer;
    http::Server directoryServer;
    http::Server readinessServer;
    http::Server metricsServer;
    asio::signal_set signals;
    bool draining = false;
    bool isProofFresh = true;                                  // as last logged
    std::map<core::UpstreamId, std::string> upstreamAddresses; // last known addresses, to close pooled connections

    [[nodiscard]] bool ready() const
    {
        return metadataCache.catalog() != nullptr && !draining;
    }

    //--- Listeners

    void recordUnanswered(std::string_view listener, const http::UnansweredRequest &unanswered)
    {
        std::string labels = "listener=\"" + std::string(listener) + "\",reason=\"";
        labels += http::toString(unanswered.reason);
        metrics.incrementCounter("arbutus_unanswered_requests_total", labels + "\"");
        const auto head = context.adapter.parseRequest(unanswered.request);
        context.writeLog(observe::LogLine("request_unanswered")
                             .add("listener", listener)
                             .add("request", head ? head.value().attemptId : "")
                             .add("reason", http::toString(unanswered.reason))
                             .add("response_started", unanswered.responseStarted)
                             .add("detail", unanswered.detail)
                             .add("configuration", metadataCache.catalog() ? metadataCache.catalog()->version().value : 0));
    }

    void recordRejected(std::string_view listener, std::string_view reason)
    {
        metrics.incrementCounter("arbutus_rejected_requests_total", "listener=\"" + std::string(listener) + "\"");
        context.writeLog(observe::LogLine("request_rejected").add("listener", listener).add("reason", reason));
    }

    asio::awaitable<void> servePeers(http::Exchange &exchange)
    {
        if (Forwarder::isForwardedRequest(exchange.request())) {
            co_await forwarder.handleForwardedRequest(exchange);
            co_return;
        }
        http::Response response;
        if (exchange.request().path() == "/beliefs") {
            response = metadataSnapshotResponse(metadataCache, exchange.request(), context.now());
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
            const bool regionHasInstances =
                std::any_of(members.begin(), members.end(), [&](const membership::Member &member) { return member.region == query->region; });
            HomeRegionCounts homeRegions;
            if (!regionHasInstances) {
                if (metadataCache.catalog() == nullptr) {
                    members.clear(); // the home regions are not known
                }
                homeRegions = countHomeRegions(metadataCache.catalog(), query->host);
                std::string homes;
                for (const auto &[region, count] : homeRegions) {
                    homes += (homes.empty() ? "" : ",") + region.text;
                }
                context.writeLog(observe::LogLine("directory_region_empty")
                                     .add("host", query->host)
                                     .add("region", query->region)
                                     .add("home_regions", homes)
                                     .add("live", members.size())
                                     .add("ready", ready()));
            }
            const DirectorySettings directorySettings;
            const auto addresses = sampleAddresses(std::move(members), *query, homeRegions, directorySettings, random);
            response.status = 503; // no instance accepts requests
            if (!addresses.empty()) {
                response = context.adapter.directoryResponse(addresses, settings.directoryTtl);
            }
            metrics.incrementCounter("arbutus_directory_answers_total", addresses.empty() ? "entries=\"none\"" : "entries=\"some\"");
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
        if (exchange.request().path().starts_with("/quarantine")) {
            http::Response response = quarantine.handleOperatorRequest(exchange.request());
            co_await exchange.respond(response);
            co_return;
        }
        metrics.setGauge("arbutus_evidence_age_seconds", "", std::chrono::duration<double>(metadataCache.staleness(context.now())).count());
        metrics.setGauge("arbutus_configuration_version", "", metadataCache.catalog() ? static_cast<double>(metadataCache.catalog()->version().value) : 0);
        metrics.setGauge("arbutus_live_members", "", static_cast<double>(fleet.liveMembers().size()));
        metrics.setGauge("arbutus_waiting_requests", "", static_cast<double>(placement.dispatcher().queueLength()));
        metrics.setGauge("arbutus_log_lines_dropped", "", static_cast<double>(context.log.droppedLines()));
        metrics.setGauge("arbutus_quarantined_prompt_parts", "", static_cast<double>(quarantine.quarantinedPartCount()));
        metrics.setGauge("arbutus_quarantined_requests", "", static_cast<double>(quarantine.quarantinedRequestCount()));
        metrics.setGauge("arbutus_lost_upstream_paths", "", static_cast<double>(paths.lost().size()));
        metrics.setGauge("arbutus_held_body_bytes", "", static_cast<double>(forwarder.bodies()->usedBytes()));
        metrics.setGauge("arbutus_held_body_bytes_peak", "", static_cast<double>(forwarder.bodies()->peakBytes()));
        metrics.setGauge("arbutus_client_connections", "", static_cast<double>(connections->usedPlaces()));
        metrics.setGauge("arbutus_evicted_connections", "", static_cast<double>(connections->evictedCount()));
        metrics.setGauge("arbutus_ready", "", ready() ? 1 : 0);
        http::Response response;
        response.headers["Content-Type"] = "text/plain; version=0.0.4";
        response.body = metrics.prometheusText();
        co_await exchange.respond(response);
    }

    //--- Metadata

    void onMetadataChanged(const MetadataUpdate &update)
    {
        if (update.catalogChanged) {
            const catalog::ClientLimits &limits = metadataCache.catalog()->limits();
            http::ServerLimits serverLimits;
            serverLimits.maxHeaderBytes = limits.maxHeaderBytes;
            serverLimits.maxBodyBytes = limits.maxBodyBytes;
            serverLimits.headerTimeout = limits.headerTimeout;
            serverLimits.idleTimeout = limits.idleTimeout;
            serverLimits.maxSectionBytes = std::max(serverLimits.maxSectionBytes, limits.maxHeaderBytes);
            clientServer.setLimits(serverLimits);
            // Also for what other instances pass on: it was within the limits where it was received.
            forwarder.bodies()->allowSingleRequest(std::max(limits.maxBodyBytes, 2 * (limits.maxHeaderBytes + MaxHopHeaderBytes)));
            forwarder.onCatalogChanged();
        }
        for (const auto &[id, entry] : metadataCache.registry().entries()) {
            if (entry.isUsable()) {
                upstreamAddresses[id] = entry.announcement.address;
            } else if (const auto knownAddress = upstreamAddresses.find(id); knownAddress != upstreamAddresses.end()) {
                forwarder.closeIdleConnections(knownAddress->second);
                upstreamAddresses.erase(knownAddress);
            }
        }
        placement.onMetadataChanged();
    }

    void onPathChanged(const core::UpstreamId &id, bool isLost)
    {
        const routing::RegistryEntry *entry = metadataCache.registry().find(id);
        if (isLost && entry != nullptr) {
            forwarder.closeIdleConnections(entry->announcement.address); // a request would hang on them
        }
        placement.onPathsChanged();
    }

    void onStalled(core::Duration stalledFor)
    {
        context.writeLog(observe::LogLine("event_loop_stalled")
                             .add("duration_ms", core::toMilliseconds(stalledFor))
                             .add("metadata_staleness_ms", core::toMilliseconds(metadataCache.staleness(context.now()))));
        metadataSync.onStalled(stalledFor);
    }

    void markUpstreamLeaving(const core::UpstreamId &id)
    {
        const MetadataUpdate update = metadataCache.markLeaving(id, context.now());
        if (update.hasChanges()) {
            context.writeLog(observe::LogLine("upstream").add("upstream", id).add("change", "leaving").add("source", "response"));
            onMetadataChanged(update);
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

    /// Expires metadata entries and detects suspensions of the system, which the steady clock does not count.
    asio::awaitable<void> expiryLoop()
    {
        BootTime lastBootTime = InstanceContext::bootNow();
        core::TimePoint lastSteadyTime = context.now();
        while (true) {
            co_await core::asyncSleep(MetadataExpiryPeriod);
            const core::Duration suspended = (InstanceContext::bootNow() - lastBootTime) - (context.now() - lastSteadyTime);
            if (suspended >= MinSuspension) {
                context.writeLog(observe::LogLine("suspend_detected").add("duration_ms", core::toMilliseconds(suspended)));
                metadataCache.addSuspendedTime(suspended);
            }
            lastBootTime = InstanceContext::bootNow();
            lastSteadyTime = context.now();
            reportProof();
            const MetadataUpdate update = metadataCache.expireEntries(lastSteadyTime);
            for (const routing::RegistryChange &upstreamChange : update.upstreamChanges) {
                context.writeLog(observe::LogLine("upstream")
                                     .add("upstream", upstreamChange.id)
                                     .add("change", routing::toString(upstreamChange.kind))
                                     .add("source", "tick"));
            }
            for (const core::DomainId &domain : update.endedEvacuations) {
                context.writeLog(observe::LogLine("evacuation_expired").add("domain", domain).add("reason", "not written again after the store was restored"));
            }
            if (update.endedCatalog) {
                context.writeLog(
                    observe::LogLine("configuration_behind_ended").add("version", *update.endedCatalog).add("reason", "no other instance states it"));
            }
            if (update.hasChanges()) {
                onMetadataChanged(update);
            }
        }
    }

    /// Logs when the proof of the configuration becomes too old for requests with credentials, and when it is fresh again.
    void reportProof()
    {
        if (!settings.maxWithdrawalDelay || metadataCache.catalog() == nullptr) {
            return;
        }
        const auto age = metadataCache.proof().age(InstanceContext::bootNow());
        const bool isFresh = mayUseCredentials(age, *settings.maxWithdrawalDelay);
        metrics.setGauge("arbutus_configuration_proof_age_seconds", "", std::chrono::duration<double>(age.value_or(core::Duration(-1))).count());
        if (std::exchange(isProofFresh, isFresh) != isFresh) {
            context.writeLog(observe::LogLine(isFresh ? "configuration_proof_fresh" : "configuration_proof_expired")
                                 .add("age_ms", age ? core::toMilliseconds(*age) : -1)
                                 .add("version", metadataCache.knownCatalog().version)
                                 .add("behind", metadataCache.isCatalogBehind())
                                 .add("max_withdrawal_delay_ms", settings.maxWithdrawalDelay->count()));
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
                const auto reloaded = reloadSettings();
                context.writeLog(observe::LogLine("settings_checked").add("result", reloaded ? "good" : reloaded.error().message));
                continue;
            }
            if (!std::exchange(draining, true)) {
                asio::co_spawn(context.executor, stop(), asio::detached);
            }
        }
    }

    asio::awaitable<void> stop()
    {
        const core::TimePoint startTime = context.now();
        context.writeLog(observe::LogLine("shutdown_started")
                             .add("open_requests", clientServer.activeExchangeCount())
                             .add("connections", clientServer.openConnectionCount()));
        clientServer.closeAfterResponses();
        peerServer.closeAfterResponses();
        fleet.leave();
        metadataSync.deregister();
        const core::TimePoint deadline = startTime + std::chrono::duration_cast<core::Duration>(settings.shutdownGracePeriod * ShutdownShare);
        const ShutdownTimes times = ShutdownTimes::of(startTime, settings.shutdownGracePeriod);
        forwarder.beginShutdown(times);
        co_await core::asyncSleep(LeavePropagationDelay);
        clientServer.stopAccepting(); // clients switch to other instances now instead of sending requests that cannot finish in time
        while (context.now() < deadline) {
            clientServer.closeIdleConnections();
            peerServer.closeIdleConnections();
            forwarder.endOverdueRequests();
            if (context.now() >= times.answersBy) {
                peerServer.stopAccepting();
            }
            co_await core::asyncSleep(ShutdownPollPeriod);
            if (!clientServer.hasOpenRequests() && !peerServer.hasOpenRequests()) {
                break;
            }
        }
        context.writeLog(observe::LogLine("shutdown_finished")
                             .add("open_requests", clientServer.activeExchangeCount())
                             .add("took_ms", core::toMilliseconds(context.now() - startTime)));
        context.log.flush();
        ioContext.stop();
    }
};

RouteGateway::RouteGateway(asio::io_context &ioContext,
                           const core::Clock &clock,
                           Settings settings,
                           const ProtocolAdapter &adapter,
                           metadata::MetadataStore &store,
                           observe::LogBuffer &log,
                           std::function<core::Result<Settings>()> reloadSettings)
    : m_impl(std::make_unique<Impl>(ioContext, clock, std::move(settings), adapter, store, log, std::move(reloadSettings)))
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
                              .add("callers", http::toString(impl.settings.clientEndpoint)));
    impl.placement.isSubstituteReader = [&impl] { return impl.metadataSync.isSubstituteReader(); };
    impl.evidenceClock.onStalled = [&impl](core::Duration stalledFor) { impl.onStalled(stalledFor); };
    impl.placement.isCatchingUp = [&impl] { return impl.metadataSync.isCatchingUp(); };
    impl.forwarder.waitUntilCurrent = [&impl] { return impl.metadataSync.waitUntilCurrent(); };
    impl.placement.onNewerMetadata = [&impl](const core::InstanceId &peer) { impl.metadataSync.fetchFromPeer(peer); };
    impl.fleet.stateMetadata = [&impl](FleetMessage &message) { impl.metadataSync.stateMetadata(message); };
    impl.fleet.onMetadataStated = [&impl](const FleetMessage &message) { impl.metadataSync.noteStatedMetadata(message); };
    impl.placement.onUpstreamLeaving = [&impl](const core::UpstreamId &upstream) { impl.markUpstreamLeaving(upstream); };
    impl.placement.isQuarantined = [&impl](const std::vector<routing::PromptPart> &prompt, const routing::RequestFingerprint &fingerprint) {
        return impl.quarantine.findQuarantined(prompt, fingerprint).has_value();
    };
    impl.placement.onStreamBegan = [&impl](const routing::StreamRecord &record) { impl.streamDirectory.record(record); };
    impl.quarantine.onQuarantined = [&impl] { impl.placement.refuseQuarantined(); };
    impl.fleet.start([&impl](const FleetMessage &message, const std::string &from) {
        if (const auto *records = std::get_if<std::vector<routing::CauseRecord>>(&message.body)) {
            impl.quarantine.handleRecords(*records, message.sender.id);
            return;
        }
        if (const auto *query = std::get_if<StreamQuery>(&message.body)) {
            impl.streamDirectory.handleQuery(*query, from);
            return;
        }
        if (const auto *report = std::get_if<StreamReport>(&message.body)) {
            impl.streamDirectory.handleReport(*report, message.sender.id);
            return;
        }
        impl.placement.handleMessage(message, from);
    });
    impl.paths.onChanged = [&impl](const core::UpstreamId &upstream, bool isLost) { impl.onPathChanged(upstream, isLost); };
    impl.paths.start();
    impl.quarantine.start();
    impl.streamDirectory.start();
    impl.placement.start();
    impl.metadataSync.start([&impl](const MetadataUpdate &update) { impl.onMetadataChanged(update); });
    spawnLoop(impl.context, "log_flush", [&impl] { return impl.flushLoop(); });
    spawnLoop(impl.context, "expiry", [&impl] { return impl.expiryLoop(); });
    spawnLoop(impl.context, "signals", [&impl] { return impl.signalLoop(); });
}

void RouteGateway::run()
{
    start();
    runEventLoop(m_impl->context, m_impl->ioContext);
}

} // namespace arbutus::edge
