// Ticket ledgers: the records that the owner and the witness of a ticket keep, and what each can report about it.
//
// Before it dispatches a request, the owner records the intent at the witness and waits for the acknowledgement. The
// witness can seal a ticket until it has the intent, the owner can close it until it has the acknowledgement, and whichever
// comes first is final: a witness that has sealed it refuses the intent, so the owner can never dispatch it; an owner that
// has closed it never sends an intent again. Safety depends on no clock, lease or quorum; the expiry only bounds memory.
// Without a witness, the owner's record starts as Running.
//
//   owner:    (none) -> AwaitingWitness -> Running -> Done
//                |             |
//                +-------------+--> Closed            (did not run and never will)
//   witness:  (none) -> Intent -> Done
//                |
//                +--> Sealed                          (did not run and never will)
//
// Q: What does a witness report after it has purged an old record?
// A: NoRecord. It also refuses every intent past the expiry, so nothing starts after the record has been purged.
// Q: What happens when the owner is drained before a ticket is used?
// A: closeAll() closes all tickets permanently, and records() exports the outcomes for a successor.

#pragma once

#include "arbutus/delivery/ticket.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace arbutus::delivery {

//-----------------------------------------------------------------------------
// Records
//-----------------------------------------------------------------------------

/// Final state of a request that carried a ticket.
enum class OutcomeKind {
    Completed, // ran; the response is in the record if it was small enough
    NotRun,    // did not run and never will
    Unknown,   // may have run
};

struct RecordedOutcome
{
    OutcomeKind kind = OutcomeKind::Unknown;
    unsigned httpStatus = 0; // for Completed
    std::string contentType;
    std::string responseBody;     // bounded by LedgerLimits::maxResponseBytes
    bool responseRetained = true; // false: it ran, but the response was too large to keep

    bool operator==(const RecordedOutcome &) const = default;
};

/// Memory limits of a ledger.
struct LedgerLimits
{
    std::size_t maxResponseBytes = 64 * 1024;             // per response
    std::size_t maxTotalResponseBytes = 48 * 1024 * 1024; // all responses together; the oldest are dropped first
    std::size_t maxRecords = 200'000;                     // tickets on record
    std::chrono::milliseconds retention{600'000};         // after the expiry
};

/// State of a ticket as reported by a ledger.
enum class LedgerStatus {
    Refused,   // must not be dispatched: sealed, closed, expired, or not a ticket of this ledger
    Recorded,  // the intent is on record
    Sealed,    // did not run and never will
    InFlight,  // an intent without an outcome
    Completed, // the outcome is known
    NoRecord,  // this incarnation has no record of it
};

/// A status, with the outcome if one is known.
struct LedgerResult
{
    LedgerStatus status = LedgerStatus::NoRecord;
    std::string requestHash; // of the request that the intent was recorded for
    std::optional<RecordedOutcome> outcome;
};

//-----------------------------------------------------------------------------
// OwnerLedger
//-----------------------------------------------------------------------------

/// What the owner does next with a request that carries a ticket.
enum class StartResult {
    RecordIntent, // record the intent at the witness first
    Dispatch,     // no witness: dispatch now
    InFlight,     // the same request is already running
    Conflict,     // the ticket was already used for a request with a different body
    Completed,    // the outcome is recorded
    Closed,       // it did not run and never will
    Expired,      // expired and never started
    RecordPurged, // expired so long ago that the record may have been purged
    LedgerFull,   // no room for another record; not started
    NotOwner,     // this incarnation is not the owner
};

/// Records of the tickets that this incarnation issued.
class OwnerLedger
{
public:
    OwnerLedger(core::InstanceRef self, LedgerLimits limits);

