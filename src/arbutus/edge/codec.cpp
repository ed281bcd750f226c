// Conversion between domain types and protobuf messages.

#include "arbutus/edge/codec.h"
#include "arbutus/core/overloaded.h"

#include "fleet.pb.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace arbutus::edge {

namespace {

std::uint64_t toMicroseconds(core::Duration duration)
{
    return static_cast<std::uint64_t>(std::max<core::Duration::rep>(duration.count(), 0));
}

constexpr core::Duration MaxDuration = std::chrono::days(365); // longer ones are cut: no age or wait that matters is longer

core::Duration fromMicroseconds(std::uint64_t microseconds)
{
    return core::Duration(static_cast<core::Duration::rep>(std::min(microseconds, static_cast<std::uint64_t>(MaxDuration.count()))));
}

core::Duration fromSignedMicroseconds(std::int64_t microseconds)
{
    return std::clamp(core::Duration(microseconds), -MaxDuration, MaxDuration);
}

/// A message that is malformed although Protobuf can parse it.
class MalformedMessage : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Returns a number that states an amount; throws MalformedMessage if it is negative, infinite or not a number.
double amount(double value)
{
    if (!(value >= 0) || !std::isfinite(value)) {
        throw MalformedMessage("an amount is negative or not finite");
    }
    return value;
}

//-----------------------------------------------------------------------------
// Membership
//-----------------------------------------------------------------------------

void toProto(const membership::Member &member, fleet::Member &out)
{
    out.set_id(member.id.text);
    out.set_incarnation(member.incarnation.value);
    out.set_condition(static_cast<std::uint32_t>(member.condition));
    out.set_leaving(member.leaving);
    out.set_refutation(member.refutation);
    out.set_domain(member.domain.text);
    out.set_region(member.region.text);
    out.set_gossip_address(member.gossipAddress);
    out.set_peer_address(member.peerAddress);
    out.set_url(member.clientUrl);
    out.set_capacity(member.capacity);
}

std::optional<membership::Member> fromProto(const fleet::Member &in)
{
    if (in.id().empty()) {
        throw MalformedMessage("a member has no id");
    }
    constexpr auto LastCondition = static_cast<std::uint32_t>(membership::MemberCondition::Dead);
    if (in.condition() > LastCondition) {
        return std::nullopt;
    }
    membership::Member member;
    member.id = core::InstanceId(in.id());
    member.incarnation = core::Incarnation(in.incarnation());
    member.condition = static_cast<membership::MemberCondition>(in.condition());
    member.leaving = in.leaving();
    member.refutation = in.refutation();
    member.domain = core::DomainId(in.domain());
    member.region = core::RegionId(in.region());
    member.gossipAddress = in.gossip_address();
    member.peerAddress = in.peer_address();
    member.clientUrl = in.url();
    member.capacity = amount(in.capacity());
    return member;
}

//-----------------------------------------------------------------------------
// Placement
//-----------------------------------------------------------------------------

void toProto(const routing::RequestFingerprint &fingerprint, fleet::Fingerprint &out)
{
    out.set_high(fingerprint.high);
    out.set_low(fingerprint.low);
}

routing::RequestFingerprint fromProto(const fleet::Fingerprint &in)
{
    return routing::RequestFingerprint{in.high(), in.low()};
}

void toProto(const routing::PlacementRequest &request, fleet::Ask &out, core::TimePoint now)
{
    out.set_id(request.id.text);
    out.set_service(request.service.text);
    out.set_priority(request.priority);
    out.set_on_time_left_us((request.latencyDeadline - now).count());
    out.set_useful_left_us((request.responseDeadline - now).count());
    out.set_ends_left_us((request.completionDeadline - now).count());
    toProto(request.fingerprint, *out.mutable_fingerprint());
    for (const routing::PromptPart &part : request.prompt) {
        auto *row = out.add_prompt();
        row->set_chain(part.prefixHash);
        row->set_tokens(part.tokens);
        row->set_id(part.id.value);
    }
    out.set_prompt_tokens(request.promptTokens);
    out.set_output_tokens(request.outputTokens);
    out.set_may_leave(request.allowOtherRegions);
    for (const core::RegionId &region : request.allowedRegions) {
        out.add_regions(region.text);
    }
    for (const core::UpstreamId &upstream : request.excludedUpstreams) {
        out.add_excluded(upstream.text);
    }
    for (const core::RegionId &region : request.excludedRegions) {
        out.add_excluded_regions(region.text);
    }
    if (request.requiredVersion) {
        out.set_required_version(request.requiredVersion->text);
    }
    for (const core::UpstreamId &upstream : request.unreachableUpstreams) {
        out.add_unreachable(upstream.text);
    }
    for (const core::InstanceId &relay : request.excludedRelays) {
        out.add_excluded_relays(relay.text);
    }
    out.set_route(request.route.text);
    out.set_catalog_version(request.catalogVersion.value);
    out.set_workspace(request.workspace.text);
    out.set_quota_units(request.quotaUnits);
}

routing::PlacementRequest fromProto(const fleet::Ask &in, core::InstanceId requester, core::TimePoint now)
{
    routing::PlacementRequest request;
    request.id = routing::PlacementId(in.id());
    request.requester = std::move(requester);
    request.service = core::ServiceId(in.service());
    request.priority = in.priority();
    request.latencyDeadline = now + fromSignedMicroseconds(in.on_time_left_us());
    request.responseDeadline = now + fromSignedMicroseconds(in.useful_left_us());
    request.completionDeadline = now + fromSignedMicroseconds(in.ends_left_us());
    request.fingerprint = fromProto(in.fingerprint());
    for (const fleet::PromptPart &part : in.prompt()) {
        request.prompt.push_back(routing::PromptPart{part.chain(), part.tokens(), routing::PromptPartId(part.id())});
    }
    request.promptTokens = in.prompt_tokens();
    request.outputTokens = in.output_tokens();
    request.allowOtherRegions = in.may_leave();
    for (const std::string &region : in.regions()) {
        request.allowedRegions.insert(core::RegionId(region));
    }
    for (const std::string &upstream : in.excluded()) {
        request.excludedUpstreams.insert(core::UpstreamId(upstream));
    }
    for (const std::string &region : in.excluded_regions()) {
        request.excludedRegions.insert(core::RegionId(region));
    }
    for (const std::string &upstream : in.unreachable()) {
        request.unreachableUpstreams.insert(core::UpstreamId(upstream));
    }
    for (const std::string &relay : in.excluded_relays()) {
        request.excludedRelays.insert(core::InstanceId(relay));
    }
    request.route = catalog::RouteId(in.route());
    request.catalogVersion = catalog::CatalogVersion(in.catalog_version());
    request.workspace = core::WorkspaceId(in.workspace());
    request.quotaUnits = in.quota_units();
    if (in.has_required_version()) {
        request.requiredVersion = routing::SoftwareVersion(in.required_version());
    }
    return request;
}

void toProto(const PlacementReply &reply, fleet::Verdict &out)
{
    out.set_id(reply.id.text);
    std::visit(core::Overloaded{
                   [&](const routing::Granted &granted) {
                       out.set_kind(fleet::Verdict::GRANTED);
                       out.set_upstream(granted.upstream.text);
                       out.set_address(granted.address);
                       out.set_uncached_tokens(granted.uncachedTokens);
                       out.set_predicted_us(toMicroseconds(granted.predictedLatency));
                       out.set_cold(granted.coldUpstream);
                       out.set_software_version(granted.version.text);
                       out.set_start_time(granted.startTime.value_or(routing::StartTime()).value);
                   },
                   [&](const routing::Queued &queued) {
                       out.set_kind(fleet::Verdict::WAITS);
                       out.set_predicted_us(toMicroseconds(queued.predictedWait));
                   },
                   [&](const routing::Redirected &redirected) {
                       out.set_kind(fleet::Verdict::ELSEWHERE);
                       out.set_region(redirected.region.text);
                       out.set_relay(redirected.relay.text);
                       out.set_predicted_us(toMicroseconds(redirected.predictedLatency));
                   },
                   [&](const routing::Refused &refused) {
                       out.set_kind(fleet::Verdict::REFUSED);
                       out.set_overloaded(refused.reason == routing::RefusalReason::Overloaded);
                       out.set_quarantined(refused.reason == routing::RefusalReason::Quarantined);
                       out.set_version_gone(refused.reason == routing::RefusalReason::VersionGone);
                       out.set_outdated(refused.reason == routing::RefusalReason::Outdated);
                       out.set_over_quota(refused.reason == routing::RefusalReason::OverQuota);
                       out.set_retry_after_us(toMicroseconds(refused.retryAfter));
                   },
               },
               reply.decision);
}

std::optional<routing::PlacementDecision> decisionFromProto(const fleet::Verdict &in)
{
    const auto reason = in.quarantined() ? routing::RefusalReason::Quarantined
        : in.version_gone()              ? routing::RefusalReason::VersionGone
        : in.outdated()                  ? routing::RefusalReason::Outdated
        : in.over_quota()                ? routing::RefusalReason::OverQuota
        : in.overloaded()                ? routing::RefusalReason::Overloaded
                                         : routing::RefusalReason::NoUpstream;
    switch (in.kind()) {
    case fleet::Verdict::GRANTED:
        return routing::Granted{core::UpstreamId(in.upstream()),
                                in.address(),
                                in.uncached_tokens(),
                                fromMicroseconds(in.predicted_us()),
                                in.cold(),
                                routing::SoftwareVersion(in.software_version()),
                                in.start_time() == 0 ? std::nullopt : std::optional(routing::StartTime(in.start_time()))};
    case fleet::Verdict::WAITS:
        return routing::Queued{fromMicroseconds(in.predicted_us())};
    case fleet::Verdict::ELSEWHERE:
        return routing::Redirected{core::RegionId(in.region()), fromMicroseconds(in.predicted_us()), core::Duration::zero(), core::InstanceId(in.relay())};
    case fleet::Verdict::REFUSED:
        return routing::Refused{reason, fromMicroseconds(in.retry_after_us())};
    default:
        break;
    }
    return std::nullopt; // the requester asks again
}

void toProto(const routing::UpstreamNotice &notice, fleet::Notice &out, core::TimePoint now)
{
    out.set_upstream(notice.upstream.text);
    out.set_start_time(notice.startTime.value);
    out.set_leaving(notice.isLeaving);
    out.set_limited(notice.maxRequestRate.has_value());
    out.set_max_request_rate(notice.maxRequestRate.value_or(0));
    out.set_age_us(toMicroseconds(now - notice.at));
}

routing::UpstreamNotice fromProto(const fleet::Notice &in, core::TimePoint now)
{
    routing::UpstreamNotice notice;
    notice.upstream = core::UpstreamId(in.upstream());
    notice.startTime = routing::StartTime(in.start_time());
    if (in.limited()) {
        notice.maxRequestRate = amount(in.max_request_rate());
    }
    notice.isLeaving = in.leaving();
    notice.at = now - fromMicroseconds(in.age_us());
    return notice;
}

void toProto(const routing::StreamRecord &record, fleet::StreamRecord &out, core::TimePoint now)
{
    out.set_stream(record.stream.text);
    out.set_service(record.origin.service.text);
    out.set_software_version(record.origin.version.text);
    out.set_age_us(toMicroseconds(now - record.beganAt));
}

routing::StreamRecord fromProto(const fleet::StreamRecord &in, core::TimePoint now)
{
    return routing::StreamRecord{routing::StreamId(in.stream()),
                                 routing::StreamOrigin{core::ServiceId(in.service()), routing::SoftwareVersion(in.software_version())},
                                 now - fromMicroseconds(in.age_us())};
}

void toProto(const limits::QuotaLease &lease, fleet::QuotaLease &out)
{
    out.set_borrower_clock(lease.borrowerClock.value);
    out.set_length_us(toMicroseconds(lease.length));
    out.set_instances(lease.instances);
    out.set_early(lease.isEarly);
}

limits::QuotaLease fromProto(const fleet::QuotaLease &in)
{
    return limits::QuotaLease{limits::QuotaClock(in.borrower_clock()), fromMicroseconds(in.length_us()), in.instances(), in.early()};
}

void toProto(const limits::QuotaState &state, fleet::QuotaState &out)
{
    out.set_clock(state.clock.value);
    out.set_instances(state.instances);
    out.set_share(state.ownShare);
    for (const limits::QuotaRow &row : state.rows) {
        auto *entry = out.add_rows();
        entry->set_workspace(row.workspace.text);
        entry->set_needed(static_cast<float>(row.neededShare));
        entry->set_lent(static_cast<float>(row.lentShare));
        entry->set_moved_units(static_cast<float>(row.movedUnits));
    }
    out.set_borrower_clock(state.borrowerClock.value);
    out.set_loan_us(toMicroseconds(state.loanLength));
}

limits::QuotaState fromProto(const fleet::QuotaState &in)
{
    limits::QuotaState state;
    state.clock = limits::QuotaClock(in.clock());
    state.instances = in.instances();
    state.ownShare = amount(in.share());
    for (const auto &row : in.rows()) {
        state.rows.push_back(limits::QuotaRow{core::WorkspaceId(row.workspace()), amount(row.needed()), amount(row.lent()), amount(row.moved_units())});
    }
    state.borrowerClock = limits::QuotaClock(in.borrower_clock());
    state.loanLength = fromMicroseconds(in.loan_us());
    return state;
}

void toProto(const PlacementReport &report, fleet::Work &out, core::TimePoint now)
{
    for (const routing::UpstreamNotice &notice : report.notices) {
        toProto(notice, *out.add_notices(), now);
    }
    for (const routing::ReportedRequest &request : report.inFlight) {
        auto *row = out.add_holdings();
        row->set_id(request.id.text);
        row->set_upstream(request.upstream.text);
        row->set_started(request.timeToFirstEvent.has_value());
        row->set_first_event_after_us(toMicroseconds(request.timeToFirstEvent.value_or(core::Duration::zero())));
        row->set_memory_tokens(request.memoryTokens);
        if (request.stream) {
            toProto(*request.stream, *row->mutable_stream(), now);
        }
    }
    for (const core::UpstreamId &upstream : report.unreachableUpstreams) {
        out.add_unreachable(upstream.text);
    }
    for (const CompletedPlacement &completed : report.completed) {
        auto *row = out.add_ended();
        row->set_id(completed.id.text);
        row->set_upstream(completed.upstream.text);
        row->set_ending(static_cast<std::uint32_t>(completed.outcome));
        row->set_events(completed.timing.events);
        row->set_stream_us(toMicroseconds(completed.timing.duration));
        row->set_max_gap_us(toMicroseconds(completed.timing.maxGap));
    }
    if (report.quotaLease) {
        toProto(*report.quotaLease, *out.mutable_quota_lease());
    }
}

PlacementReport fromProto(const fleet::Work &in, core::TimePoint now, std::size_t &ignoredParts)
{
    PlacementReport report;
    for (const fleet::Notice &notice : in.notices()) {
        report.notices.push_back(fromProto(notice, now));
    }
    for (const std::string &upstream : in.unreachable()) {
        report.unreachableUpstreams.insert(core::UpstreamId(upstream));
    }
    for (const auto &row : in.holdings()) {
        routing::ReportedRequest request{routing::PlacementId(row.id()), core::UpstreamId(row.upstream()), std::nullopt, row.memory_tokens()};
        if (row.started()) {
            request.timeToFirstEvent = fromMicroseconds(row.first_event_after_us());
        }
        if (row.has_stream()) {
            request.stream = fromProto(row.stream(), now);
        }
        report.inFlight.push_back(std::move(request));
    }
    constexpr auto LastOutcome = static_cast<std::uint32_t>(routing::SendOutcome::NoPath);
    for (const auto &row : in.ended()) {
        const bool isKnown = row.ending() <= LastOutcome;
        ignoredParts += isKnown ? 0 : 1;
        const auto outcome = isKnown ? static_cast<routing::SendOutcome>(row.ending()) : routing::SendOutcome::NeverSent;
        const routing::StreamTiming timing{row.events(), fromMicroseconds(row.stream_us()), fromMicroseconds(row.max_gap_us())};
        report.completed.push_back(CompletedPlacement{routing::PlacementId(row.id()), core::UpstreamId(row.upstream()), outcome, timing});
    }
    if (in.has_quota_lease()) {
        report.quotaLease = fromProto(in.quota_lease());
    }
    return report;
}

//-----------------------------------------------------------------------------
// Region state
//-----------------------------------------------------------------------------

void toProto(const routing::ProfileReport &report, fleet::EngineProfile &out)
{
    out.set_service(report.service.text);
    out.set_upstream(report.upstream.text);
    out.set_start_time(report.startTime.value);
    out.set_prefill_tokens_per_ms(static_cast<float>(report.figures.figures.prefillTokensPerMs));
    out.set_step_ms(static_cast<float>(report.figures.figures.step.count()));
    out.set_request_step_ms(static_cast<float>(report.figures.figures.stepPerRequest.count()));
    out.set_pause_ms(static_cast<float>(report.figures.figures.pause.count()));
    out.set_first_event_delay_ms(static_cast<float>(report.figures.figures.firstEventDelay.count()));
    for (const double doubt : report.figures.doubts) {
        out.add_doubts(static_cast<float>(doubt));
    }
    out.set_evidence(static_cast<float>(report.figures.evidence));
}

/// Nothing if the profile has another number of figures than this release knows.
std::optional<routing::ProfileReport> fromProto(const fleet::EngineProfile &in)
{
    routing::ProfileReport report{core::ServiceId(in.service()), core::UpstreamId(in.upstream()), routing::StartTime(in.start_time()), {}};
    report.figures.figures = routing::EngineFigures{amount(in.prefill_tokens_per_ms()),
                                                    routing::FractionalMs(amount(in.step_ms())),
                                                    routing::FractionalMs(amount(in.request_step_ms())),
                                                    routing::FractionalMs(amount(in.pause_ms())),
                                                    routing::FractionalMs(amount(in.first_event_delay_ms()))};
    if (in.doubts_size() != static_cast<int>(routing::FigureCount)) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < routing::FigureCount; ++i) {
        report.figures.doubts[i] = amount(in.doubts(static_cast<int>(i)));
    }
    report.figures.evidence = amount(in.evidence());
    return report;
}

