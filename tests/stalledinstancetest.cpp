// Instances whose process stands still for a while and then goes on, in a deployment of two regions over loopback.

#include "arbutus/edge/evidenceclock.h"
#include "support/edgerig.h"

#include <catch2/catch.hpp>

#include <array>
#include <iostream>
#include <set>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

constexpr auto StartTime = 1'500ms; // membership and configuration
constexpr auto StallTime = 4'000ms;
constexpr auto ChangeTime = 300ms;    // from the begin of the stall
constexpr auto ApplyTime = 3'000ms;   // from a change until instances must have applied it
constexpr auto RequestTime = 3'600ms; // from the begin of the stall
constexpr auto DeathTime = 6'000ms;   // until an instance that was killed is known to be dead
constexpr std::size_t Stalled = 0;    // instance
constexpr std::size_t RequestCount = 24;

tests::EdgeRigOptions rigOptions(std::size_t instancesPerRegion)
{
    tests::EdgeRigOptions options;
    options.instancesPerRegion = instancesPerRegion;
    options.upstreamsPerRegion = 4;
    options.plainUpstreamsPerRegion = 2;
    return options;
}

/// Sends requests to the stalled instance, which it finds when it goes on.
std::vector<std::size_t> sendRequests(tests::EdgeRig &rig, const std::string &target)
{
    std::vector<std::size_t> requests;
    for (std::size_t i = 0; i < RequestCount; ++i) {
        tests::RigRequest request;
        request.instance = Stalled;
        request.target = target;
        request.parts = {"c" + std::to_string(i)};
        request.body = "body " + std::to_string(i);
        requests.push_back(rig.send(request));
    }
    return requests;
}

std::size_t countStatus(const tests::EdgeRig &rig, const std::vector<std::size_t> &requests, unsigned status)
{
    return static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(), [&](std::size_t request) { return rig.result(request).status == status; }));
}

double metric(tests::EdgeRig &rig, const std::string &name)
{
    const std::string text = "\n" + rig.metricsText(Stalled);
    double sum = 0;
    for (std::size_t at = text.find("\n" + name); at != std::string::npos; at = text.find("\n" + name, at + 1)) {
        sum += std::stod(text.substr(text.find(' ', at)));
    }
    return sum;
}

/// What the instance that stands still can reach when it goes on.
enum class Reach { InstanceOfRegion, InstanceOfOtherRegion, StoreOnly };

struct Row
{
    const char *name;
    Reach reach;
};

constexpr std::array Rows = {
    Row{"another instance of its region", Reach::InstanceOfRegion},
    Row{"an instance of another region", Reach::InstanceOfOtherRegion},
    Row{"the store only", Reach::StoreOnly},
};

/// Lets the instance stand still, with `change` meanwhile, and sends requests that it finds when it goes on.
std::vector<std::size_t> stall(tests::EdgeRig &rig, Reach reach, const std::string &target, const std::function<void()> &change)
{
    rig.runFor(StartTime);
    if (reach == Reach::StoreOnly) {
        for (std::size_t i = 1; i < rig.instanceCount(); ++i) {
            rig.kill(i);
        }
        rig.runFor(DeathTime);
    }
    rig.freeze(Stalled, StallTime);
    rig.runFor(ChangeTime);
    change();
    rig.runFor(RequestTime - ChangeTime);
    std::vector<std::size_t> requests = sendRequests(rig, target);
    rig.runUntilDone();
    return requests;
}

std::size_t instancesPerRegion(Reach reach)
{
    return reach == Reach::InstanceOfRegion ? 2 : 1;
}

} // namespace

