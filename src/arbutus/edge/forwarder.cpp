// Processing of a request, from parsing its headers to the response.
//
// Sections:
//   Acceptance      headers, route, body
//   Shutdown        refusals and ends during a planned stop
//   Placement       retry loop over placements
//   Sending         attempts at upstreams and peers
//   Silence         replacement of attempts whose upstream is silent

#include "arbutus/core/overloaded.h"
#include "arbutus/core/scopedelement.h"
#include "arbutus/edge/forwarderstate.h"
#include "arbutus/edge/hoplimits.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cmath>

namespace arbutus::edge {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t MaxAgeAtOrigin = 3'600'000; // milliseconds; a longer one is cut; no client waits for that long

/// Ids of the parts of a prompt that other requests may share, for the log.
std::string sharedPartIds(const std::vector<routing::PromptPart> &prompt)
{
    std::string out;
    for (const routing::PromptPart &part : routing::sharedParts(prompt)) {
        out += (out.empty() ? "" : ",") + routing::toString(part.id);
    }
    return out;
}

} // namespace

Forwarder::Forwarder(InstanceContext &context,
                     Fleet &fleet,
                     MetadataCache &metadataCache,
                     PlacementService &placement,
                     PathMonitor &paths,
                     QuarantineService &quarantine,
                     StreamDirectory &streamDirectory,
                     std::uint64_t seed,
                     ForwarderSettings settings)
    : m_context(context)
    , m_fleet(fleet)
    , m_metadataCache(metadataCache)
    , m_placement(placement)
    , m_paths(paths)
    , m_quarantine(quarantine)
    , m_streamDirectory(streamDirectory)
    , m_settings(settings)
    , m_retryBudget(limits::SharedRetryBudgetSettings{context.settings.retryRatio, context.settings.minRetries, context.settings.retryWindow})
    , m_bodies(std::make_shared<limits::ByteBudget>(limits::ByteBudgetSettings::of(context.settings.bodyMemory)))
    , m_catalogChanged(context.executor)
    , m_random(seed)
{
}

void Forwarder::closeIdleConnections(const std::string &address)
{
    m_upstreamConnections.closeIdleConnections(http::parseEndpoint(address));
}

bool Forwarder::isForwardedRequest(const http::Request &request)
{
    return request.headers.contains(OriginHeader);
}

//-----------------------------------------------------------------------------
// Acceptance
//-----------------------------------------------------------------------------

asio::awaitable<void> Forwarder::handleRequest(http::Exchange &exchange)
{
    const auto owner = std::make_shared<RequestState>(exchange, m_context);
    RequestState &state = *owner;
    const core::ScopedElement<RequestState *> open(m_openRequests, &state);
    state.request = exchange.request();
    for (const char *name : PeerHeaders) {
        state.request.headers.erase(name); // reserved for requests between instances
    }
    if (co_await acceptRequest(state)) {
        co_await placeAndSend(state);
    }
}

asio::awaitable<void> Forwarder::handleForwardedRequest(http::Exchange &exchange)
{
    const auto owner = std::make_shared<RequestState>(exchange, m_context);
    RequestState &state = *owner;
    const core::ScopedElement<RequestState *> open(m_openRequests, &state);
    state.request = exchange.request();
    state.fromPeer = true;
    state.origin = http::headerValue(state.request.headers, OriginHeader);
    state.service = core::ServiceId(http::headerValue(state.request.headers, ServiceHeader));
    state.sendCount = parseCount(http::headerValue(state.request.headers, SendCountHeader));
    state.possibleExecutions = parseCount(http::headerValue(state.request.headers, PossibleExecutionsHeader));
    if (const std::size_t granted = parseCount(http::headerValue(state.request.headers, MaxExecutionsHeader)); granted > 0) {
        state.originGrant = granted; // not stated by an origin of an older release
    }
    state.originCatalog = parseCatalogVersion(state.request.headers);
    state.ageAtOrigin = milliseconds(std::min(parseCount(http::headerValue(state.request.headers, AgeHeader)), MaxAgeAtOrigin));
    noteCatalogVersion(core::InstanceId(state.origin), state.request.headers);
    const std::string lastEventId = http::headerValue(state.request.headers, ResumeHeader);
    if (state.request.headers.contains(VersionHeader)) {
        state.requiredVersion = routing::SoftwareVersion(http::headerValue(state.request.headers, VersionHeader));
    }
    for (const char *name : PeerHeaders) {
        state.request.headers.erase(name);
    }
    if (!lastEventId.empty()) {
        state.sseRelay.emplace(lastEventId);
    }
    if (co_await acceptRequest(state)) {
        co_await placeAndSend(state);
    }
}

asio::awaitable<bool> Forwarder::acceptRequest(RequestState &state)
{
    if (waitUntilCurrent) {
        co_await waitUntilCurrent();
    }
    state.catalog = m_metadataCache.catalog();
    auto head = m_context.adapter.parseRequest(state.request);
    if (!head) {
        co_await respondWithError(state, 400, core::ErrorKind::BadRequest, head.error().message, {});
        co_return false;
    }
    state.head = std::move(head.value());
    if (!state.catalog) {
        co_await respondWithError(state, 503, core::ErrorKind::PlatformDown, "no configuration is loaded yet", m_settings.noCatalogRetryAfter);
        co_return false;
    }
    if (!co_await admitRequest(state)) {
        co_return false;
    }
    if (state.service.empty()) {
        state.service = state.route->serviceFor(state.head.attemptId);
    }
    state.maxExecutions = std::min(state.originGrant, state.route->maxUpstreamsPerAttempt);
    if (state.fromPeer && !maySend(state, m_context.settings.region)) {
        co_await refuseNotExecuted(state, core::ErrorKind::ResidencyRefused, {});
        co_return false;
    }
    setDeadlines(state);
    if (!canEndInTime(state)) {
        co_await refuseForShutdown(state, "new");
        co_return false;
    }
    state.bodyHold.emplace(m_bodies, limits::HolderKind::Request, "");
    state.exchange.limitBody([&state](std::size_t bytes) { return state.bodyHold->resize(bytes); });
    state.isReadingBody = true;
    const auto bodyRead = co_await state.exchange.readBody();
    state.isReadingBody = false;
    if (!canEndInTime(state)) {
        co_await refuseForShutdown(state, "body");
        co_return false;
    }
    if (!bodyRead && state.bodyHold->isDenied()) {
        m_context.metrics.incrementCounter("arbutus_bodies_without_memory_total", "kind=\"request\"");
        state.lastFailure = bodyRead.error().message;
        co_await refuseNotExecuted(state, core::ErrorKind::Overloaded, m_settings.noMemoryRetryAfter);
        co_return false;
    }
    if (!bodyRead) {
        co_await respondWithError(state, core::httpStatus(bodyRead.error().kind), bodyRead.error().kind, bodyRead.error().message, {});
        co_return false;
    }
    state.request.sharedBody = std::make_shared<const std::string>(state.exchange.takeBody());
    state.fingerprint =
        routing::RequestFingerprint::of({state.request.method, state.head.host, state.request.target, state.head.prompt, *state.request.sharedBody});
    state.exchange.onClientDisconnect([cancellation = state.cancellation] { cancellation->cancel(); });
    if (state.exchange.isClientGone()) { // the request has waited for this instance for longer than its client
        logCompletion(state, 0, "client_disconnected");
        co_return false;
    }
    if (!renewRoute(state)) {
        co_await respondWithFailure(state, false);
        co_return false;
    }
    if (!state.fromPeer && state.isResumption()) {
        co_return co_await findOrigin(state);
    }
    co_return true;
}

