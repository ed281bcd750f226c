// Token bucket, retry budget, distributed workspace limits, admission queue and memory for bodies.

#include "arbutus/limits/admissionqueue.h"
#include "arbutus/limits/bytebudget.h"
#include "arbutus/limits/connectionbudget.h"
#include "arbutus/limits/tokenbucket.h"
#include "arbutus/limits/workspacelimits.h"
#include "support/schedules.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <list>

using namespace arbutus;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start(100s);

config::WorkspacePolicy makePolicy(double rate, std::uint32_t concurrency = 1000)
{
    config::WorkspacePolicy policy;
    policy.workspace = core::WorkspaceId("w");
    policy.limits = config::RequestLimits{rate, rate, concurrency};
    return policy;
}

} // namespace

TEST_CASE("a token bucket grants its configured rate and no more", "[limits]")
{
    limits::TokenBucket bucket(10, 5, Start);
    int acquired = 0;
    for (core::TimePoint now = Start; now < Start + 10s; now += 10ms) {
        acquired += bucket.tryAcquire(now) ? 1 : 0;
    }
    REQUIRE(acquired >= 103);
    REQUIRE(acquired <= 105);
    REQUIRE(bucket.timeUntilNextToken(Start + 10s) <= 100ms);
    bucket.setRate(1000, 2, Start + 10s);
    REQUIRE(bucket.tryAcquire(Start + 20s));
    REQUIRE(bucket.tryAcquire(Start + 20s));
    REQUIRE_FALSE(bucket.tryAcquire(Start + 20s));
}

TEST_CASE("retries are limited to a fraction of first attempts", "[limits]")
{
    limits::RetryBudget budget(0.1, 10);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.recordFirstAttempt();
        retries += budget.tryRetry() ? 1 : 0;
    }
    REQUIRE(retries <= 110);
    REQUIRE(retries >= 100);
}

TEST_CASE("a workspace over its rate limit is rejected with a retry delay", "[limits]")
{
    limits::WorkspaceLimits limits;
    const config::WorkspacePolicy policy = makePolicy(10);
    int admitted = 0;
    core::Error lastError;
    for (int i = 0; i < 100; ++i) {
        const auto result = limits.admit(policy, limits::LimitPartition{1, 0}, Start);
        admitted += result ? 1 : 0;
        if (!result) {
            lastError = result.error();
        }
    }
    REQUIRE(admitted == 10);
    REQUIRE(lastError.kind == core::ErrorKind::RateLimited);
    REQUIRE(lastError.retryAfter > 0ms);
    REQUIRE(lastError.retryAfter <= 200ms);
}

TEST_CASE("the concurrency limit is divided between instances and freed by release()", "[limits]")
{
    limits::WorkspaceLimits limits;
    const config::WorkspacePolicy policy = makePolicy(1000, 8);
    const limits::LimitPartition partition{4, 3};
    REQUIRE(limits.admit(policy, partition, Start));
    REQUIRE(limits.admit(policy, partition, Start));
    REQUIRE_FALSE(limits.admit(policy, partition, Start));
    limits.release(policy.workspace);
    REQUIRE(limits.admit(policy, partition, Start));
    REQUIRE(limits.inFlight(policy.workspace) == 2);
}

TEST_CASE("the sum of all rate shares stays within 1.5 times the limit when demand reports are lost", "[limits][property]")
{
    REQUIRE(tests::checkSchedules("sum of rate shares", 2'000, [] {
        const auto instances = *rc::gen::inRange<std::size_t>(1, 9);
        const auto schedule = *rc::gen::container<std::vector<std::pair<std::size_t, std::size_t>>>(
            rc::gen::pair(rc::gen::inRange<std::size_t>(0, 8), rc::gen::inRange<std::size_t>(0, 1000)));
        const config::WorkspacePolicy policy = makePolicy(100);
        const limits::LimitPartition partition{instances, instances - 1};
        std::vector<limits::WorkspaceLimits> nodes(instances);
        core::TimePoint now = Start;
        const auto totalRate = [&] {
            double sum = 0;
            for (const auto &node : nodes) {
                sum += node.rateShare(policy, partition, now);
            }
            return sum;
        };
        for (const auto &[target, value] : schedule) {
            limits::WorkspaceLimits &node = nodes[target % instances];
            for (std::size_t i = 0; i < value % 20; ++i) {
                (void)node.admit(policy, partition, now);
            }
            if (value % 3 != 0) { // drop some demand reports
                for (std::size_t other = 0; other < instances; ++other) {
                    for (const limits::WorkspaceDemand &demand : node.localDemand(now)) {
                        if (other != target % instances && value % 5 != other) {
                            nodes[other].updateRemoteDemand("instance:" + std::to_string(target % instances), demand, now);
                        }
                    }
                }
            }
            now += std::chrono::milliseconds(value);
            RC_ASSERT(totalRate() <= 150.0 + 1e-6);
        }
    }));
}

