// A run of callers' traffic against a deployment, and its report.
//
// Arrivals are open-loop: they come at their times however long answers take. Each region's traffic follows a daily peak,
// offset between regions, scaled into the length of the run.

#pragma once

#include "arbutus/loadtool/caller.h"
#include "arbutus/loadtool/topology.h"

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace arbutus::loadtool {

/// What a run is.
struct RunOptions
{
    double seconds = 30;
    double rate = 40;        // requests a second, mean over the run and all regions
    double peak = 0.6;       // how far the daily wave rises over its mean, 0 .. 1
    double orderShare = 0.2; // of requests that may not be repeated
    double keyShare = 0.1;   // of those, with an Idempotency-Key instead of a ticket
    double waitShare = 0.15; // of requests that may wait
    double tokenScale = 1.0; // multiplies the answers' lengths
    std::uint64_t seed = 1;
};

/// Counts by which the promises are judged.
struct Verdicts
{
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t unknown = 0;
    std::size_t lost = 0;                // told "answered", but no upstream finished it
    std::size_t doubled = 0;             // may not be repeated, and ran more than once
    std::size_t crossed = 0;             // another's answer, or not the whole one
    std::size_t falseNotRun = 0;         // told "not run", but it ran
    std::size_t residencyViolations = 0; // ran in a region that the workspace may not use
};

/// Result of a run.
struct RunResult
{
    std::vector<Record> records;
    Verdicts verdicts;
    double journalLines = 0;
};

/// Runs the traffic and compares the records with the upstreams' journals.
[[nodiscard]] RunResult runTraffic(const Topology &topology, const RunOptions &options);

/// Counts from records and journals; `journals` holds for each upstream its JSON lines.
[[nodiscard]] Verdicts judge(const Topology &topology, const std::vector<Record> &records, const std::map<std::string, std::string> &journals);

/// Report with percentiles, cost and shares.
[[nodiscard]] boost::json::object makeReport(const Topology &topology, const RunResult &result);

/// The report as a short table, and the line that ends it.
[[nodiscard]] std::string toTable(const boost::json::object &report);
[[nodiscard]] std::string toLine(const Verdicts &verdicts);

} // namespace arbutus::loadtool
