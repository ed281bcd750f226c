// Time of one routing decision as upstreams grow, for the product's router, the baselines, and a region's dispatcher.

#include "arbutus/routing/dispatcher.h"
#include "arbutus/routing/router.h"

#include <benchmark/benchmark.h>

#include <deque>

using namespace arbutus;

namespace {

routing::UpstreamTable makeTable(std::size_t count)
{
    routing::UpstreamTable table(routing::UpstreamTableSettings{});
    std::vector<routing::UpstreamDescriptor> lines;
    for (std::size_t i = 0; i < count; ++i) {
        routing::UpstreamDescriptor line;
        line.id = core::UpstreamId("u" + std::to_string(i));
        line.region = core::RegionId("r");
        line.domain = core::DomainId("d");
        line.models = {core::ModelId("m")};
        line.price = 1.0 + static_cast<double>(i % 7) / 10;
        lines.push_back(std::move(line));
    }
    table.updateUpstreams(lines);
    return table;
}

void decide(benchmark::State &state, const char *name)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    const routing::UpstreamTable table = makeTable(count);
    routing::Router router = routing::makeRouter(name, {}, 1).value();
    routing::RoutingRequest question;
    question.model = core::ModelId("m");
    question.residency = {core::RegionId("r")};
    question.promptTokens = 800;
    for (std::uint64_t i = 0; i < 12; ++i) {
        question.prefixBlocks.push_back(i * 77);
    }
    const core::TimePoint now(std::chrono::seconds(100));
    for (auto unused : state) {
        question.prefixBlocks.front() += 1;
        benchmark::DoNotOptimize(routing::choose(router, question, table, now));
    }
}

/// A place for a prompt of three parts, among engines of one region that are half full.
void dispatch(benchmark::State &state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    const core::ServiceId model("m");
    catalog::Service service;
    service.id = model;
    service.engine = catalog::EngineConfig{64, 230'000, 5};
    const catalog::CatalogPointer catalog =
        std::make_shared<catalog::Catalog>(catalog::CatalogVersion(1), std::vector<catalog::Route>{}, std::vector{service}, catalog::CallerLimits{});
    const std::map<core::DomainId, core::RegionId> regions{{core::DomainId("d"), core::RegionId("r")}};
    std::vector<routing::Announcement> announcements;
    for (std::size_t i = 0; i < count; ++i) {
        routing::Announcement said;
        said.id = core::UpstreamId("u" + std::to_string(i));
        said.service = model;
        said.domain = core::DomainId("d");
        said.slots = 64;
        said.startTime = routing::StartTime(1);
        announcements.push_back(std::move(said));
    }
    core::TimePoint now(std::chrono::seconds(100));
    routing::UpstreamRegistry roster;
    roster.applySnapshot(routing::SnapshotRevision(1), announcements, false, now);
    routing::Dispatcher dispatcher({}, routing::DispatcherView{core::RegionId("r"), regions, roster, catalog}, now);
    const auto askOf = [&](std::uint64_t number) {
        routing::PlacementRequest ask;
        ask.id = routing::PlacementId(std::to_string(number));
        ask.service = model;
        ask.latencyDeadline = now + std::chrono::seconds(1);
        ask.responseDeadline = now + std::chrono::seconds(4);
        ask.completionDeadline = now + std::chrono::seconds(15);
        ask.prompt = {{number % 4, 2'500}, {number % 400, 3'800}, {number, 700}};
        ask.promptTokens = 7'000;
        ask.outputTokens = 50;
        return ask;
    };
    std::uint64_t number = 0;
    std::deque<std::pair<routing::PlacementId, core::UpstreamId>> running;
    for (auto unused : state) {
        state.PauseTiming();
        now += std::chrono::milliseconds(300);
        const routing::PlacementRequest ask = askOf(++number);
        state.ResumeTiming();
        const routing::PlacementDecision verdict = dispatcher.requestPlacement(ask, now);
        state.PauseTiming();
        if (const auto *granted = std::get_if<routing::Granted>(&verdict)) {
            running.emplace_back(ask.id, granted->upstream);
        }
        if (running.size() > count * 20) {
            dispatcher.recordCompletion(running.front().first, running.front().second, routing::SendOutcome::Completed, now);
            running.pop_front();
        }
        state.ResumeTiming();
    }
}

} // namespace

BENCHMARK(dispatch)->Arg(10)->Arg(30)->Arg(100)->Arg(300)->Arg(1'000);
BENCHMARK_CAPTURE(decide, scored, "scored")->Arg(10)->Arg(100)->Arg(1'000)->Arg(10'000);
BENCHMARK_CAPTURE(decide, naive_exact, "naive_exact")->Arg(10)->Arg(100)->Arg(1'000)->Arg(10'000);
BENCHMARK_CAPTURE(decide, least_in_flight, "least_in_flight")->Arg(10)->Arg(100)->Arg(1'000)->Arg(10'000);

BENCHMARK_MAIN();
