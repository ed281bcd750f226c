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
