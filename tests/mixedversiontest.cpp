// Streams beside upstreams of two software versions, in a deployment of several instances in two regions over loopback.
//
// ARBUTUS_RIG_SEEDS is the number of seeds to run, ARBUTUS_RIG_FIRST_SEED the first one.

#include "support/edgerig.h"

#include <catch2/catch.hpp>

#include <array>
#include <iostream>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

constexpr auto Deadline = 6'000ms;
constexpr auto StartTime = 1'500ms; // membership and configuration
constexpr auto Interval = 60ms;     // between streams

/// What became of the streams of a test.
struct Summary
{
    std::size_t streams = 0;
    std::size_t begun = 0;
    std::size_t whole = 0;
    std::size_t mixedVersions = 0;
    std::size_t mixedServices = 0;
    std::size_t resumptions = 0;
    std::size_t resumptionsGoneOn = 0;
    std::size_t countedResumptions = 0; // two upstreams of the version served, and the instances were undisturbed
    std::size_t countedResumptionsGoneOn = 0;

    [[nodiscard]] double begunShare() const
    {
        return streams == 0 ? 0 : static_cast<double>(begun) / static_cast<double>(streams);
    }
    [[nodiscard]] double goneOnShare() const
    {
        return countedResumptions == 0 ? 0 : static_cast<double>(countedResumptionsGoneOn) / static_cast<double>(countedResumptions);
    }
};

Summary summarize(const tests::EdgeRig &rig)
{
    constexpr auto CalmTime = 1'500ms; // of an instance after a disruption, until its resumptions count
    Summary out;
    for (std::size_t i = 0; i < rig.streamCount(); ++i) {
        const tests::StreamRecord &stream = rig.stream(i);
        ++out.streams;
        out.begun += stream.hasBegun() ? 1 : 0;
        out.whole += stream.isWhole(rig.eventCount()) ? 1 : 0;
        out.mixedVersions += stream.versions().size() > 1 ? 1 : 0;
        out.mixedServices += stream.services().size() > 1 ? 1 : 0;
        for (const tests::Resumption &resumption : stream.resumptions) {
            ++out.resumptions;
            out.resumptionsGoneOn += resumption.wentOn ? 1 : 0;
            const bool inTouch = std::all_of(resumption.requests.begin(), resumption.requests.end(), [&](std::size_t request) {
                const tests::ClientResult &result = rig.result(request);
                return rig.wasUndisturbed(rig.instanceId(result.instance), result.endedAt, result.endedAt - result.sentAt + CalmTime);
            });
            if (resumption.mayGoOn && inTouch) {
                ++out.countedResumptions;
                out.countedResumptionsGoneOn += resumption.wentOn ? 1 : 0;
            }
        }
    }
    return out;
}

std::ostream &operator<<(std::ostream &stream, const Summary &summary)
{
    return stream << "streams " << summary.streams << ", begun " << summary.begun << ", whole " << summary.whole << ", of two versions "
                  << summary.mixedVersions << ", of two services " << summary.mixedServices << ", resumptions " << summary.resumptions << " (gone on "
                  << summary.resumptionsGoneOn << "), of these counted " << summary.countedResumptions << " (gone on " << summary.countedResumptionsGoneOn
                  << ")";
}

/// Two versions with the same number of upstreams in each region.
tests::EdgeRigOptions rigOptions(std::uint64_t seed)
{
    tests::EdgeRigOptions options;
    options.seed = seed;
    options.instancesPerRegion = 2;
    options.upstreamsPerRegion = 4;
    options.versions = {"v1", "v2"};
    options.crashDuration = 400ms;
    options.entryLifetime = 200ms;
    options.configuration.routeTimeout = Deadline;
    return options;
}

tests::RigRequest streamRequest(std::size_t instance, std::size_t number)
{
    return tests::RigRequest{
        .instance = instance, .parts = {"a1", "c" + std::to_string(number)}, .body = "body " + std::to_string(number), .deadline = Deadline};
}

} // namespace