asio::awaitable<bool> Forwarder::admitRequest(RequestState &state)
{
    catalog::RequestMatch match = newestMatch(state);
    const auto apply = [&] {
        state.catalog = m_metadataCache.catalog();
        state.acceptedCatalog = state.catalog->version();
        state.route = match.route;
        state.workspace = match.workspace;
    };
    apply();
    if (mayMatchNewer(match)) {
        if (!co_await waitForNewerCatalog(state, core::TimePoint::max())) { // its deadlines are the route's
            std::string reason = HomesUncertainReason;
            if (match.route == nullptr) {
                reason = "another instance has a newer configuration, which may have the route";
            } else if (match.isCredentialUnknown) {
                reason = "another instance has a newer configuration, which may have the credential";
            }
            if (match.route != nullptr) {
                recordOutdated(state, reason);
            }
            co_await respondWithError(state, 503, core::ErrorKind::PlatformDown, reason, m_settings.noCatalogRetryAfter);
            co_return false;
        }
        match = newestMatch(state);
        apply();
    }
    if (match.route == nullptr) {
        co_await respondWithError(state, 404, core::ErrorKind::NotFound, "no route matches the host and path", {});
        co_return false;
    }
    if ((match.isCredentialUnknown || match.workspace != nullptr) && isProofExpired()) {
        recordOutdated(state, NoProofReason);
        co_await refuseNotExecuted(state, core::ErrorKind::PlatformDown, m_settings.noProofRetryAfter);
        co_return false;
    }
    if (match.isCredentialUnknown) {
        std::string reason = state.head.credential.empty() ? "the request has no credential" : "no workspace has the credential";
        co_await respondWithError(state, 401, core::ErrorKind::Unauthorized, reason, {});
        co_return false;
    }
    if (hasNoRegion(state)) {
        recordOutdated(state, NoRegionReason);
        co_await refuseNotExecuted(state, core::ErrorKind::ResidencyRefused, m_settings.noRegionRetryAfter);
        co_return false;
    }
    co_return true;
}

void Forwarder::setDeadlines(RequestState &state) const
{
    auto timeout = state.route->timeout;
    if (state.head.timeout) {
        timeout = std::min(timeout, *state.head.timeout - m_settings.deadlineMargin);
    }
    const core::TimePoint requestedAt = state.receivedAt - state.ageAtOrigin;
    state.completionDeadline = state.receivedAt + timeout;
    state.latencyDeadline = requestedAt + state.route->latencyObjective;
    state.responseDeadline = state.completionDeadline;
    if (state.isStreaming()) { // clients abandon a stream whose first event takes too long
        const auto abandonmentTime =
            std::max({m_settings.minAbandonmentTime,
                      milliseconds(std::llround(m_settings.abandonmentObjectiveFactor * static_cast<double>(state.route->latencyObjective.count()))),
                      milliseconds(std::llround(m_settings.abandonmentGapFactor * static_cast<double>(state.route->maxEventGap.count())))});
        state.responseDeadline = std::min(state.completionDeadline, requestedAt + abandonmentTime - m_settings.abandonmentMargin);
    }
}

asio::awaitable<bool> Forwarder::findOrigin(RequestState &state)
{
    const core::ServiceId service = state.route->serviceFor(state.streamId().text);
    const routing::StreamId stream(state.head.resumedAttemptId);
    const FoundOrigin found = co_await m_streamDirectory.find(stream, service, state.route->timeout);
    m_context.writeLog(observe::LogLine("stream_resumed")
                           .add("request", state.head.attemptId)
                           .add("resumes", stream)
                           .add("after", state.head.lastEventId)
                           .add("service", found.origin.service)
                           .add("required_version", found.origin.version)
                           .add("source", toString(found.source))
                           .add("age_ms", core::toMilliseconds(found.age))
                           .add("took_ms", core::toMilliseconds(m_context.now() - state.receivedAt)));
    if (found.source == OriginSource::Unknown) {
        countResumption(state, "version_unknown");
        state.lastFailure = "it is not known at which software version the stream began";
        co_await refuseNotExecuted(state, core::ErrorKind::Overloaded, m_settings.versionUnknownRetryAfter);
        co_return false;
    }
    if (!state.route->leadsTo(found.origin.service)) {
        countResumption(state, "service_moved");
        state.lastFailure = "the route no longer leads to the service at which the stream began";
        co_await refuseNotExecuted(state, core::ErrorKind::Overloaded, m_settings.versionGoneRetryAfter);
        co_return false;
    }
    state.service = found.origin.service;
    state.requiredVersion = found.origin.version;
    co_return true;
}

void Forwarder::countResumption(const RequestState &state, std::string_view outcome)
{
    if (state.isResumption() && !state.fromPeer) {
        m_context.metrics.incrementCounter("arbutus_resumed_streams_total", "outcome=\"" + std::string(outcome) + "\"");
    }
}

//-----------------------------------------------------------------------------
// Shutdown
//-----------------------------------------------------------------------------

void Forwarder::beginShutdown(const ShutdownTimes &times)
{
    m_shutdown = times;
}

core::Duration Forwarder::expectedDuration(const RequestState &state) const
{
    // A stream that is cut is worse for its client than a refusal; another request gets a response in any case.
    return state.isStreaming() ? m_durations.longest(state.route->id, state.head.expectedOutputTokens).value_or(state.route->timeout)
                               : m_durations.median(state.route->id).value_or(state.route->latencyObjective);
}

UnsentRequest Forwarder::unsentRequest(const RequestState &state) const
{
    return UnsentRequest{state.isStreaming(), expectedDuration(state), state.completionDeadline};
}

bool Forwarder::canEndInTime(const RequestState &state) const
{
    return !m_shutdown || mayBegin(*m_shutdown, unsentRequest(state), m_context.now());
}

core::TimePoint Forwarder::limitByShutdown(const RequestState &state, core::TimePoint time) const
{
    return !m_shutdown ? time : std::min(time, m_shutdown->endOf(state.isStreaming()));
}

asio::awaitable<void> Forwarder::refuseForShutdown(RequestState &state, std::string_view stage)
{
    recordShutdown(state, stage);
    co_await refuseNotExecuted(state, core::ErrorKind::Draining, m_settings.shutdownRetryAfter);
}

