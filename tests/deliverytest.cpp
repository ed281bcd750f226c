// Tickets and ledgers: texts, tables of verdicts, and schedules against a naive ledger.

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

delivery::RecordedOutcome answered(std::string text = "ok")
{
    return delivery::RecordedOutcome{delivery::OutcomeKind::Completed, 200, "application/json", std::move(text), true};
}

} // namespace

TEST_CASE("a ticket's text is read back, and nothing else is", "[delivery]")
{
    const delivery::TicketCodec codec = makeCodec();
    const std::string text = codec.encode(makeTicket());
    REQUIRE(codec.decode(text).value() == makeTicket());

    SECTION("a ticket of an older key is still read")
    {
        const delivery::TicketCodec older({delivery::TicketSigningKey{"k1", "older secret of sixteen"}});
        REQUIRE(codec.decode(older.encode(makeTicket())).value() == makeTicket());
    }
    SECTION("a ticket of a key that is gone says unknown, for it may have run")
    {
        const delivery::TicketCodec other({delivery::TicketSigningKey{"k9", "another secret of sixteen"}});
        REQUIRE(codec.decode(other.encode(makeTicket())).error().outcome == core::Outcome::Unknown);
    }
    SECTION("every changed byte is noticed")
    {
        for (std::size_t i = 0; i < text.size(); ++i) {
            std::string changed = text;
            changed[i] = changed[i] == 'x' ? 'y' : 'x';
            INFO(changed);
            REQUIRE_FALSE(codec.decode(changed));
        }
    }
    SECTION("other texts are refused")
    {
        const std::string other = GENERATE("", "t1", "~~~~~~~~~", "t1~k2~o~1~w~1~s~1~1~", std::string(5000, '~').c_str());
        REQUIRE_FALSE(codec.decode(other));
    }
}

TEST_CASE("the owner dispatches only what its witness recorded", "[delivery]")
{
    struct Row
    {
        std::optional<delivery::LedgerStatus> verdict;
        bool dispatched;
    };
    const Row row = GENERATE(Row{delivery::LedgerStatus::Recorded, true},
                             Row{delivery::LedgerStatus::Refused, false},
                             Row{delivery::LedgerStatus::Sealed, false},
                             Row{delivery::LedgerStatus::NoRecord, false},
                             Row{std::nullopt, false});
    delivery::OwnerLedger ledger(Owner, {});
    REQUIRE(ledger.start(makeTicket(), "digest", Start) == delivery::StartResult::RecordIntent);
    REQUIRE(ledger.handleWitnessResponse(makeTicket(), row.verdict) == row.dispatched);
    // A second answer, late or doubled, never dispatches again.
    REQUIRE_FALSE(ledger.handleWitnessResponse(makeTicket(), delivery::LedgerStatus::Recorded));
    if (!row.dispatched) {
        REQUIRE(ledger.start(makeTicket(), "digest", Start) == delivery::StartResult::Closed);
    }
}

TEST_CASE("the owner runs a ticket once", "[delivery]")
{
    delivery::OwnerLedger ledger(Owner, {});
    REQUIRE(ledger.start(makeTicket(), "digest", Start) == delivery::StartResult::RecordIntent);
    REQUIRE(ledger.start(makeTicket(), "digest", Start) == delivery::StartResult::InFlight);
    REQUIRE(ledger.start(makeTicket(), "other", Start) == delivery::StartResult::Conflict);
    REQUIRE(ledger.handleWitnessResponse(makeTicket(), delivery::LedgerStatus::Recorded));
    REQUIRE(ledger.start(makeTicket(), "digest", Start) == delivery::StartResult::InFlight);
    ledger.recordOutcome(makeTicket(), answered());
    REQUIRE(ledger.start(makeTicket(), "digest", Start) == delivery::StartResult::Completed);
    REQUIRE(ledger.lookup(makeTicket()).outcome == answered());
    REQUIRE_FALSE(ledger.close(makeTicket()));

    delivery::Ticket otherLife = makeTicket();
    otherLife.owner.incarnation = core::Incarnation(8);
    REQUIRE(ledger.start(otherLife, "digest", Start) == delivery::StartResult::NotOwner);
    REQUIRE(ledger.lookup(otherLife).status == delivery::LedgerStatus::NoRecord);
}