TEST_CASE("a stream that is retried within one response goes on at the version that began it", "[rig]")
{
    struct Row
    {
        const char *name;
        tests::StreamFailure failure;
        std::size_t upstreamsPerRegion = 4;
    };
    using Kind = tests::StreamFailureKind;
    const std::array rows = {
        Row{"connection lost after the first event", {.kind = Kind::ConnectionLost, .afterEvent = 1}},
        Row{"connection lost in the middle", {.kind = Kind::ConnectionLost, .afterEvent = 3}},
        Row{"connection lost before the last event", {.kind = Kind::ConnectionLost, .afterEvent = 4}},
        Row{"two connections lost", {.kind = Kind::ConnectionLost, .afterEvent = 2, .runs = 2}},
        Row{"upstream crashes", {.kind = Kind::Crash, .afterEvent = 2}},
        Row{"silent upstream is replaced", {.kind = Kind::Silence, .afterEvent = 2, .silence = 1'900ms}},
        Row{"no other upstream of the version in the region", {.kind = Kind::Crash, .afterEvent = 2}, 2},
    };
    constexpr std::size_t StreamCount = 24;
    for (const Row &row : rows) {
        tests::EdgeRigOptions options = rigOptions(1);
        options.upstreamsPerRegion = row.upstreamsPerRegion;
        options.minRetries = 200; // the retry budget is not what is tested here
        tests::EdgeRig rig(options);
        rig.runFor(StartTime);
        // A crash ends all streams of its upstream: the others go on meanwhile.
        const auto interval = row.failure.kind == tests::StreamFailureKind::Crash ? options.crashDuration + 400ms : Interval;
        for (std::size_t i = 0; i < StreamCount; ++i) {
            tests::RigRequest request = streamRequest(i % rig.instanceCount(), i);
            request.failure = row.failure;
            rig.sendStream(tests::StreamOptions{.request = request, .maxResumptions = 0, .dropsAfter = {}});
            rig.runFor(interval);
        }
        rig.runUntilDone();
        const Summary summary = summarize(rig);
        std::cout << "one response, " << row.name << ": " << summary << std::endl;
        CAPTURE(row.name);
        CHECK(summary.mixedVersions == 0);
        CHECK(summary.whole == StreamCount);
    }
}

TEST_CASE("a resumed stream goes on at the version that began it", "[rig]")
{
    enum class Killed { None, FirstInstance, FirstRegion };
    struct Row
    {
        std::string name;
        tests::ResumeAt resumeAt;
        std::chrono::milliseconds delay;
        Killed killed = Killed::None;
        std::vector<int> dropsAfter{2};
    };
    std::vector<Row> rows;
    struct Place
    {
        const char *name;
        tests::ResumeAt resumeAt;
    };
    constexpr std::array Places = {
        Place{"same instance", tests::ResumeAt::SameInstance},
        Place{"other instance of the region", tests::ResumeAt::OtherInstanceOfRegion},
        Place{"other region", tests::ResumeAt::OtherRegion},
    };
    for (const Place &place : Places) {
        for (const auto delay : {0ms, 50ms, 100ms, 300ms}) {
            rows.push_back(Row{std::string(place.name) + " after " + std::to_string(delay.count()) + " ms", place.resumeAt, delay});
        }
    }
    rows.push_back(Row{"after the first event", tests::ResumeAt::Anywhere, 0ms, Killed::None, {1}});
    rows.push_back(Row{"resumption of a resumption", tests::ResumeAt::Anywhere, 50ms, Killed::None, {1, 2, 3}});
    for (const auto delay : {0ms, 100ms}) {
        const std::string suffix = " after " + std::to_string(delay.count()) + " ms";
        rows.push_back(
            Row{"first instance killed, other instance of the region" + suffix, tests::ResumeAt::OtherInstanceOfRegion, delay, Killed::FirstInstance, {}});
        rows.push_back(Row{"first instance killed, other region" + suffix, tests::ResumeAt::OtherRegion, delay, Killed::FirstInstance, {}});
        rows.push_back(Row{"all instances of the first region killed" + suffix, tests::ResumeAt::OtherRegion, delay, Killed::FirstRegion, {}});
    }
    constexpr std::size_t StreamCount = 48;
    constexpr auto ResumedInterval = 5ms; // many streams at once, so that their upstreams are not those with the best cache only
    for (const Row &row : rows) {
        tests::EdgeRigOptions options = rigOptions(1);
        options.instancesPerRegion = 3;
        options.eventCount = 12;
        options.eventGap = 60ms;
        tests::EdgeRig rig(options);
        rig.runFor(StartTime);
        bool isKilled = false;
        std::size_t begun = 0;
        for (std::size_t i = 0; i < StreamCount; ++i) {
            tests::RigRequest request = streamRequest(row.killed == Killed::None ? i % rig.instanceCount() : 0, i);
            if (row.killed != Killed::None) {
                // All streams run at the first instance, which ends when the last of them has its second event.
                request.onEvent = [&](const tests::StreamEvent &event) {
                    constexpr int KillAfter = 2;
                    begun += event.id == KillAfter ? 1 : 0;
                    if (begun < StreamCount || isKilled) {
                        return;
                    }
                    isKilled = true;
                    rig.schedule(0ms, [&] {
                        for (std::size_t instance = 0; instance < rig.instanceCount(); ++instance) {
                            if (instance == 0 || (row.killed == Killed::FirstRegion && rig.instanceRegion(instance) == rig.instanceRegion(0))) {
                                rig.kill(instance);
                            }
                        }
                    });
                };
            }
            rig.sendStream(tests::StreamOptions{
                .request = request, .resumeAt = row.resumeAt, .resumeDelay = row.delay, .maxResumptions = 4, .dropsAfter = row.dropsAfter});
            if (row.killed == Killed::None) {
                rig.runFor(ResumedInterval);
            }
        }
        rig.runUntilDone();
        const Summary summary = summarize(rig);
        std::cout << "resumed, " << row.name << ": " << summary << std::endl;
        CAPTURE(row.name);
        CHECK(summary.resumptions >= 12); // as many as the rule asks for
        CHECK(summary.mixedVersions == 0);
        CHECK(summary.goneOnShare() >= 0.5 * summary.begunShare());
    }
}

TEST_CASE("a stream whose upstream is replaced before its first event may begin at either version", "[rig]")
{
    struct Row
    {
        const char *name;
        tests::StreamFailure failure;
    };
    using Kind = tests::StreamFailureKind;
    const std::array rows = {
        Row{"connection lost", {.kind = Kind::ConnectionLost, .afterEvent = 0}},
        Row{"upstream crashes", {.kind = Kind::Crash, .afterEvent = 0}},
        Row{"silent upstream is replaced", {.kind = Kind::Silence, .afterEvent = 0, .silence = 1'900ms}},
    };
    constexpr std::size_t StreamCount = 16;
    for (const Row &row : rows) {
        const tests::EdgeRigOptions options = rigOptions(1);
        tests::EdgeRig rig(options);
        rig.runFor(StartTime);
        const auto interval = row.failure.kind == tests::StreamFailureKind::Crash ? options.crashDuration + 400ms : Interval;
        for (std::size_t i = 0; i < StreamCount; ++i) {
            tests::RigRequest request = streamRequest(i % rig.instanceCount(), i);
            request.failure = row.failure;
            rig.sendStream(tests::StreamOptions{.request = request, .maxResumptions = 0, .dropsAfter = {}});
            rig.runFor(interval);
        }
        rig.runUntilDone();
        const Summary summary = summarize(rig);
        std::size_t repeated = 0;
        std::size_t changedVersion = 0;
        for (std::size_t i = 0; i < StreamCount; ++i) {
            std::set<std::string> versions;
            for (const tests::Arrival &arrival : rig.arrivals()) {
                if (arrival.attempt == tests::EdgeRig::attemptId(i) && !arrival.misdirected) {
                    versions.insert(arrival.version);
                }
            }
            repeated += rig.runCount(i) > 1 ? 1 : 0;
            changedVersion += versions.size() > 1 ? 1 : 0;
        }
        std::cout << "before the first event, " << row.name << ": " << summary << ", sent again " << repeated << ", of these to both versions "
                  << changedVersion << std::endl;
        CAPTURE(row.name);
        CHECK(summary.mixedVersions == 0);
        CHECK(summary.whole == StreamCount);
        CHECK(changedVersion > 0);
    }
}

TEST_CASE("a resumed stream whose version is gone is refused at once", "[rig]")
{
    enum class Change { Ended, AddressTakenOver, RestartedWithSameId };
    struct Row
    {
        const char *name;
        Change change;
    };
    constexpr std::array Rows = {
        Row{"upstreams of the other version replace the first ones", Change::Ended},
        Row{"upstreams of the other version take over the addresses", Change::AddressTakenOver},
        Row{"the upstreams start again under the same ids as the other version", Change::RestartedWithSameId},
    };
    constexpr std::size_t StreamCount = 12;
    for (const Row &row : Rows) {
        tests::EdgeRigOptions options = rigOptions(1);
        options.versions = {"v1"};
        options.upstreamsPerRegion = 2;
        tests::EdgeRig rig(options);
        rig.runFor(StartTime);
        std::vector<std::size_t> first;
        for (std::size_t i = 0; i < StreamCount; ++i) {
            tests::RigRequest request = streamRequest(i % rig.instanceCount(), i);
            request.dropAfter = 2;
            first.push_back(rig.send(request));
        }
        rig.runUntilDone();
        for (std::size_t i = 0, count = rig.upstreamCount(); i < count; ++i) {
            if (row.change == Change::Ended) {
                rig.addUpstream(rig.upstream(i).region(), "s", "v2");
                rig.upstream(i).end();
            } else {
                rig.upstream(i).crash(tests::RestartOptions{.after = options.crashDuration,
                                                            .entryLifetime = options.entryLifetime,
                                                            .version = "v2",
                                                            .keepsId = row.change == Change::RestartedWithSameId});
            }
        }
        rig.runFor(options.crashDuration + StartTime);
        std::vector<std::size_t> resumed;
        for (std::size_t i = 0; i < StreamCount; ++i) {
            REQUIRE(rig.result(first[i]).events.size() == 2);
            tests::RigRequest request = streamRequest((i + i / rig.instanceCount()) % rig.instanceCount(), i); // at the same and at other instances
            request.lastEvent = 2;
            request.resumes = tests::EdgeRig::attemptId(first[i]);
            resumed.push_back(rig.send(request));
        }
        const std::size_t fresh = rig.send(streamRequest(0, StreamCount));
        rig.runUntilDone();
        std::size_t refused = 0;
        std::size_t early = 0;
        std::size_t withoutHope = 0; // Retry-After beyond the deadline
        std::size_t runs = 0;
        for (const std::size_t request : resumed) {
            constexpr int MaxShareOfDeadline = 3; // one third
            const tests::ClientResult &result = rig.result(request);
            refused += result.status == 503 ? 1 : 0;
            early += (result.endedAt - result.sentAt) * MaxShareOfDeadline < Deadline ? 1 : 0;
            withoutHope += !result.retryAfter.empty() && std::chrono::duration<double>(std::stod(result.retryAfter)) >= Deadline ? 1 : 0;
            runs += rig.runCount(request);
        }
        std::cout << "version gone, " << row.name << ": resumptions " << resumed.size() << ", 503 " << refused << ", ended in a third of the deadline " << early
                  << ", Retry-After beyond the deadline " << withoutHope << ", run " << runs << std::endl;
        CAPTURE(row.name);
        CHECK(runs == 0);
        CHECK(refused == StreamCount);
        CHECK(early == StreamCount);
        CHECK(withoutHope == StreamCount);
        CHECK(rig.result(fresh).status == 200);
    }
}

TEST_CASE("a resumption without a known first attempt is not guessed", "[rig]")
{
    struct Row
    {
        const char *name;
        const char *resumes;
        std::vector<std::string> versions;
        std::chrono::milliseconds uptime; // of the instances; only one as long as a client goes on trying shows which versions there were
        bool goesOn;
    };
    const auto known = std::chrono::duration_cast<std::chrono::milliseconds>(routing::StreamRecordsSettings{}.retention) + StartTime;
    const std::array rows = {
        Row{"unknown attempt and two versions", "unknown", {"v1", "v2"}, known, false},
        Row{"no attempt and two versions", "", {"v1", "v2"}, known, false},
        Row{"unknown attempt and one version", "unknown", {"v1"}, known, true},
        Row{"no attempt and one version", "", {"v1"}, known, true},
        Row{"unknown attempt and one version, just started", "unknown", {"v1"}, StartTime, false},
        Row{"unknown attempt and one version, as long as a route's timeout", "unknown", {"v1"}, Deadline + StartTime, false},
    };
    constexpr std::size_t Count = 12;
    constexpr int LastEvent = 2;
    for (const Row &row : rows) {
        tests::EdgeRigOptions options = rigOptions(1);
        options.versions = row.versions;
        tests::EdgeRig rig(options);
        rig.runFor(row.uptime);
        std::vector<std::size_t> requests;
        for (std::size_t i = 0; i < Count; ++i) {
            tests::RigRequest request = streamRequest(i % rig.instanceCount(), i);
            request.lastEvent = LastEvent;
            request.resumes = row.resumes;
            requests.push_back(rig.send(request));
        }
        rig.runUntilDone();
        std::size_t refused = 0;
        std::size_t wentOn = 0;
        std::size_t runs = 0;
        for (const std::size_t request : requests) {
            const tests::ClientResult &result = rig.result(request);
            refused += result.status == 503 ? 1 : 0;
            wentOn += result.outcome == tests::ClientOutcome::Complete && !result.events.empty() && result.events.front().id == LastEvent + 1 ? 1 : 0;
            runs += rig.runCount(request);
        }
        std::cout << "first attempt not known, " << row.name << ": resumptions " << Count << ", 503 " << refused << ", gone on " << wentOn << ", run " << runs
                  << std::endl;
        CAPTURE(row.name);
        if (!row.goesOn) {
            CHECK(refused == Count);
            CHECK(runs == 0);
        } else {
            CHECK(wentOn == Count);
        }
    }
}

TEST_CASE("a stream from before all instances were killed does not go on at the only version that is left", "[rig]")
{
    struct Row
    {
        const char *name;
        std::chrono::milliseconds timeoutAfterwards; // of the route
        std::chrono::milliseconds resumeDelay;
    };
    const std::array rows = {
        Row{"same timeout, at once", 8'000ms, 400ms},
        Row{"same timeout", 8'000ms, 2'600ms},
        Row{"the timeout is shorter now", 1'000ms, 2'600ms},
    };
    constexpr std::size_t StreamCount = 16;
    constexpr auto StreamDeadline = 8'000ms;
    for (const Row &row : rows) {
        tests::EdgeRigOptions options = rigOptions(1);
        options.versions = {"v1"};
        options.eventCount = 20;
        options.eventGap = 200ms;
        options.configuration.routeTimeout = StreamDeadline;
        tests::EdgeRig rig(options);
        rig.runFor(StartTime);
        for (std::size_t i = 0; i < StreamCount; ++i) {
            tests::RigRequest request = streamRequest(i % rig.instanceCount(), i);
            request.deadline = StreamDeadline;
            rig.sendStream(tests::StreamOptions{.request = request, .resumeDelay = row.resumeDelay, .dropsAfter = {}});
            rig.runFor(Interval);
        }
        rig.runFor(500ms);
        const std::size_t oldCount = rig.upstreamCount();
        for (std::size_t i = 0; i < oldCount; ++i) {
            rig.addUpstream(rig.upstream(i).region(), rig.upstream(i).service(), "v2");
            rig.upstream(i).end();
        }
        tests::RigConfiguration configuration = rig.configuration();
        configuration.routeTimeout = row.timeoutAfterwards;
        rig.configure(configuration);
        for (std::size_t i = 0; i < rig.instanceCount(); ++i) {
            rig.kill(i);
            rig.start(i);
        }
        rig.runUntilDone();
        const Summary summary = summarize(rig);
        std::cout << "all instances killed, " << row.name << ": " << summary << std::endl;
        CAPTURE(row.name);
        CHECK(summary.resumptions > 0);
        CHECK(summary.mixedVersions == 0);
    }
}

TEST_CASE("an instance out of step does not send a stream that began at a new version to an older one", "[rig]")
{
    enum class Disruption { StoodStill, CutFromInstances, CutFromAll, LostDatagrams, StoodStillAndCutFromInstances };
    struct Row
    {
        const char *name;
        Disruption disruption;
    };
    constexpr std::array Rows = {
        Row{"stood still", Disruption::StoodStill},
        Row{"stood still, then cut off from the other instances", Disruption::StoodStillAndCutFromInstances},
        Row{"cut off from the other instances", Disruption::CutFromInstances},
        Row{"cut off from the other instances and the store", Disruption::CutFromAll},
        Row{"half of all datagrams lost", Disruption::LostDatagrams},
    };
    const auto known = std::chrono::duration_cast<std::chrono::milliseconds>(routing::StreamRecordsSettings{}.retention) + StartTime;
    constexpr std::size_t OutOfStep = 3; // instance; its id gives it no role, so it is the last one to read the store when it hears nothing
    constexpr std::size_t StreamCount = 48;
    constexpr auto StandstillTime = 1'200ms;
    constexpr auto JoinDelay = 50ms;    // from the disruption until the upstreams of the new version join
    constexpr auto StreamDelay = 200ms; // until the streams begin
    constexpr auto StreamTime = 300ms;  // in which they have their last event and are taken up
    for (const Row &row : Rows) {
        tests::EdgeRigOptions options = rigOptions(1);
        options.instancesPerRegion = 3;
        options.versions = {"v1"};
        tests::EdgeRig rig(options);
        rig.runFor(known);
        const bool standsStill = row.disruption == Disruption::StoodStill || row.disruption == Disruption::StoodStillAndCutFromInstances;
        if (standsStill) {
            rig.freeze(OutOfStep, StandstillTime);
        } else if (row.disruption == Disruption::LostDatagrams) {
            rig.loseDatagrams(0.5);
        } else {
            rig.cutDatagrams(OutOfStep);
            rig.setStoreCut(OutOfStep, row.disruption == Disruption::CutFromAll);
        }
        rig.runFor(JoinDelay);
        for (std::size_t i = 0, count = 2 * rig.upstreamCount(); i < count; ++i) {
            rig.addUpstream(rig.upstream(i).region(), "s", "v2");
        }
        rig.runFor(StreamDelay);
        std::map<std::size_t, std::size_t> resumed; // by first request
        std::vector<std::size_t> first(StreamCount);
        for (std::size_t i = 0; i < StreamCount; ++i) {
            std::size_t instance = i % rig.instanceCount();
            instance = instance == OutOfStep ? (instance + 1) % rig.instanceCount() : instance;
            tests::RigRequest request = streamRequest(instance, i);
            request.parts = {"c" + std::to_string(i)}; // nothing draws them to the upstreams that have served others
            request.dropAfter = 2;
            request.onDone = [&rig, &resumed, &first, i] {
                if (rig.result(first[i]).events.size() == 2) {
                    tests::RigRequest resumption = streamRequest(OutOfStep, i);
                    resumption.lastEvent = 2;
                    resumption.resumes = tests::EdgeRig::attemptId(first[i]);
                    resumed[first[i]] = rig.send(resumption);
                }
            };
            first[i] = rig.send(request);
        }
        rig.runFor(standsStill ? StandstillTime - JoinDelay - StreamDelay - 100ms : StreamTime);
        if (row.disruption == Disruption::StoodStillAndCutFromInstances) {
            rig.cutDatagrams(OutOfStep);
        }
        const std::size_t fresh = rig.send(streamRequest(OutOfStep, StreamCount));
        rig.runUntilDone();
        std::size_t ofNewVersion = 0;
        std::size_t mixed = 0;
        std::size_t wentOn = 0;
        std::size_t refused = 0;
        for (const auto &[firstNumber, number] : resumed) {
            const tests::ClientResult &result = rig.result(number);
            const std::string &version = rig.result(firstNumber).events.front().version;
            ofNewVersion += version == "v2" ? 1 : 0;
            wentOn += result.events.empty() ? 0 : 1;
            refused += result.status == 503 ? 1 : 0;
            mixed += std::any_of(result.events.begin(), result.events.end(), [&](const tests::StreamEvent &event) { return event.version != version; }) ? 1 : 0;
        }
        std::cout << "out of step, " << row.name << ": taken up " << resumed.size() << ", begun at the new version " << ofNewVersion << ", gone on " << wentOn
                  << ", of two versions " << mixed << ", 503 " << refused << std::endl;
        CAPTURE(row.name);
        CHECK(resumed.size() >= StreamCount / 2);
        CHECK(ofNewVersion > 0);
        CHECK(mixed == 0);
        CHECK(wentOn + refused == resumed.size());
        CHECK(rig.result(fresh).status == 200);
    }
}

TEST_CASE("a resumed stream stays at the service that began it", "[rig]")
{
    struct Row
    {
        const char *name;
        std::vector<std::string> versions;
        tests::ResumeAt resumeAt;
    };
    const std::array rows = {
        Row{"one version and the same instance", {"v1"}, tests::ResumeAt::SameInstance},
        Row{"one version and any instance", {"v1"}, tests::ResumeAt::Anywhere},
        Row{"two versions and any instance", {"v1", "v2"}, tests::ResumeAt::Anywhere},
    };
    constexpr std::size_t StreamCount = 40;
    for (const Row &row : rows) {
        tests::EdgeRigOptions options = rigOptions(1);
        options.versions = row.versions;
        options.secondServiceUpstreamsPerRegion = options.upstreamsPerRegion;
        tests::EdgeRig rig(options);
        rig.runFor(StartTime);
        for (std::size_t i = 0; i < StreamCount; ++i) {
            tests::RigRequest request = streamRequest(i % rig.instanceCount(), i);
            request.target = "/split/x";
            rig.sendStream(tests::StreamOptions{.request = request, .resumeAt = row.resumeAt, .dropsAfter = {1, 3}});
            rig.runFor(Interval);
        }
        rig.runUntilDone();
        std::set<std::string> services;
        for (std::size_t i = 0; i < rig.streamCount(); ++i) {
            services.merge(rig.stream(i).services());
        }
        const Summary summary = summarize(rig);
        std::cout << "traffic split, " << row.name << ": " << summary << std::endl;
        CAPTURE(row.name);
        CHECK(services.size() == 2);
        CHECK(summary.resumptions >= 12); // as many as the rule asks for
        CHECK(summary.mixedServices == 0);
        CHECK(summary.mixedVersions == 0);
        CHECK(summary.goneOnShare() >= 0.5 * summary.begunShare());
    }
}

TEST_CASE("no stream holds events of two versions and resumed streams go on", "[rig]")
{
    constexpr auto TrafficTime = 12'000ms;
    const std::uint64_t first = tests::environmentNumber("ARBUTUS_RIG_FIRST_SEED", 1);
    for (std::uint64_t seed = first; seed < first + tests::environmentNumber("ARBUTUS_RIG_SEEDS", 2); ++seed) {
        CAPTURE(seed);
        pcg32 random(seed);
        const auto randomTime = [&random](std::chrono::milliseconds from, std::chrono::milliseconds to) {
            return from + std::chrono::milliseconds(random() % static_cast<std::uint32_t>((to - from).count()));
        };
        tests::EdgeRigOptions options = rigOptions(seed);
        options.instancesPerRegion = 3;
        options.versions = {"v1"};
        options.crashDuration = 1'500ms;
        options.entryLifetime = 800ms;
        options.eventCount = 12;
        options.eventGap = 40ms;
        options.breaks.share = 0.2;
        tests::EdgeRig rig(options);
        rig.runFor(StartTime);

        constexpr auto RollInterval = 600ms;
        constexpr auto DrainTime = 2'000ms;
        rig.schedule(1'000ms, [&] { rig.roll("s", "v2", RollInterval, DrainTime); });
        rig.schedule(7'000ms, [&] { rig.roll("s", "v3", RollInterval, DrainTime); });
        for (const auto at : {randomTime(2'000ms, 5'000ms), randomTime(6'000ms, 10'000ms)}) {
            const std::size_t killed = random() % rig.instanceCount();
            rig.schedule(at, [&rig, killed] { rig.kill(killed); });
            rig.schedule(at + 900ms, [&rig, killed] { rig.start(killed); });
        }
        constexpr std::size_t CrashCount = 5;
        for (std::size_t i = 0; i < CrashCount; ++i) {
            rig.schedule(randomTime(1'000ms, TrafficTime), [&] { rig.upstream(random() % rig.upstreamCount()).crash(); });
        }
        constexpr std::size_t TakeoverCount = 2;
        for (std::size_t i = 0; i < TakeoverCount; ++i) {
            rig.schedule(randomTime(1'500ms, 6'000ms), [&] { // an address changes to the other version of the release
                tests::RigUpstream &upstream = rig.upstream(random() % rig.upstreamCount());
                upstream.crash(tests::RestartOptions{.after = 300ms, .entryLifetime = 200ms, .version = upstream.version() == "v1" ? "v2" : "v1"});
            });
        }
        constexpr auto StreamInterval = 25ms;
        for (auto at = 0ms; at < TrafficTime; at += StreamInterval) {
            rig.schedule(at, [&] {
                constexpr std::array Places = {
                    tests::ResumeAt::SameInstance, tests::ResumeAt::OtherInstanceOfRegion, tests::ResumeAt::OtherRegion, tests::ResumeAt::Anywhere};
                constexpr std::uint32_t MaxDelay = 300; // ms
                constexpr std::uint32_t DropEvery = 3;  // streams
                tests::StreamOptions stream;
                stream.request = streamRequest(rig.pickRunning(random), rig.streamCount());
                stream.resumeAt = Places[random() % Places.size()];
                stream.resumeDelay = std::chrono::milliseconds(random() % (MaxDelay + 1));
                if (random() % DropEvery == 0) {
                    const int drop = 1 + static_cast<int>(random() % 6);
                    stream.dropsAfter = {drop, drop + 1 + static_cast<int>(random() % 6)};
                }
                rig.sendStream(std::move(stream));
            });
        }
        rig.runFor(TrafficTime);
        rig.runUntilDone();
        const Summary summary = summarize(rig);
        std::cout << "soak, seed " << seed << ": " << summary << ", share begun " << summary.begunShare() << ", share of resumptions gone on "
                  << summary.goneOnShare() << std::endl;
        CHECK(summary.mixedVersions == 0);
        CHECK(summary.countedResumptions >= 12); // as many as the rule asks for
        CHECK(summary.goneOnShare() >= 0.5 * summary.begunShare());
    }
}
