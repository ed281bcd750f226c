// Tickets and ledgers: texts, tables of verdicts, and schedules against a naive ledger.

#include "arbutus/core/clock.h"
#include "arbutus/delivery/inherited.h"
#include "arbutus/delivery/ledger.h"
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
    return delivery::TicketCodec({delivery::TicketKey{"k2", "newest secret of sixteen"}, delivery::TicketKey{"k1", "older secret of sixteen"}});
}

delivery::Ticket makeTicket(std::uint64_t serial = 1)
{
    return delivery::Ticket{Owner, Witness, Workspace, core::Serial(serial), Expiry};
}

delivery::RecordedOutcome answered(std::string text = "ok")
{
    return delivery::RecordedOutcome{delivery::Ending::Answered, 200, "application/json", std::move(text), true};
}

} // namespace

TEST_CASE("a ticket's text is read back, and nothing else is", "[delivery]")
{
    const delivery::TicketCodec codec = makeCodec();
    const std::string text = codec.write(makeTicket());
    REQUIRE(codec.read(text).value() == makeTicket());

    SECTION("a ticket of an older key is still read")
    {
        const delivery::TicketCodec older({delivery::TicketKey{"k1", "older secret of sixteen"}});
        REQUIRE(codec.read(older.write(makeTicket())).value() == makeTicket());
    }
    SECTION("a ticket of a key that is gone says unknown, for it may have run")
    {
        const delivery::TicketCodec other({delivery::TicketKey{"k9", "another secret of sixteen"}});
        REQUIRE(codec.read(other.write(makeTicket())).error().outcome == core::Outcome::Unknown);
    }
    SECTION("every changed byte is noticed")
    {
        for (std::size_t i = 0; i < text.size(); ++i) {
            std::string changed = text;
            changed[i] = changed[i] == 'x' ? 'y' : 'x';
            INFO(changed);
            REQUIRE_FALSE(codec.read(changed));
        }
    }
    SECTION("other texts are refused")
    {
        const std::string other = GENERATE("", "t1", "~~~~~~~~~", "t1~k2~o~1~w~1~s~1~1~", std::string(5000, '~').c_str());
        REQUIRE_FALSE(codec.read(other));
    }
}

TEST_CASE("the owner dispatches only what its witness recorded", "[delivery]")
{
    struct Row
    {
        std::optional<delivery::Verdict> verdict;
        bool dispatched;
    };
    const Row row = GENERATE(Row{delivery::Verdict::Recorded, true},
                             Row{delivery::Verdict::Refused, false},
                             Row{delivery::Verdict::Sealed, false},
                             Row{delivery::Verdict::NoRecord, false},
                             Row{std::nullopt, false});
    delivery::OwnerLedger ledger(Owner, {});
    REQUIRE(ledger.start(makeTicket(), "digest", Start) == delivery::Start::AskWitness);
    REQUIRE(ledger.witnessAnswered(makeTicket(), row.verdict) == row.dispatched);
    // A second answer, late or doubled, never dispatches again.
    REQUIRE_FALSE(ledger.witnessAnswered(makeTicket(), delivery::Verdict::Recorded));
    if (!row.dispatched) {
        REQUIRE(ledger.start(makeTicket(), "digest", Start) == delivery::Start::Closed);
    }
}

TEST_CASE("the owner runs a ticket once", "[delivery]")
{
    delivery::OwnerLedger ledger(Owner, {});
    REQUIRE(ledger.start(makeTicket(), "digest", Start) == delivery::Start::AskWitness);
    REQUIRE(ledger.start(makeTicket(), "digest", Start) == delivery::Start::InFlight);
    REQUIRE(ledger.start(makeTicket(), "other", Start) == delivery::Start::Conflict);
    REQUIRE(ledger.witnessAnswered(makeTicket(), delivery::Verdict::Recorded));
    REQUIRE(ledger.start(makeTicket(), "digest", Start) == delivery::Start::InFlight);
    ledger.finish(makeTicket(), answered());
    REQUIRE(ledger.start(makeTicket(), "digest", Start) == delivery::Start::Done);
    REQUIRE(ledger.lookup(makeTicket()).outcome == answered());
    REQUIRE_FALSE(ledger.close(makeTicket()));

    delivery::Ticket otherLife = makeTicket();
    otherLife.owner.incarnation = core::Incarnation(8);
    REQUIRE(ledger.start(otherLife, "digest", Start) == delivery::Start::NotOwner);
    REQUIRE(ledger.lookup(otherLife).verdict == delivery::Verdict::NoRecord);
}