TEST_CASE("expiry bounds what the owner starts and remembers", "[delivery]")
{
    delivery::OwnerLedger ledger(Owner, {});
    REQUIRE(ledger.start(makeTicket(1), "d", Expiry) == delivery::StartResult::Expired);
    REQUIRE(ledger.start(makeTicket(2), "d", Expiry + 601s) == delivery::StartResult::RecordPurged);
    REQUIRE(ledger.start(makeTicket(3), "d", Start) == delivery::StartResult::RecordIntent);
    REQUIRE(ledger.handleWitnessResponse(makeTicket(3), delivery::LedgerStatus::Recorded));
    ledger.purgeExpired(Expiry + 601s); // what runs is not forgotten
    REQUIRE(ledger.size() == 1);
    ledger.recordOutcome(makeTicket(3), answered());
    ledger.purgeExpired(Expiry + 601s);
    REQUIRE(ledger.size() == 0);
    REQUIRE(ledger.storedResponseBytes() == 0);
}

TEST_CASE("the witness seals what it has no intent for, for good", "[delivery]")
{
    delivery::WitnessLedger ledger(Witness, {});
    REQUIRE(ledger.seal(makeTicket(), Start).status == delivery::LedgerStatus::Sealed);
    REQUIRE(ledger.recordIntent(makeTicket(), "d", Start) == delivery::LedgerStatus::Refused);
    REQUIRE(ledger.seal(makeTicket(), Start).status == delivery::LedgerStatus::Sealed);
    // After the record is gone the intent is refused all the same: the ticket has expired.
    ledger.purgeExpired(Expiry + 601s);
    REQUIRE(ledger.size() == 0);
    REQUIRE(ledger.recordIntent(makeTicket(), "d", Expiry + 601s) == delivery::LedgerStatus::Refused);
    REQUIRE(ledger.seal(makeTicket(), Expiry + 601s).status == delivery::LedgerStatus::NoRecord);
}

TEST_CASE("the witness says what it was told", "[delivery]")
{
    delivery::WitnessLedger ledger(Witness, {});
    REQUIRE(ledger.recordIntent(makeTicket(), "d", Start) == delivery::LedgerStatus::Recorded);
    REQUIRE(ledger.recordIntent(makeTicket(), "d", Start) == delivery::LedgerStatus::Recorded); // idempotent
    REQUIRE(ledger.recordIntent(makeTicket(), "e", Start) == delivery::LedgerStatus::Refused);
    REQUIRE(ledger.seal(makeTicket(), Start).status == delivery::LedgerStatus::InFlight);
    REQUIRE(ledger.recordOutcome(makeTicket(), answered(), Start) == delivery::LedgerStatus::Recorded);
    const delivery::LedgerResult answer = ledger.seal(makeTicket(), Start);
    REQUIRE(answer.status == delivery::LedgerStatus::Completed);
    REQUIRE(answer.outcome == answered());
    REQUIRE(ledger.recordIntent(makeTicket(), "d", Start) == delivery::LedgerStatus::Refused); // done is not to be run again

    delivery::WitnessLedger otherLife(core::InstanceRef{Witness.id, core::Incarnation(10)}, {});
    REQUIRE(otherLife.recordIntent(makeTicket(), "d", Start) == delivery::LedgerStatus::Refused);
    REQUIRE(otherLife.seal(makeTicket(), Start).status == delivery::LedgerStatus::NoRecord);
}

TEST_CASE("ledgers keep within their bounds", "[delivery]")
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
        owner.recordOutcome(makeTicket(i), answered(std::string(i == 4 ? 11 : 10, 'x')));
        witness.recordOutcome(makeTicket(i), answered(std::string(i == 4 ? 11 : 10, 'x')), Start);
        REQUIRE(owner.storedResponseBytes() <= limits.maxTotalResponseBytes);
        REQUIRE(witness.storedResponseBytes() <= limits.maxTotalResponseBytes);
    }
    REQUIRE(owner.start(makeTicket(5), "d", Start) == delivery::StartResult::LedgerFull);
    REQUIRE(witness.recordIntent(makeTicket(5), "d", Start) == delivery::LedgerStatus::Refused);
    REQUIRE(witness.seal(makeTicket(5), Start).status == delivery::LedgerStatus::NoRecord);
    // An answer that was dropped is told as such, never as another's.
    REQUIRE_FALSE(owner.lookup(makeTicket(1)).outcome->responseRetained);
    REQUIRE_FALSE(owner.lookup(makeTicket(4)).outcome->responseRetained);
    REQUIRE(owner.lookup(makeTicket(3)).outcome->responseRetained);
}

