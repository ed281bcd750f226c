// Properties over generated schedules: fixed seeds in CI, more with ./check --long.

#pragma once

#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>
#include <string>

namespace arbutus::tests {

constexpr std::uint64_t UsualSeed = 20'261'203;
constexpr int LongFactor = 10; // times more schedules with ARBUTUS_LONG
constexpr int MostSize = 60;   // length of a generated schedule

/// Checks `property` on `schedules` generated inputs; prints the seed. ARBUTUS_SEED overrides it.
template<class Property>
bool checkSchedules(const std::string &description, int schedules, Property &&property)
{
    const bool longRun = std::getenv("ARBUTUS_LONG") != nullptr; // NOLINT(concurrency-mt-unsafe)
    const char *given = std::getenv("ARBUTUS_SEED");             // NOLINT(concurrency-mt-unsafe)
    rc::detail::TestParams params;
    params.seed = given == nullptr ? UsualSeed : std::strtoull(given, nullptr, 10);
    params.maxSuccess = longRun ? schedules * LongFactor : schedules;
    params.maxSize = MostSize;
    rc::detail::TestMetadata metadata;
    metadata.id = description;
    metadata.description = description;
    std::cerr << description << ": seed " << params.seed << ", " << params.maxSuccess << " schedules\n";
    const auto result = rc::detail::checkTestable(std::forward<Property>(property), metadata, params);
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << std::endl;
    return result.template is<rc::detail::SuccessResult>();
}

} // namespace arbutus::tests
