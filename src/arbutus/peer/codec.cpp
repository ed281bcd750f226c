// Conversions between internal types and protobuf messages.
//
// Sections:
//   Members and digests
//   Datagrams
//   Ledger messages

#include "arbutus/peer/codec.h"

#include "arbutus/core/hash.h"
#include "arbutus/core/overloaded.h"
#include "arbutus/http/message.h"

#include <peer.pb.h>

namespace arbutus::peer {

namespace {

constexpr std::size_t MacHexDigits = 16; // the HMAC is truncated to this many hexadecimal digits
constexpr double PriceScale = 1000;      // prices are sent in thousandths

template<class... Visitors>
struct Overloaded : Visitors...
{
    using Visitors::operator()...;
};

//-----------------------------------------------------------------------------
// Members and digests
//-----------------------------------------------------------------------------

constexpr std::uint32_t StateLeavingBit = 4; // flag above the two condition bits

void toWire(const membership::Member &member, wire::Member &out)
{
    out.set_id(member.id.text);
    out.set_incarnation(member.incarnation.value);
    out.set_state(static_cast<std::uint32_t>(member.condition) | (member.leaving ? StateLeavingBit : 0));
    out.set_refutation(member.refutation);
    out.set_gossip_address(member.gossipAddress);
    out.set_peer_address(member.peerAddress);
    out.set_url(member.clientUrl);
}

membership::Member fromWire(const wire::Member &in, const core::DomainId &domain, const core::RegionId &region)
{
    membership::Member member;
    member.id = core::InstanceId(in.id());
    member.incarnation = core::Incarnation(in.incarnation());
    member.leaving = (in.state() & StateLeavingBit) != 0;
    member.condition = static_cast<membership::MemberCondition>(std::min<std::uint32_t>(in.state() & 3U, 2));
    member.refutation = in.refutation();
    member.domain = domain;
    member.region = region;
    member.gossipAddress = in.gossip_address();
    member.peerAddress = in.peer_address();
    member.clientUrl = in.url();
    return member;
}

template<class Repeated>
void toWireDemand(const std::vector<limits::WorkspaceDemand> &demand, Repeated &out)
{
    for (const limits::WorkspaceDemand &item : demand) {
        auto *wireItem = out.Add();
        wireItem->set_workspace(item.workspace.text);
        wireItem->set_demand_milli(static_cast<std::uint32_t>(item.requestsPerSecond * 1000));
    }
}

template<class Repeated>
std::vector<limits::WorkspaceDemand> fromWireDemand(const Repeated &in)
{
    std::vector<limits::WorkspaceDemand> out;
    for (const auto &wireItem : in) {
        out.push_back(limits::WorkspaceDemand{core::WorkspaceId(wireItem.workspace()), wireItem.demand_milli() / 1000.0});
    }
    return out;
}

void toWire(const node::Digest &digest, wire::Digest &out)
{
    out.set_domain(digest.domain.text);
    out.set_region(digest.region.text);
    out.set_number(digest.sequence);
    out.set_relayed(digest.relayed);
    out.set_domain_count(digest.regionDomainCount);
    std::map<core::DomainId, std::uint32_t> domainIndex;
    for (const node::DigestDomain &domain : digest.domains) {
        domainIndex.emplace(domain.domain, static_cast<std::uint32_t>(domainIndex.size()));
        auto *wireDomain = out.add_domains();
        wireDomain->set_domain(domain.domain.text);
        for (const membership::Member &member : domain.entries) {
            toWire(member, *wireDomain->add_entries());
        }
    }
    for (const node::PoolSummary &pool : digest.pools) {
        auto *wirePool = out.add_models();
        wirePool->set_model(pool.name);
        wirePool->set_service(pool.service);
        wirePool->set_domain(domainIndex[pool.domain]);
        wirePool->set_wait_ms(static_cast<std::uint32_t>(core::toMilliseconds(pool.predictedWait)));
        wirePool->set_free_slots(pool.freeSlots);
        wirePool->set_slots(pool.slots);
        wirePool->set_price_milli(static_cast<std::uint32_t>(pool.price * PriceScale));
    }
    toWireDemand(digest.demand, *out.mutable_limits());
}

node::Digest fromWire(const wire::Digest &in)
{
    node::Digest digest;
    digest.domain = core::DomainId(in.domain());
    digest.region = core::RegionId(in.region());
    digest.sequence = in.number();
    digest.relayed = in.relayed();
    digest.regionDomainCount = in.domain_count();
    for (const auto &wireDomain : in.domains()) {
        node::DigestDomain domain{core::DomainId(wireDomain.domain()), {}};
        for (const auto &member : wireDomain.entries()) {
            domain.entries.push_back(fromWire(member, domain.domain, digest.region));
        }
        digest.domains.push_back(std::move(domain));
    }
    for (const auto &wirePool : in.models()) {
        if (wirePool.domain() >= static_cast<std::uint32_t>(digest.domains.size())) {
            continue;
        }
        digest.pools.push_back(node::PoolSummary{wirePool.model(),
                                                 wirePool.service(),
                                                 digest.domains[wirePool.domain()].domain,
                                                 std::chrono::milliseconds(wirePool.wait_ms()),
                                                 wirePool.free_slots(),
                                                 wirePool.slots(),
                                                 wirePool.price_milli() / PriceScale});
    }
    digest.demand = fromWireDemand(in.limits());
    return digest;
}

void toWire(const routing::LoadReport &report, wire::UpstreamLoad &out)
{
    out.set_id(report.id.text);
    out.set_running(report.running);
    out.set_waiting(report.waiting);
    out.set_slots(report.slots);
    out.set_step_us(static_cast<std::uint32_t>(report.stepTime.count()));
    out.set_leaving(report.leaving);
    out.set_reachable(report.reachable);
    out.set_at_ms(report.sampledAtMs);
    for (const core::ModelId &model : report.models) {
        out.add_models(model.text);
    }
}

routing::LoadReport fromWire(const wire::UpstreamLoad &in)
{
    routing::LoadReport report;
    report.id = core::UpstreamId(in.id());
    report.running = in.running();
    report.waiting = in.waiting();
    report.slots = in.slots();
    report.stepTime = core::Duration(in.step_us());
    report.leaving = in.leaving();
    report.reachable = in.reachable();
    report.sampledAtMs = in.at_ms();
    for (const auto &model : in.models()) {
        report.models.insert(core::ModelId(model));
    }
    return report;
}

//-----------------------------------------------------------------------------
// Datagrams
//-----------------------------------------------------------------------------

void bodyToWire(const membership::Message &message, wire::Datagram &out)
{
    const core::Overloaded visitor{
        [&](const membership::Ping &ping) { out.mutable_ping()->set_number(ping.sequenceNumber); },
        [&](const membership::PingRequest &request) {
            out.mutable_ping_request()->set_number(request.sequenceNumber);
            out.mutable_ping_request()->set_target(request.target.text);
        },
        [&](const membership::Ack &ack) { out.mutable_ack()->set_number(ack.sequenceNumber); },
    };
    std::visit(visitor, message.body);
    for (const membership::Member &member : message.updates) {
        toWire(member, *out.add_members());
    }
}

std::optional<membership::Message> messageFromWire(const wire::Datagram &in)
{
    membership::Message message;
    message.sender = core::InstanceRef{core::InstanceId(in.sender().id()), core::Incarnation(in.sender().incarnation())};
    for (const auto &member : in.members()) {
        message.updates.push_back(fromWire(member, core::DomainId(in.domain()), core::RegionId(in.region())));
    }
    switch (in.body_case()) {
    case wire::Datagram::kPing:
        message.body = membership::Ping{in.ping().number()};
        return message;
    case wire::Datagram::kPingRequest:
        message.body = membership::PingRequest{in.ping_request().number(), core::InstanceId(in.ping_request().target())};
        return message;
    case wire::Datagram::kAck:
        message.body = membership::Ack{in.ack().number()};
        return message;
    default:
        return std::nullopt;
    }
}

std::optional<node::Datagram> fromWire(const wire::Datagram &in)
{
    node::Datagram datagram;
    datagram.sender = core::InstanceRef{core::InstanceId(in.sender().id()), core::Incarnation(in.sender().incarnation())};
    datagram.domain = core::DomainId(in.domain());
    datagram.region = core::RegionId(in.region());
    datagram.revision = core::Revision(in.config_revision());
    switch (in.body_case()) {
    case wire::Datagram::kDigest:
        datagram.body = fromWire(in.digest());
        return datagram;
    case wire::Datagram::kLoad: {
        node::LoadUpdate update;
        for (const auto &upstream : in.load().upstreams()) {
            update.reports.push_back(fromWire(upstream));
        }
        datagram.body = std::move(update);
        return datagram;
    }
    case wire::Datagram::kDemand: {
        node::DemandUpdate update{fromWireDemand(in.demand().limits()), {}};
        for (const auto &wireItem : in.demand().models()) {
            update.modelDemand.push_back(placement::ModelDemand{core::ModelId(wireItem.workspace()), wireItem.demand_milli() / 1000.0});
        }
        datagram.body = std::move(update);
        return datagram;
    }
    case wire::Datagram::kHead:
        datagram.body = node::RevisionAnnouncement{in.head().peer_address()};
        return datagram;
    default:
        break;
    }
    auto message = messageFromWire(in);
    if (!message) {
        return std::nullopt;
    }
    datagram.body = std::move(*message);
    return datagram;
}

} // namespace

DatagramCodec::DatagramCodec(std::string clusterKey)
    : m_key(std::move(clusterKey))
{
}

std::string DatagramCodec::encode(const node::Datagram &datagram) const
{
    wire::Datagram out;
    out.set_version(ProtocolVersion);
    out.mutable_sender()->set_id(datagram.sender.id.text);
    out.mutable_sender()->set_incarnation(datagram.sender.incarnation.value);
    out.set_domain(datagram.domain.text);
    out.set_region(datagram.region.text);
    out.set_config_revision(datagram.revision.value);
    const core::Overloaded visitor{
        [&](const membership::Message &message) { bodyToWire(message, out); },
        [&](const node::Digest &digest) { toWire(digest, *out.mutable_digest()); },
        [&](const node::LoadUpdate &update) {
            (void)out.mutable_load(); // a datagram without a body is malformed
            for (const routing::LoadReport &report : update.reports) {
                toWire(report, *out.mutable_load()->add_upstreams());
            }
        },
        [&](const node::DemandUpdate &update) {
            toWireDemand(update.workspaceDemand, *out.mutable_demand()->mutable_limits());
            for (const placement::ModelDemand &model : update.modelDemand) {
                auto *wireItem = out.mutable_demand()->add_models();
                wireItem->set_workspace(model.model.text);
                wireItem->set_demand_milli(static_cast<std::uint32_t>(model.requestsPerSecond * 1000));
            }
        },
        [&](const node::RevisionAnnouncement &announcement) { out.mutable_head()->set_peer_address(announcement.peerAddress); },
    };
    std::visit(visitor, datagram.body);
    const std::string body = out.SerializeAsString();
    return core::hmacSha256Hex(m_key, body).substr(0, MacHexDigits) + body;
}

DecodedDatagram DatagramCodec::decode(std::string_view bytes) const
{
    if (bytes.size() < MacHexDigits) {
        return {std::nullopt, DatagramError::Malformed};
    }
    const std::string_view body = bytes.substr(MacHexDigits);
    if (!core::equalConstantTime(core::hmacSha256Hex(m_key, body).substr(0, MacHexDigits), bytes.substr(0, MacHexDigits))) {
        return {std::nullopt, DatagramError::AuthenticationFailed};
    }
    wire::Datagram in;
    if (!in.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
        return {std::nullopt, DatagramError::Malformed};
    }
    if (!isVersionSupported(in.version())) {
        return {std::nullopt, DatagramError::UnsupportedVersion};
    }
    return {fromWire(in), DatagramError::Malformed};
}

//-----------------------------------------------------------------------------
// Ledger messages
//-----------------------------------------------------------------------------

namespace {

void outcomeToWire(const delivery::RecordedOutcome &outcome, wire::LedgerReply &out)
{
    out.set_status(outcome.httpStatus);
    out.set_answer(outcome.responseBody);
    out.set_content_type(outcome.contentType);
    out.set_not_run(outcome.kind == delivery::OutcomeKind::NotRun);
    out.set_unknown(outcome.kind == delivery::OutcomeKind::Unknown || !outcome.responseRetained);
}

/// Of a LedgerRequest or a LedgerReply. An instance of an older release may have recorded a response with an invalid status as complete.
template<class Message>
delivery::RecordedOutcome outcomeFromWire(const Message &in)
{
    using enum delivery::OutcomeKind;
    delivery::RecordedOutcome outcome;
    outcome.kind = in.not_run() ? NotRun : in.unknown() || !http::isFinalStatus(in.status()) ? Unknown : Completed;
    outcome.httpStatus = in.status();
    outcome.responseBody = in.answer();
    outcome.contentType = in.content_type();
    return outcome;
}

core::WallTime wallTimeFromMs(std::int64_t value)
{
    return core::WallTime(std::chrono::milliseconds(value));
}

} // namespace

void toWire(const delivery::LedgerResult &result, wire::LedgerReply &out)
{
    out.set_version(ProtocolVersion);
    out.set_verdict(static_cast<wire::LedgerReply::Verdict>(result.status));
    out.set_digest(result.requestHash);
    if (result.outcome) {
        outcomeToWire(*result.outcome, out);
    }
}

delivery::LedgerResult fromWire(const wire::LedgerReply &in)
{
    delivery::LedgerResult result;
    const bool known = in.verdict() >= 0 && in.verdict() <= static_cast<int>(delivery::LedgerStatus::NoRecord);
    result.status = known ? static_cast<delivery::LedgerStatus>(in.verdict()) : delivery::LedgerStatus::NoRecord;
    result.requestHash = in.digest();
    if (result.status == delivery::LedgerStatus::Completed) {
        result.outcome = outcomeFromWire(in);
    }
    return result;
}

void toWire(const node::LedgerCall &call, wire::LedgerRequest &out)
{
    out.set_version(ProtocolVersion);
    const core::Overloaded visitor{
        [&](const node::LedgerIntent &intent) {
            out.set_kind(wire::LedgerRequest::INTENT);
            out.set_ticket(intent.ticket);
            out.set_digest(intent.requestHash);
        },
        [&](const node::LedgerOutcome &outcome) {
            out.set_kind(wire::LedgerRequest::OUTCOME);
            out.set_ticket(outcome.ticket);
            out.set_status(outcome.outcome.httpStatus);
            out.set_answer(outcome.outcome.responseBody);
            out.set_content_type(outcome.outcome.contentType);
            out.set_not_run(outcome.outcome.kind == delivery::OutcomeKind::NotRun);
            out.set_unknown(outcome.outcome.kind == delivery::OutcomeKind::Unknown || !outcome.outcome.responseRetained);
        },
        [&](const node::LedgerSeal &seal) {
            out.set_kind(wire::LedgerRequest::SEAL);
            out.set_ticket(seal.ticket);
        },
        [&](const node::LedgerLookup &lookup) {
            out.set_kind(wire::LedgerRequest::LOOKUP);
            out.set_ticket(lookup.ticket);
        },
        [&](const delivery::Handover &handover) {
            out.set_kind(wire::LedgerRequest::HANDOVER);
            for (const delivery::HandoverRecord &record : handover.records) {
                auto *row = out.add_records();
                row->set_key(record.key);
                row->set_expiry_ms(record.expiry.time_since_epoch().count());
                toWire(record.result, *row->mutable_answer());
            }
            for (const delivery::ClosedOwner &closed : handover.closedOwners) {
                auto *row = out.add_closed_owners();
                row->mutable_owner()->set_id(closed.owner.id.text);
                row->mutable_owner()->set_incarnation(closed.owner.incarnation.value);
                row->set_until_ms(closed.lastTicketExpiry.time_since_epoch().count());
            }
        },
    };
    std::visit(visitor, call);
}

node::LedgerCall fromWire(const wire::LedgerRequest &in)
{
    switch (in.kind()) {
    case wire::LedgerRequest::OUTCOME:
        return node::LedgerOutcome{in.ticket(), outcomeFromWire(in)};
    case wire::LedgerRequest::SEAL:
        return node::LedgerSeal{in.ticket()};
    case wire::LedgerRequest::LOOKUP:
        return node::LedgerLookup{in.ticket()};
    case wire::LedgerRequest::HANDOVER: {
        delivery::Handover handover;
        for (const auto &row : in.records()) {
            handover.records.push_back(delivery::HandoverRecord{row.key(), wallTimeFromMs(row.expiry_ms()), fromWire(row.answer())});
        }
        for (const auto &row : in.closed_owners()) {
            handover.closedOwners.push_back(delivery::ClosedOwner{
                core::InstanceRef{core::InstanceId(row.owner().id()), core::Incarnation(row.owner().incarnation())}, wallTimeFromMs(row.until_ms())});
        }
        return handover;
    }
    default:
        return node::LedgerIntent{in.ticket(), in.digest()};
    }
}

} // namespace arbutus::peer
