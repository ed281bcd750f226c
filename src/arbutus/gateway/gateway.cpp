// Connects the components and dispatches the node's actions to them.

#include "arbutus/gateway/gateway.h"

#include "arbutus/core/asyncsleep.h"
#include "arbutus/gateway/adminserver.h"
#include "arbutus/gateway/decisionlog.h"
#include "arbutus/gateway/decisionloop.h"
#include "arbutus/gateway/gossiptransport.h"
#include "arbutus/gateway/platformclient.h"
#include "arbutus/gateway/requesthandler.h"
#include "arbutus/gateway/upstreamcontrolclient.h"
#include "arbutus/observe/logline.h"
#include "arbutus/peer/client.h"
#include "arbutus/peer/server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include <map>
#include <mutex>

namespace arbutus::gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto ConfigFetchTimeout = 1'000ms; // for fetching configuration from another instance
constexpr auto TlsReloadInterval = 5s;
constexpr auto StopAnswerTime = 1'000ms; // of it, for the answers to requests that are ended
constexpr auto StopTimeout = 5'000ms;    // for responses to requests that have been read; a client may not read its response
constexpr auto StopPollPeriod = 5ms;

/// Whether an event may be dropped in an overload: its sender repeats it, or it only carries a measurement. Requests and their
/// peers wait for the others.
bool isDroppable(const node::Event &event)
{
    return std::holds_alternative<node::DatagramReceived>(event) || std::holds_alternative<node::LoadReportReceived>(event)
        || std::holds_alternative<node::PlatformListReceived>(event) || std::holds_alternative<node::FirstTokenReceived>(event)
        || std::holds_alternative<node::StreamSilent>(event);
}

/// Pending replies to calls from other instances, by the key under which the call was posted to the node.
template<class Reply>
class ReplyTable
{
public:
    node::CallKey add(std::function<void(std::optional<Reply>)> reply)
    {
        const std::lock_guard lock(m_mutex);
        const node::CallKey key(++m_lastKey);
        m_replies[key] = std::move(reply);
        return key;
    }
    void complete(node::CallKey key, std::optional<Reply> result)
    {
        std::function<void(std::optional<Reply>)> reply;
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_replies.find(key);
            if (found == m_replies.end()) {
                return;
            }
            reply = std::move(found->second);
            m_replies.erase(found);
        }
        reply(std::move(result));
    }

private:
    std::mutex m_mutex;
    std::uint64_t m_lastKey = 0;
    std::map<node::CallKey, std::function<void(std::optional<Reply>)>> m_replies;
};

std::shared_ptr<http::ReloadableTlsContext> makeTlsContext(const http::TlsFiles &files)
{
    if (!files.enabled()) {
        return nullptr;
    }
    auto tlsContext = std::make_shared<http::ReloadableTlsContext>(files);
    const auto loaded = tlsContext->reload();
    if (!loaded) {
        throw std::runtime_error(loaded.error().message);
    }
    return tlsContext;
}

} // namespace

struct Gateway::Impl
{
    Impl(const core::Clock &clockSource, Settings initialSettings, std::function<void()> drainedCallback)
        : clock(clockSource)
        , settings(std::move(initialSettings))
        , onDrained(std::move(drainedCallback))
        , tls(makeTlsContext(settings.tls))
        , peerClient(settings.clusterKey)
        , decisionLoop(clock, settings.node, settings.eventQueueCapacity, [this](node::Action &&action) { dispatchAction(std::move(action)); })
        , requestHandler(AttemptContext{requestThread.executor(),
                                        clock,
                                        peerClient,
                                        connectionPool,
                                        core::InstanceRef{settings.node.self.id, settings.node.self.incarnation},
                                        settings.node.self.region,
                                        [this](node::FirstTokenReceived event) { post(event); },
                                        settings.streamIdleTimeout,
                                        [this](node::StreamSilent event) { post(event); }},
                         decisionLoop,
                         metrics)
        , clientServer(
              requestThread.executor(),
              settings.clientEndpoint,
              http::ServerLimits{},
              [this](http::Exchange &exchange) { return requestHandler.handleRequest(exchange); },
              tls)
        , gossipTransport(settings.gossipEndpoint, settings.clusterKey, metrics, [this](node::DatagramReceived datagram) { post(std::move(datagram)); })
        , platformClient(clock, settings.platformEndpoints, settings.node.self, metrics, [this](node::Event event) { post(std::move(event)); })
        , upstreamControl(settings.node.routerName == "naive_exact", [this](node::Event event) { post(std::move(event)); })
        , adminServer(settings.adminEndpoint, settings.adminKey, tls, decisionLoop, decisionLog, metrics)
        , peerServer(http::toString(settings.peersEndpoint), settings.clusterKey, makeHandlers())
    {
        clientServer.setUnansweredCallback([this](const http::UnansweredRequest &unanswered) { recordUnanswered(unanswered); });
        clientServer.setRejectedCallback([this](std::string_view reason) { recordRejected(reason); });
        const std::size_t places = limits::ConnectionBudget::shareOf(http::maxDescriptors());
        clientServer.setResources({std::make_shared<limits::ByteBudget>(), std::make_shared<limits::ConnectionBudget>(places)});
    }