TEST_CASE("evidence that may have waited while the process stood still is not taken for new", "[metadata]")
{
    constexpr core::TimePoint Start(1'000s);
    constexpr auto Heartbeat = 50ms;
    constexpr auto End = 1'000ms; // of the heartbeats
    struct Row
    {
        const char *name;
        core::Duration stall;
        core::Duration drainedAt; // from the end of the stall; negative: before the process went on
        core::Duration readAt;    // from the end of the stall
        core::Duration nextStall; // that begins then
        core::Duration age;       // of a datagram that is read then
        core::Duration answerAge; // of the answer to a question that was asked 100 ms before the stall
    };
    const std::array rows = {
        Row{"no stall", 0ms, -1ms, 10ms, 0ms, 0ms, 0ms},
        Row{"short gap", 200ms, -1ms, 10ms, 0ms, 0ms, 0ms},
        Row{"at once", 3s, -1ms, 0ms, 0ms, 3s, 3'100ms},
        Row{"later, not all has been read", 3s, -1ms, 100ms, 0ms, 3'100ms, 3'200ms},
        Row{"a drain from before the process went on", 3s, -10ms, 100ms, 0ms, 3'100ms, 3'200ms},
        Row{"all has been read", 3s, 20ms, 100ms, 0ms, 0ms, 3'200ms},
        Row{"stands still again before all has been read", 3s, -1ms, 100ms, 1s, 4'100ms, 4'200ms},
        Row{"stands still again after all has been read", 3s, 20ms, 100ms, 1s, 1s, 4'200ms},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        edge::EvidenceClock clock(Start);
        std::size_t stalls = 0;
        clock.onStalled = [&](core::Duration) { ++stalls; };
        core::TimePoint now = Start;
        for (; now < Start + End; now += Heartbeat) {
            clock.noteRunning(now);
            clock.noteDrained(now);
        }
        clock.noteRunning(now);
        const core::TimePoint askedAt = now - 100ms;
        now += row.stall;
        clock.noteRunning(now);
        clock.noteDrained(now + row.drainedAt);
        now += row.readAt;
        clock.noteRunning(now);
        now += row.nextStall;
        CHECK(now - clock.arrivalTime(now) == row.age);
        CHECK(now - clock.answerTime(askedAt, now) == row.answerAge);
        CHECK(clock.answerTime(now, now) == now);
        CHECK(stalls == (row.stall > 250ms ? 1U : 0U) + (row.nextStall > 0ms ? 1U : 0U));
    }
}

TEST_CASE("what waited in the sockets of an instance that stood still does not make its metadata current", "[rig]")
{
    constexpr auto PeerTime = 1'500ms; // from the begin of the stall until nothing is sent to the instance any more
    tests::EdgeRig rig(rigOptions(1));
    rig.runFor(StartTime);
    rig.setStoreCut(Stalled, true);
    rig.freeze(Stalled, StallTime);
    rig.runFor(PeerTime);
    rig.kill(1);
    rig.runFor(StallTime - PeerTime);
    const auto age = std::chrono::duration<double>(metric(rig, "arbutus_evidence_age_seconds"));
    std::cout << "metadata after a stall: " << age.count() << " s old" << std::endl;
    constexpr auto Tolerance = 100ms;
    CHECK(age >= StallTime - PeerTime - Tolerance);
}

TEST_CASE("an instance that stood still sends no requests to upstreams that left meanwhile", "[rig]")
{
    for (const Row &row : Rows) {
        tests::EdgeRig rig(rigOptions(instancesPerRegion(row.reach)));
        std::set<std::string> leaving;
        core::TimePoint leftAt{};
        const auto requests = stall(rig, row.reach, "/chat/x", [&] {
            leftAt = rig.now();
            for (std::size_t i = 0; i < rig.upstreamCount(); ++i) {
                if (rig.upstream(i).region() == rig.instanceRegion(Stalled) && rig.upstream(i).service() == "s" && leaving.size() < 2) {
                    leaving.insert(rig.upstream(i).id());
                    rig.upstream(i).drain(2 * StallTime);
                }
            }
        });
        const auto late = std::count_if(rig.arrivals().begin(), rig.arrivals().end(), [&](const tests::Arrival &arrival) {
            return leaving.contains(arrival.upstream) && arrival.sender == rig.instanceId(Stalled) && arrival.at > leftAt + ApplyTime;
        });
        const std::size_t served = countStatus(rig, requests, 200);
        std::cout << "upstreams left, " << row.name << ": at leaving upstreams " << late << ", served " << served << " of " << RequestCount << std::endl;
        CAPTURE(row.name);
        CHECK(late == 0);
        CHECK(served == RequestCount);
    }
}

TEST_CASE("an instance that stood still does not serve a route that was dropped meanwhile", "[rig]")
{
    for (const Row &row : Rows) {
        tests::EdgeRigOptions options = rigOptions(instancesPerRegion(row.reach));
        options.configuration.extraRoutes = {"dropped"};
        tests::EdgeRig rig(options);
        const auto requests = stall(rig, row.reach, "/dropped/x", [&] {
            tests::RigConfiguration configuration = rig.configuration();
            configuration.extraRoutes.clear();
            rig.configure(configuration);
        });
        const std::size_t served = countStatus(rig, requests, 200);
        const std::size_t notFound = countStatus(rig, requests, 404);
        std::cout << "route dropped, " << row.name << ": served " << served << ", 404 " << notFound << " of " << RequestCount << std::endl;
        CAPTURE(row.name);
        CHECK(served == 0);
        CHECK(notFound == RequestCount);
    }
}

TEST_CASE("an instance that stood still and is cut off serves what it can without a long wait", "[rig]")
{
    constexpr auto MaxWait = 1'000ms; // from the end of the stall to the answer
    tests::EdgeRig rig(rigOptions(1));
    rig.runFor(StartTime);
    const core::TimePoint end = rig.now() + StallTime;
    const auto requests = stall(rig, Reach::InstanceOfOtherRegion, "/chat/x", [&] {
        rig.kill(1);
        rig.setStoreCut(Stalled, true);
    });
    const auto late =
        std::count_if(requests.begin(), requests.end(), [&](std::size_t request) { return rig.result(request).endedAt > end + StartTime + MaxWait; });
    const std::size_t served = countStatus(rig, requests, 200);
    std::cout << "cut off: served " << served << " of " << RequestCount << ", late " << late << std::endl;
    CHECK(served == RequestCount);
    CHECK(late == 0);
}

TEST_CASE("an instance that stood still asks another instance before the store", "[rig]")
{
    constexpr auto CatchUpTime = 200ms;
    tests::EdgeRig rig(rigOptions(2));
    rig.runFor(StartTime);
    const double before = metric(rig, "arbutus_store_calls_total{call=\"watch\"}") + metric(rig, "arbutus_store_calls_total{call=\"range\"}");
    rig.freeze(Stalled, StallTime);
    rig.runFor(StallTime + CatchUpTime);
    const double after = metric(rig, "arbutus_store_calls_total{call=\"watch\"}") + metric(rig, "arbutus_store_calls_total{call=\"range\"}");
    const double age = metric(rig, "arbutus_evidence_age_seconds");
    std::cout << "calls to the store in " << CatchUpTime.count() << " ms after a stall: " << after - before << ", metadata " << age << " s old" << std::endl;
    CHECK(after - before <= 1); // that of the watcher
    CHECK(age < 1.5);
}