TEST_CASE("expiry bounds what the owner starts and remembers", "[delivery]")
{
    delivery::OwnerLedger ledger(Owner, {});
    REQUIRE(ledger.start(makeTicket(1), "d", Expiry) == delivery::Start::Expired);
    REQUIRE(ledger.start(makeTicket(2), "d", Expiry + 601s) == delivery::Start::Forgotten);
    REQUIRE(ledger.start(makeTicket(3), "d", Start) == delivery::Start::AskWitness);
    REQUIRE(ledger.witnessAnswered(makeTicket(3), delivery::Verdict::Recorded));
    ledger.forget(Expiry + 601s); // what runs is not forgotten
    REQUIRE(ledger.size() == 1);
    ledger.finish(makeTicket(3), answered());
    ledger.forget(Expiry + 601s);
    REQUIRE(ledger.size() == 0);
    REQUIRE(ledger.answerBytes() == 0);
}

TEST_CASE("the witness seals what it has no intent for, for good", "[delivery]")
{
    delivery::WitnessLedger ledger(Witness, {});
    REQUIRE(ledger.seal(makeTicket(), Start).verdict == delivery::Verdict::Sealed);
    REQUIRE(ledger.intent(makeTicket(), "d", Start) == delivery::Verdict::Refused);
    REQUIRE(ledger.seal(makeTicket(), Start).verdict == delivery::Verdict::Sealed);
    // After the record is gone the intent is refused all the same: the ticket has expired.
    ledger.forget(Expiry + 601s);
    REQUIRE(ledger.size() == 0);
    REQUIRE(ledger.intent(makeTicket(), "d", Expiry + 601s) == delivery::Verdict::Refused);
    REQUIRE(ledger.seal(makeTicket(), Expiry + 601s).verdict == delivery::Verdict::NoRecord);
}

TEST_CASE("the witness says what it was told", "[delivery]")
{
    delivery::WitnessLedger ledger(Witness, {});
    REQUIRE(ledger.intent(makeTicket(), "d", Start) == delivery::Verdict::Recorded);
    REQUIRE(ledger.intent(makeTicket(), "d", Start) == delivery::Verdict::Recorded); // idempotent
    REQUIRE(ledger.intent(makeTicket(), "e", Start) == delivery::Verdict::Refused);
    REQUIRE(ledger.seal(makeTicket(), Start).verdict == delivery::Verdict::InFlight);
    REQUIRE(ledger.outcome(makeTicket(), answered(), Start) == delivery::Verdict::Recorded);
    const delivery::LedgerAnswer answer = ledger.seal(makeTicket(), Start);
    REQUIRE(answer.verdict == delivery::Verdict::Done);
    REQUIRE(answer.outcome == answered());
    REQUIRE(ledger.intent(makeTicket(), "d", Start) == delivery::Verdict::Refused); // done is not to be run again

    delivery::WitnessLedger otherLife(core::InstanceRef{Witness.id, core::Incarnation(10)}, {});
    REQUIRE(otherLife.intent(makeTicket(), "d", Start) == delivery::Verdict::Refused);
    REQUIRE(otherLife.seal(makeTicket(), Start).verdict == delivery::Verdict::NoRecord);
}

