// Prompt parts that crash upstreams, in a deployment of several instances in two regions over loopback.
//
// ARBUTUS_RIG_SEEDS is the number of seeds to run, ARBUTUS_RIG_FIRST_SEED the first one.

#include "support/edgerig.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

// The users' rule: later than StabilityWindow after the fifth crash, at most MaxLateArrivals requests with the part reach upstreams,
// sent by instances without a disruption in the last StabilityWindow.
constexpr core::Duration StabilityWindow = 5s;
constexpr std::size_t CrashesUntilRuleHolds = 5;
constexpr std::size_t MaxLateArrivals = 3;
// Sound requests are delivered at least half as often as before the crashes.
constexpr double MinSoundShare = 0.5;

constexpr auto WarmUp = 2'500ms;
constexpr auto CrashingTime = 13'000ms;

std::uint64_t environmentNumber(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? fallback : std::stoull(text);
}

struct Traffic
{
    std::vector<std::size_t> sound;   // requests by number
    std::vector<std::size_t> harmful; // with the crashing part
};

/// Sends sound and, after `harmfulAfter`, harmful requests to running instances.
class TrafficSource
{
public:
    TrafficSource(tests::EdgeRig &rig, pcg32 &random, Traffic &traffic, std::chrono::milliseconds duration, std::chrono::milliseconds harmfulAfter)
        : m_rig(rig)
        , m_random(random)
        , m_traffic(traffic)
    {
        constexpr auto SoundInterval = 25ms;
        constexpr auto HarmfulInterval = 120ms;
        for (auto at = 0ms; at < duration; at += SoundInterval) {
            rig.schedule(at, [this] { m_traffic.sound.push_back(send("beef" + std::to_string(m_random() % 12))); });
        }
        for (auto at = harmfulAfter; at < duration; at += HarmfulInterval) {
            rig.schedule(at, [this] { m_traffic.harmful.push_back(send("bad0")); });
        }
    }

private:
    std::size_t send(const std::string &part)
    {
        std::size_t instance = m_random() % m_rig.instanceCount();
        while (!m_rig.isRunning(instance)) {
            instance = (instance + 1) % m_rig.instanceCount();
        }
        return m_rig.send(instance, {"a1", part, "c" + std::to_string(m_next++)});
    }

    tests::EdgeRig &m_rig;
    pcg32 &m_random;
    Traffic &m_traffic;
    std::uint64_t m_next = 0;
};

double deliveredShare(const tests::EdgeRig &rig, const std::vector<std::size_t> &requests, core::TimePoint from, core::TimePoint to)
{
    double sent = 0;
    double delivered = 0;
    for (const std::size_t request : requests) {
        const tests::ClientResult &result = rig.result(request);
        if (result.sentAt >= from && result.sentAt < to) {
            ++sent;
            delivered += result.status == 200 ? 1 : 0;
        }
    }
    return sent == 0 ? 0 : delivered / sent;
}

} // namespace

TEST_CASE("requests with a prompt part that crashes upstreams are kept from them after the fifth crash", "[rig]")
{
    const std::uint64_t first = environmentNumber("ARBUTUS_RIG_FIRST_SEED", 1);
    for (std::uint64_t seed = first; seed < first + environmentNumber("ARBUTUS_RIG_SEEDS", 2); ++seed) {
        CAPTURE(seed);
        pcg32 random(seed);
        tests::EdgeRig rig(tests::EdgeRigOptions{.seed = seed});
        rig.crashingParts = {"bad0"};
        rig.runFor(1'500ms); // membership and configuration
        Traffic traffic;
        TrafficSource source(rig, random, traffic, WarmUp + CrashingTime, WarmUp);
        const core::TimePoint start = rig.now();

        // Disruptions around the first crashes and later: a kill with a restart, a freeze, the store, and crashes for other reasons.
        const auto randomTime = [&](std::chrono::milliseconds from, std::chrono::milliseconds to) {
            return from + std::chrono::milliseconds(random() % static_cast<std::uint32_t>((to - from).count()));
        };
        const std::size_t killed = random() % rig.instanceCount();
        const std::size_t frozen = (killed + 1 + random() % (rig.instanceCount() - 1)) % rig.instanceCount();
        const std::size_t cut = random() % rig.instanceCount();
        const auto killAt = randomTime(WarmUp, WarmUp + 6'000ms);
        rig.schedule(killAt, [&] { rig.kill(killed); });
        rig.schedule(killAt + 900ms, [&] { rig.start(killed); });
        rig.schedule(randomTime(WarmUp - 200ms, WarmUp + 1'500ms), [&] { rig.freeze(frozen, 1'500ms); });
        const auto cutAt = randomTime(WarmUp, WarmUp + 6'000ms);
        rig.schedule(cutAt, [&] { rig.setStoreCut(cut, true); });
        rig.schedule(cutAt + 2'000ms, [&] { rig.setStoreCut(cut, false); });
        for (int i = 0; i < 3; ++i) {
            const std::size_t upstream = random() % rig.upstreamCount();
            rig.schedule(randomTime(500ms, WarmUp + 9'000ms), [&rig, upstream] { rig.upstream(upstream).crash(); });
        }
        rig.runFor(WarmUp + CrashingTime + 1'000ms);

        const std::vector<core::TimePoint> &crashes = rig.partCrashes();
        std::size_t lateArrivals = 0;
        std::size_t harmfulArrivals = 0;
        for (const tests::Arrival &arrival : rig.arrivals()) {
            if (arrival.hasPart("bad0")) {
                ++harmfulArrivals;
                const bool ruleHolds = crashes.size() >= CrashesUntilRuleHolds && arrival.at > crashes[CrashesUntilRuleHolds - 1] + StabilityWindow;
                lateArrivals += ruleHolds && rig.wasUndisturbed(arrival.sender, arrival.at, StabilityWindow) ? 1 : 0;
            }
        }
        const double before = deliveredShare(rig, traffic.sound, start, start + WarmUp);
        const double after = deliveredShare(rig, traffic.sound, start + WarmUp + 2 * StabilityWindow, start + WarmUp + CrashingTime);
        std::cout << "seed " << seed << ": crashes by the part " << crashes.size() << ", arrivals with the part " << harmfulArrivals << " of "
                  << traffic.harmful.size() << " requests, late arrivals " << lateArrivals << ", sound requests delivered " << before << " before, " << after
                  << " after" << std::endl;
        CHECK_FALSE(crashes.empty()); // the part does crash upstreams
        CHECK(lateArrivals <= MaxLateArrivals);
        CHECK(after >= MinSoundShare * before);
    }
}
