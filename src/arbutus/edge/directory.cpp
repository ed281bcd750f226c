// Weighted sampling without replacement.

#include "arbutus/edge/directory.h"

#include <algorithm>
#include <cmath>

namespace arbutus::edge {

namespace {

void removeOutside(std::vector<membership::Member> &members, const std::set<core::RegionId> &regions)
{
    std::erase_if(members, [&](const membership::Member &member) { return !regions.contains(member.region); });
}

} // namespace

std::set<core::RegionId> mostCommonHomeRegions(const catalog::CatalogPointer &catalog, std::string_view host)
{
    std::map<core::RegionId, std::size_t> counts;
    std::size_t maxCount = 0;
    if (catalog) {
        for (const catalog::Route &route : catalog->routes()) {
            if (route.host != host) {
                continue;
            }
            for (const core::RegionId &region : route.homeRegions) {
                maxCount = std::max(maxCount, ++counts[region]);
            }
        }
    }
    std::set<core::RegionId> result;
    for (const auto &[region, count] : counts) {
        if (count == maxCount) {
            result.insert(region);
        }
    }
    return result;
}

std::vector<std::string> sampleAddresses(std::vector<membership::Member> members,
                                         const DirectoryQuery &query,
                                         const std::set<core::RegionId> &homeRegions,
                                         const DirectorySettings &settings,
                                         pcg32 &random)
{
    const bool anyInRegion = std::any_of(members.begin(), members.end(), [&](const membership::Member &member) { return member.region == query.region; });
    if (anyInRegion) {
        removeOutside(members, {query.region});
    } else if (!homeRegions.empty()) {
        removeOutside(members, homeRegions);
    }
    // Efraimidis-Spirakis: the items with the largest u^(1/w) are a weighted sample without replacement. Their logarithms
    // give the same order.
    std::vector<std::pair<double, const membership::Member *>> samples;
    for (const membership::Member &member : members) {
        const double localityWeight = member.domain == query.domain ? 1 : settings.otherDomainWeight;
        const double uniform = (static_cast<double>(random()) + 0.5) / 4294967296.0; // 2^32
        samples.emplace_back(std::log(uniform) / std::max(member.capacity * localityWeight, 1e-6), &member);
    }
    std::sort(samples.begin(), samples.end(), [](const auto &left, const auto &right) { return left.first > right.first; });
    // With unequal weights, list only a third of the members: if a response listed all members of a small region, each of
    // them would receive the same load whatever its weight.
    const bool heterogeneous = std::any_of(members.begin(), members.end(), [&](const membership::Member &member) {
        return std::abs(member.capacity - members.front().capacity) > 1e-6 || member.domain != members.front().domain;
    });
    const std::size_t maxCount = heterogeneous ? std::max<std::size_t>(2, members.size() / 3) : members.size();
    std::vector<std::string> result;
    for (std::size_t i = 0; i < samples.size() && i < std::min(maxCount, settings.maxAddresses); ++i) {
        result.push_back(samples[i].second->clientUrl);
    }
    return result;
}

} // namespace arbutus::edge
