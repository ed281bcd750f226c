// Taking over, answering and handing on.

#include "arbutus/delivery/inherited.h"

namespace arbutus::delivery {

namespace {

/// How much a verdict says; a record never gives way to one that says less.
int weightOf(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Done:
        return 3;
    case Verdict::Sealed:
        return 2;
    case Verdict::InFlight:
        return 1;
    case Verdict::Refused:
    case Verdict::Recorded:
    case Verdict::NoRecord:
        break;
    }
    return 0;
}

} // namespace

InheritedLedger::InheritedLedger(LedgerLimits limits)
    : m_limits(limits)
{
}

void InheritedLedger::take(const Handover &handover)
{
    for (const HandoverRecord &record : handover.records) {
        const auto found = m_records.find(record.key);
        if (found != m_records.end() && weightOf(found->second.answer.verdict) >= weightOf(record.answer.verdict)) {
            continue;
        }
        if (found == m_records.end() && m_records.size() >= m_limits.records) {
            continue;
        }
        HandoverRecord &kept = m_records[record.key];
        kept = record;
        if (kept.answer.outcome && m_answerBytes + kept.answer.outcome->answer.size() > m_limits.totalBytes) {
            kept.answer.outcome->answer.clear();
            kept.answer.outcome->answerKept = false;
        }
        m_answerBytes += kept.answer.outcome ? kept.answer.outcome->answer.size() : 0;
    }
    const bool complete = m_records.size() < m_limits.records; // a full ledger may have left records out
    for (const ClosedOwner &closed : handover.closedOwners) {
        if (complete) {
            core::WallTime &until = m_closedOwners[closed.owner];
            until = std::max(until, closed.until);
        }
    }
}

LedgerAnswer InheritedLedger::lookup(const Ticket &ticket, core::WallTime now) const
{
    const auto found = m_records.find(ledgerKey(ticket));
    if (found != m_records.end()) {
        return found->second.answer;
    }
    const auto closed = m_closedOwners.find(ticket.owner);
    if (closed != m_closedOwners.end() && now < ticket.expiry + m_limits.retention) {
        return LedgerAnswer{Verdict::Sealed, {}, {}};
    }
    return {};
}

Handover InheritedLedger::all() const
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

void InheritedLedger::forget(core::WallTime now)
{
    std::erase_if(m_records, [&](const auto &entry) {
        const bool old = now >= entry.second.expiry + m_limits.retention;
        if (old && entry.second.answer.outcome) {
            m_answerBytes -= entry.second.answer.outcome->answer.size();
        }
        return old;
    });
    std::erase_if(m_closedOwners, [&](const auto &entry) { return now >= entry.second + m_limits.retention; });
}

} // namespace arbutus::delivery
