// Tickets and ledgers: encoding, state transitions, limits, handover, and random schedules of messages and crashes.

#include "arbutus/core/clock.h"
#include "arbutus/delivery/ledger.h"
#include "arbutus/delivery/successorledger.h"
#include "support/schedules.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <functional>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

const core::InstanceRef Owner{core::InstanceId("owner"), core::Incarnation(7)};
const core::InstanceRef Witness{core::InstanceId("witness"), core::Incarnation(9)};
const core::WorkspaceId Workspace("siamwong");
const core::WallTime Start(1'000'000ms);
const core::WallTime Expiry = Start + 60s;

delivery::TicketCodec makeCodec()
{
    return delivery::TicketCodec({delivery::TicketSigningKey{"k2", "newest secret of sixteen"}, delivery::TicketSigningKey{"k1", "older secret of sixteen"}});
}

delivery::Ticket makeTicket(std::uint64_t serial = 1)
{
    return delivery::Ticket{Owner, Witness, Workspace, core::TicketSerial(serial), Expiry};
}

delivery::RecordedOutcome completedOutcome(std::string text = "ok")
{
    return delivery::RecordedOutcome{delivery::OutcomeKind::Completed, 200, "application/json", std::move(text), true};
}

} // namespace

TEST_CASE("a ticket decodes to what was encoded, and no other text decodes", "[delivery]")
{
    const delivery::TicketCodec codec = makeCodec();
    const std::string text = codec.encode(makeTicket());
    REQUIRE(codec.decode(text).value() == makeTicket());

    SECTION("a ticket signed with an older key is still accepted")
    {
        const delivery::TicketCodec older({delivery::TicketSigningKey{"k1", "older secret of sixteen"}});
        REQUIRE(codec.decode(older.encode(makeTicket())).value() == makeTicket());
    }
    SECTION("a ticket signed with a removed key has an unknown outcome, since it may have run")
    {
        const delivery::TicketCodec other({delivery::TicketSigningKey{"k9", "another secret of sixteen"}});
        REQUIRE(codec.decode(other.encode(makeTicket())).error().outcome == core::Outcome::Unknown);
    }
    SECTION("a change of any byte is detected")
    {
        for (std::size_t i = 0; i < text.size(); ++i) {
            std::string changed = text;
            changed[i] = changed[i] == 'x' ? 'y' : 'x';
            INFO(changed);
            REQUIRE_FALSE(codec.decode(changed));
        }
    }
    SECTION("malformed text is rejected")
    {
        const std::string other = GENERATE("", "t1", "~~~~~~~~~", "t1~k2~o~1~w~1~s~1~1~", std::string(5000, '~').c_str());
        REQUIRE_FALSE(codec.decode(other));
    }
}

TEST_CASE("the owner dispatches only after its witness has recorded the intent", "[delivery]")
{
    struct Row
    {
        std::optional<delivery::LedgerStatus> status;
        bool dispatched;
    };
    const Row row = GENERATE(Row{delivery::LedgerStatus::Recorded, true},
                             Row{delivery::LedgerStatus::Refused, false},
                             Row{delivery::LedgerStatus::Sealed, false},
                             Row{delivery::LedgerStatus::NoRecord, false},
                             Row{std::nullopt, false});
    delivery::OwnerLedger ledger(Owner, {});
    REQUIRE(ledger.start(makeTicket(), "hash", Start) == delivery::StartResult::RecordIntent);
    REQUIRE(ledger.handleWitnessResponse(makeTicket(), row.status) == row.dispatched);
    // A second response, delayed or duplicated, never causes another dispatch.
    REQUIRE_FALSE(ledger.handleWitnessResponse(makeTicket(), delivery::LedgerStatus::Recorded));
    if (!row.dispatched) {
        REQUIRE(ledger.start(makeTicket(), "hash", Start) == delivery::StartResult::Closed);
    }
}

