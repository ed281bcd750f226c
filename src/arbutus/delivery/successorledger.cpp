// Successor ledger: merging, looking up and exporting handed-over records.

#include "arbutus/delivery/successorledger.h"

namespace arbutus::delivery {

namespace {

/// Information content of a status; merge() replaces a record only with one of higher rank.
int informationRank(LedgerStatus status)
{
    switch (status) {
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
        if (found != m_records.end() && informationRank(found->second.result.status) >= informationRank(record.result.status)) {
            continue;
        }
        if (found == m_records.end() && m_records.size() >= m_limits.maxRecords) {
            continue;
        }
        HandoverRecord &stored = m_records[record.key];
        stored = record;
        if (stored.result.outcome && m_storedResponseBytes + stored.result.outcome->responseBody.size() > m_limits.maxTotalResponseBytes) {
            stored.result.outcome->responseBody.clear();
            stored.result.outcome->responseRetained = false;
        }
        m_storedResponseBytes += stored.result.outcome ? stored.result.outcome->responseBody.size() : 0;
    }
    const bool recordsComplete = m_records.size() < m_limits.maxRecords; // a full ledger may have skipped records
    for (const ClosedOwner &closed : handover.closedOwners) {
        if (recordsComplete) {
            core::WallTime &lastExpiry = m_closedOwners[closed.owner];
            lastExpiry = std::max(lastExpiry, closed.lastTicketExpiry);
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
    Handover handover;
    for (const auto &[key, record] : m_records) {
        handover.records.push_back(record);
    }
    for (const auto &[owner, lastExpiry] : m_closedOwners) {
        handover.closedOwners.push_back(ClosedOwner{owner, lastExpiry});
    }
    return handover;
}

void SuccessorLedger::purgeExpired(core::WallTime now)
{
    std::erase_if(m_records, [&](const auto &entry) {
        const bool expired = now >= entry.second.expiry + m_limits.retention;
        if (expired && entry.second.result.outcome) {
            m_storedResponseBytes -= entry.second.result.outcome->responseBody.size();
        }
        return expired;
    });
    std::erase_if(m_closedOwners, [&](const auto &entry) { return now >= entry.second + m_limits.retention; });
}

} // namespace arbutus::delivery
