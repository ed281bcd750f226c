// Attribution of upstream crashes to prompt parts and requests: rules, merging, and simulated histories.

#include "arbutus/routing/requestquarantine.h"
#include "arbutus/edge/codec.h"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <iostream>

using namespace arbutus;
using namespace std::chrono_literals;
using core::TimePoint;
using routing::CauseRecord;
using routing::CrashCause;
using routing::PromptPart;
using routing::PromptPartId;
using routing::RequestFingerprint;
using routing::RequestQuarantine;

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
    RequestQuarantine quarantine;
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
    const auto isQuarantined = [&](std::uint64_t part) { return quarantine.findQuarantined(prompt({part}), {}, now).has_value(); };
    CHECK(isQuarantined(Harmful) == row.harmfulQuarantined);
    CHECK(isQuarantined(First) == row.firstQuarantined);
    CHECK_FALSE(quarantine.findQuarantined(prompt({}, Harmful), {}, now)); // as the request's own part it is never judged
}

TEST_CASE("the part is found behind any other parts", "[quarantine]")
{
    RequestQuarantine quarantine;
    for (std::size_t i = 0; i < 3; ++i) {
        quarantine.recordCrash(prompt({10 + i, Harmful}), upstream(i), Start + i * 200ms);
    }
    CHECK(quarantine.findQuarantined(prompt({77, Harmful}), {}, Start + 1s) == routing::CrashCause(PromptPartId(Harmful)));
    CHECK(quarantine.findQuarantined(prompt({77, 78, Harmful, 79}), {}, Start + 1s) == routing::CrashCause(PromptPartId(Harmful)));
    CHECK_FALSE(quarantine.findQuarantined(prompt({10}), {}, Start + 1s));
}

