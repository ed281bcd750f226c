// Wiring.

#include "arbutus/gateway/gateway.h"

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
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <mutex>

namespace arbutus::gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto PullTimeout = 1'000ms; // configuration from another instance
constexpr auto TlsReloadPeriod = 5s;
constexpr std::size_t RequestRing = 65'536; // actions waiting for the callers' thread

/// Replies to other instances' calls, by the key under which the node was asked.
template<class Reply>
class ReplyTable
{
public:
    node::CallKey add(std::function<void(std::optional<Reply>)> reply)
    {
        const std::lock_guard lock(m_mutex);
        const node::CallKey key(++m_next);
        m_replies[key] = std::move(reply);
        return key;
    }
    void answer(node::CallKey key, std::optional<Reply> value)
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
        reply(std::move(value));
    }

private:
    std::mutex m_mutex;
    std::uint64_t m_next = 0;
    std::map<node::CallKey, std::function<void(std::optional<Reply>)>> m_replies;
};

std::shared_ptr<http::ReloadableTlsContext> makeTls(const http::TlsFiles &files)
{
    if (!files.enabled()) {
        return nullptr;
    }
    auto store = std::make_shared<http::ReloadableTlsContext>(files);
    const auto loaded = store->reload();
    if (!loaded) {
        throw std::runtime_error(loaded.error().message);
    }
    return store;
}

} // namespace

struct Gateway::Impl
{
    Impl(const core::Clock &clockUsed, Settings given, std::function<void()> whenDrained)
        : clock(clockUsed)
        , settings(std::move(given))
        , drained(std::move(whenDrained))
        , tls(makeTls(settings.tls))
        , peers(settings.clusterKey)
        , decisions(clock, settings.node, settings.eventQueueCapacity, [this](node::Action &&action) { carryOut(std::move(action)); })
        , callers(AttemptContext{callersThread.executor(),
                                 clock,
                                 peers,
                                 pool,
                                 core::InstanceRef{settings.node.self.id, settings.node.self.incarnation},
                                 settings.node.self.region,
                                 [this](node::FirstTokenReceived seen) { post(seen); }},
                  decisions,
                  metrics)
        , callersRing(callersThread.executor(), RequestRing, [this](RequestAction &&action) { callers.deliverAction(std::move(action)); })
        , callersServer(
              callersThread.executor(),
              settings.callersEndpoint,
              http::ServerLimits{},
              [this](http::Exchange &exchange) { return callers.handleRequest(exchange); },
              tls)
        , gossip(settings.gossipEndpoint, settings.clusterKey, metrics, [this](node::DatagramReceived arrived) { post(std::move(arrived)); })
        , platform(clock, settings.platformEndpoints, settings.node.self, metrics, [this](node::Event event) { post(std::move(event)); })
        , reports(settings.node.routerName == "naive_exact", [this](node::Event event) { post(std::move(event)); })
        , admin(settings.adminEndpoint, settings.adminKey, tls, decisions, journal, metrics)
        , peerServer(http::toString(settings.peersEndpoint), settings.clusterKey, makeHandlers())
    {
    }

    peer::ServerHandlers makeHandlers()
    {
        peer::ServerHandlers handlers;
        handlers.onLedgerCall = [this](node::LedgerCall call, std::function<void(std::optional<delivery::LedgerResult>)> reply) {
            const node::CallKey key = ledgerReplies.add(std::move(reply));
            if (!decisions.tryPost(node::LedgerCallReceived{key, std::move(call)})) {
                ledgerReplies.answer(key, std::nullopt);
            }
        };
        handlers.onConfigurationRequest = [this](core::Revision after, std::function<void(std::optional<node::ConfigResponse>)> reply) {
            const node::CallKey key = configReplies.add(std::move(reply));
            if (!decisions.tryPost(node::ConfigRequested{key, after})) {
                configReplies.answer(key, std::nullopt);
            }
        };
        handlers.onForwardedRequest = [this](std::shared_ptr<peer::ForwardSession> session) { callers.handleForwardedRequest(std::move(session)); };
        return handlers;
    }

    /// Posts an event that may be lost when the ring is full: it comes again.
    void post(node::Event event)
    {
        if (!decisions.tryPost(std::move(event))) {
            metrics.incrementCounter("arbutus_events_dropped_total");
        }
    }

    /// Posts an event that a request waits for.
    void postSurely(const node::Event &event)
    {
        while (!decisions.tryPost(event)) {
            std::this_thread::sleep_for(1ms);
        }
    }

    void carryOut(node::Action &&action)
    {
        std::visit([this](auto &chosen) { on(std::move(chosen)); }, action);
    }

