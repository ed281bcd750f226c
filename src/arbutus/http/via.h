// The Via header, by which a request that comes back to an instance is noticed.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace arbutus::http {

/// Header value for a request that has passed these instances.
[[nodiscard]] std::string formatVia(const std::vector<std::string> &instances);

/// Our instances in a header value; entries of other proxies are left out.
[[nodiscard]] std::vector<std::string> parseViaInstances(std::string_view header);

/// Items of a comma-separated list, without spaces round them.
[[nodiscard]] std::vector<std::string> splitCommaSeparated(std::string_view text);

} // namespace arbutus::http
