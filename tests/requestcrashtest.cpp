// Requests that crash each upstream that runs them, in a deployment of several instances in two regions over loopback.
//
// ARBUTUS_RIG_SEEDS is the number of seeds to run, ARBUTUS_RIG_FIRST_SEED the first one.

#include "support/edgerig.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace arbutus;
using namespace std::chrono_literals;
using tests::RigRequest;

namespace {

// The users' rule: later than StabilityWindow after the third crash, at most MaxLateArrivals of the request reach upstreams, sent by
// instances without a disruption in the last StabilityWindow.
constexpr core::Duration StabilityWindow = 5s;
constexpr std::size_t CrashesUntilRuleHolds = 3;
constexpr std::size_t MaxLateArrivals = 3;
// Sound requests are delivered at least half as often as before the crashes.
constexpr double MinSoundShare = 0.5;

constexpr auto WarmUp = 2'500ms;
constexpr auto CrashingTime = 13'000ms;

std::size_t sendTo(tests::EdgeRig &rig, std::size_t instance, RigRequest request)
{
    request.instance = instance;
    return rig.send(request);
}

bool isRepeatOf(const tests::Arrival &arrival, const RigRequest &request)
{
    return arrival.target == request.target && arrival.body == request.body;
}

/// A stream has a prompt. Its last part belongs to one sending of the request only.
RigRequest makeRequest(bool isStream, const std::string &name, std::uint64_t subject, std::uint64_t sending)
{
    if (!isStream) {
        return RigRequest{.target = "/plain/" + name, .parts = {}, .body = "body of " + name};
    }
    return RigRequest{.target = "/chat/" + name, .parts = {"a1", "beef" + std::to_string(subject), "c" + std::to_string(sending)}, .body = "body of " + name};
}

/// Sound requests, 40 a second: of each kind 10 that are repeated every second, and 10 a second that are sent once.
class SoundTraffic
{
public:
    SoundTraffic(tests::EdgeRig &rig, pcg32 &random, std::chrono::milliseconds duration)
        : m_rig(rig)
        , m_random(random)
        , m_start(rig.now())
    {
        constexpr auto Interval = 25ms;
        std::size_t number = 0;
        for (auto at = 0ms; at < duration; at += Interval, ++number) {
            rig.schedule(at, [this, number] { sendNext(number); });
        }
    }

    [[nodiscard]] std::size_t pickInstance()
    {
        return m_rig.pickRunning(m_random);
    }

    /// Share of the requests sent between two times since the start that were delivered whole.
    [[nodiscard]] double deliveredShare(core::Duration from, core::Duration to) const
    {
        return tests::deliveredShare(m_rig, m_sent, m_start + from, m_start + to);
    }

private:
    void sendNext(std::size_t number)
    {
        constexpr std::size_t PerSecond = 40;
        constexpr std::uint32_t SubjectCount = 12;
        const bool isStream = number % 2 == 0;
        const bool isPoll = number % 4 < 2;
        const std::string name = isPoll ? "poll" + std::to_string(number % PerSecond) : "once" + std::to_string(number);
        const std::uint64_t subject = isPoll ? number % PerSecond % SubjectCount : m_random() % SubjectCount;
        m_sent.push_back(sendTo(m_rig, pickInstance(), makeRequest(isStream, name, subject, number)));
    }

    tests::EdgeRig &m_rig;
    pcg32 &m_random;
    core::TimePoint m_start;
    std::vector<std::size_t> m_sent;
};

} // namespace

