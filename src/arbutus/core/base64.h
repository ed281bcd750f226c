// Base64 codec; the platform's JSON interface encodes keys and values with it.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace arbutus::core {

[[nodiscard]] std::string base64Encode(std::string_view bytes);

/// Returns std::nullopt if `text` is not valid Base64.
[[nodiscard]] std::optional<std::string> base64Decode(std::string_view text);

} // namespace arbutus::core