void Forwarder::recordShutdown(RequestState &state, std::string_view stage)
{
    state.endedByShutdown = true;
    state.lastFailure = "the instance is shutting down";
    state.retryAfter = m_settings.shutdownRetryAfter;
    m_context.metrics.incrementCounter("arbutus_shutdown_requests_total", "stage=\"" + std::string(stage) + "\"");
    m_context.writeLog(observe::LogLine("request_ended_by_shutdown")
                           .add("request", state.head.attemptId)
                           .add("origin", state.origin)
                           .add("route", state.route->id)
                           .add("stage", stage)
                           .add("upstream_sends", state.sendCount)
                           .add("expected_ms", core::toMilliseconds(expectedDuration(state)))
                           .add("left_ms", core::toMilliseconds(limitByShutdown(state, core::TimePoint::max()) - m_context.now())));
}

void Forwarder::recordLateSend(const RequestState &state, const Attempt &attempt)
{
    if (!m_shutdown) {
        return;
    }
    const core::TimePoint now = m_context.now();
    const UnsentRequest request = unsentRequest(state);
    const bool isSure = isSureToEnd(*m_shutdown, request);
    m_context.metrics.incrementCounter("arbutus_shutdown_sends_total", isSure ? "basis=\"deadline\"" : "basis=\"estimate\"");
    m_context.writeLog(observe::LogLine("request_sent_in_shutdown")
                           .add("request", attempt.placement)
                           .add("origin", state.origin)
                           .add("route", state.route->id)
                           .add("stream_begun", state.responseStarted)
                           .add("output_tokens", state.head.expectedOutputTokens)
                           .add("expected_ms", core::toMilliseconds(request.expectedDuration))
                           .add("deadline_ms", core::toMilliseconds(request.deadline - now))
                           .add("estimates_ms", core::toMilliseconds(m_shutdown->estimatesUntil - now))
                           .add("left_ms", core::toMilliseconds(m_shutdown->endOf(request.isStreaming) - now)));
}

void Forwarder::endOverdueRequests()
{
    if (!m_shutdown) {
        return;
    }
    const core::TimePoint now = m_context.now();
    const std::set<RequestState *> openRequests = *m_openRequests;
    for (RequestState *state : openRequests) {
        const bool isAnswered = state->exchange.responseStarted() && !state->responseStarted;
        if (!m_openRequests->contains(state) || state->route == nullptr || state->endedByShutdown || state->cancellation->cancelled || isAnswered) {
            continue;
        }
        const bool isWaiting = !state->responseStarted && !state->current && !state->replacement;
        const bool isOverdue = now >= (state->responseStarted ? m_shutdown->streamsUntil : m_shutdown->answersBy);
        if (state->isReadingBody && (isOverdue || !canEndInTime(*state))) {
            state->exchange.cancelBodyRead(); // acceptRequest() responds
        } else if (isOverdue || (isWaiting && !state->isReadingBody && !canEndInTime(*state))) {
            recordShutdown(*state, isWaiting ? "waiting" : state->responseStarted ? "stream" : "sent");
            state->cancellation->cancel();
        }
    }
}

//-----------------------------------------------------------------------------
// Placement
//-----------------------------------------------------------------------------

routing::PlacementRequest Forwarder::makePlacementRequest(RequestState &state)
{
    ++state.placements;
    routing::PlacementRequest placementRequest;
    placementRequest.id = state.placementId();
    placementRequest.service = state.service;
    placementRequest.priority = state.match().priority();
    placementRequest.latencyDeadline = state.latencyDeadline;
    placementRequest.responseDeadline = limitByShutdown(state, state.responseStarted ? state.completionDeadline : state.responseDeadline);
    placementRequest.completionDeadline = limitByShutdown(state, state.completionDeadline);
    placementRequest.prompt = state.head.prompt;
    placementRequest.fingerprint = state.fingerprint;
    placementRequest.promptTokens = state.head.promptTokens;
    placementRequest.outputTokens = state.head.expectedOutputTokens;
    placementRequest.allowOtherRegions = !state.fromPeer;
    placementRequest.allowedRegions = state.match().homeRegions().value_or(std::set<core::RegionId>()); // see hasNoRegion()
    placementRequest.workspace = state.match().workspaceId();
    placementRequest.quotaUnits = quotaUnits(state);
    placementRequest.excludedUpstreams = state.excludedUpstreams;
    placementRequest.excludedRegions = state.excludedRegions;
    placementRequest.excludedRelays = state.excludedRelays;
    placementRequest.requiredVersion = state.requiredVersion;
    placementRequest.route = state.route->id;
    return placementRequest;
}

std::uint32_t Forwarder::quotaUnits(const RequestState &state)
{
    const bool isCharged = state.workspace != nullptr && state.workspace->quota && !state.fromPeer && !state.isQuotaSpent;
    return isCharged ? state.workspace->quota->costOf(state.head.statedTokens) : 0;
}

void Forwarder::excludeUnreachable(RequestState &state, const routing::PlacementRequest &request, const routing::PlacementDecision &decision)
{
    const auto *granted = std::get_if<routing::Granted>(&decision);
    const bool isUnreachable = granted != nullptr && request.unreachableUpstreams.contains(granted->upstream);
    // One such grant may have crossed the request. An excluded upstream is not reached through a relay either.
    if (isUnreachable && ++state.unreachableGrants > 1) {
        state.excludedUpstreams.insert(request.unreachableUpstreams.begin(), request.unreachableUpstreams.end());
    }
}

bool Forwarder::canRetry(RequestState &state)
{
    const core::TimePoint now = m_context.now();
    if (state.cancellation->cancelled || state.placements - state.fruitlessSearches >= m_settings.maxPlacements
        || now >= (state.responseStarted ? state.completionDeadline : state.responseDeadline)) {
        return false;
    }
    if (state.usedExecutions() >= state.maxExecutions || m_quarantine.countCrashed(state.brokenUpstreams) >= m_settings.maxCrashedUpstreams) {
        return false;
    }
    return !state.hasBeenSent() || m_retryBudget.remaining(state.service, m_fleet.knownMemberCount(), now) >= 1;
}

bool Forwarder::isQuarantined(RequestState &state)
{
    if (!state.quarantinedCause) {
        state.quarantinedCause = m_quarantine.findQuarantined(state.head.prompt, state.fingerprint);
        if (state.quarantinedCause) {
            state.lastFailure = (routing::isRequest(*state.quarantinedCause) ? "request " : "prompt part ") + routing::toString(*state.quarantinedCause)
                + " is quarantined because it crashes upstreams";
        }
    }
    return state.quarantinedCause.has_value();
}

