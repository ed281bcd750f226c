// Asks, verdicts, reports and region states.

#include "arbutus/edge/placementservice.h"
#include "arbutus/core/asyncsleep.h"
#include "arbutus/core/overloaded.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace arbutus::edge {

namespace asio = boost::asio;

namespace {

routing::DispatcherView viewOf(const InstanceContext &context, const MetadataCache &beliefs)
{
    return routing::DispatcherView{context.settings.region, context.settings.regionByDomain, beliefs.registry(), beliefs.catalog()};
}

std::string describe(const routing::PlacementDecision &verdict)
{
    return std::visit(core::Overloaded{
                          [](const routing::Granted &granted) {
                              return "granted upstream=" + granted.upstream.text + " uncached=" + std::to_string(granted.uncachedTokens)
                                  + " predicted_ms=" + std::to_string(core::toMilliseconds(granted.predictedLatency)) + (granted.coldUpstream ? " cold=1" : "");
                          },
                          [](const routing::Queued &waits) { return "waits predicted_ms=" + std::to_string(core::toMilliseconds(waits.predictedWait)); },
                          [](const routing::Redirected &elsewhere) {
                              return "elsewhere region=" + elsewhere.region.text
                                  + " predicted_ms=" + std::to_string(core::toMilliseconds(elsewhere.predictedLatency));
                          },
                          [](const routing::Refused &refused) {
                              const bool overloaded = refused.reason == routing::RefusalReason::Overloaded;
                              return std::string("refused reason=") + (overloaded ? "overloaded" : "no_upstream")
                                  + " retry_after_ms=" + std::to_string(core::toMilliseconds(refused.retryAfter));
                          },
                      },
                      verdict);
}

bool waits(const routing::PlacementDecision &verdict)
{
    return std::holds_alternative<routing::Queued>(verdict);
}

} // namespace

PlacementService::PlacementService(InstanceContext &context, Fleet &fleet, MetadataCache &beliefs, PlacementServiceSettings settings)
    : m_context(context)
    , m_fleet(fleet)
    , m_beliefs(beliefs)
    , m_settings(settings)
    , m_dispatcher(context.settings.dispatcher, viewOf(context, beliefs), context.now())
{
}

void PlacementService::start()
{
    asio::co_spawn(m_context.executor, dispatchLoop(), asio::detached);
    asio::co_spawn(m_context.executor, reportLoop(), asio::detached);
    asio::co_spawn(m_context.executor, stateLoop(), asio::detached);
}

//-----------------------------------------------------------------------------
// Asking
//-----------------------------------------------------------------------------

bool PlacementService::isSkipped(const core::InstanceId &id) const
{
    const auto found = m_skippedUntil.find(id);
    return found != m_skippedUntil.end() && m_context.now() < found->second;
}

void PlacementService::skipUnresponsive(const core::InstanceId &id)
{
    m_skippedUntil[id] = m_context.now() + m_settings.unresponsiveSkipTime;
    m_context.metrics.incrementCounter("arbutus_dispatcher_silent_total");
    m_context.writeLog(observe::LogLine("dispatcher_unresponsive").add("member", id).add("skipped_ms", m_settings.unresponsiveSkipTime.count()));
    for (const auto &[work, waiter] : m_pending) {
        if (waiter->requestedFrom == id) {
            waiter->timer.cancel();
        }
    }
}

std::optional<membership::Member> PlacementService::remoteDispatcher()
{
    for (const membership::Member &member : m_fleet.dispatcherRanking(m_context.settings.region)) {
        if (member.id == m_context.settings.instanceId) {
            return std::nullopt;
        }
        if (!isSkipped(member.id)) {
            return member;
        }
    }
    return std::nullopt;
}

asio::awaitable<void> PlacementService::waitForDecision(PendingPlacement &waiter, std::chrono::milliseconds most)
{
    if (waiter.decision) {
        co_return;
    }
    waiter.timer.expires_after(most);
    boost::system::error_code code;
    co_await waiter.timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
}