void toProto(const RegionState &state, fleet::RegionState &out, core::TimePoint now)
{
    for (const routing::ProfileReport &report : state.profiles) {
        toProto(report, *out.add_profiles());
    }
    for (const routing::UpstreamNotice &notice : state.notices) {
        toProto(notice, *out.add_notices(), now);
    }
    for (const core::UpstreamId &upstream : state.unreachableUpstreams) {
        out.add_unreachable(upstream.text);
    }
    for (const RegionServiceLoad &row : state.serviceLoads) {
        auto *entry = out.add_outlooks();
        entry->set_region(row.region.text);
        entry->set_age_us(toMicroseconds(row.age));
        entry->set_service(row.load.service.text);
        entry->set_wait_us(toMicroseconds(row.load.queueDelay));
        entry->set_tokens_per_ms(row.load.prefillTokensPerMs);
        entry->set_free_slots(row.load.freeSlots);
        entry->set_usable(row.load.usableUpstreams);
        entry->set_prefill_share(row.load.prefillUtilization);
        entry->set_read_share(row.load.cacheMissRatio);
        entry->set_service_time_us(toMicroseconds(row.load.serviceTime));
        for (const routing::VersionLoad &version : row.load.versions) {
            auto *versionRow = entry->add_versions();
            versionRow->set_software_version(version.version.text);
            versionRow->set_usable(version.usableUpstreams);
            versionRow->set_wait_us(toMicroseconds(version.queueDelay));
        }
    }
    out.set_belief_revision(state.lastChange.revision.value);
    out.set_as_of(state.storePosition.revision.value);
    out.set_store_generation(state.storePosition.generation.value);
    out.set_evidence_age_us(toMicroseconds(state.metadataStaleness));
    if (state.quota) {
        toProto(*state.quota, *out.mutable_quota());
    }
}