asio::awaitable<void> Forwarder::placeAndSend(RequestState &state)
{
    while (state.replacement || !isQuarantined(state)) {
        state.current = std::exchange(state.replacement, nullptr);
        if (!state.current && !renewRoute(state)) {
            break;
        }
        if (!state.current) {
            if (!state.responseStarted && !canEndInTime(state)) {
                recordShutdown(state, "waiting");
                break;
            }
            if (hasNoRegion(state)) {
                recordOutdated(state, NoRegionReason);
                state.retryAfter = m_settings.noRegionRetryAfter;
                break;
            }
            if (state.workspace != nullptr && isProofExpired()) {
                recordOutdated(state, NoProofReason);
                state.retryAfter = m_settings.noProofRetryAfter;
                break;
            }
            if (areHomesUncertain(state)) {
                const bool mayWait = !std::exchange(state.hasWaitedForCatalog, true);
                if (mayWait && co_await waitForNewerCatalog(state, state.responseDeadline)) {
                    continue;
                }
                recordOutdated(state, HomesUncertainReason);
                state.retryAfter = m_settings.noCatalogRetryAfter;
                break;
            }
            state.cancellation->isOutdated = [this, &state] { return isOutdated(state); };
            routing::PlacementRequest placementRequest = makePlacementRequest(state);
            const routing::PlacementDecision decision = co_await m_placement.place(placementRequest, state.cancellation);
            if (waitUntilCurrent) {
                co_await waitUntilCurrent();
            }
            excludeUnreachable(state, placementRequest, decision);
            if (state.cancellation->cancelled) { // maybe during the last wait, after a grant
                m_placement.recordCompletion(placementRequest.id, routing::SendOutcome::NeverSent);
            }
            if (state.endedByShutdown) {
                break;
            }
            if (state.cancellation->cancelled) {
                logCompletion(state, 0, "client_disconnected");
                co_return;
            }
            if (const auto *refused = std::get_if<routing::Refused>(&decision)) {
                state.retryAfter = refused->retryAfter;
                if (refused->reason == routing::RefusalReason::OverQuota) {
                    state.isOverQuota = true;
                    state.lastFailure = "the quota of workspace " + state.match().workspaceId().text + " is used up";
                }
                if (refused->reason == routing::RefusalReason::Quarantined && !isQuarantined(state)) { // this instance has not received the record yet
                    state.quarantinedCause = state.fingerprint;
                    state.lastFailure = "the dispatcher reports a quarantined request or prompt part";
                }
                if (refused->reason == routing::RefusalReason::VersionGone) {
                    state.isVersionGone = true;
                    state.lastFailure = "no upstream of software version " + state.requiredVersion.value_or(routing::SoftwareVersion()).text + " is left";
                }
                if (refused->reason == routing::RefusalReason::Outdated) {
                    const bool isNewerKnown = co_await waitForNewerCatalog(state, state.responseDeadline);
                    if (isNewerKnown && canRetry(state)) {
                        continue;
                    }
                    recordOutdated(state, "the dispatcher has a newer configuration that does not allow the request");
                }
                break;
            }
            state.isQuotaSpent = true;
            if (mustWaitForCatalog(decision)) {
                bool isNewerKnown = false;
                if (!std::exchange(state.hasWaitedForCatalog, true)) {
                    isNewerKnown = co_await waitForNewerCatalog(state, state.responseDeadline);
                }
                if (!isNewerKnown) {
                    state.excludedRegions.insert(std::get<routing::Redirected>(decision).region);
                    recordOutdated(state, "another instance has a newer configuration, which may not allow the other region");
                }
                if (canRetry(state)) {
                    continue;
                }
                break;
            }
            state.current = openAttempt(state, decision);
        }
        SendResult result = SendResult::NotExecuted;
        if (state.current) {
            state.cancellation->onCancel = [&state] { state.cancelAttempts(); };
            if (state.isRepeatable()) {
                asio::co_spawn(m_context.executor, watchForSilence(state.shared_from_this(), state.current), asio::detached);
            }
            result = co_await finishAttempt(state, state.current);
            co_await waitForReplacement(state);
        }
        if (state.brokenUpstreams.size() >= m_settings.maxCrashedUpstreams && result != SendResult::Finished) {
            co_await m_quarantine.waitForExamination(state.brokenUpstreams);
        }
        state.cancellation->onCancel = nullptr;
        if (result == SendResult::Finished || state.cancellation->cancelled) {
            if (const auto unused = std::exchange(state.replacement, nullptr)) {
                co_await abandonAttempt(state, unused);
            }
            if (result != SendResult::Finished && state.endedByShutdown) {
                break;
            }
            if (result != SendResult::Finished) {
                logCompletion(state, 0, "client_disconnected");
            }
            co_return;
        }
        if (!state.replacement && (result == SendResult::NotRetryable || !canRetry(state))) {
            break;
        }
    }
    co_await respondWithFailure(state, m_context.now() >= state.completionDeadline);
}

//-----------------------------------------------------------------------------
// Sending
//-----------------------------------------------------------------------------

Forwarder::SendResult Forwarder::failedSendResult(const RequestState &state) const
{
    return state.isRepeatable() ? SendResult::Retryable : SendResult::NotRetryable;
}

Forwarder::SendResult Forwarder::recordFailedAttempt(RequestState &state, Attempt &attempt, routing::SendOutcome outcome, std::string reason) const
{
    attempt.outcome = outcome;
    attempt.failure = std::move(reason);
    exclude(state, attempt);
    return failedSendResult(state);
}

void Forwarder::exclude(RequestState &state, const Attempt &attempt)
{
    if (attempt.isToRelay) {
        state.excludedRelays.insert(attempt.peer);
    } else if (attempt.isToPeer()) {
        state.excludedRegions.insert(attempt.region);
    } else {
        state.excludedUpstreams.insert(attempt.upstream);
    }
}

std::shared_ptr<Forwarder::Attempt> Forwarder::openAttempt(RequestState &state, const routing::PlacementDecision &decision)
{
    if (const auto *granted = std::get_if<routing::Granted>(&decision)) {
        return openUpstreamAttempt(state, *granted);
    }
    if (const auto *redirected = std::get_if<routing::Redirected>(&decision)) {
        return openPeerAttempt(state, *redirected);
    }
    return nullptr;
}

void Forwarder::rejectPlacement(RequestState &state, const routing::Granted &granted, std::string reason)
{
    const routing::PlacementId placementId = state.placementId();
    m_placement.recordCompletion(placementId, routing::SendOutcome::NeverSent);
    state.excludedUpstreams.insert(granted.upstream);
    state.lastFailure = std::move(reason);
    m_context.writeLog(observe::LogLine("placement_rejected").add("request", placementId).add("upstream", granted.upstream).add("reason", state.lastFailure));
}

std::optional<routing::StartTime> Forwarder::latestRun(const core::UpstreamId &upstream, std::optional<routing::StartTime> knownRun) const
{
    const routing::RegistryEntry *entry = m_metadataCache.registry().find(upstream);
    return entry == nullptr ? knownRun : std::max(knownRun, std::optional(entry->announcement.startTime));
}