    void on(node::AdmissionDecision &&action)
    {
        callersRing.tryPush(std::move(action));
    }
    void on(node::Dispatch &&action)
    {
        callersRing.tryPush(std::move(action));
    }
    void on(node::RejectRequest &&action)
    {
        callersRing.tryPush(std::move(action));
    }
    void on(node::ReplayResponse &&action)
    {
        callersRing.tryPush(std::move(action));
    }
    void on(node::ForwardToOwner &&action)
    {
        callersRing.tryPush(std::move(action));
    }
    void on(node::EntriesResponse &&action)
    {
        callersRing.tryPush(std::move(action));
    }
    void on(node::LedgerCallResponse &&action)
    {
        ledgerReplies.answer(action.key, std::move(action.result));
    }
    void on(node::CallLedger &&action)
    {
        const bool intent = std::holds_alternative<node::LedgerIntent>(action.call);
        const auto timeout = intent ? settings.node.witnessTimeout / 2 : settings.node.witnessTimeout;
        metrics.incrementCounter("arbutus_ledger_calls_total", "way=\"out\"");
        peers.callLedger(action.address, action.call, timeout, [this, key = action.key](std::optional<delivery::LedgerResult> answer) {
            postSurely(node::LedgerResponseReceived{key, std::move(answer)});
        });
    }
    void on(node::ClaimIdempotencyKey &&action)
    {
        const node::RequestKey key = action.key;
        if (!platform.trySubmit(std::move(action))) {
            post(node::IdempotencyKeyClaimed{key, std::nullopt});
        }
    }
    void on(node::SendDatagram &&action)
    {
        gossip.send(std::move(action));
    }
    void on(node::FetchConfig &&action)
    {
        metrics.incrementCounter("arbutus_config_pulls_total");
        peers.fetchConfiguration(action.address, action.afterRevision, PullTimeout, [this](std::optional<node::Event> event) {
            if (event) {
                post(std::move(*event));
            }
        });
    }
    void on(node::WatchConfig &&action)
    {
        platform.trySubmit(action);
    }
    void on(node::WriteSnapshot &&action)
    {
        platform.trySubmit(std::move(action));
    }
    void on(node::ConfigResponse &&action)
    {
        const node::CallKey key = action.key;
        configReplies.answer(key, std::move(action));
    }
    void on(node::FetchPlatformList &&action)
    {
        platform.trySubmit(action);
    }
    void on(node::FetchLoadReport &&action)
    {
        reports.readLoad(std::move(action));
    }
    void on(node::MaintainLease &&action)
    {
        platform.trySubmit(std::move(action));
    }
    void on(node::SendPlacementCommand &&action)
    {
        reports.sendPlacementCommand(std::move(action));
    }
    void on(node::WriteDirectory &&action)
    {
        platform.trySubmit(std::move(action));
    }
    void on(node::DrainCompleted && /*action*/)
    {
        drained();
    }
    void on(node::LogRoutingDecision &&action)
    {
        metrics.incrementCounter("arbutus_decisions_total", "result=\"" + action.result + "\"");
        journal.write(std::move(action));
    }
    void on(node::LogEvent &&action)
    {
        journal.write(std::move(action));
    }

    asio::awaitable<void> reloadTls()
    {
        while (true) {
            asio::steady_timer timer(callersThread.executor(), TlsReloadPeriod);
            co_await timer.async_wait(asio::use_awaitable);
            const auto reloaded = tls->reload();
            if (!reloaded) {
                observe::LogLine("tls_reload_failed").add("reason", reloaded.error().message).warn();
            }
        }
    }

    const core::Clock &clock;
    Settings settings;
    std::function<void()> drained;
    observe::Metrics metrics;
    std::shared_ptr<http::ReloadableTlsContext> tls;
    ReplyTable<delivery::LedgerResult> ledgerReplies;
    ReplyTable<node::ConfigResponse> configReplies;
    DecisionLog journal;
    peer::Client peers;
    EventLoopThread callersThread;
    http::ConnectionPool pool;
    DecisionLoop decisions;
    RequestHandler callers;
    EventLoopQueue<RequestAction> callersRing;
    http::Server callersServer;
    GossipTransport gossip;
    PlatformClient platform;
    UpstreamControlClient reports;
    AdminServer admin;
    peer::Server peerServer;
};

Gateway::Gateway(const core::Clock &clock, Settings settings, std::function<void()> drained)
    : m_impl(std::make_unique<Impl>(clock, std::move(settings), std::move(drained)))
{
}

Gateway::~Gateway()
{
    stop();
}

void Gateway::start()
{
    Impl &impl = *m_impl;
    impl.journal.start();
    impl.gossip.start();
    impl.platform.start();
    impl.reports.start();
    impl.decisions.start();
    if (impl.tls != nullptr) {
        asio::co_spawn(impl.callersThread.executor(), impl.reloadTls(), asio::detached);
    }
    impl.callersThread.start();
    impl.admin.start();
    observe::LogLine("gateway_started")
        .add("instance", impl.settings.node.self.id)
        .add("incarnation", impl.settings.node.self.incarnation)
        .add("region", impl.settings.node.self.region)
        .add("failure_domain", impl.settings.node.self.domain)
        .add("callers", http::toString(impl.settings.callersEndpoint))
        .write();
}

void Gateway::drain()
{
    m_impl->post(node::DrainRequested{});
}

void Gateway::stop()
{
    Impl &impl = *m_impl;
    impl.callersServer.stopAccepting();
    impl.peerServer.stop();
    impl.decisions.stop();
    impl.callersThread.stop();
    impl.admin.stop();
    impl.gossip.stop();
    impl.platform.stop();
    impl.reports.stop();
    impl.journal.stop();
}

} // namespace arbutus::gateway
