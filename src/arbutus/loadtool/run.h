// Generates client traffic against a deployment and reports the results.
//
// The load is open-loop: arrivals do not depend on response times. The traffic of each region follows a daily cycle, with
// a phase offset between regions, scaled to the duration of the run.

#pragma once

#include "arbutus/loadtool/caller.h"
#include "arbutus/loadtool/topology.h"

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace arbutus::loadtool {

/// Workload of a run.
struct RunOptions
{
    double seconds = 30;
    double rate = 40;                 // mean requests per second over the run and all regions
    double peakAmplitude = 0.6;       // amplitude of the daily cycle relative to its mean, 0 .. 1
    double nonRepeatableShare = 0.2;  // fraction of requests that must not be repeated
    double idempotencyKeyShare = 0.1; // fraction of those that use an Idempotency-Key instead of a ticket
    double deferrableShare = 0.15;    // fraction of requests that may wait
    double tokenScale = 1.0;          // multiplies the length of answers
    std::uint64_t seed = 1;
};

/// Outcomes, and violations of the delivery guarantees.
struct ConsistencyCounts
{
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t unknown = 0;
    std::size_t lost = 0;                // answered, but no upstream finished it
    std::size_t duplicated = 0;          // must not be repeated, but was executed more than once
    std::size_t mismatched = 0;          // the answer of another request, or an incomplete one
    std::size_t falseNotExecuted = 0;    // reported as not executed, but an upstream started it
    std::size_t residencyViolations = 0; // executions in a region outside the workspace's residency
};

/// Result of a run.
struct RunResult
{
    std::vector<RequestRecord> records;
    ConsistencyCounts counts;
    double journalLines = 0;
};

/// Runs the traffic and checks the records against the journals of the upstreams.
[[nodiscard]] RunResult runTraffic(const Topology &topology, const RunOptions &options);

/// Checks records against journals; `journals` maps the name of each upstream to its JSON lines.
[[nodiscard]] ConsistencyCounts
checkConsistency(const Topology &topology, const std::vector<RequestRecord> &records, const std::map<std::string, std::string> &journals);

/// Builds the report: latency percentiles, cost, and fractions served by other regions and from the prefix cache.
[[nodiscard]] boost::json::object makeReport(const Topology &topology, const RunResult &result);

/// Formats the report as a table, and the counts as one summary line.
[[nodiscard]] std::string toTable(const boost::json::object &report);
[[nodiscard]] std::string toSummaryLine(const ConsistencyCounts &counts);

} // namespace arbutus::loadtool
