// Attribution of upstream crashes to prompt parts: rules, merging, and simulated histories.

#include "arbutus/routing/promptquarantine.h"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <iostream>

using namespace arbutus;
using namespace std::chrono_literals;
using core::TimePoint;
using routing::PartRecord;
using routing::PromptPart;
using routing::PromptPartId;
using routing::PromptQuarantine;

namespace {

constexpr std::uint64_t First = 1; // part that all requests contain
constexpr std::uint64_t Harmful = 666;

/// A prompt of these parts and one that belongs to the request alone.
std::vector<PromptPart> prompt(const std::vector<std::uint64_t> &shared, std::uint64_t own = 9'999)
{
    std::vector<PromptPart> out;
    std::uint64_t prefix = 7;
    for (const std::uint64_t id : shared) {
        prefix = prefix * 31 + id;
        out.push_back(PromptPart{prefix, 100, PromptPartId(id)});
    }
    out.push_back(PromptPart{prefix * 31 + own, 50, PromptPartId(own)});
    return out;
}

core::UpstreamId upstream(std::size_t number)
{
    return core::UpstreamId("u" + std::to_string(number));
}

/// One thing that happens to requests with the parts {First, part}.
struct Step
{
    enum class Kind { Crash, FirstEvent, Wait } kind = Kind::Wait;
    std::size_t upstream = 0; // of a crash
    std::vector<std::uint64_t> parts;
    core::Duration duration{}; // of a wait
};

Step crash(std::size_t number, std::vector<std::uint64_t> parts = {First, Harmful})
{
    return Step{Step::Kind::Crash, number, std::move(parts), {}};
}
Step firstEvent(std::vector<std::uint64_t> parts)
{
    return Step{Step::Kind::FirstEvent, 0, std::move(parts), {}};
}
Step wait(core::Duration duration)
{
    return Step{Step::Kind::Wait, 0, {}, duration};
}

const TimePoint Start{100s};

} // namespace

TEST_CASE("a part is quarantined by crashes of several upstreams with no first event in between", "[quarantine]")
{
    struct Row
    {
        std::string name;
        std::vector<Step> steps;
        bool harmfulQuarantined;
        bool firstQuarantined;
    };
    const auto row = GENERATE(values<Row>({
        {"three upstreams", {firstEvent({First, 5}), crash(1), wait(100ms), crash(2), wait(100ms), crash(3)}, true, false},
        {"two upstreams", {firstEvent({First, 5}), crash(1), wait(100ms), crash(2)}, false, false},
        {"one upstream three times", {firstEvent({First, 5}), crash(1), wait(100ms), crash(1), wait(100ms), crash(1)}, false, false},
        {"lost together", {firstEvent({First, 5}), crash(1), crash(2), crash(3), crash(4)}, false, false},
        {"answered in between", {firstEvent({First, 5}), crash(1), wait(100ms), crash(2), firstEvent({First, Harmful}), wait(3s), crash(3)}, false, false},
        {"answered once quarantined", {crash(1), wait(100ms), crash(2), wait(100ms), crash(3), firstEvent({First, Harmful})}, false, false},
        {"sound until a moment ago",
         {firstEvent({First, Harmful}), crash(1), wait(100ms), firstEvent({First, 5}), crash(2), wait(100ms), firstEvent({First, 5}), crash(3), wait(2'100ms)},
         true,
         false},
        {"the only shared part", {crash(1, {Harmful}), wait(100ms), crash(2, {Harmful}), wait(100ms), crash(3, {Harmful})}, true, false},
        {"the part of every request, among crashes for other reasons",
         {firstEvent({First, 5}), crash(1, {First, 5}), wait(100ms), crash(2, {First, 6}), wait(100ms), crash(3, {First, 5}), firstEvent({First, 6}), wait(3s)},
         false,
         false},
        {"the last part belongs to the request", {crash(1, {}), wait(100ms), crash(2, {}), wait(100ms), crash(3, {})}, false, false},
        {"evidence expires", {crash(1), wait(100ms), crash(2), wait(6min), crash(3)}, false, false},
        {"the quarantine outlasts a long break", {crash(1), wait(100ms), crash(2), wait(100ms), crash(3), wait(30min)}, true, true},
        {"the quarantine expires", {crash(1), wait(100ms), crash(2), wait(100ms), crash(3), wait(2h)}, false, false},
    }));
    CAPTURE(row.name);
    PromptQuarantine quarantine;
    TimePoint now = Start;
    for (const Step &step : row.steps) {
        switch (step.kind) {
        case Step::Kind::Crash:
            quarantine.recordCrash(prompt(step.parts), upstream(step.upstream), now);
            break;
        case Step::Kind::FirstEvent:
            quarantine.recordFirstEvent(prompt(step.parts), now);
            break;
        case Step::Kind::Wait:
            now += step.duration;
            quarantine.tick(now);
            break;
        }
        now += 1ms;
    }
    const auto isQuarantined = [&](std::uint64_t part) { return quarantine.findQuarantined(prompt({part}), now).has_value(); };
    CHECK(isQuarantined(Harmful) == row.harmfulQuarantined);
    CHECK(isQuarantined(First) == row.firstQuarantined);
    CHECK_FALSE(quarantine.findQuarantined(prompt({}, Harmful), now)); // as the request's own part it is never judged
}

TEST_CASE("the part is found behind any other parts", "[quarantine]")
{
    PromptQuarantine quarantine;
    for (std::size_t i = 0; i < 3; ++i) {
        quarantine.recordCrash(prompt({10 + i, Harmful}), upstream(i), Start + i * 200ms);
    }
    CHECK(quarantine.findQuarantined(prompt({77, Harmful}), Start + 1s) == PromptPartId(Harmful));
    CHECK(quarantine.findQuarantined(prompt({77, 78, Harmful, 79}), Start + 1s) == PromptPartId(Harmful));
    CHECK_FALSE(quarantine.findQuarantined(prompt({10}), Start + 1s));
}

TEST_CASE("instances that merge each other's records agree, whatever is lost, repeated or reordered", "[quarantine]")
{
    const auto seed = GENERATE(range(1, 200));
    CAPTURE(seed);
    pcg32 random(static_cast<std::uint64_t>(seed));
    std::vector<PromptQuarantine> instances(4);
    TimePoint now = Start;
    std::vector<PartRecord> inTransit;
    for (int i = 0; i < 60; ++i) {
        PromptQuarantine &instance = instances[random(4)];
        const std::uint64_t part = 20 + random(3);
        switch (random(4)) {
        case 0:
            instance.recordCrash(prompt({part}), upstream(random(8)), now);
            break;
        case 1:
            if (part != 20) {
                instance.recordFirstEvent(prompt({part}), now);
            }
            break;
        case 2:
            for (const auto &[id, record] : instance.records()) {
                inTransit.push_back(record);
            }
            break;
        default:
            if (!inTransit.empty()) {
                instance.merge(inTransit[random(static_cast<std::uint32_t>(inTransit.size()))], now);
            }
        }
        now += 50ms;
    }
    for (int round = 0; round < 8; ++round) { // no more events: all exchange their records
        for (const PromptQuarantine &from : std::vector<PromptQuarantine>(instances)) {
            for (PromptQuarantine &to : instances) {
                for (const auto &[part, record] : from.records()) {
                    to.merge(record, now);
                }
            }
        }
    }
    for (std::uint64_t part = 20; part < 23; ++part) {
        const bool expected = instances[0].findQuarantined(prompt({part}), now).has_value();
        for (PromptQuarantine &instance : instances) {
            CHECK(instance.findQuarantined(prompt({part}), now).has_value() == expected);
        }
    }
}

TEST_CASE("an operator's lift prevails over records of other instances", "[quarantine]")
{
    PromptQuarantine first;
    PromptQuarantine second;
    for (std::size_t i = 0; i < 3; ++i) {
        first.recordCrash(prompt({Harmful}), upstream(i), Start + i * 200ms);
    }
    const PartRecord old = first.records().at(PromptPartId(Harmful));
    second.merge(old, Start + 1s);
    REQUIRE(second.findQuarantined(prompt({Harmful}), Start + 1s));
    CHECK(first.lift(PromptPartId(Harmful), Start + 1s));
    CHECK_FALSE(first.lift(PromptPartId(Harmful), Start + 1s));
    second.merge(first.records().at(PromptPartId(Harmful)), Start + 1s);
    first.merge(old, Start + 1s);
    CHECK_FALSE(first.findQuarantined(prompt({Harmful}), Start + 1s));
    CHECK_FALSE(second.findQuarantined(prompt({Harmful}), Start + 1s));
}

TEST_CASE("the number of records is bounded, and suspects are dropped before quarantined parts", "[quarantine]")
{
    routing::PromptQuarantineSettings settings;
    settings.maxRecords = 16;
    PromptQuarantine quarantine(settings);
    for (std::size_t i = 0; i < 3; ++i) {
        quarantine.recordCrash(prompt({Harmful}), upstream(i), Start + i * 200ms);
    }
    for (std::uint64_t part = 1'000; part < 2'000; ++part) {
        quarantine.recordCrash(prompt({part}), upstream(part), Start + 1s);
    }
    CHECK(quarantine.records().size() == settings.maxRecords);
    CHECK(quarantine.findQuarantined(prompt({Harmful}), Start + 2s));
}

//-----------------------------------------------------------------------------
// Simulated histories
//-----------------------------------------------------------------------------

namespace {

struct Verdicts
{
    std::size_t histories = 0;
    std::size_t found = 0;         // harmful part judged harmful
    std::size_t condemned = 0;     // sound parts judged harmful at the end
    std::size_t everCondemned = 0; // sound parts judged harmful at any time
    std::size_t crashesUntilFound = 0;
};

enum class Rule {
    Quarantine,       // the class under test
    WithoutClearing,  // counts crashes, ignores first events
    AllAtTheUpstream, // blames every request at the crashed upstream, with clearing
};

/// Plays 10 s of 12 upstreams with 30 requests each. A request begins 60 ms after it was sent and delivers events for 6 s. Requests
/// consist of the first part and one of `subjects` parts. From 1 s on harmful ones come 5 times a second; an upstream that crashes
/// is back after 3 s. One upstream crashes for another reason each 2 s.
void playHistory(std::uint64_t seed, Rule rule, std::uint64_t subjects, Verdicts &verdicts)
{
    struct Running
    {
        std::vector<std::uint64_t> parts;
        TimePoint beginsAt{};
        TimePoint endsAt{};
        bool hasEvents = false;
    };
    constexpr std::size_t UpstreamCount = 12;
    constexpr core::Duration Step = 5ms;
    pcg32 random(seed);
    PromptQuarantine quarantine;
    std::vector<std::vector<Running>> running(UpstreamCount);
    std::vector<TimePoint> downUntil(UpstreamCount);
    std::vector<std::size_t> run(UpstreamCount, 0);
    std::map<std::uint64_t, std::set<std::string>> crashes; // of the rule without clearing
    std::set<std::uint64_t> everCondemned;
    std::size_t harmfulCrashes = 0;
    std::optional<std::size_t> foundAfter;
    const auto isCondemned = [&](std::uint64_t part, TimePoint now) {
        return rule == Rule::WithoutClearing ? crashes[part].size() >= 3 : quarantine.findQuarantined(prompt({part}), now).has_value();
    };
    const auto crashUpstream = [&](std::size_t index, TimePoint now) {
        const core::UpstreamId id("u" + std::to_string(index) + "-" + std::to_string(run[index]++));
        for (const Running &request : running[index]) {
            if (request.hasEvents && rule != Rule::AllAtTheUpstream) {
                continue;
            }
            for (const std::uint64_t part : request.parts) {
                crashes[part].insert(id.text);
            }
            quarantine.recordCrash(prompt(request.parts), id, now);
        }
        running[index].clear();
        downUntil[index] = now + 3s;
    };
    const auto send = [&](std::uint64_t part, TimePoint now) {
        if (isCondemned(part, now) || isCondemned(First, now)) {
            return;
        }
        for (int tries = 0; tries < 20; ++tries) {
            const std::size_t index = random(UpstreamCount);
            if (downUntil[index] <= now) {
                running[index].push_back(Running{{First, part}, now + 60ms, now + 60ms + 6s, false});
                return;
            }
        }
    };
    for (TimePoint now = Start; now < Start + 10s; now += Step) {
        if (random(1'000) < 300) { // 60 a second keep 30 requests at each of 12 upstreams
            send(100 + random(static_cast<std::uint32_t>(subjects)), now);
        }
        if (now >= Start + 1s && random(1'000) < 25) {
            send(Harmful, now);
        }
        if (random(1'000) < 2) {
            crashUpstream(random(UpstreamCount), now);
        }
        for (std::size_t index = 0; index < UpstreamCount; ++index) {
            bool crashed = false;
            for (Running &request : running[index]) {
                if (!request.hasEvents && now >= request.beginsAt) {
                    if (request.parts.back() == Harmful) {
                        crashed = true;
                        break;
                    }
                    request.hasEvents = true;
                    quarantine.recordFirstEvent(prompt(request.parts), now);
                }
            }
            if (crashed) {
                ++harmfulCrashes;
                crashUpstream(index, now);
            }
            std::erase_if(running[index], [&](const Running &request) { return now >= request.endsAt; });
        }
        quarantine.tick(now);
        if (!foundAfter && isCondemned(Harmful, now)) {
            foundAfter = harmfulCrashes;
        }
        for (std::uint64_t part = 100; part < 100 + subjects; ++part) {
            if (isCondemned(part, now)) {
                everCondemned.insert(part);
            }
        }
        if (isCondemned(First, now)) {
            everCondemned.insert(First);
        }
    }
    ++verdicts.histories;
    verdicts.found += foundAfter && isCondemned(Harmful, Start + 10s) ? 1 : 0;
    verdicts.crashesUntilFound += foundAfter.value_or(0);
    verdicts.everCondemned += everCondemned.size();
    verdicts.condemned +=
        static_cast<std::size_t>(std::count_if(everCondemned.begin(), everCondemned.end(), [&](std::uint64_t part) { return isCondemned(part, Start + 10s); }));
}

Verdicts playHistories(Rule rule, std::uint64_t subjects, std::uint64_t count)
{
    Verdicts verdicts;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        playHistory(seed, rule, subjects, verdicts);
    }
    std::cout << "rule " << static_cast<int>(rule) << ", " << subjects << " sound parts: found in " << verdicts.found << " of " << verdicts.histories
              << " histories after " << static_cast<double>(verdicts.crashesUntilFound) / static_cast<double>(verdicts.histories)
              << " crashes, sound parts condemned " << verdicts.condemned << ", at any time " << verdicts.everCondemned << std::endl;
    return verdicts;
}

} // namespace

TEST_CASE("simulated histories: the harmful part is found, and sound ones are not condemned", "[quarantine]")
{
    const std::uint64_t count = std::getenv("ARBUTUS_LONG") != nullptr ? 1'000 : 60; // NOLINT(concurrency-mt-unsafe)
    const auto subjects = GENERATE(as<std::uint64_t>{}, 5, 20, 200);
    CAPTURE(subjects);
    const Verdicts verdicts = playHistories(Rule::Quarantine, subjects, count);
    CHECK(verdicts.found == verdicts.histories);
    CHECK(verdicts.condemned * 100 <= verdicts.histories);      // one sound part in a hundred histories
    CHECK(verdicts.crashesUntilFound < 5 * verdicts.histories); // the users' rule counts from the fifth crash
    const Verdicts withoutClearing = playHistories(Rule::WithoutClearing, subjects, count);
    CHECK(withoutClearing.condemned >= withoutClearing.histories); // at least the part that all requests contain
    const Verdicts allBlamed = playHistories(Rule::AllAtTheUpstream, subjects, count);
    CHECK(allBlamed.everCondemned >= verdicts.everCondemned);
}