TEST_CASE("the instance with the most demand gets most of the limit", "[limits]")
{
    const config::WorkspacePolicy policy = makePolicy(100);
    const limits::LimitPartition partition{3, 2};
    limits::WorkspaceLimits busy;
    limits::WorkspaceLimits idle;
    for (int i = 0; i < 50; ++i) {
        (void)busy.admit(policy, partition, Start + i * 20ms);
    }
    (void)idle.admit(policy, partition, Start);
    const core::TimePoint now = Start + 1s;
    for (const char *source : {"instance:b", "instance:c"}) {
        busy.updateRemoteDemand(source, limits::WorkspaceDemand{policy.workspace, 0.1}, now);
        idle.updateRemoteDemand(source, limits::WorkspaceDemand{policy.workspace, 50}, now);
    }
    REQUIRE(busy.rateShare(policy, partition, now) > 60);
    REQUIRE(idle.rateShare(policy, partition, now) < 20);
    REQUIRE(busy.rateShare(policy, partition, now + 6s) == Approx(100.0 / 3)); // remote reports have expired: even shares
}

TEST_CASE("the admission queue releases by urgency, then by start deadline, and holds nothing past its deadline", "[limits]")
{
    limits::AdmissionQueue queue(3);
    REQUIRE_FALSE(queue.add({config::Urgency::Background, Start + 5s, 1}));
    REQUIRE_FALSE(queue.add({config::Urgency::Normal, Start + 9s, 2}));
    REQUIRE_FALSE(queue.add({config::Urgency::Background, Start + 3s, 3}));
    REQUIRE(queue.front() == 2U);
    REQUIRE(queue.add({config::Urgency::Urgent, Start + 9s, 4}) == 1U);      // least urgent, latest start deadline
    REQUIRE(queue.add({config::Urgency::Background, Start + 99s, 5}) == 5U); // the new request itself
    REQUIRE(queue.front() == 4U);
    REQUIRE(queue.popDue(Start + 2s).empty());
    REQUIRE(queue.popDue(Start + 3s) == std::vector<limits::QueuedRequestKey>{3});
    queue.remove(4);
    REQUIRE(queue.popAll() == std::vector<limits::QueuedRequestKey>{2});
    REQUIRE(queue.size() == 0);
}

TEST_CASE("memory for bodies: the largest response gives way, and a request is refused", "[limits]")
{
    struct Hold
    {
        limits::HolderKind kind;
        const char *upstream;
        std::size_t bytes;
        bool isKept = false;
    };
    struct Row
    {
        const char *title;
        std::vector<Hold> before;
        Hold last;
        bool isGranted;
        std::set<std::size_t> evicted; // of `before`, by index
    };
    using enum limits::HolderKind;
    const auto row = GENERATE(values<Row>({
        {"room for all", {{Response, "a", 20}, {Request, "", 20}}, {Response, "b", 20}, true, {}},
        {"share of the upstream: the largest of it gives way", {{Response, "a", 15}, {Response, "b", 24}}, {Response, "a", 11}, true, {0}},
        {"share of the upstream: the new one is the largest", {{Response, "a", 5}}, {Response, "a", 21}, false, {}},
        {"total: the largest of all gives way",
         {{Response, "a", 25}, {Response, "b", 24}, {Response, "c", 24}, {Response, "d", 24}},
         {Response, "e", 10},
         true,
         {0}},
        {"total: a complete one is kept",
         {{Response, "a", 25, true}, {Response, "b", 24}, {Response, "c", 25, true}, {Response, "d", 20, true}},
         {Response, "e", 10},
         true,
         {1}},
        {"requests have half", {{Request, "", 45}}, {Request, "", 6}, false, {}},
        {"a large request leaves room for smaller ones", {{Request, "", 24}}, {Request, "", 14}, false, {}},
        {"a small request beside large ones", {{Request, "", 24}, {Request, "", 12}, {Request, "", 6}}, {Request, "", 4}, true, {}},
        {"responses leave room for a small request",
         {{Response, "a", 25}, {Response, "b", 24}, {Response, "c", 24}, {Response, "d", 24}},
         {Request, "", 4},
         true,
         {0}},
        {"a single request may have more", {}, {Request, "", 60}, true, {}},
        {"a request makes no response give way",
         {{Response, "a", 25}, {Response, "b", 25}, {Response, "c", 25}, {Request, "", 20}},
         {Request, "", 10},
         false,
         {}},
    }));
    CAPTURE(row.title);
    const auto budget = std::make_shared<limits::ByteBudget>(limits::ByteBudgetSettings::of(100));
    std::list<limits::ByteHold> holds;
    std::set<std::size_t> evicted;
    std::size_t expected = row.isGranted ? row.last.bytes : 0;
    for (std::size_t i = 0; i < row.before.size(); ++i) {
        const Hold &hold = row.before[i];
        limits::ByteHold &added = holds.emplace_back(budget, hold.kind, hold.upstream, [&evicted, i] { evicted.insert(i); });
        REQUIRE(added.resize(hold.bytes));
        if (hold.isKept) {
            added.keep();
        }
        expected += row.evicted.contains(i) ? 0 : hold.bytes;
    }
    CHECK(holds.emplace_back(budget, row.last.kind, row.last.upstream).resize(row.last.bytes) == row.isGranted);
    CHECK(evicted == row.evicted);
    CHECK(budget->usedBytes() == expected);
    holds.clear();
    CHECK(budget->usedBytes() == 0);
}

