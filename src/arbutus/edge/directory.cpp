// Weighted drawing without replacement.

#include "arbutus/edge/directory.h"

#include <algorithm>
#include <cmath>

namespace arbutus::edge {

namespace {

/// Keeps members of these regions only, if there are any.
void preferRegions(std::vector<membership::Member> &members, const std::set<core::RegionId> &regions)
{
    const auto inside = [&](const membership::Member &member) { return regions.contains(member.region); };
    if (std::any_of(members.begin(), members.end(), inside)) {
        std::erase_if(members, [&](const membership::Member &member) { return !inside(member); });
    }
}

} // namespace

std::set<core::RegionId> mostCommonHomeRegions(const catalog::CatalogPointer &catalog)
{
    std::map<core::RegionId, std::size_t> counts;
    std::size_t most = 0;
    if (catalog) {
        for (const catalog::Route &route : catalog->routes()) {
            for (const core::RegionId &region : route.homeRegions) {
                most = std::max(most, ++counts[region]);
            }
        }
    }
    std::set<core::RegionId> out;
    for (const auto &[region, count] : counts) {
        if (count == most) {
            out.insert(region);
        }
    }
    return out;
}

std::vector<std::string> sampleAddresses(std::vector<membership::Member> members,
                                         const DirectoryQuery &query,
                                         const std::set<core::RegionId> &homes,
                                         const DirectorySettings &settings,
                                         pcg32 &random)
{
    const bool anyInRegion = std::any_of(members.begin(), members.end(), [&](const membership::Member &member) { return member.region == query.region; });
    preferRegions(members, anyInRegion ? std::set<core::RegionId>{query.region} : homes);
    // Efraimidis and Spirakis: the largest of u^(1/w) are a weighted sample without replacement.
    std::vector<std::pair<double, const membership::Member *>> drawn;
    for (const membership::Member &member : members) {
        const double near = member.domain == query.domain ? 1 : settings.otherDomainWeight;
        const double u = (static_cast<double>(random()) + 0.5) / 4294967296.0; // 2^32
        drawn.emplace_back(std::log(u) / std::max(member.capacity * near, 1e-6), &member);
    }
    std::sort(drawn.begin(), drawn.end(), [](const auto &left, const auto &right) { return left.first > right.first; });
    // Naming all of a small region would give each the same part whatever its capacity.
    const bool uneven = std::any_of(members.begin(), members.end(), [&](const membership::Member &member) {
        return std::abs(member.capacity - members.front().capacity) > 1e-6 || member.domain != members.front().domain;
    });
    const std::size_t most = uneven ? std::max<std::size_t>(2, members.size() / 3) : members.size();
    std::vector<std::string> out;
    for (std::size_t i = 0; i < drawn.size() && i < std::min(most, settings.maxAddresses); ++i) {
        out.push_back(drawn[i].second->callersUrl);
    }
    return out;
}

} // namespace arbutus::edge
