// Property tests over generated schedules: fixed seed by default, more schedules with ./check --long.

#pragma once

#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>
#include <string>

namespace arbutus::tests {

constexpr std::uint64_t DefaultSeed = 20'261'203;
constexpr int LongRunFactor = 10;   // multiplies the number of schedules when ARBUTUS_LONG is set
constexpr int MaxScheduleSize = 60; // maximum length of a generated schedule

/// Checks `property` on `schedules` generated inputs and prints the seed, which ARBUTUS_SEED overrides.
template<class Property>
bool checkSchedules(const std::string &description, int schedules, Property &&property)
{
    const bool longRun = std::getenv("ARBUTUS_LONG") != nullptr; // NOLINT(concurrency-mt-unsafe)
    const char *seedText = std::getenv("ARBUTUS_SEED");          // NOLINT(concurrency-mt-unsafe)
    rc::detail::TestParams params;
    params.seed = seedText == nullptr ? DefaultSeed : std::strtoull(seedText, nullptr, 10);
    params.maxSuccess = longRun ? schedules * LongRunFactor : schedules;
    params.maxSize = MaxScheduleSize;
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
