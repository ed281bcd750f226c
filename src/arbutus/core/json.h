// Helpers for reading untrusted JSON: a field that is missing or has the wrong type yields the fallback.

#pragma once

#include "arbutus/core/error.h"

#include <boost/json.hpp>

#include <string>
#include <string_view>

namespace arbutus::core {

/// String field, or `fallback`.
[[nodiscard]] std::string jsonString(const boost::json::object &object, std::string_view name, std::string_view fallback = "");

/// Integer field, or `fallback`. Accepts numeric strings, and floating-point numbers, which it truncates.
[[nodiscard]] std::int64_t jsonInteger(const boost::json::object &object, std::string_view name, std::int64_t fallback = 0);

/// Number field, or `fallback`.
[[nodiscard]] double jsonNumber(const boost::json::object &object, std::string_view name, double fallback = 0);

/// Boolean field, or `fallback`.
[[nodiscard]] bool jsonBool(const boost::json::object &object, std::string_view name, bool fallback = false);

/// Object field, or an empty one.
[[nodiscard]] const boost::json::object &jsonObject(const boost::json::object &object, std::string_view name);

/// Array field, or an empty one.
[[nodiscard]] const boost::json::array &jsonArray(const boost::json::object &object, std::string_view name);

/// Parses JSON whose top-level value is an object; BadRequest otherwise.
[[nodiscard]] Result<boost::json::object> parseJsonObject(std::string_view text);

} // namespace arbutus::core
