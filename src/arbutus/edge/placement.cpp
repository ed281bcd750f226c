// Asks, verdicts, reports and region states.

#include "arbutus/edge/placement.h"
#include "arbutus/core/overloaded.h"
#include "arbutus/core/pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace arbutus::edge {

namespace asio = boost::asio;

namespace {

routing::DispatcherView viewOf(const Context &context, const Beliefs &beliefs)
{
    return routing::DispatcherView{context.settings.region, context.settings.regions, beliefs.roster(), beliefs.catalog()};
}

std::string describe(const routing::Verdict &verdict)
{
    return std::visit(core::Overloaded{
                          [](const routing::Granted &granted) {
                              return "granted upstream=" + granted.upstream.text + " uncached=" + std::to_string(granted.uncachedTokens)
                                  + " predicted_ms=" + std::to_string(core::toMilliseconds(granted.predicted)) + (granted.cold ? " cold=1" : "");
                          },
                          [](const routing::Waits &waits) { return "waits predicted_ms=" + std::to_string(core::toMilliseconds(waits.predicted)); },
                          [](const routing::Elsewhere &elsewhere) {
                              return "elsewhere region=" + elsewhere.region.text + " predicted_ms=" + std::to_string(core::toMilliseconds(elsewhere.predicted));
                          },
                          [](const routing::Refused &refused) {
                              const bool overloaded = refused.reason == routing::RefusalReason::Overloaded;
                              return std::string("refused reason=") + (overloaded ? "overloaded" : "no_upstream")
                                  + " retry_after_ms=" + std::to_string(core::toMilliseconds(refused.retryAfter));
                          },
                      },
                      verdict);
}

bool waits(const routing::Verdict &verdict)
{
    return std::holds_alternative<routing::Waits>(verdict);
}

} // namespace

Placement::Placement(Context &context, Fleet &fleet, Beliefs &beliefs, PlacementSettings settings)
    : m_context(context)
    , m_fleet(fleet)
    , m_beliefs(beliefs)
    , m_settings(settings)
    , m_dispatcher(context.settings.dispatch, viewOf(context, beliefs), context.now())
{
}

void Placement::start()
{
    asio::co_spawn(m_context.executor, settleLoop(), asio::detached);
    asio::co_spawn(m_context.executor, reportLoop(), asio::detached);
    asio::co_spawn(m_context.executor, stateLoop(), asio::detached);
}

//-----------------------------------------------------------------------------
// Asking
//-----------------------------------------------------------------------------

bool Placement::passedOver(const core::InstanceId &id) const
{
    const auto found = m_passedOver.find(id);
    return found != m_passedOver.end() && m_context.now() < found->second;
}

void Placement::passOver(const core::InstanceId &id)
{
    m_passedOver[id] = m_context.now() + m_settings.passOver;
    m_context.metrics.count("arbutus_dispatcher_silent_total");
    m_context.write(observe::LogLine("dispatcher_silent").add("member", id).add("passed_over_ms", m_settings.passOver.count()));
    for (const auto &[work, waiter] : m_waiters) {
        if (waiter->askedOf == id) {
            waiter->timer.cancel();
        }
    }
}

std::optional<membership::Member> Placement::holder()
{
    for (const membership::Member &member : m_fleet.dutyOrder(m_context.settings.region)) {
        if (member.id == m_context.settings.id) {
            return std::nullopt;
        }
        if (!passedOver(member.id)) {
            return member;
        }
    }
    return std::nullopt;
}

asio::awaitable<void> Placement::waitFor(Waiter &waiter, std::chrono::milliseconds most)
{
    if (waiter.verdict) {
        co_return;
    }
    waiter.timer.expires_after(most);
    boost::system::error_code code;
    co_await waiter.timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
}

