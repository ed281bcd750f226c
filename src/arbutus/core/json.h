// Small helpers for reading JSON that comes from outside: a missing or wrong field gives the fallback.

#pragma once

#include "arbutus/core/error.h"

#include <boost/json.hpp>

#include <string>
#include <string_view>

namespace arbutus::core {

/// Text field, or `fallback`.
[[nodiscard]] std::string jsonString(const boost::json::object &object, std::string_view name, std::string_view fallback = "");

/// Integer field, also when it is written as a text or a whole floating-point number, or `fallback`.
[[nodiscard]] std::int64_t jsonInteger(const boost::json::object &object, std::string_view name, std::int64_t fallback = 0);

/// Number field, or `fallback`.
[[nodiscard]] double jsonNumber(const boost::json::object &object, std::string_view name, double fallback = 0);

/// Boolean field, or `fallback`.
[[nodiscard]] bool jsonBool(const boost::json::object &object, std::string_view name, bool fallback = false);

/// Object field, or an empty one.
[[nodiscard]] const boost::json::object &jsonObject(const boost::json::object &object, std::string_view name);

/// Array field, or an empty one.
[[nodiscard]] const boost::json::array &jsonArray(const boost::json::object &object, std::string_view name);

/// Parses a text whose top level must be an object; BadRequest otherwise.
[[nodiscard]] Result<boost::json::object> parseJsonObject(std::string_view text);

} // namespace arbutus::core