asio::awaitable<routing::PlacementDecision> PlacementService::place(routing::PlacementRequest &ask, std::shared_ptr<CancellationToken> token)
{
    ask.requester = m_context.settings.instanceId;
    const auto waiter = std::make_shared<PendingPlacement>(m_context.executor);
    m_pending[ask.id] = waiter;
    token->onCancel = [waiter] { waiter->timer.cancel(); };
    routing::PlacementDecision verdict = routing::Queued{};
    core::InstanceId decidedBy = m_context.settings.instanceId;
    int silent = 0;
    const core::TimePoint askedAt = m_context.now();
    while (waits(verdict) && !token->cancelled) {
        if (m_context.now() >= ask.responseDeadline) {
            verdict = routing::Refused{routing::RefusalReason::Overloaded, std::chrono::milliseconds(200)};
            break;
        }
        const auto dispatcher = remoteDispatcher();
        waiter->decision.reset();
        if (!dispatcher) {
            decidedBy = m_context.settings.instanceId;
            verdict = m_dispatcher.requestPlacement(ask, m_context.now());
            if (waits(verdict)) {
                co_await waitForDecision(*waiter, m_settings.resendInterval);
            }
        } else {
            if (decidedBy != dispatcher->id) {
                decidedBy = dispatcher->id;
                m_dispatcher.cancel(ask.id);
                silent = 0;
            }
            waiter->requestedFrom = dispatcher->id;
            m_fleet.send(dispatcher->gossipAddress, ask);
            co_await waitForDecision(*waiter, m_settings.replyTimeout);
            if (!waiter->decision) {
                if (++silent >= m_settings.maxUnansweredRequests && !token->cancelled && !isSkipped(dispatcher->id)) {
                    skipUnresponsive(dispatcher->id);
                }
            } else if (waits(*waiter->decision)) { // the holder has it, and tells when it can be placed
                silent = 0;
                waiter->decision.reset();
                co_await waitForDecision(*waiter, m_settings.resendInterval);
            }
        }
        if (waiter->decision) {
            verdict = *waiter->decision;
        }
    }
    token->onCancel = nullptr;
    m_pending.erase(ask.id);
    if (token->cancelled) {
        m_dispatcher.cancel(ask.id);
        if (const auto dispatcher = remoteDispatcher()) {
            m_fleet.send(dispatcher->gossipAddress, PlacementCancellation{ask.id});
        }
        if (const auto *granted = std::get_if<routing::Granted>(&verdict)) {
            recordGrant(ask, *granted);
            recordCompletion(ask.id, routing::SendOutcome::NeverSent);
        }
        co_return routing::Refused{routing::RefusalReason::Overloaded, {}};
    }
    if (const auto *granted = std::get_if<routing::Granted>(&verdict)) {
        recordGrant(ask, *granted);
    }
    const auto waited = m_context.now() - askedAt;
    m_context.metrics.observeDuration("arbutus_placement_seconds", "", waited);
    m_context.writeLog(observe::LogLine("placement_decided")
                           .add("request", ask.id)
                           .add("service", ask.service)
                           .add("priority", ask.priority)
                           .add("tokens", ask.promptTokens)
                           .add("wait_ms", core::toMilliseconds(waited))
                           .add("decided_by", decidedBy)
                           .add("metadata_staleness_ms", core::toMilliseconds(m_beliefs.staleness(m_context.now())))
                           .add("decision", describe(verdict)));
    co_return verdict;
}

//-----------------------------------------------------------------------------
// Work held here
//-----------------------------------------------------------------------------

void PlacementService::recordGrant(const routing::PlacementRequest &ask, const routing::Granted &granted)
{
    const std::uint32_t memory = ask.unsharedTokens();
    m_inFlight[ask.id] = InFlightPlacement{granted.upstream, m_context.now(), std::nullopt, memory};
    m_dispatcher.recordInFlight(m_context.settings.instanceId, {routing::ReportedRequest{ask.id, granted.upstream, std::nullopt, memory}}, m_context.now());
}