    void recordRejected(std::string_view reason)
    {
        metrics.incrementCounter("arbutus_rejected_requests_total", "listener=\"clients\"");
        observe::LogLine("request_rejected").add("listener", "clients").add("reason", reason).write();
    }

    void recordUnanswered(const http::UnansweredRequest &unanswered)
    {
        std::string labels = "listener=\"clients\",reason=\"";
        labels += http::toString(unanswered.reason);
        metrics.incrementCounter("arbutus_unanswered_requests_total", labels + "\"");
        observe::LogLine("request_unanswered")
            .add("listener", "clients")
            .add("request", http::headerValue(unanswered.request.headers, "X-Request-Id"))
            .add("reason", http::toString(unanswered.reason))
            .add("response_started", unanswered.responseStarted)
            .add("detail", unanswered.detail)
            .write();
    }

    peer::ServerHandlers makeHandlers()
    {
        peer::ServerHandlers handlers;
        handlers.onLedgerCall = [this](node::LedgerCall call, std::function<void(std::optional<delivery::LedgerResult>)> reply) {
            const node::CallKey key = ledgerReplies.add(std::move(reply));
            if (!decisionLoop.tryPost(node::LedgerCallReceived{key, std::move(call)})) {
                ledgerReplies.complete(key, std::nullopt);
            }
        };
        handlers.onConfigurationRequest = [this](core::Revision after, std::function<void(std::optional<node::ConfigResponse>)> reply) {
            const node::CallKey key = configReplies.add(std::move(reply));
            if (!decisionLoop.tryPost(node::ConfigRequested{key, after})) {
                configReplies.complete(key, std::nullopt);
            }
        };
        handlers.onForwardedRequest = [this](std::shared_ptr<peer::ForwardSession> session) { requestHandler.handleForwardedRequest(std::move(session)); };
        return handlers;
    }

    void post(node::Event event)
    {
        if (!isDroppable(event)) {
            decisionLoop.post(std::move(event));
        } else if (!decisionLoop.tryPost(std::move(event))) {
            metrics.incrementCounter("arbutus_events_dropped_total");
        }
    }

    void dispatchAction(node::Action &&action)
    {
        std::visit([this](auto &alternative) { execute(std::move(alternative)); }, action);
    }

    /// Passes an action to its request. The number of actions that wait is bounded by that of the open requests, so they need no
    /// limit of their own.
    void deliver(RequestAction action)
    {
        asio::post(requestThread.executor(), [this, action = std::move(action)]() mutable { requestHandler.deliverAction(std::move(action)); });
    }
    void execute(node::AdmissionDecision &&action)
    {
        deliver(std::move(action));
    }
    void execute(node::Dispatch &&action)
    {
        deliver(std::move(action));
    }
    void execute(node::CancelAttempt &&action)
    {
        deliver(action);
    }
    void execute(node::RejectRequest &&action)
    {
        deliver(std::move(action));
    }
    void execute(node::ReplayResponse &&action)
    {
        deliver(std::move(action));
    }
    void execute(node::ForwardToOwner &&action)
    {
        deliver(std::move(action));
    }
    void execute(node::EntriesResponse &&action)
    {
        deliver(std::move(action));
    }
    void execute(node::LedgerCallResponse &&action)
    {
        ledgerReplies.complete(action.key, std::move(action.result));
    }
    void execute(node::CallLedger &&action)
    {
        const bool isIntent = std::holds_alternative<node::LedgerIntent>(action.call);
        const auto timeout = isIntent ? settings.node.witnessTimeout / 2 : settings.node.witnessTimeout;
        metrics.incrementCounter("arbutus_ledger_calls_total", "way=\"out\"");
        peerClient.callLedger(action.address, action.call, timeout, [this, key = action.key](std::optional<delivery::LedgerResult> result) {
            post(node::LedgerResponseReceived{key, std::move(result)});
        });
    }
    void execute(node::ClaimIdempotencyKey &&action)
    {
        const node::RequestKey key = action.key;
        if (!platformClient.trySubmit(std::move(action))) {
            post(node::IdempotencyKeyClaimed{key, std::nullopt});
        }
    }
    void execute(node::SendDatagram &&action)
    {
        gossipTransport.send(std::move(action));
    }
    void execute(node::FetchConfig &&action)
    {
        metrics.incrementCounter("arbutus_config_pulls_total");
        peerClient.fetchConfiguration(action.address, action.afterRevision, ConfigFetchTimeout, [this](std::optional<node::Event> event) {
            if (event) {
                post(std::move(*event));
            }
        });
    }
    void execute(node::WatchConfig &&action)
    {
        platformClient.trySubmit(action);
    }
    void execute(node::WriteSnapshot &&action)
    {
        platformClient.trySubmit(std::move(action));
    }
    void execute(node::ConfigResponse &&action)
    {
        const node::CallKey key = action.key;
        configReplies.complete(key, std::move(action));
    }
    void execute(node::FetchPlatformList &&action)
    {
        platformClient.trySubmit(action);
    }
    void execute(node::FetchLoadReport &&action)
    {
        upstreamControl.requestLoadReport(std::move(action));
    }
    void execute(node::MaintainLease &&action)
    {
        platformClient.trySubmit(std::move(action));
    }
    void execute(node::SendPlacementCommand &&action)
    {
        upstreamControl.sendPlacementCommand(std::move(action));
    }
    void execute(node::WriteDirectory &&action)
    {
        platformClient.trySubmit(std::move(action));
    }
    void execute(node::DrainCompleted && /*action*/)
    {
        onDrained();
    }
    void execute(node::LogRoutingDecision &&action)
    {
        metrics.incrementCounter("arbutus_decisions_total", "result=\"" + action.result + "\"");
        decisionLog.write(std::move(action));
    }
    void execute(node::LogEvent &&action)
    {
        decisionLog.write(std::move(action));
    }

