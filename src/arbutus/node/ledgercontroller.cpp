// Answers to ledger calls; the hand-over in parts.

#include "arbutus/node/ledgercontroller.h"

#include "arbutus/core/overloaded.h"
#include "arbutus/membership/rendezvous.h"

#include <algorithm>

namespace arbutus::node {

namespace {

constexpr core::Duration ForgetPeriod = std::chrono::seconds(5);
constexpr std::size_t PartBytes = 2 * 1024 * 1024; // answers in one hand-over call
constexpr std::size_t PartRecords = 2'000;

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
    if (m_state.now() < m_nextForget) {
        return;
    }
    m_nextForget = m_state.now() + ForgetPeriod;
    const core::WallTime wall = m_state.clock.wallNow();
    m_state.ownerLedger.purgeExpired(wall);
    m_state.witnessLedger.purgeExpired(wall);
    m_state.successorLedger.purgeExpired(wall);
    m_state.limits.removeIdle(m_state.now());
}

void LedgerController::handle(const LedgerCallReceived &called)
{
    m_state.emit(LedgerCallResponse{called.key, answer(called.call)});
}

delivery::LedgerResult LedgerController::answer(const LedgerCall &call)
{
    const core::WallTime wall = m_state.clock.wallNow();
    const auto withTicket = [&](const std::string &text, auto next) -> delivery::LedgerResult {
        const auto ticket = m_state.ticketCodec.decode(text);
        if (!ticket) {
            return {delivery::LedgerStatus::Refused, {}, {}};
        }
        return next(ticket.value());
    };
    const core::Overloaded visitor{
        [&](const LedgerIntent &intent) {
            return withTicket(intent.ticket, [&](const delivery::Ticket &ticket) {
                return delivery::LedgerResult{
                    m_state.draining ? delivery::LedgerStatus::Refused : m_state.witnessLedger.recordIntent(ticket, intent.requestHash, wall), {}, {}};
            });
        },
        [&](const LedgerOutcome &outcome) {
            return withTicket(outcome.ticket, [&](const delivery::Ticket &ticket) {
                return delivery::LedgerResult{m_state.witnessLedger.recordOutcome(ticket, outcome.outcome, wall), {}, {}};
            });
        },
        [&](const LedgerSeal &seal) {
            return withTicket(seal.ticket, [&](const delivery::Ticket &ticket) { return m_state.witnessLedger.seal(ticket, wall); });
        },
        [&](const LedgerLookup &lookup) {
            return withTicket(lookup.ticket, [&](const delivery::Ticket &ticket) {
                const delivery::LedgerResult own = m_state.ownerLedger.lookup(ticket);
                return own.status != delivery::LedgerStatus::NoRecord ? own : m_state.successorLedger.lookup(ticket, wall);
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
    m_started = true;
    m_state.ownerLedger.closeAll();
    m_deadline = m_state.now() + m_state.settings.handoverTimeout;
    std::vector<membership::Member> others;
    for (const membership::Member &member : m_state.domainView.availableMembers()) {
        if (member.id != m_state.self().id) {
            others.push_back(member);
        }
    }
    m_successors = membership::rankMembers("successor:" + m_state.self().id.text, std::move(others));
    std::reverse(m_successors.begin(), m_successors.end());
    m_parts = makeHandover();
    m_state.logEvent("handover_started", {{"parts", std::to_string(m_parts.size())}, {"successors", std::to_string(m_successors.size())}});
    sendNext();
}

std::vector<delivery::Handover> LedgerController::makeHandover() const
{
    delivery::Handover all = m_state.successorLedger.exportAll();
    core::WallTime until = m_state.clock.wallNow() + m_state.settings.ticketLifetime;
    for (const auto &[ticket, answer] : m_state.ownerLedger.records()) {
        until = std::max(until, ticket.expiry);
        all.records.push_back(delivery::HandoverRecord{delivery::ticketRecordKey(ticket), ticket.expiry, answer});
    }
    for (const auto &witnessed : m_state.witnessLedger.records()) {
        all.records.push_back(delivery::HandoverRecord{witnessed.key, witnessed.expiry, witnessed.result});
    }
    const core::InstanceRef self{m_state.self().id, m_state.self().incarnation};
    all.closedOwners.push_back(delivery::ClosedOwner{self, until});

    // The closed owners go last: only then are the records before them complete at the successor.
    std::vector<delivery::Handover> parts{delivery::Handover{{}, all.closedOwners}};
    std::size_t bytes = 0;
    for (delivery::HandoverRecord &record : all.records) {
        const std::size_t size = record.result.outcome ? record.result.outcome->responseBody.size() : 0;
        if (parts.size() == 1 || bytes + size > PartBytes || parts.back().records.size() >= PartRecords) {
            parts.emplace_back();
            bytes = 0;
        }
        bytes += size;
        parts.back().records.push_back(std::move(record));
    }
    return parts;
}

void LedgerController::sendNext()
{
    if (m_parts.empty() || m_successors.empty()) {
        return;
    }
    m_call = m_state.nextCallKey();
    m_state.emit(CallLedger{*m_call, m_successors.back().peerAddress, m_parts.back()});
}

bool LedgerController::handle(const LedgerResponseReceived &answered)
{
    if (!m_call || answered.key != *m_call) {
        return false;
    }
    m_call.reset();
    if (answered.result && answered.result->status == delivery::LedgerStatus::Recorded) {
        m_parts.pop_back();
    } else { // this successor is gone: all again to the next one, taking twice is harmless
        m_successors.pop_back();
        m_parts = makeHandover();
    }
    sendNext();
    return true;
}

bool LedgerController::isHandoverComplete() const
{
    return m_started && (m_parts.empty() || m_successors.empty() || m_state.now() >= m_deadline);
}

} // namespace arbutus::node
