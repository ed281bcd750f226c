// Time of one routing decision by number of upstreams, for the scored router, the baselines and the dispatcher.

#include "arbutus/routing/dispatcher.h"
#include "arbutus/routing/router.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <deque>

using namespace arbutus;

namespace {

routing::UpstreamTable makeTable(std::size_t count)
{
    routing::UpstreamTable table(routing::UpstreamTableSettings{});
    std::vector<routing::UpstreamDescriptor> descriptors;
    for (std::size_t i = 0; i < count; ++i) {
        routing::UpstreamDescriptor descriptor;
        descriptor.id = core::UpstreamId("u" + std::to_string(i));
        descriptor.region = core::RegionId("r");
        descriptor.domain = core::DomainId("d");
        descriptor.models = {core::ModelId("m")};
        descriptor.price = 1.0 + static_cast<double>(i % 7) / 10;
        descriptors.push_back(std::move(descriptor));
    }
    table.updateUpstreams(descriptors);
    return table;
}

void decide(benchmark::State &state, const char *name)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    const routing::UpstreamTable table = makeTable(count);
    routing::Router router = routing::makeRouter(name, {}, 1).value();
    routing::RoutingRequest request;
    request.model = core::ModelId("m");
    request.allowedRegions = {core::RegionId("r")};
    request.promptTokens = 800;
    for (std::uint64_t i = 0; i < 12; ++i) {
        request.prefixBlocks.push_back(i * 77);
    }
    const core::TimePoint now(std::chrono::seconds(100));
    for (auto unused : state) {
        request.prefixBlocks.front() += 1;
        benchmark::DoNotOptimize(routing::choose(router, request, table, now));
    }
}