RegionState fromProto(const fleet::RegionState &in, core::TimePoint now, std::size_t &ignoredParts)
{
    RegionState state;
    for (const fleet::EngineProfile &row : in.profiles()) {
        if (auto report = fromProto(row)) {
            state.profiles.push_back(std::move(*report));
        } else {
            ++ignoredParts;
        }
    }
    for (const fleet::Notice &notice : in.notices()) {
        state.notices.push_back(fromProto(notice, now));
    }
    for (const std::string &upstream : in.unreachable()) {
        state.unreachableUpstreams.insert(core::UpstreamId(upstream));
    }
    for (const auto &row : in.outlooks()) {
        routing::ServiceLoad load;
        load.service = core::ServiceId(row.service());
        load.queueDelay = fromMicroseconds(row.wait_us());
        load.prefillTokensPerMs = amount(row.tokens_per_ms());
        load.freeSlots = row.free_slots();
        load.usableUpstreams = row.usable();
        load.prefillUtilization = amount(row.prefill_share());
        load.cacheMissRatio = amount(row.read_share());
        load.serviceTime = fromMicroseconds(row.service_time_us());
        for (const auto &version : row.versions()) {
            load.versions.push_back(
                routing::VersionLoad{routing::SoftwareVersion(version.software_version()), version.usable(), fromMicroseconds(version.wait_us())});
        }
        state.serviceLoads.push_back(RegionServiceLoad{core::RegionId(row.region()), load, fromMicroseconds(row.age_us())});
    }
    const metadata::StoreGeneration generation(in.store_generation());
    state.lastChange = metadata::StorePosition{generation, metadata::StoreRevision(in.belief_revision())};
    state.storePosition = metadata::StorePosition{generation, metadata::StoreRevision(in.as_of())};
    state.metadataStaleness = fromMicroseconds(in.evidence_age_us());
    if (in.has_quota()) {
        state.quota = fromProto(in.quota());
    }
    return state;
}

