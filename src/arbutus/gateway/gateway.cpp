// Wiring.

#include "arbutus/gateway/gateway.h"

#include "arbutus/gateway/admin.h"
#include "arbutus/gateway/callers.h"
#include "arbutus/gateway/decisionloop.h"
#include "arbutus/gateway/gossipduty.h"
#include "arbutus/gateway/journal.h"
#include "arbutus/gateway/platformduty.h"
#include "arbutus/gateway/reportsduty.h"
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

std::shared_ptr<http::TlsStore> makeTls(const http::TlsFiles &files)
{
    if (!files.enabled()) {
        return nullptr;
    }
    auto store = std::make_shared<http::TlsStore>(files);
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
        , decisions(clock, settings.node, settings.ringCapacity, [this](node::Action &&action) { carryOut(std::move(action)); })
        , callers(AttemptContext{callersThread.executor(),
                                 clock,
                                 peers,
                                 pool,
                                 core::InstanceRef{settings.node.self.id, settings.node.self.incarnation},
                                 settings.node.self.region,
                                 [this](node::FirstTokenSeen seen) { post(seen); }},
                  decisions,
                  metrics)
        , callersRing(callersThread.executor(), RequestRing, [this](RequestAction &&action) { callers.deliver(std::move(action)); })
        , callersServer(
              callersThread.executor(), settings.callers, http::ServerLimits{}, [this](http::Exchange &exchange) { return callers.serve(exchange); }, tls)
        , gossip(settings.gossip, settings.clusterKey, metrics, [this](node::DatagramArrived arrived) { post(std::move(arrived)); })
        , platform(clock, settings.platform, settings.node.self, metrics, [this](node::Event event) { post(std::move(event)); })
        , reports(settings.node.router == "naive_exact", [this](node::Event event) { post(std::move(event)); })
        , admin(settings.admin, settings.adminKey, tls, decisions, journal, metrics)
        , peerServer(http::toString(settings.peers), settings.clusterKey, makeHandlers())
    {
    }

    peer::ServerHandlers makeHandlers()
    {
        peer::ServerHandlers handlers;
        handlers.ledger = [this](node::LedgerCall call, std::function<void(std::optional<delivery::LedgerAnswer>)> reply) {
            const node::CallKey key = ledgerReplies.add(std::move(reply));
            if (!decisions.post(node::LedgerCalled{key, std::move(call)})) {
                ledgerReplies.answer(key, std::nullopt);
            }
        };
        handlers.configuration = [this](core::Revision after, std::function<void(std::optional<node::ConfigGiven>)> reply) {
            const node::CallKey key = configReplies.add(std::move(reply));
            if (!decisions.post(node::ConfigAsked{key, after})) {
                configReplies.answer(key, std::nullopt);
            }
        };
        handlers.forward = [this](std::shared_ptr<peer::ForwardSession> session) { callers.acceptForward(std::move(session)); };
        return handlers;
    }

    /// Posts an event that may be lost when the ring is full: it comes again.
    void post(node::Event event)
    {
        if (!decisions.post(std::move(event))) {
            metrics.count("arbutus_events_dropped_total");
        }
    }

    /// Posts an event that a request waits for.
    void postSurely(const node::Event &event)
    {
        while (!decisions.post(event)) {
            std::this_thread::sleep_for(1ms);
        }
    }

    void carryOut(node::Action &&action)
    {
        std::visit([this](auto &chosen) { on(std::move(chosen)); }, action);
    }

    void on(node::HeadJudged &&action)
    {
        callersRing.push(std::move(action));
    }
    void on(node::Dispatch &&action)
    {
        callersRing.push(std::move(action));
    }
    void on(node::Refuse &&action)
    {
        callersRing.push(std::move(action));
    }
    void on(node::Replay &&action)
    {
        callersRing.push(std::move(action));
    }
    void on(node::ForwardToOwner &&action)
    {
        callersRing.push(std::move(action));
    }
    void on(node::EntriesGiven &&action)
    {
        callersRing.push(std::move(action));
    }
    void on(node::LedgerReplied &&action)
    {
        ledgerReplies.answer(action.key, std::move(action.answer));
    }
    void on(node::CallLedger &&action)
    {
        const bool intent = std::holds_alternative<node::LedgerIntent>(action.call);
        const auto timeout = intent ? settings.node.witnessTimeout / 2 : settings.node.witnessTimeout;
        metrics.count("arbutus_ledger_calls_total", "way=\"out\"");
        peers.ledger(action.address, action.call, timeout, [this, key = action.key](std::optional<delivery::LedgerAnswer> answer) {
            postSurely(node::LedgerAnswered{key, std::move(answer)});
        });
    }
    void on(node::ClaimKey &&action)
    {
        const node::RequestKey key = action.key;
        if (!platform.order(std::move(action))) {
            post(node::KeyClaimed{key, std::nullopt});
        }
    }
    void on(node::SendDatagram &&action)
    {
        gossip.send(std::move(action));
    }
    void on(node::PullConfig &&action)
    {
        metrics.count("arbutus_config_pulls_total");
        peers.configuration(action.address, action.after, PullTimeout, [this](std::optional<node::Event> event) {
            if (event) {
                post(std::move(*event));
            }
        });
    }
    void on(node::WatchConfig &&action)
    {
        platform.order(action);
    }
    void on(node::WriteSnapshot &&action)
    {
        platform.order(std::move(action));
    }
    void on(node::ConfigGiven &&action)
    {
        const node::CallKey key = action.key;
        configReplies.answer(key, std::move(action));
    }
    void on(node::ReadList &&action)
    {
        platform.order(action);
    }
    void on(node::ReadLoad &&action)
    {
        reports.read(std::move(action));
    }
    void on(node::HoldLease &&action)
    {
        platform.order(std::move(action));
    }
    void on(node::SendOrder &&action)
    {
        reports.send(std::move(action));
    }
    void on(node::WriteDirectory &&action)
    {
        platform.order(std::move(action));
    }
    void on(node::Drained && /*action*/)
    {
        drained();
    }
    void on(node::DecisionLogged &&action)
    {
        metrics.count("arbutus_decisions_total", "result=\"" + action.result + "\"");
        journal.write(std::move(action));
    }
    void on(node::EventLogged &&action)
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
                observe::LogLine("tls_reload_failed").add("why", reloaded.error().message).warn();
            }
        }
    }

    const core::Clock &clock;
    Settings settings;
    std::function<void()> drained;
    observe::Metrics metrics;
    std::shared_ptr<http::TlsStore> tls;
    ReplyTable<delivery::LedgerAnswer> ledgerReplies;
    ReplyTable<node::ConfigGiven> configReplies;
    Journal journal;
    peer::Client peers;
    DutyThread callersThread;
    http::Pool pool;
    DecisionLoop decisions;
    Callers callers;
    DutyRing<RequestAction> callersRing;
    http::Server callersServer;
    GossipDuty gossip;
    PlatformDuty platform;
    ReportsDuty reports;
    Admin admin;
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
        .add("callers", http::toString(impl.settings.callers))
        .write();
}

void Gateway::drain()
{
    m_impl->post(node::DrainAsked{});
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