void PlacementService::recordFirstEvent(const routing::PlacementId &id)
{
    const auto found = m_inFlight.find(id);
    if (found == m_inFlight.end() || found->second.timeToFirstEvent) {
        return;
    }
    const core::TimePoint now = m_context.now();
    const auto took = now - found->second.sentAt;
    found->second.timeToFirstEvent = took;
    m_dispatcher.recordFirstEvent(id, found->second.upstream, took, now);
    m_unreportedFirstEvents.insert(id);
    scheduleReport();
}

void PlacementService::recordCompletion(const routing::PlacementId &id, routing::SendOutcome ending)
{
    const auto found = m_inFlight.find(id);
    if (found == m_inFlight.end()) {
        return;
    }
    m_dispatcher.recordCompletion(id, found->second.upstream, ending, m_context.now());
    m_unreportedCompletions.push_back(CompletedPlacement{id, found->second.upstream, ending});
    m_unreportedFirstEvents.erase(id);
    m_inFlight.erase(found);
    scheduleReport();
}

void PlacementService::scheduleReport()
{
    if (std::exchange(m_reportScheduled, true)) {
        return;
    }
    asio::post(m_context.executor, [this] { // what happens in this turn of the loop goes in one datagram
        m_reportScheduled = false;
        PlacementReport report;
        for (const routing::PlacementId &id : std::exchange(m_unreportedFirstEvents, {})) {
            const InFlightPlacement &held = m_inFlight[id];
            report.inFlight.push_back(routing::ReportedRequest{id, held.upstream, held.timeToFirstEvent, held.memoryTokens});
        }
        report.completed = std::exchange(m_unreportedCompletions, {});
        if (!report.inFlight.empty() || !report.completed.empty()) {
            sendReport(report);
        }
        deliverDecisions(m_dispatcher.processQueue(m_context.now()));
    });
}

void PlacementService::sendReport(const PlacementReport &report)
{
    const auto &order = m_fleet.dispatcherRanking(m_context.settings.region);
    for (std::size_t i = 0; i < order.size() && i < m_settings.notifiedDispatchersPerRegion; ++i) {
        if (order[i].id != m_context.settings.instanceId) {
            m_fleet.send(order[i].gossipAddress, report);
        }
    }
}

asio::awaitable<void> PlacementService::reportLoop()
{
    while (true) {
        co_await core::asyncSleep(m_settings.placementReportInterval);
        PlacementReport report;
        for (const auto &[id, held] : m_inFlight) {
            report.inFlight.push_back(routing::ReportedRequest{id, held.upstream, held.timeToFirstEvent, held.memoryTokens});
            if (report.inFlight.size() >= m_settings.maxInFlightPerDatagram) {
                m_dispatcher.recordInFlight(m_context.settings.instanceId, report.inFlight, m_context.now());
                sendReport(report);
                report.inFlight.clear();
            }
        }
        if (!report.inFlight.empty()) {
            m_dispatcher.recordInFlight(m_context.settings.instanceId, report.inFlight, m_context.now());
            sendReport(report);
        }
    }
}

//-----------------------------------------------------------------------------
// Dispatching for others
//-----------------------------------------------------------------------------

void PlacementService::deliverDecisions(std::vector<routing::DeferredDecision> settled)
{
    std::map<core::InstanceId, std::vector<PlacementReply>> byHolder;
    for (routing::DeferredDecision &row : settled) {
        if (row.requester != m_context.settings.instanceId) {
            byHolder[row.requester].push_back(PlacementReply{row.id, std::move(row.decision)});
            continue;
        }
        const auto waiter = m_pending.find(row.id);
        if (waiter != m_pending.end()) {
            waiter->second->decision = std::move(row.decision);
            waiter->second->timer.cancel();
        } else if (const auto *granted = std::get_if<routing::Granted>(&row.decision)) {
            m_dispatcher.recordCompletion(row.id, granted->upstream, routing::SendOutcome::NeverSent, m_context.now());
        }
    }
    for (auto &[holder, verdicts] : byHolder) {
        m_fleet.send(m_requesterAddresses[holder], std::move(verdicts));
    }
}