asio::awaitable<routing::Verdict> Placement::place(routing::Ask &ask, std::shared_ptr<CancelToken> token)
{
    ask.holder = m_context.settings.id;
    const auto waiter = std::make_shared<Waiter>(m_context.executor);
    m_waiters[ask.id] = waiter;
    token->wake = [waiter] { waiter->timer.cancel(); };
    routing::Verdict verdict = routing::Waits{};
    core::InstanceId decidedBy = m_context.settings.id;
    int silent = 0;
    const core::TimePoint askedAt = m_context.now();
    while (waits(verdict) && !token->cancelled) {
        if (m_context.now() >= ask.usefulUntil) {
            verdict = routing::Refused{routing::RefusalReason::Overloaded, std::chrono::milliseconds(200)};
            break;
        }
        const auto dispatcher = holder();
        waiter->verdict.reset();
        if (!dispatcher) {
            decidedBy = m_context.settings.id;
            verdict = m_dispatcher.ask(ask, m_context.now());
            if (waits(verdict)) {
                co_await waitFor(*waiter, m_settings.repeatPeriod);
            }
        } else {
            if (decidedBy != dispatcher->id) {
                decidedBy = dispatcher->id;
                m_dispatcher.withdraw(ask.id);
                silent = 0;
            }
            waiter->askedOf = dispatcher->id;
            m_fleet.send(dispatcher->gossipAddress, ask);
            co_await waitFor(*waiter, m_settings.answerTimeout);
            if (!waiter->verdict) {
                if (++silent >= m_settings.silentAsks && !token->cancelled && !passedOver(dispatcher->id)) {
                    passOver(dispatcher->id);
                }
            } else if (waits(*waiter->verdict)) { // the holder has it, and tells when it can be placed
                silent = 0;
                waiter->verdict.reset();
                co_await waitFor(*waiter, m_settings.repeatPeriod);
            }
        }
        if (waiter->verdict) {
            verdict = *waiter->verdict;
        }
    }
    token->wake = nullptr;
    m_waiters.erase(ask.id);
    if (token->cancelled) {
        m_dispatcher.withdraw(ask.id);
        if (const auto dispatcher = holder()) {
            m_fleet.send(dispatcher->gossipAddress, Withdrawal{ask.id});
        }
        if (const auto *granted = std::get_if<routing::Granted>(&verdict)) {
            hand(ask, *granted);
            ended(ask.id, routing::WorkEnding::NeverSent);
        }
        co_return routing::Refused{routing::RefusalReason::Overloaded, {}};
    }
    if (const auto *granted = std::get_if<routing::Granted>(&verdict)) {
        hand(ask, *granted);
    }
    const auto waited = m_context.now() - askedAt;
    m_context.metrics.observe("arbutus_placement_seconds", "", waited);
    m_context.write(observe::LogLine("placed")
                        .add("request", ask.id)
                        .add("service", ask.service)
                        .add("priority", ask.priority)
                        .add("tokens", ask.promptTokens)
                        .add("waited_ms", core::toMilliseconds(waited))
                        .add("by", decidedBy)
                        .add("evidence_age_ms", core::toMilliseconds(m_beliefs.evidenceAge(m_context.now())))
                        .add("verdict", describe(verdict)));
    co_return verdict;
}

//-----------------------------------------------------------------------------
// Work held here
//-----------------------------------------------------------------------------

void Placement::hand(const routing::Ask &ask, const routing::Granted &granted)
{
    const std::uint32_t memory = ask.ownTokens();
    m_held[ask.id] = Held{granted.upstream, m_context.now(), std::nullopt, memory};
    m_dispatcher.report(m_context.settings.id, {routing::Holding{ask.id, granted.upstream, std::nullopt, memory}}, m_context.now());
}

void Placement::started(const routing::WorkId &id)
{
    const auto found = m_held.find(id);
    if (found == m_held.end() || found->second.firstEventAfter) {
        return;
    }
    const core::TimePoint now = m_context.now();
    const auto took = now - found->second.since;
    found->second.firstEventAfter = took;
    m_dispatcher.started(id, found->second.upstream, took, now);
    m_newlyStarted.insert(id);
    flushWork();
}

void Placement::ended(const routing::WorkId &id, routing::WorkEnding ending)
{
    const auto found = m_held.find(id);
    if (found == m_held.end()) {
        return;
    }
    m_dispatcher.finished(id, found->second.upstream, ending, m_context.now());
    m_newlyEnded.push_back(WorkEnded{id, found->second.upstream, ending});
    m_newlyStarted.erase(id);
    m_held.erase(found);
    flushWork();
}

void Placement::flushWork()
{
    if (std::exchange(m_flushing, true)) {
        return;
    }
    asio::post(m_context.executor, [this] { // what happens in this turn of the loop goes in one datagram
        m_flushing = false;
        WorkReport report;
        for (const routing::WorkId &id : std::exchange(m_newlyStarted, {})) {
            const Held &held = m_held[id];
            report.holdings.push_back(routing::Holding{id, held.upstream, held.firstEventAfter, held.memoryTokens});
        }
        report.ended = std::exchange(m_newlyEnded, {});
        if (!report.holdings.empty() || !report.ended.empty()) {
            sendWork(report);
        }
        deliver(m_dispatcher.settle(m_context.now()));
    });
}

