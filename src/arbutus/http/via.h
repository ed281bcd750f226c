// Via header formatting and parsing, used to detect forwarding loops between instances.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace arbutus::http {

/// Header value for a request that has passed through these instances.
[[nodiscard]] std::string formatVia(const std::vector<std::string> &instances);

/// Names of the gateway instances in a header value; other proxies are omitted.
[[nodiscard]] std::vector<std::string> parseViaInstances(std::string_view header);

/// Non-empty items of a comma-separated list, without surrounding spaces.
[[nodiscard]] std::vector<std::string> splitCommaSeparated(std::string_view text);

} // namespace arbutus::http