void PlacementService::logDispatchState()
{
    const core::TimePoint now = m_context.now();
    for (const auto &[id, model] : m_dispatcher.estimators()) {
        if (model.inFlight().empty()) {
            continue;
        }
        m_context.writeLog(observe::LogLine("dispatch_state")
                               .add("upstream", id)
                               .add("runs", model.inFlight().size())
                               .add("backlog_ms", core::toMilliseconds(model.backlog(now)))
                               .add("tokens_per_ms", std::lround(model.prefillRate()))
                               .add("failure_rate", model.failureRate())
                               .add("accepts", model.acceptsRequests(now))
                               .add("waiting", m_dispatcher.queueLength()));
    }
}

asio::awaitable<void> PlacementService::dispatchLoop()
{
    while (true) {
        co_await core::asyncSleep(m_settings.dispatchInterval);
        updateDispatcherRole();
        if (m_dispatcher.queueLength() > 0) {
            deliverDecisions(m_dispatcher.processQueue(m_context.now()));
        }
    }
}

void PlacementService::updateDispatcherRole()
{
    const auto &order = m_fleet.dispatcherRanking(m_context.settings.region);
    const bool holds = !order.empty() && order.front().id == m_context.settings.instanceId;
    const double reach = static_cast<double>(order.size()) / static_cast<double>(std::max<std::size_t>(m_fleet.knownMemberCountInRegion(), 1));
    if (holds != m_isDispatcher) {
        m_isDispatcher = holds;
        m_context.writeLog(observe::LogLine("dispatcher_role_changed")
                               .add("is_dispatcher", holds)
                               .add("members", order.size())
                               .add("known", m_fleet.knownMemberCountInRegion()));
    }
    m_dispatcher.setDispatcherRole(holds, reach, m_context.now());
}

void PlacementService::handleMessage(const FleetMessage &message, const std::string &from)
{
    std::visit(core::Overloaded{
                   [](const membership::Message &) {}, // handled by the fleet
                   [&](const routing::PlacementRequest &ask) { handlePlacementRequest(ask, from); },
                   [&](const std::vector<PlacementReply> &verdicts) { handlePlacementReplies(verdicts); },
                   [&](const PlacementReport &report) { handlePlacementReport(report, message.sender.id); },
                   [&](const RegionState &state) { handleRegionState(state, message.sender.id); },
                   [&](const PlacementCancellation &withdrawal) { m_dispatcher.cancel(withdrawal.id); },
               },
               message.body);
}

void PlacementService::handlePlacementRequest(const routing::PlacementRequest &ask, const std::string &from)
{
    m_requesterAddresses[ask.requester] = from;
    routing::PlacementDecision verdict = m_dispatcher.requestPlacement(ask, m_context.now());
    std::vector<PlacementReply> reply;
    reply.push_back(PlacementReply{ask.id, std::move(verdict)});
    m_fleet.send(from, std::move(reply));
    deliverDecisions(m_dispatcher.processQueue(m_context.now()));
}

void PlacementService::handlePlacementReplies(const std::vector<PlacementReply> &verdicts)
{
    for (const PlacementReply &message : verdicts) {
        const auto waiter = m_pending.find(message.id);
        if (waiter != m_pending.end()) {
            waiter->second->decision = message.decision;
            waiter->second->timer.cancel();
        }
    }
}