//-----------------------------------------------------------------------------
// Streams
//-----------------------------------------------------------------------------

void toProto(const StreamReport &report, fleet::StreamReport &out, core::TimePoint now)
{
    for (const routing::StreamRecord &record : report.records) {
        toProto(record, *out.add_records(), now);
    }
    for (const routing::StreamId &stream : report.unknown) {
        out.add_unknown(stream.text);
    }
}

StreamReport fromProto(const fleet::StreamReport &in, core::TimePoint now)
{
    StreamReport report;
    for (const fleet::StreamRecord &record : in.records()) {
        report.records.push_back(fromProto(record, now));
    }
    for (const std::string &stream : in.unknown()) {
        report.unknown.emplace_back(stream);
    }
    return report;
}

//-----------------------------------------------------------------------------
// Quarantine
//-----------------------------------------------------------------------------

void toProto(const std::vector<routing::CauseRecord> &records, fleet::QuarantineRecords &out, core::TimePoint now)
{
    for (const routing::CauseRecord &record : records) {
        auto *row = out.add_records();
        std::visit(core::Overloaded{
                       [&](routing::PromptPartId part) { row->set_part(part.value); },
                       [&](const routing::RequestFingerprint &request) { toProto(request, *row->mutable_request()); },
                   },
                   record.cause);
        row->set_generation(record.generation);
        row->set_quarantined(record.quarantined);
        row->set_requested_age_us(toMicroseconds(now - record.lastRequestedAt));
        for (const routing::CauseCrash &crash : record.crashes) {
            auto *crashRow = row->add_crashes();
            crashRow->set_upstream(crash.upstream.text);
            crashRow->set_age_us(toMicroseconds(now - crash.at));
        }
    }
}