TEST_CASE("a closed owner's records are complete at its successor", "[delivery]")
{
    delivery::OwnerLedger owner(Owner, {});
    REQUIRE(owner.start(makeTicket(1), "d", Start) == delivery::StartResult::RecordIntent);
    REQUIRE(owner.handleWitnessResponse(makeTicket(1), delivery::LedgerStatus::Recorded));
    owner.recordOutcome(makeTicket(1), answered());
    owner.closeAll();
    REQUIRE(owner.start(makeTicket(2), "d", Start) == delivery::StartResult::Closed);

    delivery::Handover handover;
    for (const auto &[ticket, answer] : owner.records()) {
        handover.records.push_back({delivery::ticketRecordKey(ticket), ticket.expiry, answer});
    }
    delivery::SuccessorLedger without({});
    without.merge(handover);
    REQUIRE(without.lookup(makeTicket(1), Start).status == delivery::LedgerStatus::Completed);
    REQUIRE(without.lookup(makeTicket(3), Start).status == delivery::LedgerStatus::NoRecord); // not known to be complete
    handover.closedOwners.push_back({Owner, Expiry});
    delivery::SuccessorLedger with({});
    with.merge(handover);
    with.merge(handover); // twice is harmless
    REQUIRE(with.lookup(makeTicket(1), Start).outcome == answered());
    REQUIRE(with.lookup(makeTicket(3), Start).status == delivery::LedgerStatus::Sealed);
    REQUIRE(with.exportAll().records.size() == 1);
    with.purgeExpired(Expiry + 601s);
    REQUIRE(with.size() == 0);
}

//-----------------------------------------------------------------------------
// Schedules
//-----------------------------------------------------------------------------

namespace {

/// Owner, witness and a network between them that a schedule drives; the naive record is what truly ran.
struct LedgerWorld
{
    delivery::OwnerLedger owner{Owner, {}};
    delivery::WitnessLedger witness{Witness, {}};
    bool ownerAlive = true;
    bool witnessAlive = true;
    core::WallTime now = Start;
    std::vector<std::function<void()>> wire; // messages under way, delivered in any order, dropped or doubled
    int runs = 0;
    bool toldNotRun = false;
    bool toldAnswered = false;

    void sendIntent()
    {
        wire.emplace_back([this] {
            if (!witnessAlive) {
                return;
            }
            const auto verdict = witness.recordIntent(makeTicket(), "d", now);
            wire.emplace_back([this, verdict] { intentAnswered(verdict); });
        });
    }
    void intentAnswered(std::optional<delivery::LedgerStatus> verdict)
    {
        if (!ownerAlive) {
            return;
        }
        const bool asking = owner.lookup(makeTicket()).status == delivery::LedgerStatus::InFlight && runs == 0;
        if (owner.handleWitnessResponse(makeTicket(), verdict)) {
            ++runs;
        } else if (asking) {
            toldNotRun = true;
        }
    }
    void callerAtOwner()
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
            toldNotRun = true;
            break;
        case delivery::StartResult::Completed:
            toldAnswered = true;
            break;
        default:
            break;
        }
    }
    void callerElsewhere()
    {
        if (!witnessAlive) {
            return;
        }
        const auto verdict = witness.seal(makeTicket(), now).status;
        toldNotRun = toldNotRun || verdict == delivery::LedgerStatus::Sealed;
        toldAnswered = toldAnswered || verdict == delivery::LedgerStatus::Completed;
    }
    void finish()
    {
        if (ownerAlive && runs > 0) {
            owner.recordOutcome(makeTicket(), answered());
            wire.emplace_back([this] {
                if (witnessAlive) {
                    witness.recordOutcome(makeTicket(), answered(), now);
                }
            });
        }
    }
    void deliver(std::size_t pick, bool twice)
    {
        if (wire.empty()) {
            return;
        }
        const std::size_t index = pick % wire.size();
        const auto message = wire[index];
        if (!twice) {
            wire.erase(wire.begin() + static_cast<std::ptrdiff_t>(index));
        }
        message();
    }
    void apply(int operation, std::size_t value)
    {
        switch (operation) {
        case 0:
            callerAtOwner();
            break;
        case 1:
            callerElsewhere();
            break;
        case 2:
        case 3:
        case 4:
            deliver(value, value % 3 == 0);
            break;
        case 5:
            finish();
            break;
        case 6: // the wait for the witness is over, or the owner closes
            intentAnswered(std::nullopt);
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
            if (!wire.empty()) { // lost
                wire.erase(wire.begin() + static_cast<std::ptrdiff_t>(value % wire.size()));
            }
        }
    }
};

} // namespace

TEST_CASE("no schedule of messages and crashes runs a ticket twice or belies a word", "[delivery][property]")
{
    const bool held = tests::checkSchedules("owner and witness", 10'000, [] {
        const auto schedule =
            *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange<std::size_t>(0, 1000)));
        LedgerWorld world;
        for (const auto &[operation, value] : schedule) {
            world.apply(operation, value);
        }
        while (!world.wire.empty()) {
            world.deliver(0, false);
        }
        world.callerElsewhere();
        RC_ASSERT(world.runs <= 1);
        RC_ASSERT(!(world.toldNotRun && world.runs > 0));
        RC_ASSERT(!(world.toldAnswered && world.runs == 0));
    });
    REQUIRE(held);
}
