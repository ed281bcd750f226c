// Which instances callers should use, and whether this one is ready.
//
// An answer names live instances of the caller's region, drawn in proportion to their capacity and with a preference for
// the caller's failure domain; callers choose among them at random, so over many answers each gets its part. Where the
// region has none, those of other regions are named, first of those that are a home of the most routes.

#pragma once

#include "arbutus/edge/fleet.h"
#include "arbutus/http/server.h"

#include <pcg_random.hpp>

namespace arbutus::edge {

struct DirectorySettings
{
    std::size_t maxAddresses = 8;    // instances in one answer
    double otherDomainWeight = 0.25; // of an instance in another failure domain of the region, against one in the caller's
};

/// Regions that are a home of the most routes; empty if no route has homes.
[[nodiscard]] std::set<core::RegionId> mostCommonHomeRegions(const catalog::CatalogPointer &catalog);

/// Draws the instances of one answer. `members` are live ones only; `homes` are preferred where the caller's region has none.
[[nodiscard]] std::vector<std::string> sampleAddresses(std::vector<membership::Member> members,
                                                       const DirectoryQuery &query,
                                                       const std::set<core::RegionId> &homes,
                                                       const DirectorySettings &settings,
                                                       pcg32 &random);

} // namespace arbutus::edge
