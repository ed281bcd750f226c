// Placement requests and replies, reports of in-flight requests, and region states.

#include "arbutus/edge/placementservice.h"
#include "arbutus/core/asyncsleep.h"
#include "arbutus/core/overloaded.h"
#include "arbutus/edge/background.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace arbutus::edge {

namespace asio = boost::asio;

namespace {

routing::DispatcherView makeDispatcherView(const InstanceContext &context, const MetadataCache &metadataCache)
{
    return routing::DispatcherView{context.settings.region, context.settings.regionByDomain, metadataCache.registry(), metadataCache.catalog()};
}

std::string describe(const routing::PlacementDecision &decision)
{
    return std::visit(core::Overloaded{
                          [](const routing::Granted &granted) {
                              return "granted upstream=" + granted.upstream.text + " uncached=" + std::to_string(granted.uncachedTokens)
                                  + " predicted_ms=" + std::to_string(core::toMilliseconds(granted.predictedLatency)) + (granted.coldUpstream ? " cold=1" : "")
                                  + (granted.version.empty() ? "" : " software_version=" + granted.version.text);
                          },
                          [](const routing::Queued &queued) { return "waits predicted_ms=" + std::to_string(core::toMilliseconds(queued.predictedWait)); },
                          [](const routing::Redirected &redirected) {
                              return "elsewhere region=" + redirected.region.text + (redirected.relay.empty() ? "" : " relay=" + redirected.relay.text)
                                  + " predicted_ms=" + std::to_string(core::toMilliseconds(redirected.predictedLatency));
                          },
                          [](const routing::Refused &refused) {
                              const std::string reason = refused.reason == routing::RefusalReason::Overloaded ? "overloaded"
                                  : refused.reason == routing::RefusalReason::Quarantined                     ? "quarantined"
                                  : refused.reason == routing::RefusalReason::VersionGone                     ? "version_gone"
                                  : refused.reason == routing::RefusalReason::Outdated                        ? "outdated"
                                  : refused.reason == routing::RefusalReason::OverQuota                       ? "over_quota"
                                                                                                              : "no_upstream";
                              return "refused reason=" + reason + " retry_after_ms=" + std::to_string(core::toMilliseconds(refused.retryAfter));
                          },
                      },
                      decision);
}

bool isRefusedAs(const routing::PlacementDecision &decision, routing::RefusalReason reason)
{
    const auto *refused = std::get_if<routing::Refused>(&decision);
    return refused != nullptr && refused->reason == reason;
}

bool isQueued(const routing::PlacementDecision &decision)
{
    return std::holds_alternative<routing::Queued>(decision);
}

} // namespace

PlacementService::PlacementService(InstanceContext &context, Fleet &fleet, MetadataCache &metadataCache, PathMonitor &paths, PlacementServiceSettings settings)
    : m_context(context)
    , m_fleet(fleet)
    , m_metadataCache(metadataCache)
    , m_settings(settings)
    , m_dispatcher(context.settings.dispatcher, makeDispatcherView(context, metadataCache), context.now())
    , m_paths(paths)
    , m_quota(context, fleet, metadataCache)
    , m_dispatcherWatch(settings.dispatcherWatch)
{
    m_quota.lostPaths = [this] { return m_paths.lost(); };
}

void PlacementService::start()
{
    spawnLoop(m_context, "placement_dispatch", [this] { return dispatchLoop(); });
    spawnLoop(m_context, "placement_report", [this] { return reportLoop(); });
    spawnLoop(m_context, "placement_state", [this] { return stateLoop(); });
}

//-----------------------------------------------------------------------------
// Requesting placements
//-----------------------------------------------------------------------------

bool PlacementService::isSkipped(const core::InstanceId &id) const
{
    return m_dispatcherWatch.isSkipped(id, m_context.now());
}