TEST_CASE("instances that merge each other's records agree, whatever is lost, repeated or reordered", "[quarantine]")
{
    const auto seed = GENERATE(range(1, 200));
    CAPTURE(seed);
    pcg32 random(static_cast<std::uint64_t>(seed));
    std::vector<RequestQuarantine> instances(4);
    TimePoint now = Start;
    std::vector<CauseRecord> inTransit;
    for (int i = 0; i < 60; ++i) {
        RequestQuarantine &instance = instances[random(4)];
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
            for (const auto &[cause, record] : instance.records()) {
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
        for (const RequestQuarantine &from : std::vector<RequestQuarantine>(instances)) {
            for (RequestQuarantine &to : instances) {
                for (const auto &[part, record] : from.records()) {
                    to.merge(record, now);
                }
            }
        }
    }
    for (std::uint64_t part = 20; part < 23; ++part) {
        const bool expected = instances[0].findQuarantined(prompt({part}), {}, now).has_value();
        for (RequestQuarantine &instance : instances) {
            CHECK(instance.findQuarantined(prompt({part}), {}, now).has_value() == expected);
        }
    }
}

TEST_CASE("an operator's lift prevails over records of other instances", "[quarantine]")
{
    RequestQuarantine first;
    RequestQuarantine second;
    for (std::size_t i = 0; i < 3; ++i) {
        first.recordCrash(prompt({Harmful}), upstream(i), Start + i * 200ms);
    }
    const CauseRecord old = first.records().at(PromptPartId(Harmful));
    second.merge(old, Start + 1s);
    REQUIRE(second.findQuarantined(prompt({Harmful}), {}, Start + 1s));
    CHECK(first.lift(PromptPartId(Harmful), Start + 1s));
    CHECK_FALSE(first.lift(PromptPartId(Harmful), Start + 1s));
    second.merge(first.records().at(PromptPartId(Harmful)), Start + 1s);
    first.merge(old, Start + 1s);
    CHECK_FALSE(first.findQuarantined(prompt({Harmful}), {}, Start + 1s));
    CHECK_FALSE(second.findQuarantined(prompt({Harmful}), {}, Start + 1s));
}

TEST_CASE("the number of records is bounded, and suspects are dropped before quarantined parts", "[quarantine]")
{
    routing::RequestQuarantineSettings settings;
    settings.maxRecords = 16;
    RequestQuarantine quarantine(settings);
    for (std::size_t i = 0; i < 3; ++i) {
        quarantine.recordCrash(prompt({Harmful}), upstream(i), Start + i * 200ms);
    }
    for (std::uint64_t part = 1'000; part < 2'000; ++part) {
        quarantine.recordCrash(prompt({part}), upstream(part), Start + 1s);
    }
    CHECK(quarantine.records().size() == settings.maxRecords);
    CHECK(quarantine.findQuarantined(prompt({Harmful}), {}, Start + 2s));
}

//-----------------------------------------------------------------------------
// Requests
//-----------------------------------------------------------------------------

namespace {

RequestFingerprint request(std::uint64_t number)
{
    return RequestFingerprint{1, number};
}

constexpr std::uint64_t Other = 7; // a request that shares crashes with the harmful one

/// One thing that happens to requests.
struct RequestStep
{
    enum class Kind { Crash, Completion, Wait } kind = Kind::Wait;
    std::size_t upstream = 0; // of a crash
    std::vector<std::uint64_t> requests;
    core::Duration duration{}; // of a wait
};

RequestStep requestCrash(std::size_t number, std::vector<std::uint64_t> requests = {Harmful})
{
    return RequestStep{RequestStep::Kind::Crash, number, std::move(requests), {}};
}
RequestStep completion(std::uint64_t number)
{
    return RequestStep{RequestStep::Kind::Completion, 0, {number}, {}};
}
RequestStep pause(core::Duration duration)
{
    return RequestStep{RequestStep::Kind::Wait, 0, {}, duration};
}

} // namespace

TEST_CASE("a request is quarantined by crashes of several upstreams with no completed run in between", "[quarantine]")
{
    struct Row
    {
        std::string name;
        std::vector<RequestStep> steps;
        bool harmfulQuarantined;
        bool otherQuarantined;
    };
    const auto row = GENERATE(values<Row>({
        {"three upstreams", {requestCrash(1), pause(100ms), requestCrash(2), pause(100ms), requestCrash(3)}, true, false},
        {"two upstreams", {requestCrash(1), pause(100ms), requestCrash(2)}, false, false},
        {"one upstream three times", {requestCrash(1), pause(100ms), requestCrash(1), pause(100ms), requestCrash(1)}, false, false},
        {"lost together", {requestCrash(1), requestCrash(2), requestCrash(3), requestCrash(4)}, false, false},
        {"completed in between", {requestCrash(1), pause(100ms), requestCrash(2), completion(Harmful), pause(3s), requestCrash(3)}, false, false},
        {"completed once quarantined", {requestCrash(1), pause(100ms), requestCrash(2), pause(100ms), requestCrash(3), completion(Harmful)}, false, false},
        {"repeated every second, three crashes in one",
         {completion(Harmful), requestCrash(1), pause(300ms), requestCrash(2), pause(300ms), requestCrash(3), completion(Harmful), pause(3s)},
         false,
         false},
        {"repeated every second, three crashes since the last time",
         {completion(Harmful), requestCrash(1), pause(300ms), requestCrash(2), pause(300ms), requestCrash(3), pause(200ms)},
         false,
         false},
        {"completed half a minute ago, and never again",
         {completion(Harmful), pause(30s), requestCrash(1), pause(300ms), requestCrash(2), pause(300ms), requestCrash(3), pause(4'100ms), pause(200ms)},
         true,
         false},
        {"another one shares two crashes, and is at an upstream that crashes later",
         {requestCrash(1, {Harmful, Other}),
          pause(100ms),
          requestCrash(2, {Harmful, Other}),
          pause(100ms),
          requestCrash(3),
          pause(200ms),
          requestCrash(4, {Other}),
          pause(200ms)},
         true,
         false},
        {"another one shares all crashes",
         {requestCrash(1, {Harmful, Other}), pause(100ms), requestCrash(2, {Harmful, Other}), pause(100ms), requestCrash(3, {Harmful, Other}), pause(200ms)},
         false,
         false},
        {"another one shares all crashes, but not the next",
         {requestCrash(1, {Harmful, Other}),
          pause(100ms),
          requestCrash(2, {Harmful, Other}),
          pause(100ms),
          requestCrash(3, {Harmful, Other}),
          pause(200ms),
          requestCrash(4),
          pause(200ms)},
         true,
         false},
        {"another one shares all crashes and completes",
         {requestCrash(1, {Harmful, Other}),
          pause(100ms),
          requestCrash(2, {Harmful, Other}),
          pause(100ms),
          requestCrash(3, {Harmful, Other}),
          completion(Other),
          pause(200ms)},
         true,
         false},
        {"two that do not share crashes",
         {requestCrash(1),
          pause(100ms),
          requestCrash(2),
          pause(100ms),
          requestCrash(3),
          requestCrash(4, {Other}),
          pause(100ms),
          requestCrash(5, {Other}),
          pause(100ms),
          requestCrash(6, {Other})},
         true,
         true},
        {"evidence expires", {requestCrash(1), pause(100ms), requestCrash(2), pause(6min), requestCrash(3)}, false, false},
        {"the quarantine expires", {requestCrash(1), pause(100ms), requestCrash(2), pause(100ms), requestCrash(3), pause(1s), pause(2h)}, false, false},
        {"the quarantine outlasts a long break",
         {requestCrash(1), pause(100ms), requestCrash(2), pause(100ms), requestCrash(3), pause(1s), pause(30min)},
         true,
         false},
    }));
    CAPTURE(row.name);
    RequestQuarantine quarantine;
    TimePoint now = Start;
    for (const RequestStep &step : row.steps) {
        for (const std::uint64_t number : step.requests) {
            if (step.kind == RequestStep::Kind::Crash) {
                quarantine.recordCrash(request(number), upstream(step.upstream), now);
            } else {
                quarantine.recordCompletion(request(number), now);
            }
        }
        if (step.kind == RequestStep::Kind::Wait) {
            now += step.duration;
            quarantine.tick(now);
        }
        now += 1ms;
    }
    const auto isQuarantined = [&](std::uint64_t number) { return quarantine.findQuarantined(prompt({}), request(number), now).has_value(); };
    CHECK(isQuarantined(Harmful) == row.harmfulQuarantined);
    CHECK(isQuarantined(Other) == row.otherQuarantined);
    CHECK_FALSE(quarantine.findQuarantined(prompt({Harmful}), request(1), now)); // the prompt part with that number
}

TEST_CASE("the fingerprint of a request covers all that its repeats have in common, and nothing else", "[quarantine]")
{
    const std::vector<PromptPart> sent = prompt({First, 5}, 1);
    const std::vector<PromptPart> sentAgain = prompt({First, 5}, 2);
    const std::vector<PromptPart> otherSubject = prompt({First, 6}, 1);
    const RequestFingerprint fingerprint = RequestFingerprint::of({"POST", "h", "/a/b", sent, "body"});
    CHECK(fingerprint.isKnown());
    CHECK(RequestFingerprint::of({"POST", "h", "/a/b", sentAgain, "body"}) == fingerprint);
    CHECK(RequestFingerprint::of({"POST", "h", "/a/b", otherSubject, "body"}) != fingerprint);
    CHECK(RequestFingerprint::of({"POST", "h", "/a/b", sent, "other"}) != fingerprint);
    CHECK(RequestFingerprint::of({"POST", "h", "/a/c", sent, "body"}) != fingerprint);
    CHECK(RequestFingerprint::of({"POST", "g", "/a/b", sent, "body"}) != fingerprint);
    CHECK(RequestFingerprint::of({"GET", "h", "/a/b", sent, "body"}) != fingerprint);
    CHECK(RequestFingerprint::of({"POST", "h", "/a/", {}, "bbody"}) != RequestFingerprint::of({"POST", "h", "/a/b", {}, "body"}));
}

TEST_CASE("causes survive their text form and datagrams", "[quarantine]")
{
    const CrashCause cause = GENERATE(values<CrashCause>({PromptPartId(0xbad0), PromptPartId(~0ULL), request(5), RequestFingerprint{~0ULL, 0}}));
    CAPTURE(toString(cause));
    CHECK(routing::parseCrashCause(toString(cause)) == cause);
    edge::FleetMessage message;
    message.sender = core::InstanceRef{core::InstanceId("i"), core::Incarnation(1)};
    CauseRecord record;
    record.cause = cause;
    record.quarantined = true;
    record.lastRequestedAt = Start;
    record.crashes = {routing::CauseCrash{upstream(1), Start}};
    message.body = std::vector<CauseRecord>{record};
    const auto decoded = edge::decodeFleetMessage(edge::encode(message, Start), Start);
    REQUIRE(decoded);
    const auto &records = std::get<std::vector<CauseRecord>>(decoded->body);
    REQUIRE(records.size() == 1);
    CHECK(records[0].cause == cause);
    CHECK(records[0].quarantined);
    CHECK(records[0].crashes.size() == 1);
}

TEST_CASE("text that names no cause is rejected", "[quarantine]")
{
    const auto text =
        GENERATE(as<std::string>{}, "", "x", "bad0 ", "11111111111111112", "0000000000000001000000000000000g", "000000000000000100000000000000001");
    CAPTURE(text);
    CHECK_FALSE(routing::parseCrashCause(text));
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
    std::size_t heldBack = 0;       // sound requests refused for the delay of a verdict
    std::size_t condemnedPolls = 0; // of everCondemned, requests that are repeated every second and had completed before
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
    RequestQuarantine quarantine;
    std::vector<std::vector<Running>> running(UpstreamCount);
    std::vector<TimePoint> downUntil(UpstreamCount);
    std::vector<std::size_t> run(UpstreamCount, 0);
    std::map<std::uint64_t, std::set<std::string>> crashes; // of the rule without clearing
    std::set<std::uint64_t> everCondemned;
    std::size_t harmfulCrashes = 0;
    std::optional<std::size_t> foundAfter;
    const auto isCondemned = [&](std::uint64_t part, TimePoint now) {
        return rule == Rule::WithoutClearing ? crashes[part].size() >= 3 : quarantine.findQuarantined(prompt({part}), {}, now).has_value();
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

//-----------------------------------------------------------------------------
// Simulated histories of requests
//-----------------------------------------------------------------------------

namespace {

enum class RequestRule {
    Quarantine,      // the class under test
    WithoutClearing, // three crashes, whatever has completed
    TwoCrashes,      // two crashes with no completed run in between
};

/// Plays 12 s of 12 upstreams with `slots` requests each, three quarters of them busy. Sound requests run 20 ms to 2 s; half of them
/// are 20 that are repeated every second. A run that its upstream's crash ends is sent again once, to the least loaded upstream; after a
/// second crash its client repeats it half a second later, at most twice. From 2 s on a harmful request comes 3 times a second and crashes its upstream 60 ms
/// after its arrival; the upstream is back after 3 s. One upstream crashes for another reason each 2 s.
void playRequestHistory(std::uint64_t seed, RequestRule rule, std::size_t slots, Verdicts &verdicts)
{
    struct Running
    {
        std::uint64_t number = 0;
        int losses = 0; // crashes since the client sent it
        int repeats = 0;
        TimePoint endsAt{}; // or when the client repeats it
    };
    constexpr std::size_t UpstreamCount = 12;
    constexpr core::Duration Step = 5ms;
    constexpr std::uint64_t PollCount = 20;
    constexpr int MaxLosses = 2;
    constexpr int MaxRepeats = 2;
    pcg32 random(seed);
    RequestQuarantine quarantine;
    std::vector<std::vector<Running>> running(UpstreamCount);
    std::vector<Running> toRepeat;
    std::vector<TimePoint> downUntil(UpstreamCount);
    std::vector<std::size_t> run(UpstreamCount, 0);
    std::map<std::uint64_t, std::vector<TimePoint>> crashes; // of the rules that only count
    std::set<std::uint64_t> everCondemned;
    std::set<std::uint64_t> completed;
    std::set<std::uint64_t> heldBack; // refused until the verdict that followed was not against them
    std::set<std::uint64_t> known;    // sound requests with a crash
    std::size_t harmfulCrashes = 0;
    std::optional<std::size_t> foundAfter;
    std::uint64_t nextOnce = 10'000;
    const auto isCondemned = [&](std::uint64_t number, TimePoint now) {
        if (rule == RequestRule::Quarantine) {
            return quarantine.findQuarantined({}, request(number), now).has_value();
        }
        const auto found = crashes.find(number);
        return found != crashes.end() && found->second.size() >= (rule == RequestRule::TwoCrashes ? 2 : 3);
    };
    const auto hasVerdict = [&](std::uint64_t number, TimePoint now) {
        const auto found = quarantine.records().find(request(number));
        return rule == RequestRule::Quarantine ? found != quarantine.records().end() && found->second.quarantined : isCondemned(number, now);
    };
    const auto send = [&](Running item, TimePoint now) {
        if (isCondemned(item.number, now)) {
            return;
        }
        std::optional<std::size_t> picked;
        for (std::size_t i = 0, first = random(UpstreamCount); i < UpstreamCount; ++i) {
            const std::size_t index = (first + i) % UpstreamCount;
            if (downUntil[index] <= now && running[index].size() < slots && (!picked || running[index].size() < running[*picked].size())) {
                picked = index;
            }
        }
        if (!picked) {
            return; // refused
        }
        const auto duration = item.number == Harmful ? core::Duration(60ms) : core::Duration(20ms) + core::Duration(random(1'980'000));
        item.endsAt = now + duration;
        running[*picked].push_back(item);
    };
    const auto crashUpstream = [&](std::size_t index, TimePoint now) {
        const core::UpstreamId id("u" + std::to_string(index) + "-" + std::to_string(run[index]++));
        downUntil[index] = now + 3s;
        const std::vector<Running> broken = std::exchange(running[index], {});
        for (const Running &item : broken) {
            crashes[item.number].push_back(now);
            quarantine.recordCrash(request(item.number), id, now);
            if (item.number != Harmful) {
                known.insert(item.number);
            }
        }
        for (Running item : broken) {
            if (++item.losses < MaxLosses) {
                send(item, now);
            } else if (item.repeats++ < MaxRepeats) {
                item.losses = 0;
                item.endsAt = now + 500ms;
                toRepeat.push_back(item);
            }
        }
    };
    const double arrivalsPerStep = 0.75 * static_cast<double>(UpstreamCount * slots) / 1.01 * 0.005 / 2; // each of both kinds, mean run 1.01 s
    double owed = 0;
    double owedPolls = 0;
    std::uint64_t nextPoll = 0;
    for (TimePoint now = Start; now < Start + 12s; now += Step) {
        owed += arrivalsPerStep;
        for (; owed >= 1; owed -= 1) {
            send(Running{nextOnce++, 0, 0, {}}, now);
        }
        owedPolls += std::min(arrivalsPerStep, static_cast<double>(PollCount) * 0.005);
        for (; owedPolls >= 1; owedPolls -= 1) {
            send(Running{1'000 + nextPoll++ % PollCount, 0, 0, {}}, now);
        }
        if (now >= Start + 2s && random(1'000) < 15) {
            send(Running{Harmful, 0, 0, {}}, now);
        }
        std::erase_if(toRepeat, [&](const Running &item) {
            if (now >= item.endsAt) {
                send(item, now);
                return true;
            }
            return false;
        });
        if (random(1'000) < 2) {
            crashUpstream(random(UpstreamCount), now);
        }
        for (std::size_t index = 0; index < UpstreamCount; ++index) {
            const bool crashed =
                std::any_of(running[index].begin(), running[index].end(), [&](const Running &item) { return item.number == Harmful && now >= item.endsAt; });
            if (crashed) {
                ++harmfulCrashes;
                crashUpstream(index, now);
            }
            std::erase_if(running[index], [&](const Running &item) {
                if (now < item.endsAt || item.number == Harmful) {
                    return false;
                }
                quarantine.recordCompletion(request(item.number), now);
                completed.insert(item.number);
                if (rule == RequestRule::TwoCrashes) {
                    crashes.erase(item.number);
                }
                return true;
            });
        }
        quarantine.tick(now);
        if (!foundAfter && isCondemned(Harmful, now)) {
            foundAfter = harmfulCrashes;
        }
        for (const std::uint64_t number : known) {
            if (hasVerdict(number, now)) {
                const bool isNew = everCondemned.insert(number).second;
                verdicts.condemnedPolls += isNew && number < 1'000 + PollCount && completed.contains(number) ? 1 : 0;
            } else if (isCondemned(number, now)) {
                heldBack.insert(number);
            }
        }
    }
    verdicts.heldBack += heldBack.size();
    ++verdicts.histories;
    verdicts.found += foundAfter && isCondemned(Harmful, Start + 12s) ? 1 : 0;
    verdicts.crashesUntilFound += foundAfter.value_or(harmfulCrashes);
    verdicts.everCondemned += everCondemned.size();
    verdicts.condemned += static_cast<std::size_t>(
        std::count_if(everCondemned.begin(), everCondemned.end(), [&](std::uint64_t number) { return isCondemned(number, Start + 12s); }));
}

Verdicts playRequestHistories(RequestRule rule, std::size_t slots, std::uint64_t count)
{
    Verdicts verdicts;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        playRequestHistory(seed, rule, slots, verdicts);
    }
    std::cout << "requests, rule " << static_cast<int>(rule) << ", " << slots << " slots: found in " << verdicts.found << " of " << verdicts.histories
              << " histories after " << static_cast<double>(verdicts.crashesUntilFound) / static_cast<double>(verdicts.histories)
              << " crashes, sound requests condemned " << verdicts.condemned << ", at any time " << verdicts.everCondemned << ", of them repeated ones "
              << verdicts.condemnedPolls << ", held back " << verdicts.heldBack << std::endl;
    return verdicts;
}

} // namespace

TEST_CASE("simulated histories: the harmful request is found, and those that share its crashes are not condemned", "[quarantine]")
{
    const std::uint64_t count = std::getenv("ARBUTUS_LONG") != nullptr ? 1'000 : 60; // NOLINT(concurrency-mt-unsafe)
    std::size_t histories = 0;
    std::size_t condemned = 0;
    for (const std::size_t slots : {1, 2, 4, 8, 16}) {
        CAPTURE(slots);
        const Verdicts verdicts = playRequestHistories(RequestRule::Quarantine, slots, count);
        CHECK(verdicts.found == verdicts.histories);
        CHECK(verdicts.condemnedPolls == 0);
        CHECK(verdicts.crashesUntilFound <= 4 * verdicts.histories); // the users' rule counts from the third crash
        const Verdicts withoutClearing = playRequestHistories(RequestRule::WithoutClearing, slots, count);
        CHECK(withoutClearing.everCondemned >= verdicts.everCondemned);
        const Verdicts twoCrashes = playRequestHistories(RequestRule::TwoCrashes, slots, count);
        CHECK(twoCrashes.everCondemned >= verdicts.everCondemned);
        histories += verdicts.histories;
        condemned += verdicts.everCondemned;
    }
    std::cout << "requests: precision " << static_cast<double>(histories) / static_cast<double>(histories + condemned) << std::endl;
    CHECK(condemned * 19 <= histories); // at least 19 in 20 verdicts are right
}
