// Taking over, answering and handing on.

#include "arbutus/delivery/successorledger.h"

namespace arbutus::delivery {

namespace {

/// How much a verdict says; a record never gives way to one that says less.
int weightOf(LedgerStatus verdict)
{
    switch (verdict) {
    case LedgerStatus::Completed:
        return 3;
    case LedgerStatus::Sealed:
        return 2;
    case LedgerStatus::InFlight:
        return 1;
    case LedgerStatus::Refused:
    case LedgerStatus::Recorded:
    case LedgerStatus::NoRecord:
        break;
    }
    return 0;
}

} // namespace

SuccessorLedger::SuccessorLedger(LedgerLimits limits)
    : m_limits(limits)
{
}

void SuccessorLedger::merge(const Handover &handover)
{
    for (const HandoverRecord &record : handover.records) {
        const auto found = m_records.find(record.key);
        if (found != m_records.end() && weightOf(found->second.result.status) >= weightOf(record.result.status)) {
            continue;
        }
        if (found == m_records.end() && m_records.size() >= m_limits.maxRecords) {
            continue;
        }
        HandoverRecord &kept = m_records[record.key];
        kept = record;
        if (kept.result.outcome && m_answerBytes + kept.result.outcome->responseBody.size() > m_limits.maxTotalResponseBytes) {
            kept.result.outcome->responseBody.clear();
            kept.result.outcome->responseRetained = false;
        }
        m_answerBytes += kept.result.outcome ? kept.result.outcome->responseBody.size() : 0;
    }
    const bool complete = m_records.size() < m_limits.maxRecords; // a full ledger may have left records out
    for (const ClosedOwner &closed : handover.closedOwners) {
        if (complete) {
            core::WallTime &until = m_closedOwners[closed.owner];
            until = std::max(until, closed.lastTicketExpiry);
        }
    }
}

LedgerResult SuccessorLedger::lookup(const Ticket &ticket, core::WallTime now) const
{
    const auto found = m_records.find(ticketRecordKey(ticket));
    if (found != m_records.end()) {
        return found->second.result;
    }
    const auto closed = m_closedOwners.find(ticket.owner);
    if (closed != m_closedOwners.end() && now < ticket.expiry + m_limits.retention) {
        return LedgerResult{LedgerStatus::Sealed, {}, {}};
    }
    return {};
}

Handover SuccessorLedger::exportAll() const
{
    Handover out;
    for (const auto &[key, record] : m_records) {
        out.records.push_back(record);
    }
    for (const auto &[owner, until] : m_closedOwners) {
        out.closedOwners.push_back(ClosedOwner{owner, until});
    }
    return out;
}

void SuccessorLedger::purgeExpired(core::WallTime now)
{
    std::erase_if(m_records, [&](const auto &entry) {
        const bool old = now >= entry.second.expiry + m_limits.retention;
        if (old && entry.second.result.outcome) {
            m_answerBytes -= entry.second.result.outcome->responseBody.size();
        }
        return old;
    });
    std::erase_if(m_closedOwners, [&](const auto &entry) { return now >= entry.second + m_limits.retention; });
}

} // namespace arbutus::delivery