std::string Forwarder::reasonToWithhold(const core::UpstreamId &upstream, std::optional<routing::StartTime> knownRun) const
{
    const routing::RegistryEntry *entry = m_metadataCache.registry().find(upstream);
    if ((entry != nullptr && !entry->isUsable())
        || m_placement.isLeaving(upstream, latestRun(upstream, knownRun))) { // a dispatcher that was suspended may know less than this instance
        return "placed at an upstream that is leaving or gone";
    }
    return m_placement.isResting(upstream) ? "placed at an upstream that asked for a rest" : ""; // since the request was placed
}

bool Forwarder::maySendNow(RequestState &state, Attempt &attempt)
{
    if (state.exchange.isClientGone()) {
        attempt.withheld = "the client is gone";
        state.cancellation->cancel();
        return false;
    }
    if (!state.responseStarted && !canEndInTime(state)) {
        attempt.withheld = "the instance is shutting down";
    } else if (!maySend(state, attempt.isToPeer() ? attempt.region : m_context.settings.region) || isQuarantined(state)) {
        attempt.withheld = state.lastFailure;
    } else if (!attempt.isToPeer()) {
        attempt.withheld = reasonToWithhold(attempt.upstream, attempt.knownRun);
        if (!attempt.withheld.empty()) {
            exclude(state, attempt);
        }
    }
    return attempt.withheld.empty();
}

std::shared_ptr<Forwarder::Attempt> Forwarder::openUpstreamAttempt(RequestState &state, const routing::Granted &granted)
{
    const core::TimePoint now = m_context.now();
    const routing::PlacementId placementId = state.placementId();
    state.lastUpstream = granted.upstream;
    const routing::RegistryEntry *entry = m_metadataCache.registry().find(granted.upstream);
    if (!maySend(state, m_context.settings.region)) {
        m_placement.recordCompletion(placementId, routing::SendOutcome::NeverSent);
        return nullptr;
    }
    if (entry != nullptr && entry->announcement.service != state.service) {
        rejectPlacement(state, granted, "placed at an upstream of service " + entry->announcement.service.text);
        return nullptr;
    }
    if (std::string reason = reasonToWithhold(granted.upstream, granted.startTime); !reason.empty()) {
        rejectPlacement(state, granted, std::move(reason));
        return nullptr;
    }
    if (state.excludedUpstreams.contains(granted.upstream)) { // a copy of its first response could not be told from its second one
        rejectPlacement(state, granted, "placed again at an upstream that has failed or rejected the request");
        return nullptr;
    }
    if (m_paths.isLost(granted.upstream)) { // since the request was placed; the next placement knows
        m_placement.recordCompletion(placementId, routing::SendOutcome::NoPath);
        state.lastFailure = "the path to the upstream was lost";
        return nullptr;
    }
    const bool isVersionStated = entry == nullptr || !granted.version.empty(); // not by a dispatcher of an older release of the gateway
    const routing::SoftwareVersion version = isVersionStated ? granted.version : entry->announcement.version;
    const bool isVersionStale = entry != nullptr && entry->announcement.version != version;
    if (isVersionStale || (state.requiredVersion && version != *state.requiredVersion)) { // the stream has begun since it was placed
        rejectPlacement(state, granted, "placed at an upstream of software version " + version.text);
        return nullptr;
    }
    if (isQuarantined(state)) { // since the request was placed
        m_placement.recordCompletion(placementId, routing::SendOutcome::NeverSent);
        return nullptr;
    }
    if (!state.hasBeenSent()) {
        m_retryBudget.recordFirstSend(state.service, now);
    } else if (!m_retryBudget.tryRetry(state.service, m_fleet.knownMemberCount(), now)) {
        m_placement.recordCompletion(placementId, routing::SendOutcome::NeverSent);
        state.lastFailure = "retry budget exhausted";
        return nullptr;
    }
    const catalog::Service *service = state.catalog->findService(state.service);
    UpstreamRequestOptions requestOptions;
    requestOptions.expectedUpstream = granted.upstream;
    requestOptions.timeout = std::chrono::duration_cast<milliseconds>(limitByShutdown(state, state.completionDeadline) - now);
    requestOptions.priority = state.match().priority();
    if (hasWorkspaces(state)) {
        requestOptions.workspace = state.match().workspaceId();
    }
    requestOptions.isModelEngine = service != nullptr && service->engine.has_value();
    if (state.sseRelay) {
        requestOptions.resumeAfterEventId = state.sseRelay->lastEventId();
    }
    auto attempt = std::make_shared<Attempt>();
    attempt->placement = placementId;
    attempt->upstream = granted.upstream;
    attempt->service = state.service;
    attempt->address = granted.address;
    attempt->version = version;
    attempt->knownRun = latestRun(granted.upstream, granted.startTime);
    attempt->predictedLatency = granted.predictedLatency;
    attempt->request = state.request;
    attempt->request.headers = m_context.adapter.upstreamHeaders(state.request, requestOptions);

    http::CallOptions options;
    options.pool = &m_upstreamConnections;
    options.retryOnStaleConnection = false; // retries are decided by this class
    options.acceptConnectionClose = true;
    options.maxIdleTime = state.isRepeatable() ? m_settings.repeatableMaxIdleTime : m_settings.atMostOnceMaxIdleTime;
    options.connectTimeout = m_settings.upstreamConnectTimeout;
    options.matchResponse = [this, id = state.head.attemptId](const http::Headers &headers) { return m_context.adapter.matchResponse(headers, id); };
    startAttempt(state, attempt, std::move(options));
    return attempt;
}

std::optional<membership::Member> Forwarder::pickPeer(const routing::Redirected &redirected)
{
    if (!redirected.relay.empty()) {
        const membership::Member *relay = m_fleet.findMember(redirected.relay);
        return relay == nullptr ? std::nullopt : std::optional(*relay);
    }
    const auto &members = m_fleet.dispatcherRanking(redirected.region);
    double total = 0;
    for (const membership::Member &member : members) {
        total += member.capacity;
    }
    double threshold = total * (static_cast<double>(m_random()) / 4294967296.0); // 2^32
    for (const membership::Member &member : members) {
        threshold -= member.capacity;
        if (threshold < 0) {
            return member;
        }
    }
    return members.empty() ? std::nullopt : std::optional(members.back());
}

std::size_t Forwarder::executionsForPeer(const RequestState &state)
{
    const std::size_t used = state.usedExecutions();
    const std::size_t left = state.maxExecutions > used ? state.maxExecutions - used : 1; // the route allows at least one
    return left - left / 2;                                                               // the others are for a replacement, should the peer fall silent
}