TEST_CASE("the connection that costs its client the least gives way", "[limits]")
{
    using limits::ConnectionState;
    struct Row
    {
        const char *name;
        std::vector<ConnectionState> states; // of the connections, in the order in which they took them
        std::optional<std::size_t> evicted;  // none: the new connection gets no place
    };
    const auto row = GENERATE(values<Row>({
        {"the oldest without a head", {ConnectionState::Idle, ConnectionState::New, ConnectionState::New}, 1},
        {"the oldest idle one", {ConnectionState::Busy, ConnectionState::Idle, ConnectionState::Idle}, 1},
        {"an idle one before a body", {ConnectionState::ReadingBody, ConnectionState::Closing, ConnectionState::Idle}, 2},
        {"a body before one that closes", {ConnectionState::Closing, ConnectionState::Busy, ConnectionState::ReadingBody}, 2},
        {"one that closes", {ConnectionState::Busy, ConnectionState::Closing, ConnectionState::Busy}, 1},
        {"requests that are handled keep theirs", {ConnectionState::Busy, ConnectionState::Busy, ConnectionState::Busy}, std::nullopt},
    }));
    CAPTURE(row.name);
    const auto budget = std::make_shared<limits::ConnectionBudget>(row.states.size());
    std::vector<std::unique_ptr<limits::ConnectionPlace>> places;
    std::vector<std::size_t> evicted;
    for (const ConnectionState state : row.states) {
        const std::size_t index = places.size();
        places.push_back(std::make_unique<limits::ConnectionPlace>(budget, [&evicted, index] { evicted.push_back(index); }));
        REQUIRE(places.back()->isGranted());
        places.back()->setState(state);
    }
    const limits::ConnectionPlace added(budget);
    CHECK(added.isGranted() == row.evicted.has_value());
    CHECK(evicted == (row.evicted ? std::vector{*row.evicted} : std::vector<std::size_t>{}));
    CHECK(budget->usedPlaces() == row.states.size());
    CHECK(budget->evictedCount() == evicted.size());
    places.clear(); // also that of the evicted one, which holds none
    CHECK(budget->usedPlaces() == (row.evicted ? 1 : 0));
}

TEST_CASE("a request larger than the share of requests is granted alone, up to what the configuration allows", "[limits]")
{
    struct Row
    {
        std::size_t allowed;
        std::size_t bytes;
        bool isGranted;
    };
    const auto row = GENERATE(values<Row>({{100, 500, true}, {100, 501, false}, {2'000, 2'000, true}, {2'000, 2'001, false}}));
    CAPTURE(row.allowed, row.bytes);
    const auto budget = std::make_shared<limits::ByteBudget>(limits::ByteBudgetSettings::of(1'000));
    budget->allowSingleRequest(row.allowed);
    limits::ByteHold hold(budget, limits::HolderKind::Request, "");
    CHECK(hold.resize(row.bytes) == row.isGranted);
}