TEST_CASE("a request that crashes each upstream that runs it is kept from them after the third crash", "[rig]")
{
    const std::uint64_t first = tests::environmentNumber("ARBUTUS_RIG_FIRST_SEED", 1);
    for (std::uint64_t seed = first; seed < first + tests::environmentNumber("ARBUTUS_RIG_SEEDS", 2); ++seed) {
        CAPTURE(seed);
        pcg32 random(seed);
        tests::EdgeRig rig(tests::EdgeRigOptions{.seed = seed, .plainUpstreamsPerRegion = 4});
        constexpr std::uint64_t HarmfulSubject = 0;
        const std::vector<RigRequest> harmful = {makeRequest(false, "bad", HarmfulSubject, 0), makeRequest(true, "bad", HarmfulSubject, 0)};
        rig.crashingRequests = harmful;
        rig.runFor(1'500ms); // membership and configuration
        SoundTraffic traffic(rig, random, WarmUp + CrashingTime);
        std::uint64_t repeats = 0;
        constexpr auto RepeatInterval = 200ms;
        for (auto at = std::chrono::milliseconds(WarmUp); at < WarmUp + CrashingTime; at += RepeatInterval) {
            rig.schedule(at, [&] {
                ++repeats;
                sendTo(rig, traffic.pickInstance(), makeRequest(false, "bad", HarmfulSubject, repeats));
                sendTo(rig, traffic.pickInstance(), makeRequest(true, "bad", HarmfulSubject, repeats));
            });
        }

        constexpr std::size_t OtherCrashes = 6; // of upstreams, for reasons that are not the requests'
        tests::scheduleDisruptions(rig, random, WarmUp, OtherCrashes);
        rig.runFor(WarmUp + CrashingTime + 1'000ms);

        const double before = traffic.deliveredShare(0ms, WarmUp);
        const double after = traffic.deliveredShare(WarmUp + 2 * StabilityWindow, WarmUp + CrashingTime);
        std::cout << "seed " << seed << ": sound requests delivered " << before << " before, " << after << " after" << std::endl;
        for (const RigRequest &request : harmful) {
            const std::vector<core::TimePoint> &crashes = rig.requestCrashes(request);
            const auto isHarmful = [&](const tests::Arrival &arrival) { return isRepeatOf(arrival, request); };
            const auto arrivals = std::count_if(rig.arrivals().begin(), rig.arrivals().end(), isHarmful);
            const std::size_t lateArrivals = tests::countLateArrivals(rig, crashes, CrashesUntilRuleHolds, StabilityWindow, isHarmful);
            std::cout << "  " << request.target << ": crashes " << crashes.size() << ", arrivals " << arrivals << " of " << repeats
                      << " requests, late arrivals " << lateArrivals << std::endl;
            CAPTURE(request.target);
            CHECK_FALSE(crashes.empty()); // the request does crash upstreams
            CHECK(lateArrivals <= MaxLateArrivals);
        }
        CHECK(after >= MinSoundShare * before);
        for (std::size_t i = 0; i < rig.instanceCount(); ++i) { // also those that were restarted, and those that saw no crash
            CAPTURE(rig.instanceId(i));
            const std::string metrics = rig.metricsText(i);
            CHECK(metrics.find("arbutus_quarantined_requests 2\n") != std::string::npos); // and no sound request
            CHECK(metrics.find("arbutus_quarantined_prompt_parts 0\n") != std::string::npos);
        }
    }
}

TEST_CASE("a request under which two upstreams have crashed is not sent to a third", "[rig]")
{
    const bool isStream = GENERATE(false, true);
    CAPTURE(isStream);
    tests::EdgeRig rig(tests::EdgeRigOptions{.plainUpstreamsPerRegion = 4});
    const RigRequest harmful = makeRequest(isStream, "bad", 0, 0);
    rig.crashingRequests = {harmful};
    rig.runFor(1'500ms); // membership and configuration
    const std::size_t request = sendTo(rig, 0, harmful);
    rig.runFor(1'500ms);
    CHECK(rig.requestCrashes(harmful).size() == 2);
    CHECK(rig.result(request).status == 502); // it may have run
}

TEST_CASE("a request that may run only once is refused after its client's repeats have crashed three upstreams", "[rig]")
{
    tests::EdgeRig rig(tests::EdgeRigOptions{.plainUpstreamsPerRegion = 4});
    const RigRequest harmful{.target = "/once/bad", .parts = {}, .body = "body"};
    const RigRequest sound{.target = "/once/bad", .parts = {}, .body = "other body"};
    rig.crashingRequests = {harmful};
    rig.runFor(1'500ms); // membership and configuration
    constexpr std::size_t CrashesUntilRefused = 3;
    for (std::size_t i = 0; i < CrashesUntilRefused; ++i) {
        const std::size_t request = sendTo(rig, i, harmful);
        rig.runFor(400ms);
        CHECK(rig.result(request).status == 502); // it may have run
    }
    REQUIRE(rig.requestCrashes(harmful).size() == CrashesUntilRefused);
    for (std::size_t i = 0; i < rig.instanceCount(); ++i) {
        CAPTURE(rig.instanceId(i));
        const std::size_t refused = sendTo(rig, i, harmful);
        const std::size_t answered = sendTo(rig, i, sound);
        rig.runFor(300ms);
        CHECK(rig.result(refused).status == 503);
        CHECK(rig.result(refused).retryAfter == "60.00");
        CHECK(rig.result(answered).status == 200);
    }
    CHECK(rig.requestCrashes(harmful).size() == CrashesUntilRefused);
}