std::shared_ptr<Forwarder::Attempt> Forwarder::openPeerAttempt(RequestState &state, const routing::Redirected &redirected)
{
    const bool isToRelay = !redirected.relay.empty();
    if (!maySend(state, redirected.region)) {
        if (!isOutdated(state) && !areHomesUncertain(state)) { // a dispatcher with an older configuration would name it again
            state.excludedRegions.insert(redirected.region);
        }
        return nullptr;
    }
    if (mustWaitForCatalog(redirected)) { // the search for a replacement does not wait
        return nullptr;
    }
    const auto peer = pickPeer(redirected);
    if (!peer) {
        if (isToRelay) {
            state.excludedRelays.insert(redirected.relay);
        } else {
            state.excludedRegions.insert(redirected.region);
        }
        state.lastFailure = isToRelay ? "relay " + redirected.relay.text + " is not known" : "no instance in region " + redirected.region.text;
        return nullptr;
    }
    auto attempt = std::make_shared<Attempt>();
    attempt->placement = state.placementId();
    attempt->peer = peer->id;
    attempt->region = redirected.region;
    attempt->isToRelay = isToRelay;
    attempt->service = state.service;
    attempt->address = peer->peerAddress;
    attempt->request = state.request;
    const auto remaining = std::chrono::duration_cast<milliseconds>(limitByShutdown(state, state.completionDeadline) - m_context.now());
    http::Headers &headers = attempt->request.headers;
    const milliseconds overhead = isToRelay ? m_settings.relayOverhead : m_settings.crossRegionOverhead;
    headers = m_context.adapter.peerHeaders(state.request, std::max(milliseconds(1), remaining - overhead / 2), hasWorkspaces(state));
    headers[OriginHeader] = m_context.settings.instanceId.text;
    headers[ServiceHeader] = state.service.text;
    headers[CatalogHeader] = std::to_string(m_metadataCache.knownCatalog().version.value);
    attempt->sendsBefore = std::max<std::size_t>(state.sendCount, state.hasBeenSent() ? 1 : 0);
    const std::size_t granted = executionsForPeer(state);
    // Executions that are not granted count as made: a peer of an older release knows no grants and goes on up to the route's number.
    attempt->executionsBefore = std::max(state.usedExecutions(), state.maxExecutions - std::min(granted, state.maxExecutions));
    attempt->grantedExecutions = granted;
    state.grantedExecutions += granted;
    headers[SendCountHeader] = std::to_string(attempt->sendsBefore);
    headers[PossibleExecutionsHeader] = std::to_string(attempt->executionsBefore);
    headers[MaxExecutionsHeader] = std::to_string(attempt->executionsBefore + attempt->grantedExecutions);
    if (state.sseRelay && !state.sseRelay->lastEventId().empty()) {
        headers[ResumeHeader] = state.sseRelay->lastEventId();
    }
    if (!state.responseStarted) {
        headers[AgeHeader] = std::to_string(core::toMilliseconds(m_context.now() - state.receivedAt + overhead / 2));
    }
    if (state.requiredVersion) {
        headers[VersionHeader] = state.requiredVersion->text;
        attempt->version = *state.requiredVersion;
    }
    http::CallOptions options;
    options.pool = &m_peerConnections;
    options.retryOnStaleConnection = false;
    options.maxHeadBytes = maxPeerResponseHeadBytes();
    options.maxIdleTime = m_settings.peerMaxIdleTime;
    options.connectTimeout = m_settings.peerConnectTimeout;
    startAttempt(state, attempt, std::move(options));
    return attempt;
}

void Forwarder::startAttempt(RequestState &state, const std::shared_ptr<Attempt> &attempt, http::CallOptions options)
{
    const core::TimePoint now = m_context.now();
    attempt->sentAt = now;
    attempt->lastProgressAt = now;
    attempt->newestCatalog = m_metadataCache.knownCatalog().version;
    attempt->metadataStaleness = m_metadataCache.staleness(now);
    if (!state.isStreaming()) {
        options.maxBodyBytes = m_settings.maxBufferedBodyBytes;
    }
    const std::string &sender = attempt->isToPeer() ? attempt->peer.text : attempt->upstream.text;
    attempt->responseHold =
        std::make_shared<limits::ByteHold>(m_bodies, limits::HolderKind::Response, sender, [attempt = attempt.get()] { attempt->call->cancel(); });
    options.mayHoldBody = [attempt = attempt.get()](std::size_t bytes) { return attempt->responseHold->resize(bytes); };
    options.maySend = [this, &state, attempt = attempt.get()] { return maySendNow(state, *attempt); };
    options.onConnected = [this, &state, attempt = attempt.get()](bool isNewConnection) {
        recordLateSend(state, *attempt);
        attempt->connectedAt = m_context.now();
        attempt->isOnNewConnection = isNewConnection;
        if (!attempt->isToPeer()) { // a peer reports its own counts
            ++state.sendCount;
            ++state.possibleExecutions;
            if (isNewConnection) {
                m_paths.recordConnected(attempt->upstream);
            }
            m_context.metrics.incrementCounter("arbutus_upstream_sends_total", isNewConnection ? "connection=\"new\"" : "connection=\"kept\"");
        }
        state.changed.notify();
    };
    attempt->call.emplace(m_context.executor, http::parseEndpoint(attempt->address), std::move(options));
    // Rounded up: an attempt that ends before the deadline would not count as timed out.
    const milliseconds remaining = std::max(milliseconds(1), std::chrono::ceil<milliseconds>(state.completionDeadline - now));
    auto operation = [attempt, remaining, owner = state.shared_from_this()]() -> asio::awaitable<void> {
        http::CallResult<http::Response> head = http::CallError{http::CallStage::SendRequest, "unexpected failure of the call"};
        try {
            head = co_await attempt->call->start(attempt->request, remaining);
        } catch (const std::exception &error) {
            head = http::CallError{http::CallStage::SendRequest, error.what()};
        }
        if (attempt->isToPeer() && head) {
            attempt->version = routing::SoftwareVersion(http::headerValue(head.value().headers, VersionHeader));
        }
        attempt->head.emplace(std::move(head));
        attempt->lastProgressAt = std::max(attempt->lastProgressAt, owner->clock.steadyNow());
        owner->changed.notify();
    };
    asio::co_spawn(m_context.executor, std::move(operation), asio::detached);
}