/// Placement of a prompt of three parts among engines of one region that have up to 20 requests in flight on average.
void dispatch(benchmark::State &state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    const core::ServiceId model("m");
    catalog::Service service;
    service.id = model;
    service.engine = catalog::EngineConfig{64, 230'000, 5};
    const catalog::CatalogPointer catalog =
        std::make_shared<catalog::Catalog>(catalog::CatalogVersion(1), std::vector<catalog::Route>{}, std::vector{service}, catalog::ClientLimits{});
    const std::map<core::DomainId, core::RegionId> regions{{core::DomainId("d"), core::RegionId("r")}};
    std::vector<routing::Announcement> announcements;
    for (std::size_t i = 0; i < count; ++i) {
        routing::Announcement announcement;
        announcement.id = core::UpstreamId("u" + std::to_string(i));
        announcement.service = model;
        announcement.domain = core::DomainId("d");
        announcement.slots = 64;
        announcement.startTime = routing::StartTime(1);
        announcements.push_back(std::move(announcement));
    }
    core::TimePoint now(std::chrono::seconds(100));
    routing::UpstreamRegistry registry;
    registry.applySnapshot(routing::SnapshotRevision(1), announcements, false, now);
    routing::Dispatcher dispatcher({}, routing::DispatcherView{core::RegionId("r"), regions, registry, catalog}, now);
    const auto makeRequest = [&](std::uint64_t number) {
        routing::PlacementRequest request;
        request.id = routing::PlacementId(std::to_string(number));
        request.service = model;
        request.latencyDeadline = now + std::chrono::seconds(1);
        request.responseDeadline = now + std::chrono::seconds(4);
        request.completionDeadline = now + std::chrono::seconds(15);
        request.prompt = {{number % 4, 2'500}, {number % 400, 3'800}, {number, 700}};
        request.promptTokens = 7'000;
        request.outputTokens = 50;
        return request;
    };
    std::uint64_t number = 0;
    std::deque<std::pair<routing::PlacementId, core::UpstreamId>> running;
    for (auto unused : state) {
        state.PauseTiming();
        now += std::chrono::milliseconds(300);
        const routing::PlacementRequest request = makeRequest(++number);
        state.ResumeTiming();
        const routing::PlacementDecision decision = dispatcher.requestPlacement(request, now);
        state.PauseTiming();
        if (const auto *granted = std::get_if<routing::Granted>(&decision)) {
            running.emplace_back(request.id, granted->upstream);
        }
        if (running.size() > count * 20) {
            dispatcher.recordCompletion(running.front().first, running.front().second, routing::SendOutcome::Completed, now);
            running.pop_front();
        }
        state.ResumeTiming();
    }
}

/// A request among 100 engines without a free slot, with 1,000 requests queued. Every tenth decision comes after a scan is due.
void dispatchQueued(benchmark::State &state, routing::QueueOrderKind order)
{
    constexpr std::size_t EngineCount = 100;
    constexpr std::size_t QueueLength = 1'000;
    const core::ServiceId model("m");
    catalog::Service service;
    service.id = model;
    service.engine = catalog::EngineConfig{2, 230'000, 5};
    const catalog::CatalogPointer catalog =
        std::make_shared<catalog::Catalog>(catalog::CatalogVersion(1), std::vector<catalog::Route>{}, std::vector{service}, catalog::ClientLimits{});
    const std::map<core::DomainId, core::RegionId> regions{{core::DomainId("d"), core::RegionId("r")}};
    std::vector<routing::Announcement> announcements;
    for (std::size_t i = 0; i < EngineCount; ++i) {
        routing::Announcement announcement;
        announcement.id = core::UpstreamId("u" + std::to_string(i));
        announcement.service = model;
        announcement.domain = core::DomainId("d");
        announcement.slots = 2;
        announcement.startTime = routing::StartTime(1);
        announcements.push_back(std::move(announcement));
    }
    core::TimePoint now(std::chrono::seconds(100));
    routing::UpstreamRegistry registry;
    registry.applySnapshot(routing::SnapshotRevision(1), announcements, false, now);
    routing::DispatcherSettings settings;
    settings.queueOrder = order;
    settings.reportTimeout = std::chrono::hours(1); // nothing in the queue or in flight expires
    routing::Dispatcher dispatcher(settings, routing::DispatcherView{core::RegionId("r"), regions, registry, catalog}, now);
    std::uint64_t number = 0;
    const auto makeRequest = [&]() {
        routing::PlacementRequest request;
        request.id = routing::PlacementId(std::to_string(++number));
        request.service = model;
        request.latencyDeadline = now + std::chrono::hours(1);
        request.responseDeadline = now + std::chrono::hours(2);
        request.completionDeadline = now + std::chrono::hours(2);
        request.prompt = {{number % 4, 2'500}, {number % 400, 3'800}, {number, 700}};
        request.promptTokens = 7'000;
        request.outputTokens = 50;
        return request;
    };
    std::deque<routing::PlacementId> queued;
    while (queued.size() < QueueLength) {
        const routing::PlacementRequest request = makeRequest();
        if (std::holds_alternative<routing::Queued>(dispatcher.requestPlacement(request, now))) {
            queued.push_back(request.id);
        }
        now += std::chrono::microseconds(50);
    }
    std::vector<std::int64_t> times;
    for (auto unused : state) {
        state.PauseTiming();
        now += std::chrono::microseconds(800);
        const routing::PlacementRequest request = makeRequest();
        const auto begin = std::chrono::steady_clock::now();
        state.ResumeTiming();
        benchmark::DoNotOptimize(dispatcher.requestPlacement(request, now));
        state.PauseTiming();
        times.push_back(std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::steady_clock::now() - begin).count());
        dispatcher.cancel(request.id);
        state.ResumeTiming();
    }
    std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2), times.end());
    state.counters["median_ns"] = static_cast<double>(times[times.size() / 2]);
    state.counters["queued"] = static_cast<double>(dispatcher.queueLength());
}

} // namespace

BENCHMARK(dispatch)->Arg(10)->Arg(30)->Arg(100)->Arg(300)->Arg(1'000);
BENCHMARK_CAPTURE(dispatchQueued, urgency, routing::QueueOrderKind::Urgency);
BENCHMARK_CAPTURE(dispatchQueued, cost, routing::QueueOrderKind::Cost);
BENCHMARK_CAPTURE(decide, scored, "scored")->Arg(10)->Arg(100)->Arg(1'000)->Arg(10'000);
BENCHMARK_CAPTURE(decide, naive_exact, "naive_exact")->Arg(10)->Arg(100)->Arg(1'000)->Arg(10'000);
BENCHMARK_CAPTURE(decide, least_in_flight, "least_in_flight")->Arg(10)->Arg(100)->Arg(1'000)->Arg(10'000);

BENCHMARK_MAIN();
