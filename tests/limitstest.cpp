// Limits: buckets, shares with their bound, the waiting room, the retry budget.

#include "arbutus/limits/admissionqueue.h"
#include "arbutus/limits/tokenbucket.h"
#include "arbutus/limits/workspacelimits.h"
#include "support/schedules.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start(100s);

config::WorkspacePolicy policyOf(double rate, std::uint32_t concurrency = 1000)
{
    config::WorkspacePolicy policy;
    policy.workspace = core::WorkspaceId("w");
    policy.limits = config::RequestLimits{rate, rate, concurrency};
    return policy;
}

} // namespace

TEST_CASE("a token bucket gives its rate and no more", "[limits]")
{
    limits::TokenBucket bucket(10, 5, Start);
    int taken = 0;
    for (core::TimePoint now = Start; now < Start + 10s; now += 10ms) {
        taken += bucket.tryAcquire(now) ? 1 : 0;
    }
    REQUIRE(taken >= 103);
    REQUIRE(taken <= 105);
    REQUIRE(bucket.timeUntilNextToken(Start + 10s) <= 100ms);
    bucket.setRate(1000, 2, Start + 10s);
    REQUIRE(bucket.tryAcquire(Start + 20s));
    REQUIRE(bucket.tryAcquire(Start + 20s));
    REQUIRE_FALSE(bucket.tryAcquire(Start + 20s));
}

TEST_CASE("retries are a share of first attempts", "[limits]")
{
    limits::RetryBudget budget(0.1, 10);
    int retried = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.recordFirstAttempt();
        retried += budget.tryRetry() ? 1 : 0;
    }
    REQUIRE(retried <= 110);
    REQUIRE(retried >= 100);
}

TEST_CASE("a workspace over its share is refused with advice", "[limits]")
{
    limits::WorkspaceLimits limits;
    const config::WorkspacePolicy policy = policyOf(10);
    int admitted = 0;
    core::Error last;
    for (int i = 0; i < 100; ++i) {
        const auto result = limits.admit(policy, limits::LimitPartition{1, 0}, Start);
        admitted += result ? 1 : 0;
        if (!result) {
            last = result.error();
        }
    }
    REQUIRE(admitted == 10);
    REQUIRE(last.kind == core::ErrorKind::RateLimited);
    REQUIRE(last.retryAfter > 0ms);
    REQUIRE(last.retryAfter <= 200ms);
}

TEST_CASE("concurrency is shared and released", "[limits]")
{
    limits::WorkspaceLimits limits;
    const config::WorkspacePolicy policy = policyOf(1000, 8);
    const limits::LimitPartition sharing{4, 3};
    REQUIRE(limits.admit(policy, sharing, Start));
    REQUIRE(limits.admit(policy, sharing, Start));
    REQUIRE_FALSE(limits.admit(policy, sharing, Start));
    limits.release(policy.workspace);
    REQUIRE(limits.admit(policy, sharing, Start));
    REQUIRE(limits.inFlight(policy.workspace) == 2);
}

TEST_CASE("shares follow demand, and their sum stays within the stated bound whatever is lost", "[limits][property]")
{
    REQUIRE(tests::checkSchedules("sum of shares", 2'000, [] {
        const auto instances = *rc::gen::inRange<std::size_t>(1, 9);
        const auto schedule = *rc::gen::container<std::vector<std::pair<std::size_t, std::size_t>>>(
            rc::gen::pair(rc::gen::inRange<std::size_t>(0, 8), rc::gen::inRange<std::size_t>(0, 1000)));
        const config::WorkspacePolicy policy = policyOf(100);
        const limits::LimitPartition sharing{instances, instances - 1};
        std::vector<limits::WorkspaceLimits> nodes(instances);
        core::TimePoint now = Start;
        const auto sumOfShares = [&] {
            double sum = 0;
            for (const auto &node : nodes) {
                sum += node.rateShare(policy, sharing, now);
            }
            return sum;
        };
        for (const auto &[target, value] : schedule) {
            limits::WorkspaceLimits &node = nodes[target % instances];
            for (std::size_t i = 0; i < value % 20; ++i) {
                (void)node.admit(policy, sharing, now);
            }
            if (value % 3 != 0) { // some reports are lost
                for (std::size_t other = 0; other < instances; ++other) {
                    for (const limits::WorkspaceDemand &demand : node.localDemand(now)) {
                        if (other != target % instances && value % 5 != other) {
                            nodes[other].updateRemoteDemand("instance:" + std::to_string(target % instances), demand, now);
                        }
                    }
                }
            }
            now += std::chrono::milliseconds(value);
            RC_ASSERT(sumOfShares() <= 150.0 + 1e-6);
        }
    }));
}

TEST_CASE("the instance with the demand gets most of the limit", "[limits]")
{
    const config::WorkspacePolicy policy = policyOf(100);
    const limits::LimitPartition sharing{3, 2};
    limits::WorkspaceLimits busy;
    limits::WorkspaceLimits idle;
    for (int i = 0; i < 50; ++i) {
        (void)busy.admit(policy, sharing, Start + i * 20ms);
    }
    (void)idle.admit(policy, sharing, Start);
    const core::TimePoint now = Start + 1s;
    for (const char *source : {"instance:b", "instance:c"}) {
        busy.updateRemoteDemand(source, limits::WorkspaceDemand{policy.workspace, 0.1}, now);
        idle.updateRemoteDemand(source, limits::WorkspaceDemand{policy.workspace, 50}, now);
    }
    REQUIRE(busy.rateShare(policy, sharing, now) > 60);
    REQUIRE(idle.rateShare(policy, sharing, now) < 20);
    REQUIRE(busy.rateShare(policy, sharing, now + 6s) == Approx(100.0 / 3)); // the others fell silent
}

TEST_CASE("the waiting room releases by urgency, then by latest start, and is never late", "[limits]")
{
    limits::AdmissionQueue room(3);
    REQUIRE_FALSE(room.add({config::Urgency::Background, Start + 5s, 1}));
    REQUIRE_FALSE(room.add({config::Urgency::Normal, Start + 9s, 2}));
    REQUIRE_FALSE(room.add({config::Urgency::Background, Start + 3s, 3}));
    REQUIRE(room.front() == 2U);
    REQUIRE(room.add({config::Urgency::Urgent, Start + 9s, 4}) == 1U);      // the least urgent with the latest start
    REQUIRE(room.add({config::Urgency::Background, Start + 99s, 5}) == 5U); // the newcomer itself
    REQUIRE(room.front() == 4U);
    REQUIRE(room.popDue(Start + 2s).empty());
    REQUIRE(room.popDue(Start + 3s) == std::vector<limits::QueuedRequestKey>{3});
    room.remove(4);
    REQUIRE(room.popAll() == std::vector<limits::QueuedRequestKey>{2});
    REQUIRE(room.size() == 0);
}
