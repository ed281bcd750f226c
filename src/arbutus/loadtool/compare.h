// What the gateway adds to a call, measured against the same upstream called directly, in pairs in one run.

#pragma once

#include "arbutus/loadtool/topology.h"

#include <boost/json/object.hpp>

namespace arbutus::loadtool {

/// Sizes of the comparison.
struct CompareOptions
{
    std::size_t pairs = 300;   // of calls, one after another
    std::size_t tokens = 32;   // in each streamed answer
    std::size_t streams = 200; // at once, for the throughput
    std::size_t streamTokens = 200;
};

/// Added latency of a streamed call, of a service call with and without a ticket, and streamed tokens for each second of
/// the gateway's processor time. Uses the first gateway, and its region's first upstreams.
[[nodiscard]] boost::json::object compareWithDirect(const Topology &topology, const CompareOptions &options);

} // namespace arbutus::loadtool