std::vector<routing::CauseRecord> fromProto(const fleet::QuarantineRecords &in, core::TimePoint now, std::size_t &ignoredParts)
{
    std::vector<routing::CauseRecord> records;
    for (const auto &row : in.records()) {
        if (row.cause_case() == fleet::QuarantineRecords::Record::CAUSE_NOT_SET) {
            ++ignoredParts;
            continue;
        }
        routing::CauseRecord record;
        record.cause = routing::PromptPartId(row.part());
        if (row.has_request()) {
            record.cause = fromProto(row.request());
        }
        record.generation = row.generation();
        record.quarantined = row.quarantined();
        record.lastRequestedAt = now - fromMicroseconds(row.requested_age_us());
        for (const auto &crash : row.crashes()) {
            record.crashes.push_back(routing::CauseCrash{core::UpstreamId(crash.upstream()), now - fromMicroseconds(crash.age_us())});
        }
        records.push_back(std::move(record));
    }
    return records;
}

void bodyToProto(const FleetMessageBody &body, fleet::Datagram &out, core::TimePoint now)
{
    std::visit(core::Overloaded{
                   [&](const membership::Message &message) {
                       std::visit(core::Overloaded{
                                      [&](const membership::Ping &ping) { out.mutable_ping()->set_number(ping.sequenceNumber); },
                                      [&](const membership::PingRequest &request) {
                                          out.mutable_ping_request()->set_number(request.sequenceNumber);
                                          out.mutable_ping_request()->set_target(request.target.text);
                                      },
                                      [&](const membership::Ack &ack) { out.mutable_ack()->set_number(ack.sequenceNumber); },
                                  },
                                  message.body);
                       for (const membership::Member &member : message.updates) {
                           toProto(member, *out.add_members());
                       }
                   },
                   [&](const routing::PlacementRequest &request) { toProto(request, *out.mutable_ask(), now); },
                   [&](const std::vector<PlacementReply> &replies) {
                       (void)out.mutable_verdicts(); // a datagram without a body is malformed
                       for (const PlacementReply &reply : replies) {
                           toProto(reply, *out.mutable_verdicts()->add_verdicts());
                       }
                   },
                   [&](const PlacementReport &report) { toProto(report, *out.mutable_work(), now); },
                   [&](const RegionState &state) { toProto(state, *out.mutable_region_state(), now); },
                   [&](const PlacementCancellation &cancellation) { out.mutable_withdraw()->set_id(cancellation.id.text); },
                   [&](const std::vector<routing::CauseRecord> &records) { toProto(records, *out.mutable_quarantine(), now); },
                   [&](const StreamQuery &query) { out.mutable_stream_query()->set_stream(query.stream.text); },
                   [&](const StreamReport &report) { toProto(report, *out.mutable_stream_report(), now); },
                   [&](const limits::QuotaState &state) { toProto(state, *out.mutable_quota_state()); },
               },
               body);
}