asio::awaitable<Forwarder::SendResult> Forwarder::finishAttempt(RequestState &state, std::shared_ptr<Attempt> attempt)
{
    while (!attempt->head) {
        co_await state.changed.wait();
    }
    SendResult result = SendResult::NotExecuted;
    if (*attempt->head) {
        result = attempt->isToPeer() ? co_await handlePeerResponse(state, *attempt) : co_await handleResponse(state, *attempt);
    } else {
        if (attempt->head->error().refused && !attempt->isToPeer()) {
            attempt->isUpstreamDown = co_await m_paths.reachesAnother(attempt->upstream);
        }
        result = handleFailedStart(state, *attempt);
    }
    attempt->ended = true;
    attempt->call->cancel();
    state.changed.notify();
    state.mayHaveExecuted = state.mayHaveExecuted || result != SendResult::NotExecuted;
    if (attempt->superseded && result != SendResult::Finished) {
        attempt->outcome = routing::SendOutcome::TimedOut;
        attempt->failure = "silent; replaced by another attempt";
        result = SendResult::Superseded;
    }
    if (!attempt->failure.empty()) {
        state.lastFailure = attempt->failure;
    }
    if (!attempt->isToPeer()) {
        recordPath(*attempt);
        m_placement.recordCompletion(attempt->placement, attempt->outcome, attempt->streamTiming);
        recordEvidence(state, *attempt);
    } else if (attempt->isToRelay) {
        const std::string outcome = attempt->peerOutcome.empty() ? "failed" : attempt->peerOutcome;
        m_context.metrics.incrementCounter("arbutus_relayed_requests_total", "outcome=\"" + outcome + "\"");
    }
    logAttempt(state, *attempt);
    co_return result;
}

Forwarder::SendResult Forwarder::handleFailedStart(RequestState &state, Attempt &attempt)
{
    const http::CallError &error = attempt.head->error();
    attempt.failure = attempt.withheld.empty() ? error.message : attempt.withheld;
    const bool connected = attempt.connectedAt.has_value();
    if (state.cancellation->cancelled) {
        attempt.outcome = routing::SendOutcome::ClientDisconnected;
        return connected ? failedSendResult(state) : SendResult::NotExecuted;
    }
    if (attempt.isToPeer()) {
        exclude(state, attempt);
        state.sendCount += connected ? 1 : 0; // the peer may have forwarded it
        state.settleGrant(attempt, connected ? attempt.grantedExecutions : 0);
        return connected ? failedSendResult(state) : SendResult::NotExecuted;
    }
    if (!attempt.withheld.empty()) {
        attempt.outcome = routing::SendOutcome::NeverSent;
        return SendResult::NotExecuted;
    }
    if (attempt.isUpstreamDown) {
        attempt.outcome = routing::SendOutcome::Unreachable;
        exclude(state, attempt);
        return SendResult::NotExecuted;
    }
    if (!connected && error.stage == http::CallStage::Connect && !attempt.superseded && !attempt.unneeded) {
        attempt.outcome = routing::SendOutcome::NoPath;
        m_paths.recordFailure(attempt.upstream, error.message);
        return SendResult::NotExecuted;
    }
    const bool staleConnection = connected && error.connectionReused && !error.timedOut && !attempt.superseded;
    if (connected) {
        attempt.outcome = staleConnection ? routing::SendOutcome::NeverSent // a stale pooled connection is not counted against the upstream
            : error.timedOut              ? routing::SendOutcome::TimedOut
                                          : routing::SendOutcome::Incomplete;
    }
    if (!staleConnection) {
        exclude(state, attempt);
    } else if (state.isRepeatable()) {
        --state.possibleExecutions; // the request is sent to the same upstream again
    }
    return connected ? failedSendResult(state) : SendResult::NotExecuted;
}

void Forwarder::recordPath(Attempt &attempt)
{
    const bool isWithoutEnd = attempt.outcome == routing::SendOutcome::Incomplete || attempt.outcome == routing::SendOutcome::TimedOut;
    if (attempt.isUpstreamDown) {
        return; // the path is there
    }
    if (isWithoutEnd && m_paths.isLost(attempt.upstream)) {
        attempt.outcome = routing::SendOutcome::NoPath; // says nothing about the upstream
    } else if (isWithoutEnd || (attempt.head && !*attempt.head)) {
        m_paths.doubt(attempt.upstream);
    }
}

bool Forwarder::isBroken(const Attempt &attempt)
{
    const bool connectionEnded = attempt.connectedAt && attempt.head && !*attempt.head && !attempt.head->error().timedOut;
    return attempt.outcome == routing::SendOutcome::Incomplete
        || (connectionEnded && attempt.outcome == routing::SendOutcome::NeverSent); // a kept connection, whose end may be that of the upstream
}

void Forwarder::recordEvidence(RequestState &state, const Attempt &attempt)
{
    const bool hasHead = attempt.head && attempt.head->has_value();
    const bool hasEvent = attempt.firstEventAt != core::TimePoint{};
    if (attempt.outcome == routing::SendOutcome::Completed || attempt.outcome == routing::SendOutcome::ServerError) {
        m_quarantine.recordCompletion(state.fingerprint);
    } else if (isBroken(attempt)) {
        state.brokenUpstreams.insert(attempt.upstream);
        m_quarantine.recordBreak(attempt.upstream, attempt.address, BrokenRequest{state.head.prompt, state.fingerprint, hasHead && !hasEvent, attempt.sentAt});
    }
    if (attempt.outcome != routing::SendOutcome::Incomplete) {
        return;
    }
    m_context.metrics.incrementCounter("arbutus_upstream_breaks_total", hasEvent ? "stage=\"events\"" : hasHead ? "stage=\"head\"" : "stage=\"sent\"");
}

void Forwarder::logAttempt(const RequestState &state, const Attempt &attempt)
{
    const core::TimePoint now = m_context.now();
    const bool hasEvent = attempt.firstEventAt != core::TimePoint{};
    observe::LogLine line(attempt.isToPeer() ? "peer_attempt_finished" : "upstream_attempt_finished");
    line.add("request", attempt.placement);
    if (attempt.isToPeer()) {
        line.add("peer", attempt.peer)
            .add("region", attempt.region)
            .add("upstream", attempt.upstream)
            .add("status", attempt.head && *attempt.head ? attempt.head->value().status : 0)
            .add("outcome", attempt.peerOutcome)
            .add("reason", attempt.failure);
    } else {
        line.add("upstream", attempt.upstream)
            .add("software_version", attempt.version)
            .add("outcome", routing::toString(attempt.outcome))
            .add("reason", attempt.failure)
            .add("named_rate", attempt.maxRequestRate)
            .add("rest_ms", attempt.rest)
            .add("connection", attempt.isOnNewConnection ? "new" : "kept")
            .add("unnamed", attempt.isUnnamed)
            .add("prompt_parts", attempt.outcome == routing::SendOutcome::Incomplete ? sharedPartIds(state.head.prompt) : "")
            .add("fingerprint", isBroken(attempt) ? routing::toString(state.fingerprint) : "")
            .add("first_event_ms", hasEvent ? core::toMilliseconds(attempt.firstEventAt - attempt.sentAt) : 0)
            .add("predicted_ms", core::toMilliseconds(attempt.predictedLatency))
            .add("upstream_sends", state.sendCount)
            .add("runs", state.possibleExecutions);
    }
    line.add("configuration", state.acceptedCatalog)
        .add("newest_configuration", attempt.newestCatalog)
        .add("workspace", state.match().workspaceId())
        .add("home_regions", homeRegionsOf(state.match()))
        .add("metadata_staleness_ms", core::toMilliseconds(attempt.metadataStaleness))
        .add("says_leaving", attempt.saysLeaving)
        .add("body_end", attempt.bodyEnd)
        .add("partial_event_bytes", attempt.partialEventBytes)
        .add("took_ms", core::toMilliseconds(now - attempt.sentAt));
    m_context.writeLog(line);
}

