// Time of one routing decision as upstreams grow, for the product's router and the baselines.

#include "arbutus/routing/router.h"

#include <benchmark/benchmark.h>

using namespace arbutus;

namespace {

routing::UpstreamTable makeTable(std::size_t count)
{
    routing::UpstreamTable table(routing::TableSettings{});
    std::vector<routing::UpstreamLine> lines;
    for (std::size_t i = 0; i < count; ++i) {
        routing::UpstreamLine line;
        line.id = core::UpstreamId("u" + std::to_string(i));
        line.region = core::RegionId("r");
        line.domain = core::DomainId("d");
        line.models = {core::ModelId("m")};
        line.price = 1.0 + static_cast<double>(i % 7) / 10;
        lines.push_back(std::move(line));
    }
    table.takeList(lines);
    return table;
}

void decide(benchmark::State &state, const char *name)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    const routing::UpstreamTable table = makeTable(count);
    routing::Router router = routing::makeRouter(name, {}, 1).value();
    routing::Question question;
    question.model = core::ModelId("m");
    question.residency = {core::RegionId("r")};
    question.promptTokens = 800;
    for (std::uint64_t i = 0; i < 12; ++i) {
        question.blocks.push_back(i * 77);
    }
    const core::TimePoint now(std::chrono::seconds(100));
    for (auto unused : state) {
        question.blocks.front() += 1;
        benchmark::DoNotOptimize(routing::choose(router, question, table, now));
    }
}

} // namespace

BENCHMARK_CAPTURE(decide, scored, "scored")->Arg(10)->Arg(100)->Arg(1'000)->Arg(10'000);
BENCHMARK_CAPTURE(decide, naive_exact, "naive_exact")->Arg(10)->Arg(100)->Arg(1'000)->Arg(10'000);
BENCHMARK_CAPTURE(decide, least_in_flight, "least_in_flight")->Arg(10)->Arg(100)->Arg(1'000)->Arg(10'000);

BENCHMARK_MAIN();