void Placement::sendWork(const WorkReport &report)
{
    const auto &order = m_fleet.dutyOrder(m_context.settings.region);
    for (std::size_t i = 0; i < order.size() && i < m_settings.dutyHoldersTold; ++i) {
        if (order[i].id != m_context.settings.id) {
            m_fleet.send(order[i].gossipAddress, report);
        }
    }
}

asio::awaitable<void> Placement::reportLoop()
{
    while (true) {
        co_await core::pause(m_settings.reportPeriod);
        WorkReport report;
        for (const auto &[id, held] : m_held) {
            report.holdings.push_back(routing::Holding{id, held.upstream, held.firstEventAfter, held.memoryTokens});
            if (report.holdings.size() >= m_settings.holdingsPerDatagram) {
                m_dispatcher.report(m_context.settings.id, report.holdings, m_context.now());
                sendWork(report);
                report.holdings.clear();
            }
        }
        if (!report.holdings.empty()) {
            m_dispatcher.report(m_context.settings.id, report.holdings, m_context.now());
            sendWork(report);
        }
    }
}

//-----------------------------------------------------------------------------
// Dispatching for others
//-----------------------------------------------------------------------------

void Placement::deliver(std::vector<routing::Settled> settled)
{
    std::map<core::InstanceId, std::vector<VerdictMessage>> byHolder;
    for (routing::Settled &row : settled) {
        if (row.holder != m_context.settings.id) {
            byHolder[row.holder].push_back(VerdictMessage{row.id, std::move(row.verdict)});
            continue;
        }
        const auto waiter = m_waiters.find(row.id);
        if (waiter != m_waiters.end()) {
            waiter->second->verdict = std::move(row.verdict);
            waiter->second->timer.cancel();
        } else if (const auto *granted = std::get_if<routing::Granted>(&row.verdict)) {
            m_dispatcher.finished(row.id, granted->upstream, routing::WorkEnding::NeverSent, m_context.now());
        }
    }
    for (auto &[holder, verdicts] : byHolder) {
        m_fleet.send(m_addresses[holder], std::move(verdicts));
    }
}

void Placement::logDispatch()
{
    const core::TimePoint now = m_context.now();
    for (const auto &[id, model] : m_dispatcher.models()) {
        if (model.runs().empty()) {
            continue;
        }
        m_context.write(observe::LogLine("dispatch_state")
                            .add("upstream", id)
                            .add("runs", model.runs().size())
                            .add("backlog_ms", core::toMilliseconds(model.backlog(now)))
                            .add("tokens_per_ms", std::lround(model.prefillRate()))
                            .add("failure_rate", model.failureRate())
                            .add("accepts", model.accepts(now))
                            .add("waiting", m_dispatcher.waiting()));
    }
}

asio::awaitable<void> Placement::settleLoop()
{
    while (true) {
        co_await core::pause(m_settings.settlePeriod);
        updateDuty();
        if (m_dispatcher.waiting() > 0) {
            deliver(m_dispatcher.settle(m_context.now()));
        }
    }
}

void Placement::updateDuty()
{
    const auto &order = m_fleet.dutyOrder(m_context.settings.region);
    const bool holds = !order.empty() && order.front().id == m_context.settings.id;
    const double reach = static_cast<double>(order.size()) / static_cast<double>(std::max<std::size_t>(m_fleet.knownInRegion(), 1));
    if (holds != m_holds) {
        m_holds = holds;
        m_context.write(observe::LogLine("dispatch_duty").add("holds", holds).add("members", order.size()).add("known", m_fleet.knownInRegion()));
    }
    m_dispatcher.setDuty(holds, reach, m_context.now());
}

void Placement::receive(const FleetMessage &message, const std::string &from)
{
    std::visit(core::Overloaded{
                   [](const membership::Message &) {}, // handled by the fleet
                   [&](const routing::Ask &ask) { receiveAsk(ask, from); },
                   [&](const std::vector<VerdictMessage> &verdicts) { receiveVerdicts(verdicts); },
                   [&](const WorkReport &report) { receiveWork(report, message.sender.id); },
                   [&](const RegionState &state) { receiveState(state, message.sender.id); },
                   [&](const Withdrawal &withdrawal) { m_dispatcher.withdraw(withdrawal.id); },
               },
               message.body);
}