    asio::awaitable<void> reloadTls()
    {
        while (true) {
            asio::steady_timer timer(requestThread.executor(), TlsReloadInterval);
            co_await timer.async_wait(asio::use_awaitable);
            const auto reloaded = tls->reload();
            if (!reloaded) {
                observe::LogLine("tls_reload_failed").add("reason", reloaded.error().message).warn();
            }
        }
    }

    /// Accepts no more connections and waits until the requests that have been read are answered.
    asio::awaitable<void> closeClientServer()
    {
        clientServer.closeAfterResponses();
        clientServer.stopAccepting();
        const core::TimePoint deadline = clock.steadyNow() + StopTimeout;
        do {
            clientServer.closeIdleConnections();
            co_await core::asyncSleep(StopPollPeriod);
            if (clock.steadyNow() >= deadline - StopAnswerTime) {
                requestHandler.endOpenRequests();
            }
        } while (clientServer.hasOpenRequests() && clock.steadyNow() < deadline);
        if (clientServer.hasOpenRequests()) {
            observe::LogLine("stopped_with_open_requests").add("open_requests", clientServer.activeExchangeCount()).warn();
        }
    }

    const core::Clock &clock;
    Settings settings;
    bool running = false;
    std::function<void()> onDrained;
    observe::Metrics metrics;
    std::shared_ptr<http::ReloadableTlsContext> tls;
    ReplyTable<delivery::LedgerResult> ledgerReplies;
    ReplyTable<node::ConfigResponse> configReplies;
    DecisionLog decisionLog;
    peer::Client peerClient;
    EventLoopThread requestThread;
    http::ConnectionPool connectionPool;
    DecisionLoop decisionLoop;
    RequestHandler requestHandler;
    http::Server clientServer;
    GossipTransport gossipTransport;
    PlatformClient platformClient;
    UpstreamControlClient upstreamControl;
    AdminServer adminServer;
    peer::Server peerServer;
};

Gateway::Gateway(const core::Clock &clock, Settings settings, std::function<void()> onDrained)
    : m_impl(std::make_unique<Impl>(clock, std::move(settings), std::move(onDrained)))
{
}

Gateway::~Gateway()
{
    stop();
}

void Gateway::start()
{
    Impl &impl = *m_impl;
    impl.decisionLog.start();
    impl.gossipTransport.start();
    impl.platformClient.start();
    impl.upstreamControl.start();
    impl.decisionLoop.start();
    if (impl.tls != nullptr) {
        asio::co_spawn(impl.requestThread.executor(), impl.reloadTls(), asio::detached);
    }
    impl.requestThread.start();
    impl.running = true;
    impl.adminServer.start();
    observe::LogLine("gateway_started")
        .add("instance", impl.settings.node.self.id)
        .add("incarnation", impl.settings.node.self.incarnation)
        .add("region", impl.settings.node.self.region)
        .add("failure_domain", impl.settings.node.self.domain)
        .add("callers", http::toString(impl.settings.clientEndpoint))
        .write();
}

void Gateway::drain()
{
    m_impl->post(node::DrainRequested{});
}

std::uint16_t Gateway::clientPort() const
{
    return m_impl->clientServer.port();
}

void Gateway::stop()
{
    Impl &impl = *m_impl;
    if (std::exchange(impl.running, false)) {
        drain(); // requests that arrive from now on are rejected
        asio::co_spawn(impl.requestThread.executor(), impl.closeClientServer(), asio::use_future).wait();
    }
    impl.peerServer.stop();
    impl.decisionLoop.stop();
    impl.requestThread.stop();
    impl.adminServer.stop();
    impl.gossipTransport.stop();
    impl.platformClient.stop();
    impl.upstreamControl.stop();
    impl.decisionLog.stop();
}

} // namespace arbutus::gateway