void PlacementService::handlePlacementReport(const PlacementReport &report, const core::InstanceId &sender)
{
    const core::TimePoint now = m_context.now();
    m_dispatcher.recordInFlight(sender, report.inFlight, now);
    for (const CompletedPlacement &ended : report.completed) {
        m_dispatcher.recordCompletion(ended.id, ended.upstream, ended.outcome, now);
    }
    if (m_dispatcher.queueLength() > 0) {
        deliverDecisions(m_dispatcher.processQueue(now));
    }
}

//-----------------------------------------------------------------------------
// Region states
//-----------------------------------------------------------------------------

RegionState PlacementService::buildRegionState()
{
    const core::TimePoint now = m_context.now();
    RegionState state;
    for (const routing::ServiceLoad &outlook : m_dispatcher.serviceLoads(now)) {
        state.serviceLoads.push_back(RegionServiceLoad{m_context.settings.region, outlook, core::Duration::zero()});
    }
    for (const auto &[key, row] : m_remoteLoads) {
        state.serviceLoads.push_back(RegionServiceLoad{key.first, row.first, now - row.second});
    }
    state.lastChangeRevision = m_beliefs.lastChangeRevision();
    state.storeRevision = m_beliefs.storeRevision();
    state.metadataStaleness = m_beliefs.staleness(now);
    for (const core::UpstreamId &id : m_beliefs.observedLeaving()) {
        state.leavingUpstreams.push_back(id);
    }
    return state;
}

void PlacementService::sendRegionState()
{
    const auto &order = m_fleet.dispatcherRanking(m_context.settings.region);
    const bool holds = !order.empty() && order.front().id == m_context.settings.instanceId;
    const bool watches = m_fleet.storeWatchRank() == 0;
    if (!holds && !watches) {
        return;
    }
    RegionState state = buildRegionState();
    for (const membership::Member &member : order) {
        if (member.id != m_context.settings.instanceId) {
            m_fleet.send(member.gossipAddress, state);
        }
    }
    std::erase_if(state.serviceLoads, [&](const RegionServiceLoad &row) { return row.region != m_context.settings.region || !holds; });
    std::set<core::RegionId> regions;
    for (const auto &[domain, region] : m_context.settings.regionByDomain) {
        regions.insert(region);
    }
    regions.erase(m_context.settings.region);
    for (const core::RegionId &region : regions) {
        const auto &others = m_fleet.dispatcherRanking(region);
        for (std::size_t i = 0; i < others.size() && i < m_settings.notifiedDispatchersPerRegion; ++i) {
            m_fleet.send(others[i].gossipAddress, state);
        }
    }
}

asio::awaitable<void> PlacementService::stateLoop()
{
    while (true) {
        co_await core::asyncSleep(m_settings.regionStateInterval);
        sendRegionState();
        if (m_isDispatcher && m_context.now() - m_loggedAt >= m_settings.logInterval) {
            m_loggedAt = m_context.now();
            logDispatchState();
        }
    }
}

void PlacementService::onMetadataChanged()
{
    sendRegionState();
    deliverDecisions(m_dispatcher.processQueue(m_context.now()));
}

void PlacementService::handleRegionState(const RegionState &state, const core::InstanceId &sender)
{
    const core::TimePoint now = m_context.now();
    for (const RegionServiceLoad &row : state.serviceLoads) {
        if (row.region == m_context.settings.region) {
            continue;
        }
        const core::TimePoint at = now - row.age;
        auto &known = m_remoteLoads[{row.region, row.load.service}];
        if (at > known.second) {
            known = {row.load, at};
            m_dispatcher.updateRemoteLoad(row.region, row.load, at);
        }
    }
    m_beliefs.confirmCurrent(state.lastChangeRevision, state.storeRevision, state.metadataStaleness, now);
    if (state.lastChangeRevision > m_beliefs.lastChangeRevision() && onNewerMetadata) {
        onNewerMetadata(sender);
    }
    for (const core::UpstreamId &id : state.leavingUpstreams) {
        if (onUpstreamLeaving) {
            onUpstreamLeaving(id);
        }
    }
}

} // namespace arbutus::edge