void PlacementService::skipUnresponsive(const core::InstanceId &id)
{
    m_dispatcherWatch.skip(id, m_context.now());
    m_context.metrics.incrementCounter("arbutus_dispatcher_silent_total");
    m_context.writeLog(observe::LogLine("dispatcher_unresponsive")
                           .add("member", id)
                           .add("reply_timeout_ms", core::toMilliseconds(m_dispatcherWatch.replyTimeout(id)))
                           .add("skipped_ms", core::toMilliseconds(m_dispatcherWatch.skipTime())));
    for (const auto &[placementId, pending] : m_pending) {
        if (pending->requestedFrom == id) {
            pending->timer.cancel();
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

asio::awaitable<void> PlacementService::waitForDecision(PendingPlacement &pending, core::TimePoint until)
{
    if (pending.decision) {
        co_return;
    }
    pending.timer.expires_after(until - m_context.now());
    boost::system::error_code code;
    co_await pending.timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
}

asio::awaitable<void> PlacementService::askDispatcher(const membership::Member &dispatcher,
                                                      const routing::PlacementRequest &request,
                                                      PendingPlacement &pending,
                                                      std::optional<routing::ReplyWait> &wait)
{
    const core::TimePoint now = m_context.now();
    pending.requestedFrom = dispatcher.id;
    if (!wait || wait->dispatcher != dispatcher.id) {
        wait = m_dispatcherWatch.beginWait(dispatcher.id, now);
    } else {
        m_dispatcherWatch.resume(*wait, now);
    }
    m_fleet.send(dispatcher.gossipAddress, request);
    routing::NoReply next = routing::NoReply::WaitAgain;
    while (next == routing::NoReply::WaitAgain && !pending.decision && !pending.token->cancelled) {
        co_await waitForDecision(pending, wait->due);
        next = pending.decision ? routing::NoReply::SendAgain : m_dispatcherWatch.judge(*wait, m_context.now());
    }
    if (pending.decision) {
        m_dispatcherWatch.recordReply(*wait, m_context.now());
    } else if (next == routing::NoReply::Unresponsive && !pending.token->cancelled && !isSkipped(dispatcher.id)) {
        skipUnresponsive(dispatcher.id);
    }
    if (pending.decision && isQueued(*pending.decision)) { // the dispatcher has queued it and sends the decision later
        pending.decision.reset();
        co_await waitForDecision(pending, m_context.now() + m_settings.resendInterval);
    }
}

asio::awaitable<routing::PlacementDecision> PlacementService::place(routing::PlacementRequest &request, std::shared_ptr<CancellationToken> token)
{
    request.requester = m_context.settings.instanceId;
    m_quota.prepare(request);
    const auto pending = std::make_shared<PendingPlacement>(m_context.executor);
    pending->prompt = request.prompt;
    pending->fingerprint = request.fingerprint;
    pending->token = token;
    m_pending[request.id] = pending;
    token->onCancel = [pending] { pending->timer.cancel(); };
    routing::PlacementDecision decision = routing::Queued{};
    core::InstanceId decidedBy = m_context.settings.instanceId;
    std::optional<routing::ReplyWait> wait;
    const core::TimePoint requestedAt = m_context.now();
    while (isQueued(decision) && !token->cancelled) {
        if (m_context.now() >= request.responseDeadline) {
            decision = routing::Refused{routing::RefusalReason::Overloaded, std::chrono::milliseconds(200)};
            break;
        }
        if (token->isOutdated && token->isOutdated()) {
            decision = routing::Refused{routing::RefusalReason::Outdated, {}};
            break;
        }
        const auto dispatcher = remoteDispatcher();
        m_quota.useDispatcher(dispatcher ? dispatcher->id : m_context.settings.instanceId);
        pending->decision.reset();
        request.catalogVersion = m_metadataCache.knownCatalog().version; // the request is not outdated by it
        request.unreachableUpstreams = m_paths.lost();
        excludeWithheld(request);
        if (!dispatcher) {
            decidedBy = m_context.settings.instanceId;
            decision = decide(request);
            if (isQueued(decision)) {
                co_await waitForDecision(*pending, m_context.now() + m_settings.resendInterval);
            }
        } else {
            if (decidedBy != dispatcher->id) {
                decidedBy = dispatcher->id;
                m_dispatcher.cancel(request.id);
            }
            if (std::exchange(m_lastDispatcher, dispatcher->id) != dispatcher->id && !notices().empty()) {
                m_fleet.send(dispatcher->gossipAddress, PlacementReport{{}, {}, notices(), m_paths.lost()}); // a new dispatcher needs them to decide
            }
            co_await askDispatcher(*dispatcher, request, *pending, wait);
        }
        if (pending->decision) {
            decision = *pending->decision;
        }
    }
    token->onCancel = nullptr;
    m_pending.erase(request.id);
    const bool isOutdated = isRefusedAs(decision, routing::RefusalReason::Outdated);
    if (isOutdated && decidedBy != m_context.settings.instanceId && request.catalogVersion == m_metadataCache.knownCatalog().version && onNewerMetadata) {
        onNewerMetadata(decidedBy);
    }
    if (token->cancelled || isOutdated || isRefusedAs(decision, routing::RefusalReason::Quarantined)) {
        m_dispatcher.cancel(request.id);
        m_quota.giveBack(request.id);
        if (const auto dispatcher = remoteDispatcher()) {
            m_fleet.send(dispatcher->gossipAddress, PlacementCancellation{request.id});
        }
    }
    m_quota.notePlaced(request, decision);
    if (token->cancelled) {
        if (const auto *granted = std::get_if<routing::Granted>(&decision)) {
            recordGrant(request, *granted);
            recordCompletion(request.id, routing::SendOutcome::NeverSent);
        }
        co_return routing::Refused{routing::RefusalReason::Overloaded, {}};
    }
    if (const auto *granted = std::get_if<routing::Granted>(&decision)) {
        recordGrant(request, *granted);
    }
    if (auto *refused = std::get_if<routing::Refused>(&decision); refused != nullptr && refused->reason == routing::RefusalReason::NoUpstream) {
        refused->retryAfter = shortestRest(request.service).value_or(refused->retryAfter);
    }
    const auto elapsed = m_context.now() - requestedAt;
    m_context.metrics.observeDuration("arbutus_placement_seconds", "", elapsed);
    m_context.writeLog(observe::LogLine("placement_decided")
                           .add("request", request.id)
                           .add("service", request.service)
                           .add("priority", request.priority)
                           .add("tokens", request.promptTokens)
                           .add("required_version", request.requiredVersion ? request.requiredVersion->text : "")
                           .add("wait_ms", core::toMilliseconds(elapsed))
                           .add("decided_by", decidedBy)
                           .add("configuration", request.catalogVersion)
                           .add("metadata_staleness_ms", core::toMilliseconds(m_metadataCache.staleness(m_context.now())))
                           .add("decision", describe(decision)));
    co_return decision;
}

void PlacementService::recordRest(const core::UpstreamId &upstream, std::optional<routing::StartTime> knownRun, core::Duration rest)
{
    if (rest <= core::Duration::zero()) {
        return;
    }
    const routing::RegistryEntry *entry = m_metadataCache.registry().find(upstream);
    m_rests.record(upstream, entry == nullptr ? knownRun : entry->announcement.startTime, rest, m_context.now());
    m_context.metrics.incrementCounter("arbutus_upstream_rests_total");
    m_context.writeLog(observe::LogLine("upstream_rests").add("upstream", upstream).add("for_ms", core::toMilliseconds(rest)));
}

bool PlacementService::isResting(const core::UpstreamId &upstream) const
{
    return m_rests.remaining(upstream, m_metadataCache.registry(), m_context.now()) > core::Duration::zero();
}

void PlacementService::excludeWithheld(routing::PlacementRequest &request)
{
    request.excludedUpstreams.merge(m_notices.withheld(m_metadataCache.registry(), m_context.now()));
    m_rests.eraseEnded(m_metadataCache.registry(), m_context.now());
    for (const auto &[upstream, rest] : m_rests.entries()) {
        request.excludedUpstreams.insert(upstream);
    }
}

std::optional<core::Duration> PlacementService::shortestRest(const core::ServiceId &service) const
{
    std::optional<core::Duration> shortest;
    for (const auto &[upstream, entry] : m_metadataCache.registry().entries()) {
        if (!m_context.settings.isInRegion(entry.announcement.domain) || entry.announcement.service != service
            || !m_metadataCache.registry().isEligible(entry)) {
            continue;
        }
        const core::Duration remaining = m_rests.remaining(upstream, m_metadataCache.registry(), m_context.now());
        if (remaining == core::Duration::zero()) {
            return std::nullopt;
        }
        shortest = std::min(shortest.value_or(core::Duration::max()), remaining);
    }
    return shortest;
}

void PlacementService::refuseQuarantined()
{
    for (const auto &[id, pending] : m_pending) {
        if (isQuarantined && isQuarantined(pending->prompt, pending->fingerprint)) {
            pending->decision = routing::Refused{routing::RefusalReason::Quarantined, {}};
            pending->timer.cancel();
        }
    }
}

void PlacementService::refuseOutdated()
{
    for (const auto &[id, pending] : m_pending) {
        const bool isDecided = pending->decision && !isQueued(*pending->decision); // looked at again before the request is sent
        if (!isDecided && pending->token->isOutdated && pending->token->isOutdated()) {
            pending->decision = routing::Refused{routing::RefusalReason::Outdated, {}};
            pending->timer.cancel();
        }
    }
}

//-----------------------------------------------------------------------------
// In-flight requests of this instance
//-----------------------------------------------------------------------------

void PlacementService::recordGrant(const routing::PlacementRequest &request, const routing::Granted &granted)
{
    const std::uint32_t memoryTokens = request.unsharedTokens();
    m_inFlight[request.id] = InFlightPlacement{granted.upstream, m_context.now(), std::nullopt, memoryTokens, std::nullopt, granted.predictedLatency};
    m_dispatcher.recordInFlight(
        m_context.settings.instanceId, {routing::ReportedRequest{request.id, granted.upstream, std::nullopt, memoryTokens, std::nullopt}}, m_context.now());
}

void PlacementService::recordFirstEvent(const routing::PlacementId &id, std::optional<routing::StreamRecord> stream)
{
    if (stream && onStreamBegan) {
        onStreamBegan(*stream);
    }
    const auto found = m_inFlight.find(id);
    if (found == m_inFlight.end() || found->second.timeToFirstEvent) {
        return;
    }
    const core::TimePoint now = m_context.now();
    const auto timeToFirstEvent = now - found->second.sentAt;
    found->second.timeToFirstEvent = timeToFirstEvent;
    found->second.stream = std::move(stream);
    const core::Duration error = timeToFirstEvent - found->second.predictedLatency;
    m_context.metrics.observeDuration(
        "arbutus_first_event_prediction_error_seconds", error > core::Duration::zero() ? "side=\"late\"" : "side=\"early\"", std::chrono::abs(error));
    m_dispatcher.recordFirstEvent(id, found->second.upstream, timeToFirstEvent, now);
    m_unreportedFirstEvents.insert(id);
    scheduleReport();
}

void PlacementService::recordCompletion(const routing::PlacementId &id, routing::SendOutcome outcome, const routing::StreamTiming &timing)
{
    const auto found = m_inFlight.find(id);
    if (found == m_inFlight.end()) {
        return;
    }
    const CompletedPlacement completed{id, found->second.upstream, outcome, timing};
    m_quota.noteSent(id, outcome);
    recordOutcome(completed, m_context.settings.instanceId);
    m_unreportedCompletions.push_back(completed);
    m_unreportedFirstEvents.erase(id);
    m_inFlight.erase(found);
    scheduleReport();
}

void PlacementService::recordOutcome(const CompletedPlacement &completed, const core::InstanceId &reporter)
{
    const core::TimePoint now = m_context.now();
    m_quota.noteOutcome(completed.id, completed.outcome);
    const auto endOfEjection = [&] {
        const auto estimator = m_dispatcher.estimators().find(completed.upstream);
        return estimator == m_dispatcher.estimators().end() ? core::TimePoint{} : estimator->second.ejectedUntil();
    };
    const core::TimePoint before = endOfEjection();
    m_dispatcher.recordCompletion(completed.id, completed.upstream, completed.outcome, now, completed.timing);
    const core::TimePoint after = endOfEjection();
    if (after == before) {
        return;
    }
    m_context.metrics.incrementCounter("arbutus_upstream_ejections_total", "outcome=\"" + std::string(routing::toString(completed.outcome)) + "\"");
    m_context.writeLog(observe::LogLine("upstream_ejected")
                           .add("upstream", completed.upstream)
                           .add("reporter", reporter)
                           .add("request", completed.id)
                           .add("outcome", routing::toString(completed.outcome))
                           .add("for_ms", core::toMilliseconds(after - now))
                           .add("has_dispatcher_role", m_isDispatcher));
}

void PlacementService::scheduleReport()
{
    if (std::exchange(m_reportScheduled, true)) {
        return;
    }
    asio::post(m_context.executor, [this] { // batches all events of this event loop iteration into one datagram
        m_reportScheduled = false;
        PlacementReport report;
        for (const routing::PlacementId &id : std::exchange(m_unreportedFirstEvents, {})) {
            const InFlightPlacement &placement = m_inFlight[id];
            report.inFlight.push_back(routing::ReportedRequest{id, placement.upstream, placement.timeToFirstEvent, placement.memoryTokens, placement.stream});
        }
        report.completed = std::exchange(m_unreportedCompletions, {});
        if (std::exchange(m_hasUnreportedNotice, false)) {
            report.notices = notices();
        }
        const bool hasUnreportedPaths = std::exchange(m_hasUnreportedPaths, false);
        if (!report.inFlight.empty() || !report.completed.empty() || !report.notices.empty() || hasUnreportedPaths) {
            sendReport(std::move(report));
        }
        deliverDecisions(m_dispatcher.processQueue(m_context.now()));
    });
}

std::vector<routing::UpstreamNotice> PlacementService::notices() const
{
    return m_notices.notices(m_metadataCache.registry(), m_context.now());
}

void PlacementService::recordResponse(const core::UpstreamId &upstream, std::optional<double> maxRequestRate, core::TimePoint requestSentAt)
{
    const routing::RegistryEntry *entry = m_metadataCache.registry().find(upstream);
    if (entry == nullptr) {
        return;
    }
    if (m_notices.recordResponse(upstream, entry->announcement.startTime, maxRequestRate, requestSentAt, m_context.now())) {
        applyLimit(upstream, "response");
        m_hasUnreportedNotice = true;
        scheduleReport();
    }
}

void PlacementService::recordLeaving(const core::UpstreamId &upstream, std::optional<routing::StartTime> knownRun, std::string_view source)
{
    if (m_notices.recordLeaving(upstream, knownRun, m_context.now())) {
        applyLeaving(upstream, source);
        m_hasUnreportedNotice = true;
        scheduleReport();
    }
}

void PlacementService::mergeNotices(const std::vector<routing::UpstreamNotice> &notices, const core::InstanceId &sender)
{
    for (const routing::UpstreamNotice &notice : notices) {
        if (m_notices.mergeLeaving(notice)) { // also of a run that this instance does not know yet
            applyLeaving(notice.upstream, sender.text);
        }
        const bool hasEnded = m_metadataCache.registry().hasRunEnded(notice.upstream, notice.startTime);
        if (!hasEnded && m_notices.merge(notice)) { // the sender may not know yet that the run has ended
            applyLimit(notice.upstream, sender.text);
        }
    }
}

void PlacementService::applyLimit(const core::UpstreamId &upstream, std::string_view source)
{
    const core::TimePoint now = m_context.now();
    const routing::UpstreamNotice &notice = m_notices.entries().at(upstream);
    m_dispatcher.setMaxRequestRate(upstream, notice.maxRequestRate, now);
    m_context.metrics.incrementCounter("arbutus_upstream_limit_changes_total");
    m_context.writeLog(observe::LogLine("upstream_limit_changed")
                           .add("upstream", upstream)
                           .add("max_request_rate", notice.maxRequestRate ? std::to_string(*notice.maxRequestRate) : "none")
                           .add("age_ms", core::toMilliseconds(now - notice.at))
                           .add("source", source));
}

void PlacementService::applyLeaving(const core::UpstreamId &upstream, std::string_view source)
{
    const routing::UpstreamLeaving &leaving = m_notices.leavings().at(upstream);
    const routing::RegistryEntry *entry = m_metadataCache.registry().find(upstream);
    m_context.metrics.incrementCounter("arbutus_upstream_leavings_total", source == "response" ? "source=\"response\"" : "source=\"peer\"");
    m_context.writeLog(observe::LogLine("upstream_leaving")
                           .add("upstream", upstream)
                           .add("last_run", leaving.lastRun ? std::to_string(leaving.lastRun->value) : "unknown")
                           .add("listed_run", entry != nullptr ? std::to_string(entry->announcement.startTime.value) : "none")
                           .add("may_be_later_run", leaving.mayBeLaterRun)
                           .add("age_ms", core::toMilliseconds(m_context.now() - leaving.at))
                           .add("source", source));
    markIfLeaving(upstream);
}

void PlacementService::markIfLeaving(const core::UpstreamId &upstream)
{
    const routing::UpstreamLeaving &leaving = m_notices.leavings().at(upstream);
    const routing::RegistryEntry *entry = m_metadataCache.registry().find(upstream);
    if (entry != nullptr && entry->announcement.startTime <= leaving.lastRun && onUpstreamLeaving) {
        onUpstreamLeaving(upstream);
    }
}

void PlacementService::expireLeavings()
{
    const core::TimePoint now = m_context.now();
    for (const routing::EndedLeaving &ended : m_notices.expireLeavings(m_metadataCache.registry(), now - m_metadataCache.staleness(now), now)) {
        m_context.writeLog(observe::LogLine("upstream_leaving_ended").add("upstream", ended.upstream).add("reason", routing::toString(ended.reason)));
    }
}

void PlacementService::onPathsChanged()
{
    m_dispatcher.recordUnreachable(m_context.settings.instanceId, m_paths.lost(), m_context.now());
    m_hasUnreportedPaths = true;
    scheduleReport();
}

void PlacementService::sendReport(PlacementReport report)
{
    report.unreachableUpstreams = m_paths.lost();
    const auto &ranking = m_fleet.dispatcherRanking(m_context.settings.region);
    for (std::size_t i = 0; i < ranking.size() && i < m_settings.notifiedDispatchersPerRegion; ++i) {
        if (ranking[i].id != m_context.settings.instanceId) {
            m_fleet.send(ranking[i].gossipAddress, report);
        }
    }
}

asio::awaitable<void> PlacementService::reportLoop()
{
    while (true) {
        co_await core::asyncSleep(m_settings.placementReportInterval);
        expireLeavings();
        const auto dispatcher = remoteDispatcher();
        m_quota.useDispatcher(dispatcher ? dispatcher->id : m_context.settings.instanceId);
        m_quota.report();
        PlacementReport report;
        report.notices = notices();
        if (!report.notices.empty()) {
            sendReport(report);
            report.notices.clear();
        }
        for (const auto &[id, placement] : m_inFlight) {
            report.inFlight.push_back(routing::ReportedRequest{id, placement.upstream, placement.timeToFirstEvent, placement.memoryTokens, placement.stream});
            if (report.inFlight.size() >= m_settings.maxInFlightPerDatagram) {
                m_dispatcher.recordInFlight(m_context.settings.instanceId, report.inFlight, m_context.now());
                sendReport(report);
                report.inFlight.clear();
            }
        }
        m_dispatcher.recordUnreachable(m_context.settings.instanceId, m_paths.lost(), m_context.now());
        if (!report.inFlight.empty() || !m_paths.lost().empty()) {
            m_dispatcher.recordInFlight(m_context.settings.instanceId, report.inFlight, m_context.now());
            sendReport(report);
        }
    }
}

//-----------------------------------------------------------------------------
// Dispatching for other instances
//-----------------------------------------------------------------------------

void PlacementService::deliverDecisions(std::vector<routing::DeferredDecision> decisions)
{
    std::map<core::InstanceId, std::vector<PlacementReply>> repliesByRequester;
    for (routing::DeferredDecision &deferred : decisions) {
        m_quota.noteDecision(deferred.id, deferred.decision);
        if (deferred.requester != m_context.settings.instanceId) {
            repliesByRequester[deferred.requester].push_back(PlacementReply{deferred.id, std::move(deferred.decision)});
            continue;
        }
        const auto pending = m_pending.find(deferred.id);
        if (pending != m_pending.end()) {
            pending->second->decision = std::move(deferred.decision);
            pending->second->timer.cancel();
        } else if (const auto *granted = std::get_if<routing::Granted>(&deferred.decision)) {
            m_quota.giveBack(deferred.id);
            m_dispatcher.recordCompletion(deferred.id, granted->upstream, routing::SendOutcome::NeverSent, m_context.now());
        }
    }
    for (auto &[requester, replies] : repliesByRequester) {
        m_fleet.send(m_requesterAddresses[requester], std::move(replies));
    }
}

void PlacementService::logDispatchState()
{
    const core::TimePoint now = m_context.now();
    for (const auto &[id, estimator] : m_dispatcher.estimators()) {
        if (estimator.inFlight().empty() && estimator.acceptsRequests(now)) {
            continue;
        }
        const routing::EngineFigures &figures = estimator.profile().figures();
        m_context.writeLog(observe::LogLine("dispatch_state")
                               .add("upstream", id)
                               .add("runs", estimator.inFlight().size())
                               .add("backlog_ms", core::toMilliseconds(estimator.backlog(now)))
                               .add("tokens_per_ms", estimator.prefillRate())
                               .add("step_us", std::lround(figures.step.count() * 1'000))
                               .add("step_per_request_us", std::lround(figures.stepPerRequest.count() * 1'000))
                               .add("pause_us", std::lround(figures.pause.count() * 1'000))
                               .add("first_event_delay_us", std::lround(figures.firstEventDelay.count() * 1'000))
                               .add("doubt", estimator.profile().doubt())
                               .add("evidence", std::lround(estimator.profile().evidence()))
                               .add("prediction_bias", estimator.predictionBias())
                               .add("prediction_error", estimator.predictionError())
                               .add("stream_gap_ms", core::toMilliseconds(estimator.streamGap()))
                               .add("failure_rate", estimator.failureRate())
                               .add("accepts", estimator.acceptsRequests(now))
                               .add("waiting", m_dispatcher.queueLength()));
    }
}

asio::awaitable<void> PlacementService::dispatchLoop()
{
    while (true) {
        co_await core::asyncSleep(m_settings.dispatchInterval);
        updateDispatcherRole();
        m_quota.tick(m_isDispatcher);
        if (m_dispatcher.queueLength() > 0 && mayDecide()) {
            deliverDecisions(m_dispatcher.processQueue(m_context.now()));
        }
    }
}

void PlacementService::updateDispatcherRole()
{
    const auto &ranking = m_fleet.dispatcherRanking(m_context.settings.region);
    const bool isDispatcher = !ranking.empty() && ranking.front().id == m_context.settings.instanceId;
    const double reachableShare = static_cast<double>(ranking.size()) / static_cast<double>(std::max<std::size_t>(m_fleet.knownMemberCountInRegion(), 1));
    if (isDispatcher != m_isDispatcher) {
        m_isDispatcher = isDispatcher;
        m_context.writeLog(observe::LogLine("dispatcher_role_changed")
                               .add("is_dispatcher", isDispatcher)
                               .add("members", ranking.size())
                               .add("known", m_fleet.knownMemberCountInRegion()));
    }
    m_dispatcher.setDispatcherRole(isDispatcher, reachableShare, m_context.now());
    if (std::exchange(m_relayMembersVersion, m_fleet.membersVersion()) != m_fleet.membersVersion()) {
        std::vector<routing::RelayCandidate> instances;
        instances.reserve(ranking.size());
        for (const membership::Member &member : ranking) {
            instances.push_back(routing::RelayCandidate{member.id, member.domain, member.capacity});
        }
        m_dispatcher.setInstances(std::move(instances));
    }
}

void PlacementService::handleMessage(const FleetMessage &message, const std::string &from)
{
    std::visit(core::Overloaded{
                   [](const membership::Message &) {}, // handled by the fleet
                   [&](const routing::PlacementRequest &request) { handlePlacementRequest(request, from); },
                   [&](const std::vector<PlacementReply> &replies) { handlePlacementReplies(replies, message.sender.id); },
                   [&](const PlacementReport &report) { handlePlacementReport(report, message.sender.id); },
                   [&](const RegionState &state) { handleRegionState(state, message.sender.id, message.region, message.arrivedAt); },
                   [&](const PlacementCancellation &cancellation) {
                       m_dispatcher.cancel(cancellation.id);
                       m_quota.giveBack(cancellation.id);
                   },
                   [](const std::vector<routing::CauseRecord> &) {}, // handled by the quarantine service
                   [](const StreamQuery &) {},                       // handled by the stream directory
                   [](const StreamReport &) {},
                   [&](const limits::QuotaState &state) { m_quota.handle(message.sender.id, state); },
               },
               message.body);
}

routing::PlacementDecision PlacementService::decide(const routing::PlacementRequest &request)
{
    if (const auto refused = m_quota.spend(request)) {
        return *refused;
    }
    routing::PlacementDecision decision = m_dispatcher.requestPlacement(request, m_context.now());
    m_quota.noteDecision(request.id, decision);
    return decision;
}

void PlacementService::handlePlacementRequest(const routing::PlacementRequest &request, const std::string &from)
{
    if (!mayDecide()) {
        return; // the request is sent again, or to another dispatcher
    }
    m_requesterAddresses[request.requester] = from;
    routing::PlacementDecision decision = routing::Refused{routing::RefusalReason::Quarantined, {}};
    if (isQuarantined && isQuarantined(request.prompt, request.fingerprint)) { // the requester may not have heard of it yet
        m_dispatcher.cancel(request.id);
    } else {
        decision = decide(request);
    }
    std::vector<PlacementReply> replies;
    replies.push_back(PlacementReply{request.id, std::move(decision)});
    m_fleet.send(from, std::move(replies));
    deliverDecisions(m_dispatcher.processQueue(m_context.now()));
}

void PlacementService::handlePlacementReplies(const std::vector<PlacementReply> &replies, const core::InstanceId &sender)
{
    m_dispatcherWatch.recordHeard(sender, m_context.now());
    for (const PlacementReply &reply : replies) {
        const auto pending = m_pending.find(reply.id);
        if (pending != m_pending.end()) {
            pending->second->decision = reply.decision;
            pending->second->timer.cancel();
        }
    }
}

void PlacementService::handlePlacementReport(const PlacementReport &report, const core::InstanceId &sender)
{
    const core::TimePoint now = m_context.now();
    if (report.quotaLease) {
        m_quota.handle(sender, *report.quotaLease);
    }
    mergeNotices(report.notices, sender);
    m_dispatcher.recordUnreachable(sender, report.unreachableUpstreams, now);
    m_dispatcher.recordInFlight(sender, report.inFlight, now);
    for (const routing::ReportedRequest &request : report.inFlight) {
        if (request.stream && onStreamBegan) {
            onStreamBegan(*request.stream);
        }
    }
    for (const CompletedPlacement &completed : report.completed) {
        recordOutcome(completed, sender);
    }
    if (m_dispatcher.queueLength() > 0 && mayDecide()) {
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
    for (const routing::ServiceLoad &load : m_dispatcher.serviceLoads(now)) {
        state.serviceLoads.push_back(RegionServiceLoad{m_context.settings.region, load, core::Duration::zero()});
    }
    for (const auto &[key, row] : m_remoteLoads) {
        state.serviceLoads.push_back(RegionServiceLoad{key.first, row.first, now - row.second});
    }
    state.lastChange = m_metadataCache.lastChange();
    state.storePosition = m_metadataCache.storePosition();
    state.metadataStaleness = m_metadataCache.staleness(now);
    state.notices = notices();
    state.unreachableUpstreams = m_dispatcher.unreachableUpstreams(now);
    return state;
}

void PlacementService::sendRegionState()
{
    const auto &ranking = m_fleet.dispatcherRanking(m_context.settings.region);
    const bool isDispatcher = !ranking.empty() && ranking.front().id == m_context.settings.instanceId;
    const bool isStoreWatcher = m_fleet.storeWatchRank() == 0;
    const bool isSubstitute = isSubstituteReader && isSubstituteReader();
    if (!isDispatcher && !isStoreWatcher && !isSubstitute) {
        return;
    }
    RegionState state = buildRegionState();
    if (isDispatcher) {
        state.profiles = m_dispatcher.engineProfiles().serviceReports();
        state.quota = m_quota.stateForRegion();
    }
    RegionState stateForSuccessors = state;
    if (isDispatcher) {
        std::vector<routing::ProfileReport> engines = m_dispatcher.engineProfiles().engineReports(m_settings.engineProfilesPerDatagram);
        std::move(engines.begin(), engines.end(), std::back_inserter(stateForSuccessors.profiles));
    }
    std::size_t rank = 0;
    for (const membership::Member &member : ranking) {
        const bool maySucceed = rank++ <= m_settings.notifiedDispatchersPerRegion;
        if (member.id != m_context.settings.instanceId) {
            m_fleet.send(member.gossipAddress, maySucceed ? stateForSuccessors : state);
        }
    }
    std::erase_if(state.serviceLoads, [&](const RegionServiceLoad &row) { return row.region != m_context.settings.region || !isDispatcher; });
    state.notices.clear(); // an upstream accepts connections from its own region only
    state.unreachableUpstreams.clear();
    std::set<core::RegionId> regions;
    for (const auto &[domain, region] : m_context.settings.regionByDomain) {
        regions.insert(region);
    }
    regions.erase(m_context.settings.region);
    for (const core::RegionId &region : regions) {
        const auto &remoteRanking = m_fleet.dispatcherRanking(region);
        for (std::size_t i = 0; i < remoteRanking.size() && i < m_settings.notifiedDispatchersPerRegion; ++i) {
            state.quota = isDispatcher && i == 0 ? m_quota.stateForPeer(remoteRanking[i].id) : std::nullopt;
            m_fleet.send(remoteRanking[i].gossipAddress, state);
        }
    }
}

asio::awaitable<void> PlacementService::stateLoop()
{
    while (true) {
        co_await core::asyncSleep(m_settings.regionStateInterval);
        sendRegionState();
        if (m_isDispatcher && m_context.now() - m_stateLoggedAt >= m_settings.logInterval) {
            m_stateLoggedAt = m_context.now();
            logDispatchState();
        }
    }
}

void PlacementService::onMetadataChanged()
{
    for (const core::UpstreamId &upstream : m_notices.eraseEnded(m_metadataCache.registry())) {
        m_dispatcher.setMaxRequestRate(upstream, std::nullopt, m_context.now());
        m_context.writeLog(observe::LogLine("upstream_limit_changed").add("upstream", upstream).add("max_request_rate", "none").add("source", "run_ended"));
    }
    for (const auto &[upstream, leaving] : m_notices.leavings()) {
        const routing::RegistryEntry *entry = m_metadataCache.registry().find(upstream);
        if (entry != nullptr && !entry->leaving) { // it may be listed for the first time, or again
            markIfLeaving(upstream);
        }
    }
    m_quota.applyConfiguration();
    refuseOutdated();
    sendRegionState();
    deliverDecisions(m_dispatcher.processQueue(m_context.now()));
}

void PlacementService::handleRegionState(const RegionState &state, const core::InstanceId &sender, const core::RegionId &region, core::TimePoint arrivedAt)
{
    mergeNotices(state.notices, sender);
    for (const core::UpstreamId &upstream : state.unreachableUpstreams) {
        m_paths.doubtUnlessFresh(upstream);
    }
    for (const RegionServiceLoad &row : state.serviceLoads) {
        if (row.region == m_context.settings.region) {
            continue;
        }
        const core::TimePoint at = arrivedAt - row.age;
        auto &known = m_remoteLoads[{row.region, row.load.service}];
        if (at > known.second) {
            known = {row.load, at};
            m_dispatcher.updateRemoteLoad(row.region, row.load, at);
        }
    }
    for (const routing::ProfileReport &report : state.profiles) {
        m_dispatcher.engineProfiles().adopt(report, region);
    }
    if (state.quota) {
        m_quota.handle(sender, *state.quota);
    }
    m_metadataCache.confirmCurrent(state.lastChange, state.storePosition, state.metadataStaleness, arrivedAt);
    if (m_metadataCache.isNewer(state.lastChange) && onNewerMetadata) {
        onNewerMetadata(sender);
    }
}

} // namespace arbutus::edge
