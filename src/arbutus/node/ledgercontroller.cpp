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
    m_state.owner.forget(wall);
    m_state.witness.forget(wall);
    m_state.inherited.forget(wall);
    m_state.limits.forget(m_state.now());
}

void LedgerController::take(const LedgerCalled &called)
{
    m_state.emit(LedgerReplied{called.key, answer(called.call)});
}

delivery::LedgerAnswer LedgerController::answer(const LedgerCall &call)
{
    const core::WallTime wall = m_state.clock.wallNow();
    const auto withTicket = [&](const std::string &text, auto next) -> delivery::LedgerAnswer {
        const auto ticket = m_state.tickets.read(text);
        if (!ticket) {
            return {delivery::Verdict::Refused, {}, {}};
        }
        return next(ticket.value());
    };
    const core::Overloaded visitor{
        [&](const LedgerIntent &intent) {
            return withTicket(intent.ticket, [&](const delivery::Ticket &ticket) {
                return delivery::LedgerAnswer{m_state.draining ? delivery::Verdict::Refused : m_state.witness.intent(ticket, intent.digest, wall), {}, {}};
            });
        },
        [&](const LedgerOutcome &outcome) {
            return withTicket(outcome.ticket, [&](const delivery::Ticket &ticket) {
                return delivery::LedgerAnswer{m_state.witness.outcome(ticket, outcome.outcome, wall), {}, {}};
            });
        },
        [&](const LedgerSeal &seal) { return withTicket(seal.ticket, [&](const delivery::Ticket &ticket) { return m_state.witness.seal(ticket, wall); }); },
        [&](const LedgerLookup &lookup) {
            return withTicket(lookup.ticket, [&](const delivery::Ticket &ticket) {
                const delivery::LedgerAnswer own = m_state.owner.lookup(ticket);
                return own.verdict != delivery::Verdict::NoRecord ? own : m_state.inherited.lookup(ticket, wall);
            });
        },
        [&](const delivery::Handover &handover) {
            m_state.inherited.take(handover);
            return delivery::LedgerAnswer{delivery::Verdict::Recorded, {}, {}};
        },
    };
    return std::visit(visitor, call);
}

void LedgerController::startHandover()
{
    m_started = true;
    m_state.owner.closeAll();
    m_deadline = m_state.now() + m_state.settings.handoverTimeout;
    std::vector<membership::Member> others;
    for (const membership::Member &member : m_state.view.usable()) {
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
    delivery::Handover all = m_state.inherited.all();
    core::WallTime until = m_state.clock.wallNow() + m_state.settings.ticketLife;
    for (const auto &[ticket, answer] : m_state.owner.records()) {
        until = std::max(until, ticket.expiry);
        all.records.push_back(delivery::HandoverRecord{delivery::ledgerKey(ticket), ticket.expiry, answer});
    }
    for (const auto &witnessed : m_state.witness.records()) {
        all.records.push_back(delivery::HandoverRecord{witnessed.key, witnessed.expiry, witnessed.answer});
    }
    const core::InstanceRef self{m_state.self().id, m_state.self().incarnation};
    all.closedOwners.push_back(delivery::ClosedOwner{self, until});

    // The closed owners go last: only then are the records before them complete at the successor.
    std::vector<delivery::Handover> parts{delivery::Handover{{}, all.closedOwners}};
    std::size_t bytes = 0;
    for (delivery::HandoverRecord &record : all.records) {
        const std::size_t size = record.answer.outcome ? record.answer.outcome->answer.size() : 0;
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
    m_call = m_state.drawCall();
    m_state.emit(CallLedger{*m_call, m_successors.back().peerAddress, m_parts.back()});
}

bool LedgerController::take(const LedgerAnswered &answered)
{
    if (!m_call || answered.key != *m_call) {
        return false;
    }
    m_call.reset();
    if (answered.answer && answered.answer->verdict == delivery::Verdict::Recorded) {
        m_parts.pop_back();
    } else { // this successor is gone: all again to the next one, taking twice is harmless
        m_successors.pop_back();
        m_parts = makeHandover();
    }
    sendNext();
    return true;
}

bool LedgerController::handoverDone() const
{
    return m_started && (m_parts.empty() || m_successors.empty() || m_state.now() >= m_deadline);
}

} // namespace arbutus::node