//-----------------------------------------------------------------------------
// Silence
//-----------------------------------------------------------------------------

std::optional<core::Duration> Forwarder::timeUntilSilent(const RequestState &state, const Attempt &attempt) const
{
    if (attempt.head && !state.isStreaming()) {
        return std::nullopt;
    }
    const auto expected = std::chrono::duration_cast<core::Duration>(attempt.predictedLatency * m_settings.firstByteTimeoutFactor);
    core::Duration limit = attempt.head ? core::Duration(m_settings.streamIdleTimeout) : std::max(core::Duration(m_settings.minFirstByteTimeout), expected);
    if (attempt.isToPeer()) {
        limit += m_settings.peerSilenceMargin;
    }
    return attempt.isWriting ? limit : limit - (m_context.now() - attempt.lastProgressAt);
}

bool Forwarder::isSilent(const RequestState &state, const Attempt &attempt) const
{
    const auto remaining = timeUntilSilent(state, attempt);
    return remaining && *remaining <= core::Duration::zero();
}

asio::awaitable<void> Forwarder::watchForSilence(std::shared_ptr<RequestState> state, std::shared_ptr<Attempt> attempt)
{
    while (!attempt->ended && !attempt->superseded) {
        const auto remaining = timeUntilSilent(*state, *attempt);
        if (!remaining) {
            co_return;
        }
        if (*remaining > core::Duration::zero()) {
            co_await state->changed.wait(*remaining);
            continue;
        }
        if (!attempt->isToPeer()) {
            m_paths.doubt(attempt->upstream);
        }
        state->isSeekingReplacement = true;
        try {
            co_await seekReplacement(*state, attempt);
        } catch (const std::exception &error) { // the silent attempt goes on
            m_context.writeLog(observe::LogLine("replacement_failed").add("request", attempt->placement).add("reason", error.what()));
        }
        state->isSeekingReplacement = false;
        state->changed.notify();
        const core::TimePoint soughtAt = m_context.now();
        while (!attempt->ended && !attempt->superseded && m_context.now() - soughtAt < m_settings.replacementInterval) {
            co_await state->changed.wait(m_settings.replacementInterval - (m_context.now() - soughtAt));
        }
    }
}

asio::awaitable<void> Forwarder::waitForReplacement(RequestState &state)
{
    state.stopSeekingReplacement(); // the request is placed again without an attempt to keep
    while (state.isSeekingReplacement) {
        co_await state.changed.wait();
    }
}

asio::awaitable<void> Forwarder::seekReplacement(RequestState &state, std::shared_ptr<Attempt> silent)
{
    if (!canRetry(state) || isQuarantined(state) || !renewRoute(state) || (!state.responseStarted && !canEndInTime(state))) {
        co_return;
    }
    exclude(state, *silent);
    state.replacementToken = std::make_shared<CancellationToken>();
    state.replacementToken->isOutdated = [this, &state] { return isOutdated(state); };
    routing::PlacementRequest placementRequest = makePlacementRequest(state);
    const routing::PlacementDecision decision = co_await m_placement.place(placementRequest, state.replacementToken);
    if (waitUntilCurrent) {
        co_await waitUntilCurrent();
    }
    excludeUnreachable(state, placementRequest, decision);
    state.replacementToken = nullptr;
    if (silent->ended || state.cancellation->cancelled || !isSilent(state, *silent)) {
        if (std::holds_alternative<routing::Granted>(decision)) {
            m_placement.recordCompletion(placementRequest.id, routing::SendOutcome::NeverSent);
        }
        ++state.fruitlessSearches;
        co_return;
    }
    const std::shared_ptr<Attempt> replacement = openAttempt(state, decision);
    if (!replacement) {
        ++state.fruitlessSearches;
        co_return;
    }
    state.replacement = replacement;
    // Two upstreams run the request until the replacement has answered, but not for longer than `maxOverlap`.
    const core::Duration maxOverlap = replacement->isToPeer() ? m_settings.maxPeerOverlap : m_settings.maxOverlap;
    while (!replacement->head && !silent->ended) {
        const core::Duration overlap = replacement->connectedAt ? m_context.now() - *replacement->connectedAt : core::Duration::zero();
        if (overlap >= maxOverlap) {
            break;
        }
        co_await state.changed.wait(maxOverlap - overlap);
    }
    if (silent->delivered || state.cancellation->cancelled || !fitsStream(state, *replacement)) { // the silent attempt may have begun the stream
        state.replacement = nullptr;
        co_await abandonAttempt(state, replacement);
    } else if (replacement->head && !isAccepted(state, *replacement)) {
        state.failedReplacement = std::exchange(state.replacement, nullptr);
        if (silent->ended) {
            state.stopSeekingReplacement();
        }
        (void)co_await finishAttempt(state, replacement); // it has failed; the silent attempt goes on
        state.failedReplacement = nullptr;
    } else {
        silent->superseded = true;
        silent->call->cancel();
        m_context.metrics.incrementCounter("arbutus_silent_attempts_replaced_total");
    }
}

asio::awaitable<void> Forwarder::abandonAttempt(RequestState &state, std::shared_ptr<Attempt> attempt)
{
    attempt->call->cancel();
    while (!attempt->head) {
        co_await state.changed.wait();
    }
    attempt->ended = true;
    const bool hasHead = attempt->head->has_value();
    if (hasHead && (!attempt->isToPeer() || http::headerValue(attempt->head->value().headers, OutcomeHeader) == OutcomeAnswered)) {
        (void)recordStatements(state, *attempt);
    }
    attempt->outcome = routing::SendOutcome::ClientDisconnected;
    attempt->failure = "not needed any more";
    state.mayHaveExecuted = state.mayHaveExecuted || attempt->connectedAt.has_value();
    if (!attempt->isToPeer()) {
        m_placement.recordCompletion(attempt->placement, attempt->outcome, attempt->streamTiming);
    }
    state.settleGrant(*attempt, attempt->grantedExecutions);
    logAttempt(state, *attempt);
}

bool Forwarder::isAccepted(const RequestState &state, const Attempt &attempt) const
{
    if (!attempt.head->has_value()) {
        return false;
    }
    const http::Response &response = attempt.head->value();
    if (attempt.isToPeer() && http::headerValue(response.headers, OutcomeHeader) != OutcomeAnswered) {
        return false;
    }
    return m_context.adapter.parseResponse(response, state.head.attemptId).kind == ResponseKind::Success
        && (!state.responseStarted || mayBeStream(state, response.headers));
}

} // namespace arbutus::edge
