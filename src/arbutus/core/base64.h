// Base64, as the platform's JSON interface wants keys and values.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace arbutus::core {

[[nodiscard]] std::string base64Encode(std::string_view bytes);

/// Nothing when `text` is not Base64.
[[nodiscard]] std::optional<std::string> base64Decode(std::string_view text);

} // namespace arbutus::core
