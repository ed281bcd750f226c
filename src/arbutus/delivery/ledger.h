// Ticket ledgers: what the owner and the witness of a ticket remember, and what each may truthfully say.
//
// The rule is "write to both, seal at either". Before it dispatches, the owner records the intent at the witness and
// waits for the acknowledgement. Whoever closes a ticket first wins: a witness that has sealed it refuses the intent, so
// the owner can never dispatch it; an owner that has closed it never asks again. Safety needs no clock, lease or quorum;
// expiry only bounds memory.
//
//   owner:    Issued -> Asking -> Running -> Done
//                |        |
//                +--------+--> Closed                 (did not run and never will)
//   witness:  (none) -> Intent -> Done
//                |
//                +--> Sealed                          (did not run and never will)
//
// Q: What does a witness say after it has dropped an old record?
// A: "cannot tell". And it refuses every intent past the expiry, so nothing starts after the record is gone.
// Q: What if the owner's planned stop comes first?
// A: close() closes all tickets for good and records() hands the outcomes to the witnesses.

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

/// How a request with a ticket ended.
enum class OutcomeKind {
    Completed, // ran; the answer is in the record where it was small enough
    NotRun,    // did not run and never will
    Unknown,   // may have run
};

/// The recorded outcome of a ticket.
struct RecordedOutcome
{
    OutcomeKind kind = OutcomeKind::Unknown;
    unsigned httpStatus = 0; // HTTP, for Answered
    std::string contentType;
    std::string responseBody;     // bounded by LedgerLimits::answerBytes
    bool responseRetained = true; // false: it ran, but its answer was too large to keep

    bool operator==(const RecordedOutcome &) const = default;
};

/// Bounds of a ledger's memory.
struct LedgerLimits
{
    std::size_t maxResponseBytes = 64 * 1024;             // of one answer
    std::size_t maxTotalResponseBytes = 48 * 1024 * 1024; // of all answers together; the oldest are dropped first
    std::size_t maxRecords = 200'000;                     // tickets remembered
    std::chrono::milliseconds retention{600'000};         // kept past the expiry
};

/// What a ledger says of a ticket.
enum class LedgerStatus {
    Refused,   // never dispatch: sealed, closed, expired or not ours
    Recorded,  // the intent stands
    Sealed,    // did not run and never will
    InFlight,  // an intent without an outcome
    Completed, // the outcome is known
    NoRecord,  // this life cannot tell
};

/// A verdict with the outcome where there is one.
struct LedgerResult
{
    LedgerStatus status = LedgerStatus::NoRecord;
    std::string requestHash; // of the body that the intent was for
    std::optional<RecordedOutcome> outcome;
};

//-----------------------------------------------------------------------------
// OwnerLedger
//-----------------------------------------------------------------------------

/// What the owner does next with a request that brings a ticket.
enum class StartResult {
    RecordIntent, // record the intent at the witness first
    Dispatch,     // no witness: run it now
    InFlight,     // the same request runs already
    Conflict,     // the ticket was used with another body
    Completed,    // the outcome is recorded
    Closed,       // it did not run and never will
    Expired,      // past its expiry and never started
    RecordPurged, // so long past its expiry that the record may be gone
    LedgerFull,   // no room for another record; not started
    NotOwner,     // this life is not the owner
};

/// Tickets that this incarnation owns.
class OwnerLedger
{
public:
    OwnerLedger(core::InstanceRef self, LedgerLimits limits);

    /// A fresh ticket.
    [[nodiscard]] Ticket issue(const core::WorkspaceId &workspace, const core::InstanceRef &witness, core::WallTime expiry);
    /// A request arrived with a ticket.
    StartResult start(const Ticket &ticket, const std::string &digest, core::WallTime now);
    /// The witness answered, or did not (nothing); true = dispatch now, false = it did not run and never will.
    bool handleWitnessResponse(const Ticket &ticket, std::optional<LedgerStatus> verdict);
    /// The attempt ended.
    void recordOutcome(const Ticket &ticket, RecordedOutcome outcome);
    /// What is known of a ticket, for other instances.
    [[nodiscard]] LedgerResult lookup(const Ticket &ticket) const;
    /// Closes a ticket that has not been dispatched; true when it did not run and never will.
    bool close(const Ticket &ticket);

    /// Planned stop: no ticket is ever started again.
    void closeAll();
    /// All that is known, for a successor; complete once closeAll() was called and nothing runs.
    [[nodiscard]] std::vector<std::pair<Ticket, LedgerResult>> records() const;
    /// Tickets that have been dispatched and have no outcome yet.
    [[nodiscard]] std::size_t runningCount() const;
    /// Drops what is past its retention.
    void purgeExpired(core::WallTime now);
    [[nodiscard]] std::size_t size() const
    {
        return m_records.size();
    }
    [[nodiscard]] std::size_t storedResponseBytes() const
    {
        return m_answerBytes;
    }

private:
    enum class State {
        Asking,
        Running,
        Done,
        Closed,
    };
    struct Record
    {
        Ticket ticket;
        State state = State::Asking;
        std::string digest;
        RecordedOutcome outcome;
    };
    void dropOldAnswers();

    core::InstanceRef m_self;
    LedgerLimits m_limits;
    std::uint64_t m_nextSerial = 1;
    bool m_closed = false;
    std::map<core::TicketSerial, Record> m_records; // only tickets that were used
    std::deque<core::TicketSerial> m_answerOrder;   // oldest answer first
    std::size_t m_answerBytes = 0;
};

//-----------------------------------------------------------------------------
// WitnessLedger
//-----------------------------------------------------------------------------

/// Tickets of other owners that this incarnation witnesses.
class WitnessLedger
{
public:
    WitnessLedger(core::InstanceRef self, LedgerLimits limits);

    /// The owner is about to dispatch. Idempotent for the same digest.
    LedgerStatus recordIntent(const Ticket &ticket, const std::string &digest, core::WallTime now);
    /// The owner's attempt ended, or the owner stops and hands over.
    LedgerStatus recordOutcome(const Ticket &ticket, RecordedOutcome outcome, core::WallTime now);
    /// Closes the ticket unless its intent stands.
    LedgerResult seal(const Ticket &ticket, core::WallTime now);

    /// All that is known, by ledgerKey() and with the expiry, for a successor.
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
        return m_answerBytes;
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
        std::string digest;
        core::WallTime expiry{};
        RecordedOutcome outcome;
    };
    [[nodiscard]] bool isOurs(const Ticket &ticket) const;
    [[nodiscard]] static LedgerResult answerOf(const Record &record);
    void dropOldAnswers();

    core::InstanceRef m_self;
    LedgerLimits m_limits;
    std::unordered_map<std::string, Record> m_records; // by ledgerKey()
    std::deque<std::string> m_answerOrder;             // oldest answer first
    std::size_t m_answerBytes = 0;
};

} // namespace arbutus::delivery