TEST_CASE("the owner dispatches a ticket at most once", "[delivery]")
{
    delivery::OwnerLedger ledger(Owner, {});
    REQUIRE(ledger.start(makeTicket(), "hash", Start) == delivery::StartResult::RecordIntent);
    REQUIRE(ledger.start(makeTicket(), "hash", Start) == delivery::StartResult::InFlight);
    REQUIRE(ledger.start(makeTicket(), "other", Start) == delivery::StartResult::Conflict);
    REQUIRE(ledger.handleWitnessResponse(makeTicket(), delivery::LedgerStatus::Recorded));
    REQUIRE(ledger.start(makeTicket(), "hash", Start) == delivery::StartResult::InFlight);
    ledger.recordOutcome(makeTicket(), completedOutcome());
    REQUIRE(ledger.start(makeTicket(), "hash", Start) == delivery::StartResult::Completed);
    REQUIRE(ledger.lookup(makeTicket()).outcome == completedOutcome());
    REQUIRE_FALSE(ledger.close(makeTicket()));

    delivery::Ticket otherIncarnation = makeTicket();
    otherIncarnation.owner.incarnation = core::Incarnation(8);
    REQUIRE(ledger.start(otherIncarnation, "hash", Start) == delivery::StartResult::NotOwner);
    REQUIRE(ledger.lookup(otherIncarnation).status == delivery::LedgerStatus::NoRecord);
}

TEST_CASE("the owner refuses expired tickets and purges old records", "[delivery]")
{
    delivery::OwnerLedger ledger(Owner, {});
    REQUIRE(ledger.start(makeTicket(1), "d", Expiry) == delivery::StartResult::Expired);
    REQUIRE(ledger.start(makeTicket(2), "d", Expiry + 601s) == delivery::StartResult::RecordPurged);
    REQUIRE(ledger.start(makeTicket(3), "d", Start) == delivery::StartResult::RecordIntent);
    REQUIRE(ledger.handleWitnessResponse(makeTicket(3), delivery::LedgerStatus::Recorded));
    ledger.purgeExpired(Expiry + 601s); // a running request is not purged
    REQUIRE(ledger.size() == 1);
    ledger.recordOutcome(makeTicket(3), completedOutcome());
    ledger.purgeExpired(Expiry + 601s);
    REQUIRE(ledger.size() == 0);
    REQUIRE(ledger.storedResponseBytes() == 0);
}

TEST_CASE("the witness permanently seals a ticket that has no intent", "[delivery]")
{
    delivery::WitnessLedger ledger(Witness, {});
    REQUIRE(ledger.seal(makeTicket(), Start).status == delivery::LedgerStatus::Sealed);
    REQUIRE(ledger.recordIntent(makeTicket(), "d", Start) == delivery::LedgerStatus::Refused);
    REQUIRE(ledger.seal(makeTicket(), Start).status == delivery::LedgerStatus::Sealed);
    // After the record has been purged the intent is still refused, because the ticket has expired.
    ledger.purgeExpired(Expiry + 601s);
    REQUIRE(ledger.size() == 0);
    REQUIRE(ledger.recordIntent(makeTicket(), "d", Expiry + 601s) == delivery::LedgerStatus::Refused);
    REQUIRE(ledger.seal(makeTicket(), Expiry + 601s).status == delivery::LedgerStatus::NoRecord);
}

TEST_CASE("the witness reports the recorded intent and outcome", "[delivery]")
{
    delivery::WitnessLedger ledger(Witness, {});
    REQUIRE(ledger.recordIntent(makeTicket(), "d", Start) == delivery::LedgerStatus::Recorded);
    REQUIRE(ledger.recordIntent(makeTicket(), "d", Start) == delivery::LedgerStatus::Recorded); // idempotent
    REQUIRE(ledger.recordIntent(makeTicket(), "e", Start) == delivery::LedgerStatus::Refused);
    REQUIRE(ledger.seal(makeTicket(), Start).status == delivery::LedgerStatus::InFlight);
    REQUIRE(ledger.recordOutcome(makeTicket(), completedOutcome(), Start) == delivery::LedgerStatus::Recorded);
    const delivery::LedgerResult result = ledger.seal(makeTicket(), Start);
    REQUIRE(result.status == delivery::LedgerStatus::Completed);
    REQUIRE(result.outcome == completedOutcome());
    REQUIRE(ledger.recordIntent(makeTicket(), "d", Start) == delivery::LedgerStatus::Refused); // a completed request must not run again

    delivery::WitnessLedger otherIncarnation(core::InstanceRef{Witness.id, core::Incarnation(10)}, {});
    REQUIRE(otherIncarnation.recordIntent(makeTicket(), "d", Start) == delivery::LedgerStatus::Refused);
    REQUIRE(otherIncarnation.seal(makeTicket(), Start).status == delivery::LedgerStatus::NoRecord);
}