    /// Creates a ticket with the next serial.
    [[nodiscard]] Ticket issue(const core::WorkspaceId &workspace, const core::InstanceRef &witness, core::WallTime expiry);
    /// Called when a request with a ticket arrives.
    StartResult start(const Ticket &ticket, const std::string &requestHash, core::WallTime now);
    /// Called when the witness has responded, or without a status when it has not. Returns true if the request must be
    /// dispatched now, false if it did not run and never will.
    bool handleWitnessResponse(const Ticket &ticket, std::optional<LedgerStatus> status);
    /// Called when the attempt has ended.
    void recordOutcome(const Ticket &ticket, RecordedOutcome outcome);
    /// Reports the state of a ticket to other instances.
    [[nodiscard]] LedgerResult lookup(const Ticket &ticket) const;
    /// Closes a ticket that has not been dispatched. Returns true if it did not run and never will.
    bool close(const Ticket &ticket);

    /// Closes all tickets for a drain; none is started afterwards.
    void closeAll();
    /// Exports all records for a successor. Complete once closeAll() has been called and runningCount() is 0.
    [[nodiscard]] std::vector<std::pair<Ticket, LedgerResult>> records() const;
    /// Tickets that have been dispatched and have no outcome yet.
    [[nodiscard]] std::size_t runningCount() const;
    /// Removes records past their retention, except those that are still running.
    void purgeExpired(core::WallTime now);
    [[nodiscard]] std::size_t size() const
    {
        return m_records.size();
    }
    [[nodiscard]] std::size_t storedResponseBytes() const
    {
        return m_storedResponseBytes;
    }

private:
    enum class State {
        AwaitingWitness,
        Running,
        Done,
        Closed,
    };
    struct Record
    {
        Ticket ticket;
        State state = State::AwaitingWitness;
        std::string requestHash;
        RecordedOutcome outcome;
    };
    void dropOldestResponses();

    core::InstanceRef m_self;
    LedgerLimits m_limits;
    std::uint64_t m_nextSerial = 1;
    bool m_closedAll = false;
    std::map<core::TicketSerial, Record> m_records; // only tickets that were used
    std::deque<core::TicketSerial> m_responseOrder; // oldest response first
    std::size_t m_storedResponseBytes = 0;
};

//-----------------------------------------------------------------------------
// WitnessLedger
//-----------------------------------------------------------------------------

/// Records of other owners' tickets that name this incarnation as witness.
class WitnessLedger
{
public:
    WitnessLedger(core::InstanceRef self, LedgerLimits limits);

    /// Called when the owner is about to dispatch. Idempotent for the same request hash.
    LedgerStatus recordIntent(const Ticket &ticket, const std::string &requestHash, core::WallTime now);
    /// Called when the owner's attempt has ended, or when the owner has rejected the request before it ran.
    LedgerStatus recordOutcome(const Ticket &ticket, RecordedOutcome outcome, core::WallTime now);
    /// Seals the ticket unless its intent is on record.
    LedgerResult seal(const Ticket &ticket, core::WallTime now);

    /// A record as exported to a successor; `key` is ticketRecordKey().
    struct ExportedRecord
    {
        std::string key;
        core::WallTime expiry{};
        LedgerResult result;
    };
    [[nodiscard]] std::vector<ExportedRecord> records() const;
    void purgeExpired(core::WallTime now);
    [[nodiscard]] std::size_t size() const
    {
        return m_records.size();
    }
    [[nodiscard]] std::size_t storedResponseBytes() const
    {
        return m_storedResponseBytes;
    }

private:
    enum class State {
        Intent,
        Done,
        Sealed,
    };
    struct Record
    {
        State state = State::Intent;
        std::string requestHash;
        core::WallTime expiry{};
        RecordedOutcome outcome;
    };
    [[nodiscard]] bool isWitness(const Ticket &ticket) const;
    [[nodiscard]] static LedgerResult toResult(const Record &record);
    void dropOldestResponses();

    core::InstanceRef m_self;
    LedgerLimits m_limits;
    std::unordered_map<std::string, Record> m_records; // by ticketRecordKey()
    std::deque<std::string> m_responseOrder;           // oldest response first
    std::size_t m_storedResponseBytes = 0;
};

} // namespace arbutus::delivery
