// Selection of the gateway instances that a directory response lists for a client.
//
// A response lists live instances in the client's region, sampled in proportion to capacity and with a preference for the
// client's failure domain. Clients pick one of them at random, so over many responses each instance receives load in
// proportion to its weight. If the region has no instances, those in other regions are listed. If routes of the client's host
// have home regions, these are the live regions that are home to most of them.
//
// Q: Why is a client not sent to any instance if the home regions have none either?
// A: An instance elsewhere could only refuse its requests, and their bodies would have left the home regions.

#pragma once

#include "arbutus/edge/fleet.h"
#include "arbutus/http/server.h"

#include <pcg_random.hpp>

#include <map>

namespace arbutus::edge {

struct DirectorySettings
{
    std::size_t maxAddresses = 8;    // per response
    double otherDomainWeight = 0.25; // sampling weight relative to an instance in the client's failure domain
};

using HomeRegionCounts = std::map<core::RegionId, std::size_t>; // routes that have the region as a home region

/// Counts the routes of `host` by home region; a route counts once more for each workspace that has home regions, by the regions that are home
/// of both. Empty if there are no home regions.
[[nodiscard]] HomeRegionCounts countHomeRegions(const catalog::CatalogPointer &catalog, std::string_view host);

/// Samples the instances for one response. `members` must be live. If the client's region has none, only those in the live
/// regions with the highest count in `homeRegions` are listed, or all if it is empty.
[[nodiscard]] std::vector<std::string> sampleAddresses(std::vector<membership::Member> members,
                                                       const DirectoryQuery &query,
                                                       const HomeRegionCounts &homeRegions,
                                                       const DirectorySettings &settings,
                                                       pcg32 &random);

} // namespace arbutus::edge