/// Returns nothing if the message has no body that this version knows. Throws MalformedMessage.
std::optional<FleetMessage> fromProto(const fleet::Datagram &in, core::TimePoint now)
{
    FleetMessage message;
    message.sender = core::InstanceRef{core::InstanceId(in.sender()), core::Incarnation(in.incarnation())};
    message.region = core::RegionId(in.region());
    message.catalogVersion = catalog::CatalogVersion(in.catalog_version());
    message.catalogGeneration = metadata::StoreGeneration(in.catalog_generation());
    if (in.proof_age_us() > 0) {
        message.proofAge = fromMicroseconds(in.proof_age_us());
    }
    message.keptEvacuations.generation = metadata::StoreGeneration(in.kept_generation());
    for (const fleet::KeptEvacuation &row : in.kept_evacuations()) {
        message.keptEvacuations.domains[core::DomainId(row.domain())] = fromMicroseconds(row.left_us());
    }
    membership::Message gossip;
    gossip.sender = message.sender;
    for (const fleet::Member &member : in.members()) {
        if (auto update = fromProto(member)) {
            gossip.updates.push_back(std::move(*update));
        } else {
            ++message.ignoredParts;
        }
    }
    switch (in.body_case()) {
    case fleet::Datagram::kPing:
        gossip.body = membership::Ping{in.ping().number()};
        message.body = std::move(gossip);
        return message;
    case fleet::Datagram::kPingRequest:
        gossip.body = membership::PingRequest{in.ping_request().number(), core::InstanceId(in.ping_request().target())};
        message.body = std::move(gossip);
        return message;
    case fleet::Datagram::kAck:
        gossip.body = membership::Ack{in.ack().number()};
        message.body = std::move(gossip);
        return message;
    case fleet::Datagram::kAsk:
        message.body = fromProto(in.ask(), message.sender.id, now);
        return message;
    case fleet::Datagram::kVerdicts: {
        std::vector<PlacementReply> replies;
        for (const fleet::Verdict &row : in.verdicts().verdicts()) {
            if (auto decision = decisionFromProto(row)) {
                replies.push_back(PlacementReply{routing::PlacementId(row.id()), std::move(*decision)});
            } else {
                ++message.ignoredParts;
            }
        }
        message.body = std::move(replies);
        return message;
    }
    case fleet::Datagram::kWork:
        message.body = fromProto(in.work(), now, message.ignoredParts);
        return message;
    case fleet::Datagram::kRegionState:
        message.body = fromProto(in.region_state(), now, message.ignoredParts);
        return message;
    case fleet::Datagram::kWithdraw:
        message.body = PlacementCancellation{routing::PlacementId(in.withdraw().id())};
        return message;
    case fleet::Datagram::kQuarantine:
        message.body = fromProto(in.quarantine(), now, message.ignoredParts);
        return message;
    case fleet::Datagram::kStreamQuery:
        message.body = StreamQuery{routing::StreamId(in.stream_query().stream())};
        return message;
    case fleet::Datagram::kStreamReport:
        message.body = fromProto(in.stream_report(), now);
        return message;
    case fleet::Datagram::kQuotaState:
        message.body = fromProto(in.quota_state());
        return message;
    case fleet::Datagram::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace

std::string encode(const FleetMessage &message, core::TimePoint now)
{
    fleet::Datagram out;
    out.set_version(FleetProtocolVersion);
    out.set_sender(message.sender.id.text);
    out.set_incarnation(message.sender.incarnation.value);
    out.set_region(message.region.text);
    out.set_catalog_version(message.catalogVersion.value);
    if (message.proofAge) {
        out.set_catalog_generation(message.catalogGeneration.value);
        out.set_proof_age_us(std::max<std::uint64_t>(toMicroseconds(*message.proofAge), 1)); // 0 is none
    }
    if (!message.keptEvacuations.domains.empty()) {
        out.set_kept_generation(message.keptEvacuations.generation.value);
    }
    for (const auto &[domain, left] : message.keptEvacuations.domains) {
        fleet::KeptEvacuation *row = out.add_kept_evacuations();
        row->set_domain(domain.text);
        row->set_left_us(toMicroseconds(left));
    }
    bodyToProto(message.body, out, now);
    return out.SerializeAsString();
}

std::optional<FleetMessage> decodeFleetMessage(std::string_view bytes, core::TimePoint now)
{
    fleet::Datagram in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || in.version() != FleetProtocolVersion || in.sender().empty()) {
        return std::nullopt;
    }
    try {
        return fromProto(in, now);
    } catch (const MalformedMessage &) {
        return std::nullopt; // the caller counts it
    }
}

std::string encode(const MetadataSnapshot &snapshot)
{
    fleet::Beliefs out;
    out.set_belief_revision(snapshot.lastChange.revision.value);
    out.set_as_of(snapshot.storePosition.revision.value);
    out.set_store_generation(snapshot.storePosition.generation.value);
    out.set_evidence_age_us(toMicroseconds(snapshot.staleness));
    out.set_catalog(snapshot.catalogValue);
    out.set_catalog_version(snapshot.catalogVersion.value);
    out.set_catalog_generation(snapshot.catalogGeneration.value);
    for (const auto &[key, value] : snapshot.upstreamEntries) {
        auto *row = out.add_upstreams();
        row->set_key(key);
        row->set_value(value);
        const auto revision = snapshot.entryRevisions.find(key);
        row->set_revision(revision == snapshot.entryRevisions.end() ? 0 : revision->second.value);
    }
    for (const auto &[domain, removal] : snapshot.removedEvacuations) {
        fleet::RemovedEvacuation *row = out.add_removed();
        row->set_domain(domain.text);
        row->set_revision(removal.revision.value);
        row->set_guard_left_us(toMicroseconds(removal.guardLeft));
    }
    for (const core::DomainId &domain : snapshot.evacuatedDomains) {
        out.add_evacuated(domain.text);
    }
    out.set_store_was_away(snapshot.recentStoreOutage);
    return out.SerializeAsString();
}

std::optional<MetadataSnapshot> decodeMetadataSnapshot(const std::string &bytes)
{
    fleet::Beliefs in;
    if (!in.ParseFromString(bytes)) {
        return std::nullopt;
    }
    MetadataSnapshot out;
    const metadata::StoreGeneration generation(in.store_generation());
    out.lastChange = metadata::StorePosition{generation, metadata::StoreRevision(in.belief_revision())};
    out.storePosition = metadata::StorePosition{generation, metadata::StoreRevision(in.as_of())};
    out.staleness = fromMicroseconds(in.evidence_age_us());
    out.catalogValue = in.catalog();
    out.catalogVersion = catalog::CatalogVersion(in.catalog_version());
    out.catalogGeneration = metadata::StoreGeneration(in.catalog_generation());
    for (const auto &row : in.upstreams()) {
        out.upstreamEntries[row.key()] = row.value();
        if (row.revision() != 0) {
            out.entryRevisions[row.key()] = metadata::StoreRevision(row.revision());
        }
    }
    for (const auto &row : in.removed()) {
        out.removedEvacuations[core::DomainId(row.domain())] =
            RemovedEvacuation{metadata::StoreRevision(row.revision()), fromMicroseconds(row.guard_left_us())};
    }
    for (const std::string &domain : in.evacuated()) {
        out.evacuatedDomains.insert(core::DomainId(domain));
    }
    out.recentStoreOutage = in.store_was_away();
    return out;
}

} // namespace arbutus::edge
