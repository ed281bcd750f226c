// Responses to ledger calls; the handover, which is sent in several parts.

#include "arbutus/node/ledgercontroller.h"

#include "arbutus/core/overloaded.h"
#include "arbutus/membership/rendezvous.h"

#include <algorithm>

namespace arbutus::node {

namespace {

constexpr core::Duration PurgeInterval = std::chrono::seconds(5);
constexpr std::size_t MaxPartBytes = 2 * 1024 * 1024; // response bodies in one handover call
constexpr std::size_t MaxPartRecords = 2'000;

template<class... Visitors>
struct Overloaded : Visitors...
{
    using Visitors::operator()...;
};

} // namespace

LedgerController::LedgerController(NodeState &state)
    : m_state(state)
{
}

void LedgerController::tick()
{
    if (m_state.now() < m_nextPurge) {
        return;
    }
    m_nextPurge = m_state.now() + PurgeInterval;
    const core::WallTime now = m_state.clock.wallNow();
    m_state.ownerLedger.purgeExpired(now);
    m_state.witnessLedger.purgeExpired(now);
    m_state.successorLedger.purgeExpired(now);
    m_state.limits.removeIdle(m_state.now());
}

void LedgerController::handle(const LedgerCallReceived &event)
{
    m_state.emit(LedgerCallResponse{event.key, answer(event.call)});
}

delivery::LedgerResult LedgerController::answer(const LedgerCall &call)
{
    const core::WallTime now = m_state.clock.wallNow();
    const auto withDecodedTicket = [&](const std::string &text, auto apply) -> delivery::LedgerResult {
        const auto ticket = m_state.ticketCodec.decode(text);
        if (!ticket) {
            return {delivery::LedgerStatus::Refused, {}, {}};
        }
        return apply(ticket.value());
    };
    const core::Overloaded visitor{
        [&](const LedgerIntent &intent) {
            return withDecodedTicket(intent.ticket, [&](const delivery::Ticket &ticket) {
                return delivery::LedgerResult{
                    m_state.draining ? delivery::LedgerStatus::Refused : m_state.witnessLedger.recordIntent(ticket, intent.requestHash, now), {}, {}};
            });
        },
        [&](const LedgerOutcome &outcome) {
            return withDecodedTicket(outcome.ticket, [&](const delivery::Ticket &ticket) {
                return delivery::LedgerResult{m_state.witnessLedger.recordOutcome(ticket, outcome.outcome, now), {}, {}};
            });
        },
        [&](const LedgerSeal &seal) {
            return withDecodedTicket(seal.ticket, [&](const delivery::Ticket &ticket) { return m_state.witnessLedger.seal(ticket, now); });
        },
        [&](const LedgerLookup &lookup) {
            return withDecodedTicket(lookup.ticket, [&](const delivery::Ticket &ticket) {
                const delivery::LedgerResult ownerResult = m_state.ownerLedger.lookup(ticket);
                return ownerResult.status != delivery::LedgerStatus::NoRecord ? ownerResult : m_state.successorLedger.lookup(ticket, now);
            });
        },
        [&](const delivery::Handover &handover) {
            m_state.successorLedger.merge(handover);
            return delivery::LedgerResult{delivery::LedgerStatus::Recorded, {}, {}};
        },
    };
    return std::visit(visitor, call);
}

void LedgerController::startHandover()
{
    m_handoverStarted = true;
    m_state.ownerLedger.closeAll();
    m_handoverDeadline = m_state.now() + m_state.settings.handoverTimeout;
    std::vector<membership::Member> others;
    for (const membership::Member &member : m_state.membershipView.availableMembers()) {
        if (member.id != m_state.self().id) {
            others.push_back(member);
        }
    }
    m_successors = membership::rankMembers("successor:" + m_state.self().id.text, std::move(others));
    std::reverse(m_successors.begin(), m_successors.end());
    m_parts = makeHandover();
    m_state.logEvent("handover_started", {{"parts", std::to_string(m_parts.size())}, {"successors", std::to_string(m_successors.size())}});
    sendNextPart();
}

std::vector<delivery::Handover> LedgerController::makeHandover() const
{
    delivery::Handover handover = m_state.successorLedger.exportAll();
    core::WallTime lastExpiry = m_state.clock.wallNow() + m_state.settings.ticketLifetime;
    for (const auto &[ticket, result] : m_state.ownerLedger.records()) {
        lastExpiry = std::max(lastExpiry, ticket.expiry);
        handover.records.push_back(delivery::HandoverRecord{delivery::ticketRecordKey(ticket), ticket.expiry, result});
    }
    for (const auto &witnessRecord : m_state.witnessLedger.records()) {
        handover.records.push_back(delivery::HandoverRecord{witnessRecord.key, witnessRecord.expiry, witnessRecord.result});
    }
    const core::InstanceRef self{m_state.self().id, m_state.self().incarnation};
    handover.closedOwners.push_back(delivery::ClosedOwner{self, lastExpiry});

    // The closed owners are sent last: they assert that the successor already has all records of these owners.
    std::vector<delivery::Handover> parts{delivery::Handover{{}, handover.closedOwners}};
    std::size_t bytes = 0;
    for (delivery::HandoverRecord &record : handover.records) {
        const std::size_t size = record.result.outcome ? record.result.outcome->responseBody.size() : 0;
        if (parts.size() == 1 || bytes + size > MaxPartBytes || parts.back().records.size() >= MaxPartRecords) {
            parts.emplace_back();
            bytes = 0;
        }
        bytes += size;
        parts.back().records.push_back(std::move(record));
    }
    return parts;
}

void LedgerController::sendNextPart()
{
    if (m_parts.empty() || m_successors.empty()) {
        return;
    }
    m_pendingCall = m_state.nextCallKey();
    m_state.emit(CallLedger{*m_pendingCall, m_successors.back().peerAddress, m_parts.back()});
}

bool LedgerController::handle(const LedgerResponseReceived &event)
{
    if (!m_pendingCall || event.key != *m_pendingCall) {
        return false;
    }
    m_pendingCall.reset();
    if (event.result && event.result->status == delivery::LedgerStatus::Recorded) {
        m_parts.pop_back();
    } else { // this successor has failed: send all parts to the next one; merging is idempotent
        m_successors.pop_back();
        m_parts = makeHandover();
    }
    sendNextPart();
    return true;
}

bool LedgerController::isHandoverComplete() const
{
    return m_handoverStarted && (m_parts.empty() || m_successors.empty() || m_state.now() >= m_handoverDeadline);
}

} // namespace arbutus::node