TEST_CASE("ledgers respect their memory limits", "[delivery]")
{
    delivery::LedgerLimits limits;
    limits.maxResponseBytes = 10;
    limits.maxTotalResponseBytes = 25;
    limits.maxRecords = 4;
    delivery::OwnerLedger owner(Owner, limits);
    delivery::WitnessLedger witness(Witness, limits);
    for (std::uint64_t i = 1; i <= 4; ++i) {
        REQUIRE(owner.start(makeTicket(i), "d", Start) == delivery::StartResult::RecordIntent);
        REQUIRE(witness.recordIntent(makeTicket(i), "d", Start) == delivery::LedgerStatus::Recorded);
        REQUIRE(owner.handleWitnessResponse(makeTicket(i), delivery::LedgerStatus::Recorded));
        owner.recordOutcome(makeTicket(i), completedOutcome(std::string(i == 4 ? 11 : 10, 'x')));
        witness.recordOutcome(makeTicket(i), completedOutcome(std::string(i == 4 ? 11 : 10, 'x')), Start);
        REQUIRE(owner.storedResponseBytes() <= limits.maxTotalResponseBytes);
        REQUIRE(witness.storedResponseBytes() <= limits.maxTotalResponseBytes);
    }
    REQUIRE(owner.start(makeTicket(5), "d", Start) == delivery::StartResult::LedgerFull);
    REQUIRE(witness.recordIntent(makeTicket(5), "d", Start) == delivery::LedgerStatus::Refused);
    REQUIRE(witness.seal(makeTicket(5), Start).status == delivery::LedgerStatus::NoRecord);
    // A dropped response is reported as dropped.
    REQUIRE_FALSE(owner.lookup(makeTicket(1)).outcome->responseRetained);
    REQUIRE_FALSE(owner.lookup(makeTicket(4)).outcome->responseRetained);
    REQUIRE(owner.lookup(makeTicket(3)).outcome->responseRetained);
}

TEST_CASE("a successor reports tickets of a closed owner without a record as not run", "[delivery]")
{
    delivery::OwnerLedger owner(Owner, {});
    REQUIRE(owner.start(makeTicket(1), "d", Start) == delivery::StartResult::RecordIntent);
    REQUIRE(owner.handleWitnessResponse(makeTicket(1), delivery::LedgerStatus::Recorded));
    owner.recordOutcome(makeTicket(1), completedOutcome());
    owner.closeAll();
    REQUIRE(owner.start(makeTicket(2), "d", Start) == delivery::StartResult::Closed);

    delivery::Handover handover;
    for (const auto &[ticket, result] : owner.records()) {
        handover.records.push_back({delivery::ticketRecordKey(ticket), ticket.expiry, result});
    }
    delivery::SuccessorLedger withoutClosedOwner({});
    withoutClosedOwner.merge(handover);
    REQUIRE(withoutClosedOwner.lookup(makeTicket(1), Start).status == delivery::LedgerStatus::Completed);
    REQUIRE(withoutClosedOwner.lookup(makeTicket(3), Start).status == delivery::LedgerStatus::NoRecord); // the records are not known to be complete
    handover.closedOwners.push_back({Owner, Expiry});
    delivery::SuccessorLedger withClosedOwner({});
    withClosedOwner.merge(handover);
    withClosedOwner.merge(handover); // merging is idempotent
    REQUIRE(withClosedOwner.lookup(makeTicket(1), Start).outcome == completedOutcome());
    REQUIRE(withClosedOwner.lookup(makeTicket(3), Start).status == delivery::LedgerStatus::Sealed);
    REQUIRE(withClosedOwner.exportAll().records.size() == 1);
    withClosedOwner.purgeExpired(Expiry + 601s);
    REQUIRE(withClosedOwner.size() == 0);
}

//-----------------------------------------------------------------------------
// Schedules
//-----------------------------------------------------------------------------

namespace {

/// An owner, a witness and the network between them, driven by a schedule; `runs` counts the actual dispatches.
struct LedgerSimulation
{
    delivery::OwnerLedger owner{Owner, {}};
    delivery::WitnessLedger witness{Witness, {}};
    bool ownerAlive = true;
    bool witnessAlive = true;
    core::WallTime now = Start;
    std::vector<std::function<void()>> messagesInTransit; // delivered in any order, dropped or duplicated
    int runs = 0;
    bool reportedNotRun = false;
    bool reportedCompleted = false;

