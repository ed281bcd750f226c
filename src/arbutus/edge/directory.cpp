// Weighted sampling without replacement.

#include "arbutus/edge/directory.h"

#include <algorithm>
#include <cmath>

namespace arbutus::edge {

namespace {

/// Removes all members but those in the regions with the highest count.
void keepCommonHomeRegions(std::vector<membership::Member> &members, const HomeRegionCounts &homeRegions)
{
    const auto countOf = [&](const membership::Member &member) {
        const auto found = homeRegions.find(member.region);
        return found == homeRegions.end() ? std::size_t{0} : found->second;
    };
    std::size_t maxCount = 1;
    for (const membership::Member &member : members) {
        maxCount = std::max(maxCount, countOf(member));
    }
    std::erase_if(members, [&](const membership::Member &member) { return countOf(member) < maxCount; });
}

} // namespace

HomeRegionCounts countHomeRegions(const catalog::CatalogPointer &catalog, std::string_view host)
{
    HomeRegionCounts counts;
    if (catalog) {
        for (const catalog::Route &route : catalog->routes()) {
            if (route.host != host) {
                continue;
            }
            for (const core::RegionId &region : route.homeRegions) {
                ++counts[region];
            }
            if (!catalog->requiresCredential(route)) {
                continue;
            }
            for (const catalog::Workspace &workspace : catalog->workspaces()) {
                if (workspace.homeRegions.empty()) {
                    continue;
                }
                const auto homeRegions = catalog::RequestMatch{&route, &workspace, false}.homeRegions();
                for (const core::RegionId &region : homeRegions.value_or(std::set<core::RegionId>())) {
                    ++counts[region];
                }
            }
        }
    }
    return counts;
}

std::vector<std::string> sampleAddresses(
    std::vector<membership::Member> members, const DirectoryQuery &query, const HomeRegionCounts &homeRegions, const DirectorySettings &settings, pcg32 &random)
{
    const bool anyInRegion = std::any_of(members.begin(), members.end(), [&](const membership::Member &member) { return member.region == query.region; });
    if (anyInRegion) {
        std::erase_if(members, [&](const membership::Member &member) { return member.region != query.region; });
    } else if (!homeRegions.empty()) {
        keepCommonHomeRegions(members, homeRegions);
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
