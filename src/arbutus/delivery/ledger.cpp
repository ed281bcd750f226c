// State changes of the ledgers.
//
// Sections:
//   OwnerLedger
//   WitnessLedger

#include "arbutus/delivery/ledger.h"

namespace arbutus::delivery {

namespace {

/// Cuts the answer out of an outcome that is too large to keep.
void bound(RecordedOutcome &outcome, const LedgerLimits &limits)
{
    if (outcome.responseBody.size() > limits.maxResponseBytes) {
        outcome.responseBody.clear();
        outcome.responseRetained = false;
    }
}

/// Drops the answer of a record; the ending stays.
std::size_t dropAnswer(RecordedOutcome &outcome)
{
    const std::size_t bytes = outcome.responseBody.size();
    if (bytes > 0) {
        outcome.responseBody.clear();
        outcome.responseBody.shrink_to_fit();
        outcome.responseRetained = false;
    }
    return bytes;
}

} // namespace

//-----------------------------------------------------------------------------
// OwnerLedger
//-----------------------------------------------------------------------------

OwnerLedger::OwnerLedger(core::InstanceRef self, LedgerLimits limits)
    : m_self(std::move(self))
    , m_limits(limits)
{
}

Ticket OwnerLedger::issue(const core::WorkspaceId &workspace, const core::InstanceRef &witness, core::WallTime expiry)
{
    return Ticket{m_self, witness, workspace, core::TicketSerial(m_nextSerial++), expiry};
}

StartResult OwnerLedger::start(const Ticket &ticket, const std::string &digest, core::WallTime now)
{
    if (ticket.owner != m_self) {
        return StartResult::NotOwner;
    }
    const auto found = m_records.find(ticket.serial);
    if (found != m_records.end()) {
        const Record &record = found->second;
        if (record.state == State::Closed) {
            return StartResult::Closed;
        }
        if (record.digest != digest) {
            return StartResult::Conflict;
        }
        return record.state == State::Done ? StartResult::Completed : StartResult::InFlight;
    }
    if (now >= ticket.expiry) {
        return now < ticket.expiry + m_limits.retention ? StartResult::Expired : StartResult::RecordPurged;
    }
    if (m_closed) {
        return StartResult::Closed;
    }
    if (m_records.size() >= m_limits.maxRecords) {
        return StartResult::LedgerFull;
    }
    const bool witnessed = !ticket.witness.id.empty();
    m_records[ticket.serial] = Record{ticket, witnessed ? State::Asking : State::Running, digest, {}};
    return witnessed ? StartResult::RecordIntent : StartResult::Dispatch;
}

bool OwnerLedger::handleWitnessResponse(const Ticket &ticket, std::optional<LedgerStatus> verdict)
{
    const auto found = m_records.find(ticket.serial);
    if (found == m_records.end() || found->second.state != State::Asking) {
        return false;
    }
    const bool recorded = verdict == LedgerStatus::Recorded && !m_closed;
    found->second.state = recorded ? State::Running : State::Closed;
    return recorded;
}

void OwnerLedger::recordOutcome(const Ticket &ticket, RecordedOutcome outcome)
{
    const auto found = m_records.find(ticket.serial);
    if (found == m_records.end() || found->second.state != State::Running) {
        return;
    }
    bound(outcome, m_limits);
    m_answerBytes += outcome.responseBody.size();
    m_answerOrder.push_back(ticket.serial);
    found->second.outcome = std::move(outcome);
    found->second.state = State::Done;
    dropOldAnswers();
}

LedgerResult OwnerLedger::lookup(const Ticket &ticket) const
{
    if (ticket.owner != m_self) {
        return {};
    }
    const auto found = m_records.find(ticket.serial);
    if (found == m_records.end()) {
        return {};
    }
    const Record &record = found->second;
    switch (record.state) {
    case State::Closed:
        return LedgerResult{LedgerStatus::Sealed, record.digest, {}};
    case State::Done:
        return LedgerResult{LedgerStatus::Completed, record.digest, record.outcome};
    case State::Asking:
    case State::Running:
        break;
    }
    return LedgerResult{LedgerStatus::InFlight, record.digest, {}};
}

bool OwnerLedger::close(const Ticket &ticket)
{
    if (ticket.owner != m_self) {
        return false;
    }
    const auto found = m_records.find(ticket.serial);
    if (found == m_records.end()) {
        m_records[ticket.serial] = Record{ticket, State::Closed, {}, {}};
        return true;
    }
    if (found->second.state == State::Asking) {
        found->second.state = State::Closed;
    }
    return found->second.state == State::Closed;
}

void OwnerLedger::closeAll()
{
    m_closed = true;
    for (auto &[serial, record] : m_records) {
        if (record.state == State::Asking) {
            record.state = State::Closed;
        }
    }
}

std::vector<std::pair<Ticket, LedgerResult>> OwnerLedger::records() const
{
    std::vector<std::pair<Ticket, LedgerResult>> out;
    out.reserve(m_records.size());
    for (const auto &[serial, record] : m_records) {
        out.emplace_back(record.ticket, lookup(record.ticket));
    }
    return out;
}

std::size_t OwnerLedger::runningCount() const
{
    std::size_t count = 0;
    for (const auto &[serial, record] : m_records) {
        count += record.state == State::Running ? 1 : 0;
    }
    return count;
}

void OwnerLedger::purgeExpired(core::WallTime now)
{
    std::erase_if(m_records, [&](const auto &entry) {
        const Record &record = entry.second;
        const bool old = now >= record.ticket.expiry + m_limits.retention && record.state != State::Running;
        if (old) {
            m_answerBytes -= record.outcome.responseBody.size();
        }
        return old;
    });
    std::erase_if(m_answerOrder, [&](const core::TicketSerial &serial) { return !m_records.contains(serial); });
}

void OwnerLedger::dropOldAnswers()
{
    while (m_answerBytes > m_limits.maxTotalResponseBytes && !m_answerOrder.empty()) {
        const auto found = m_records.find(m_answerOrder.front());
        m_answerOrder.pop_front();
        if (found != m_records.end()) {
            m_answerBytes -= dropAnswer(found->second.outcome);
        }
    }
}

//-----------------------------------------------------------------------------
// WitnessLedger
//-----------------------------------------------------------------------------

WitnessLedger::WitnessLedger(core::InstanceRef self, LedgerLimits limits)
    : m_self(std::move(self))
    , m_limits(limits)
{
}

bool WitnessLedger::isOurs(const Ticket &ticket) const
{
    return ticket.witness == m_self;
}

LedgerStatus WitnessLedger::recordIntent(const Ticket &ticket, const std::string &digest, core::WallTime now)
{
    if (!isOurs(ticket) || now >= ticket.expiry) {
        return LedgerStatus::Refused;
    }
    const auto found = m_records.find(ticketRecordKey(ticket));
    if (found != m_records.end()) {
        const bool same = found->second.state == State::Intent && found->second.digest == digest;
        return same ? LedgerStatus::Recorded : LedgerStatus::Refused;
    }
    if (m_records.size() >= m_limits.maxRecords) {
        return LedgerStatus::Refused;
    }
    m_records[ticketRecordKey(ticket)] = Record{State::Intent, digest, ticket.expiry, {}};
    return LedgerStatus::Recorded;
}

LedgerStatus WitnessLedger::recordOutcome(const Ticket &ticket, RecordedOutcome outcome, core::WallTime now)
{
    if (!isOurs(ticket) || now >= ticket.expiry + m_limits.retention) {
        return LedgerStatus::Refused;
    }
    const auto found = m_records.find(ticketRecordKey(ticket));
    if (found != m_records.end() && found->second.state != State::Intent) {
        return LedgerStatus::Recorded;
    }
    if (found == m_records.end() && outcome.kind != OutcomeKind::NotRun) {
        return LedgerStatus::Refused;
    }
    Record &record = m_records[ticketRecordKey(ticket)];
    record.expiry = ticket.expiry;
    if (outcome.kind == OutcomeKind::NotRun) {
        record.state = State::Sealed;
        return LedgerStatus::Recorded;
    }
    bound(outcome, m_limits);
    m_answerBytes += outcome.responseBody.size();
    m_answerOrder.push_back(ticketRecordKey(ticket));
    record.outcome = std::move(outcome);
    record.state = State::Done;
    dropOldAnswers();
    return LedgerStatus::Recorded;
}

LedgerResult WitnessLedger::seal(const Ticket &ticket, core::WallTime now)
{
    if (!isOurs(ticket)) {
        return {};
    }
    const auto found = m_records.find(ticketRecordKey(ticket));
    if (found == m_records.end()) {
        if (now >= ticket.expiry + m_limits.retention || m_records.size() >= m_limits.maxRecords) {
            return {};
        }
        m_records[ticketRecordKey(ticket)] = Record{State::Sealed, {}, ticket.expiry, {}};
        return LedgerResult{LedgerStatus::Sealed, {}, {}};
    }
    return answerOf(found->second);
}

LedgerResult WitnessLedger::answerOf(const Record &record)
{
    switch (record.state) {
    case State::Sealed:
        return LedgerResult{LedgerStatus::Sealed, record.digest, {}};
    case State::Done:
        return LedgerResult{LedgerStatus::Completed, record.digest, record.outcome};
    case State::Intent:
        break;
    }
    return LedgerResult{LedgerStatus::InFlight, record.digest, {}};
}

std::vector<WitnessLedger::ExportedRecord> WitnessLedger::records() const
{
    std::vector<ExportedRecord> out;
    out.reserve(m_records.size());
    for (const auto &[key, record] : m_records) {
        out.push_back(ExportedRecord{key, record.expiry, answerOf(record)});
    }
    return out;
}

void WitnessLedger::purgeExpired(core::WallTime now)
{
    std::erase_if(m_records, [&](const auto &entry) {
        const bool old = now >= entry.second.expiry + m_limits.retention;
        if (old) {
            m_answerBytes -= entry.second.outcome.responseBody.size();
        }
        return old;
    });
    std::erase_if(m_answerOrder, [&](const std::string &key) { return !m_records.contains(key); });
}

void WitnessLedger::dropOldAnswers()
{
    while (m_answerBytes > m_limits.maxTotalResponseBytes && !m_answerOrder.empty()) {
        const auto found = m_records.find(m_answerOrder.front());
        m_answerOrder.pop_front();
        if (found != m_records.end()) {
            m_answerBytes -= dropAnswer(found->second.outcome);
        }
    }
}

} // namespace arbutus::delivery