    void sendIntent()
    {
        messagesInTransit.emplace_back([this] {
            if (!witnessAlive) {
                return;
            }
            const auto status = witness.recordIntent(makeTicket(), "d", now);
            messagesInTransit.emplace_back([this, status] { handleIntentResponse(status); });
        });
    }
    void handleIntentResponse(std::optional<delivery::LedgerStatus> status)
    {
        if (!ownerAlive) {
            return;
        }
        const bool awaitingWitness = owner.lookup(makeTicket()).status == delivery::LedgerStatus::InFlight && runs == 0;
        if (owner.handleWitnessResponse(makeTicket(), status)) {
            ++runs;
        } else if (awaitingWitness) {
            reportedNotRun = true;
        }
    }
    void sendRequestToOwner()
    {
        if (!ownerAlive) {
            return;
        }
        switch (owner.start(makeTicket(), "d", now)) {
        case delivery::StartResult::RecordIntent:
            sendIntent();
            break;
        case delivery::StartResult::Closed:
        case delivery::StartResult::Expired:
            reportedNotRun = true;
            break;
        case delivery::StartResult::Completed:
            reportedCompleted = true;
            break;
        default:
            break;
        }
    }
    void sendRequestToWitness()
    {
        if (!witnessAlive) {
            return;
        }
        const auto status = witness.seal(makeTicket(), now).status;
        reportedNotRun = reportedNotRun || status == delivery::LedgerStatus::Sealed;
        reportedCompleted = reportedCompleted || status == delivery::LedgerStatus::Completed;
    }
    void completeRequest()
    {
        if (ownerAlive && runs > 0) {
            owner.recordOutcome(makeTicket(), completedOutcome());
            messagesInTransit.emplace_back([this] {
                if (witnessAlive) {
                    witness.recordOutcome(makeTicket(), completedOutcome(), now);
                }
            });
        }
    }
    void deliver(std::size_t messageIndex, bool duplicate)
    {
        if (messagesInTransit.empty()) {
            return;
        }
        const std::size_t index = messageIndex % messagesInTransit.size();
        const auto message = messagesInTransit[index];
        if (!duplicate) {
            messagesInTransit.erase(messagesInTransit.begin() + static_cast<std::ptrdiff_t>(index));
        }
        message();
    }
    void apply(int operation, std::size_t value)
    {
        switch (operation) {
        case 0:
            sendRequestToOwner();
            break;
        case 1:
            sendRequestToWitness();
            break;
        case 2:
        case 3:
        case 4:
            deliver(value, value % 3 == 0);
            break;
        case 5:
            completeRequest();
            break;
        case 6: // the owner's call to the witness has timed out
            handleIntentResponse(std::nullopt);
            break;
        case 7:
            now += std::chrono::seconds(value % 50);
            owner.purgeExpired(now);
            witness.purgeExpired(now);
            break;
        case 8:
            ownerAlive = ownerAlive && value % 8 != 0;
            break;
        case 9:
            witnessAlive = witnessAlive && value % 8 != 0;
            break;
        case 10:
            if (ownerAlive && value % 4 == 0) {
                owner.closeAll();
            }
            break;
        default:
            if (!messagesInTransit.empty()) { // drop a message
                messagesInTransit.erase(messagesInTransit.begin() + static_cast<std::ptrdiff_t>(value % messagesInTransit.size()));
            }
        }
    }
};

} // namespace

TEST_CASE("no schedule of messages and crashes runs a ticket twice or reports a false outcome", "[delivery][property]")
{
    const bool passed = tests::checkSchedules("owner and witness", 10'000, [] {
        const auto schedule =
            *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange<std::size_t>(0, 1000)));
        LedgerSimulation simulation;
        for (const auto &[operation, value] : schedule) {
            simulation.apply(operation, value);
        }
        while (!simulation.messagesInTransit.empty()) {
            simulation.deliver(0, false);
        }
        simulation.sendRequestToWitness();
        RC_ASSERT(simulation.runs <= 1);
        RC_ASSERT(!(simulation.reportedNotRun && simulation.runs > 0));
        RC_ASSERT(!(simulation.reportedCompleted && simulation.runs == 0));
    });
    REQUIRE(passed);
}