void Placement::receiveAsk(const routing::Ask &ask, const std::string &from)
{
    m_addresses[ask.holder] = from;
    routing::Verdict verdict = m_dispatcher.ask(ask, m_context.now());
    std::vector<VerdictMessage> reply;
    reply.push_back(VerdictMessage{ask.id, std::move(verdict)});
    m_fleet.send(from, std::move(reply));
    deliver(m_dispatcher.settle(m_context.now()));
}

void Placement::receiveVerdicts(const std::vector<VerdictMessage> &verdicts)
{
    for (const VerdictMessage &message : verdicts) {
        const auto waiter = m_waiters.find(message.id);
        if (waiter != m_waiters.end()) {
            waiter->second->verdict = message.verdict;
            waiter->second->timer.cancel();
        }
    }
}

void Placement::receiveWork(const WorkReport &report, const core::InstanceId &sender)
{
    const core::TimePoint now = m_context.now();
    m_dispatcher.report(sender, report.holdings, now);
    for (const WorkEnded &ended : report.ended) {
        m_dispatcher.finished(ended.id, ended.upstream, ended.ending, now);
    }
    if (m_dispatcher.waiting() > 0) {
        deliver(m_dispatcher.settle(now));
    }
}

//-----------------------------------------------------------------------------
// Region states
//-----------------------------------------------------------------------------

RegionState Placement::regionState()
{
    const core::TimePoint now = m_context.now();
    RegionState state;
    for (const routing::Outlook &outlook : m_dispatcher.outlooks(now)) {
        state.outlooks.push_back(RegionOutlook{m_context.settings.region, outlook, core::Duration::zero()});
    }
    for (const auto &[key, row] : m_outlooks) {
        state.outlooks.push_back(RegionOutlook{key.first, row.first, now - row.second});
    }
    state.beliefRevision = m_beliefs.beliefRevision();
    state.asOf = m_beliefs.asOf();
    state.evidenceAge = m_beliefs.evidenceAge(now);
    for (const core::UpstreamId &id : m_beliefs.leavingSeen()) {
        state.leaving.push_back(id);
    }
    return state;
}

void Placement::sendState()
{
    const auto &order = m_fleet.dutyOrder(m_context.settings.region);
    const bool holds = !order.empty() && order.front().id == m_context.settings.id;
    const bool watches = m_fleet.watchRank() == 0;
    if (!holds && !watches) {
        return;
    }
    RegionState state = regionState();
    for (const membership::Member &member : order) {
        if (member.id != m_context.settings.id) {
            m_fleet.send(member.gossipAddress, state);
        }
    }
    std::erase_if(state.outlooks, [&](const RegionOutlook &row) { return row.region != m_context.settings.region || !holds; });
    std::set<core::RegionId> regions;
    for (const auto &[domain, region] : m_context.settings.regions) {
        regions.insert(region);
    }
    regions.erase(m_context.settings.region);
    for (const core::RegionId &region : regions) {
        const auto &others = m_fleet.dutyOrder(region);
        for (std::size_t i = 0; i < others.size() && i < m_settings.dutyHoldersTold; ++i) {
            m_fleet.send(others[i].gossipAddress, state);
        }
    }
}

asio::awaitable<void> Placement::stateLoop()
{
    while (true) {
        co_await core::pause(m_settings.statePeriod);
        sendState();
        if (m_holds && m_context.now() - m_loggedAt >= m_settings.logPeriod) {
            m_loggedAt = m_context.now();
            logDispatch();
        }
    }
}

void Placement::beliefsChanged()
{
    sendState();
    deliver(m_dispatcher.settle(m_context.now()));
}

void Placement::receiveState(const RegionState &state, const core::InstanceId &sender)
{
    const core::TimePoint now = m_context.now();
    for (const RegionOutlook &row : state.outlooks) {
        if (row.region == m_context.settings.region) {
            continue;
        }
        const core::TimePoint at = now - row.age;
        auto &known = m_outlooks[{row.region, row.outlook.service}];
        if (at > known.second) {
            known = {row.outlook, at};
            m_dispatcher.noteOutlook(row.region, row.outlook, at);
        }
    }
    m_beliefs.confirm(state.beliefRevision, state.asOf, state.evidenceAge, now);
    if (state.beliefRevision > m_beliefs.beliefRevision() && onNewerBeliefs) {
        onNewerBeliefs(sender);
    }
    for (const core::UpstreamId &id : state.leaving) {
        if (onLeaving) {
            onLeaving(id);
        }
    }
}

} // namespace arbutus::edge
