// Selection of the gateway instances that a directory response lists for a client.
//
// A response lists live instances in the client's region, sampled in proportion to capacity and with a preference for the
// client's failure domain. Clients pick one of them at random, so over many responses each instance receives load in
// proportion to its weight. If the region has no instances, those in other regions are listed, with a preference for the
// regions that are a home region of the most routes.

#pragma once

#include "arbutus/edge/fleet.h"
#include "arbutus/http/server.h"

#include <pcg_random.hpp>

namespace arbutus::edge {

struct DirectorySettings
{
    std::size_t maxAddresses = 8;    // per response
    double otherDomainWeight = 0.25; // sampling weight relative to an instance in the client's failure domain
};

/// Regions that are a home region of the most routes. Empty if no route has home regions.
[[nodiscard]] std::set<core::RegionId> mostCommonHomeRegions(const catalog::CatalogPointer &catalog);

/// Samples the instances for one response. `members` must be live. `homeRegions` are preferred if the client's region has no
/// members.
[[nodiscard]] std::vector<std::string> sampleAddresses(std::vector<membership::Member> members,
                                                       const DirectoryQuery &query,
                                                       const std::set<core::RegionId> &homeRegions,
                                                       const DirectorySettings &settings,
                                                       pcg32 &random);

} // namespace arbutus::edge