TEST_CASE("ledgers keep within their bounds", "[delivery]")
{
    delivery::LedgerLimits limits;
    limits.answerBytes = 10;
    limits.totalBytes = 25;
    limits.records = 4;
    delivery::OwnerLedger owner(Owner, limits);
    delivery::WitnessLedger witness(Witness, limits);
    for (std::uint64_t i = 1; i <= 4; ++i) {
        REQUIRE(owner.start(makeTicket(i), "d", Start) == delivery::Start::AskWitness);
        REQUIRE(witness.intent(makeTicket(i), "d", Start) == delivery::Verdict::Recorded);
        REQUIRE(owner.witnessAnswered(makeTicket(i), delivery::Verdict::Recorded));
        owner.finish(makeTicket(i), answered(std::string(i == 4 ? 11 : 10, 'x')));
        witness.outcome(makeTicket(i), answered(std::string(i == 4 ? 11 : 10, 'x')), Start);
        REQUIRE(owner.answerBytes() <= limits.totalBytes);
        REQUIRE(witness.answerBytes() <= limits.totalBytes);
    }
    REQUIRE(owner.start(makeTicket(5), "d", Start) == delivery::Start::Full);
    REQUIRE(witness.intent(makeTicket(5), "d", Start) == delivery::Verdict::Refused);
    REQUIRE(witness.seal(makeTicket(5), Start).verdict == delivery::Verdict::NoRecord);
    // An answer that was dropped is told as such, never as another's.
    REQUIRE_FALSE(owner.lookup(makeTicket(1)).outcome->answerKept);
    REQUIRE_FALSE(owner.lookup(makeTicket(4)).outcome->answerKept);
    REQUIRE(owner.lookup(makeTicket(3)).outcome->answerKept);
}

TEST_CASE("a closed owner's records are complete at its successor", "[delivery]")
{
    delivery::OwnerLedger owner(Owner, {});
    REQUIRE(owner.start(makeTicket(1), "d", Start) == delivery::Start::AskWitness);
    REQUIRE(owner.witnessAnswered(makeTicket(1), delivery::Verdict::Recorded));
    owner.finish(makeTicket(1), answered());
    owner.closeAll();
    REQUIRE(owner.start(makeTicket(2), "d", Start) == delivery::Start::Closed);

    delivery::Handover handover;
    for (const auto &[ticket, answer] : owner.records()) {
        handover.records.push_back({delivery::ledgerKey(ticket), ticket.expiry, answer});
    }
    delivery::InheritedLedger without({});
    without.take(handover);
    REQUIRE(without.lookup(makeTicket(1), Start).verdict == delivery::Verdict::Done);
    REQUIRE(without.lookup(makeTicket(3), Start).verdict == delivery::Verdict::NoRecord); // not known to be complete
    handover.closedOwners.push_back({Owner, Expiry});
    delivery::InheritedLedger with({});
    with.take(handover);
    with.take(handover); // twice is harmless
    REQUIRE(with.lookup(makeTicket(1), Start).outcome == answered());
    REQUIRE(with.lookup(makeTicket(3), Start).verdict == delivery::Verdict::Sealed);
    REQUIRE(with.all().records.size() == 1);
    with.forget(Expiry + 601s);
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
            const auto verdict = witness.intent(makeTicket(), "d", now);
            wire.emplace_back([this, verdict] { intentAnswered(verdict); });
        });
    }
    void intentAnswered(std::optional<delivery::Verdict> verdict)
    {
        if (!ownerAlive) {
            return;
        }
        const bool asking = owner.lookup(makeTicket()).verdict == delivery::Verdict::InFlight && runs == 0;
        if (owner.witnessAnswered(makeTicket(), verdict)) {
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
        case delivery::Start::AskWitness:
            sendIntent();
            break;
        case delivery::Start::Closed:
        case delivery::Start::Expired:
            toldNotRun = true;
            break;
        case delivery::Start::Done:
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
        const auto verdict = witness.seal(makeTicket(), now).verdict;
        toldNotRun = toldNotRun || verdict == delivery::Verdict::Sealed;
        toldAnswered = toldAnswered || verdict == delivery::Verdict::Done;
    }
    void finish()
    {
        if (ownerAlive && runs > 0) {
            owner.finish(makeTicket(), answered());
            wire.emplace_back([this] {
                if (witnessAlive) {
                    witness.outcome(makeTicket(), answered(), now);
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
            owner.forget(now);
            witness.forget(now);
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
