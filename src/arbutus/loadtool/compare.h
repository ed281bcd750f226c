// Measures the overhead of the gateway by pairing calls through it with direct calls to the same upstream in one run.

#pragma once

#include "arbutus/loadtool/topology.h"

#include <boost/json/object.hpp>

namespace arbutus::loadtool {

/// Workload of the comparison.
struct CompareOptions
{
    std::size_t pairs = 300;   // sequential pairs of calls
    std::size_t tokens = 32;   // length of each streamed answer
    std::size_t streams = 200; // concurrent streams of the throughput measurement
    std::size_t streamTokens = 200;
};

/// Measures the added latency of a streamed call and of a service call with and without a ticket, and the streamed tokens
/// per second of the gateway's CPU time. Uses the first gateway and the first upstreams of its region.
[[nodiscard]] boost::json::object compareWithDirect(const Topology &topology, const CompareOptions &options);

} // namespace arbutus::loadtool
