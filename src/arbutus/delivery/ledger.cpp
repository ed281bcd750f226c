// Ticket ledgers: state transitions of the owner and of the witness.
//
// Sections:
//   OwnerLedger
//   WitnessLedger

#include "arbutus/delivery/ledger.h"

namespace arbutus::delivery {

namespace {

/// Drops a response body that exceeds LedgerLimits::maxResponseBytes.
void dropOversizedResponse(RecordedOutcome &outcome, const LedgerLimits &limits)
{
    if (outcome.responseBody.size() > limits.maxResponseBytes) {
        outcome.responseBody.clear();
        outcome.responseRetained = false;
    }
}

/// Drops a stored response body but keeps the outcome; returns the number of bytes freed.
std::size_t dropResponse(RecordedOutcome &outcome)
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

StartResult OwnerLedger::start(const Ticket &ticket, const std::string &requestHash, core::WallTime now)
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
        if (record.requestHash != requestHash) {
            return StartResult::Conflict;
        }
        return record.state == State::Done ? StartResult::Completed : StartResult::InFlight;
    }
    if (now >= ticket.expiry) {
        return now < ticket.expiry + m_limits.retention ? StartResult::Expired : StartResult::RecordPurged;
    }
    if (m_closedAll) {
        return StartResult::Closed;
    }
    if (m_records.size() >= m_limits.maxRecords) {
        return StartResult::LedgerFull;
    }
    const bool witnessed = !ticket.witness.id.empty();
    m_records[ticket.serial] = Record{ticket, witnessed ? State::AwaitingWitness : State::Running, requestHash, {}};
    return witnessed ? StartResult::RecordIntent : StartResult::Dispatch;
}

bool OwnerLedger::handleWitnessResponse(const Ticket &ticket, std::optional<LedgerStatus> status)
{
    const auto found = m_records.find(ticket.serial);
    if (found == m_records.end() || found->second.state != State::AwaitingWitness) {
        return false;
    }
    const bool recorded = status == LedgerStatus::Recorded && !m_closedAll;
    found->second.state = recorded ? State::Running : State::Closed;
    return recorded;
}

void OwnerLedger::recordOutcome(const Ticket &ticket, RecordedOutcome outcome)
{
    const auto found = m_records.find(ticket.serial);
    if (found == m_records.end() || found->second.state != State::Running) {
        return;
    }
    dropOversizedResponse(outcome, m_limits);
    m_storedResponseBytes += outcome.responseBody.size();
    m_responseOrder.push_back(ticket.serial);
    found->second.outcome = std::move(outcome);
    found->second.state = State::Done;
    dropOldestResponses();
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
        return LedgerResult{LedgerStatus::Sealed, record.requestHash, {}};
    case State::Done:
        return LedgerResult{LedgerStatus::Completed, record.requestHash, record.outcome};
    case State::AwaitingWitness:
    case State::Running:
        break;
    }
    return LedgerResult{LedgerStatus::InFlight, record.requestHash, {}};
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
    if (found->second.state == State::AwaitingWitness) {
        found->second.state = State::Closed;
    }
    return found->second.state == State::Closed;
}

void OwnerLedger::closeAll()
{
    m_closedAll = true;
    for (auto &[serial, record] : m_records) {
        if (record.state == State::AwaitingWitness) {
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
        const bool expired = now >= record.ticket.expiry + m_limits.retention && record.state != State::Running;
        if (expired) {
            m_storedResponseBytes -= record.outcome.responseBody.size();
        }
        return expired;
    });
    std::erase_if(m_responseOrder, [&](const core::TicketSerial &serial) { return !m_records.contains(serial); });
}

void OwnerLedger::dropOldestResponses()
{
    while (m_storedResponseBytes > m_limits.maxTotalResponseBytes && !m_responseOrder.empty()) {
        const auto found = m_records.find(m_responseOrder.front());
        m_responseOrder.pop_front();
        if (found != m_records.end()) {
            m_storedResponseBytes -= dropResponse(found->second.outcome);
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

bool WitnessLedger::isWitness(const Ticket &ticket) const
{
    return ticket.witness == m_self;
}

LedgerStatus WitnessLedger::recordIntent(const Ticket &ticket, const std::string &requestHash, core::WallTime now)
{
    if (!isWitness(ticket) || now >= ticket.expiry) {
        return LedgerStatus::Refused;
    }
    const auto found = m_records.find(ticketRecordKey(ticket));
    if (found != m_records.end()) {
        const bool sameRequest = found->second.state == State::Intent && found->second.requestHash == requestHash;
        return sameRequest ? LedgerStatus::Recorded : LedgerStatus::Refused;
    }
    if (m_records.size() >= m_limits.maxRecords) {
        return LedgerStatus::Refused;
    }
    m_records[ticketRecordKey(ticket)] = Record{State::Intent, requestHash, ticket.expiry, {}};
    return LedgerStatus::Recorded;
}

LedgerStatus WitnessLedger::recordOutcome(const Ticket &ticket, RecordedOutcome outcome, core::WallTime now)
{
    if (!isWitness(ticket) || now >= ticket.expiry + m_limits.retention) {
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
    dropOversizedResponse(outcome, m_limits);
    m_storedResponseBytes += outcome.responseBody.size();
    m_responseOrder.push_back(ticketRecordKey(ticket));
    record.outcome = std::move(outcome);
    record.state = State::Done;
    dropOldestResponses();
    return LedgerStatus::Recorded;
}

LedgerResult WitnessLedger::seal(const Ticket &ticket, core::WallTime now)
{
    if (!isWitness(ticket)) {
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
    return toResult(found->second);
}

LedgerResult WitnessLedger::toResult(const Record &record)
{
    switch (record.state) {
    case State::Sealed:
        return LedgerResult{LedgerStatus::Sealed, record.requestHash, {}};
    case State::Done:
        return LedgerResult{LedgerStatus::Completed, record.requestHash, record.outcome};
    case State::Intent:
        break;
    }
    return LedgerResult{LedgerStatus::InFlight, record.requestHash, {}};
}

std::vector<WitnessLedger::ExportedRecord> WitnessLedger::records() const
{
    std::vector<ExportedRecord> out;
    out.reserve(m_records.size());
    for (const auto &[key, record] : m_records) {
        out.push_back(ExportedRecord{key, record.expiry, toResult(record)});
    }
    return out;
}

void WitnessLedger::purgeExpired(core::WallTime now)
{
    std::erase_if(m_records, [&](const auto &entry) {
        const bool expired = now >= entry.second.expiry + m_limits.retention;
        if (expired) {
            m_storedResponseBytes -= entry.second.outcome.responseBody.size();
        }
        return expired;
    });
    std::erase_if(m_responseOrder, [&](const std::string &key) { return !m_records.contains(key); });
}

void WitnessLedger::dropOldestResponses()
{
    while (m_storedResponseBytes > m_limits.maxTotalResponseBytes && !m_responseOrder.empty()) {
        const auto found = m_records.find(m_responseOrder.front());
        m_responseOrder.pop_front();
        if (found != m_records.end()) {
            m_storedResponseBytes -= dropResponse(found->second.outcome);
        }
    }
}

} // namespace arbutus::delivery
