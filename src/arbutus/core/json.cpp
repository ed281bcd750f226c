// Lenient field access and strict parsing of JSON.

#include "arbutus/core/json.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace arbutus::core {

namespace json = boost::json;

std::string jsonString(const json::object &object, std::string_view name, std::string_view fallback)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string(fallback);
}

std::int64_t jsonInteger(const json::object &object, std::string_view name, std::int64_t fallback)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr) {
        return fallback;
    }
    if (value->is_int64()) {
        return value->as_int64();
    }
    if (value->is_uint64() && value->as_uint64() <= static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
        return static_cast<std::int64_t>(value->as_uint64());
    }
    if (value->is_double() && std::abs(value->as_double()) < 9e15) {
        return static_cast<std::int64_t>(value->as_double());
    }
    if (value->is_string()) {
        const std::string_view text = value->as_string();
        std::int64_t number = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
        return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? number : fallback;
    }
    return fallback;
}

double jsonNumber(const json::object &object, std::string_view name, double fallback)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_number() ? value->to_number<double>() : fallback;
}

bool jsonBool(const json::object &object, std::string_view name, bool fallback)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_bool() ? value->as_bool() : fallback;
}

const json::object &jsonObject(const json::object &object, std::string_view name)
{
    static const json::object empty;
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_object() ? value->as_object() : empty;
}

const json::array &jsonArray(const json::object &object, std::string_view name)
{
    static const json::array empty;
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_array() ? value->as_array() : empty;
}

namespace {

/// Whether all numbers are finite. A number such as 1e400 is parsed as infinity, which cannot be written as JSON again.
bool hasFiniteNumbers(const json::value &value)
{
    if (const json::array *array = value.if_array()) {
        return std::all_of(array->begin(), array->end(), hasFiniteNumbers);
    }
    if (const json::object *object = value.if_object()) {
        return std::all_of(object->begin(), object->end(), [](const auto &field) { return hasFiniteNumbers(field.value()); });
    }
    return !value.is_double() || std::isfinite(value.get_double());
}

} // namespace

Result<json::object> parseJsonObject(std::string_view text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error) {
        return makeError(ErrorKind::BadRequest, "invalid JSON: " + error.message());
    }
    if (!value.is_object()) {
        return makeError(ErrorKind::BadRequest, "the top-level JSON value is not an object");
    }
    if (!hasFiniteNumbers(value)) {
        return makeError(ErrorKind::BadRequest, "invalid JSON: a number is out of range");
    }
    return std::move(value.as_object());
}

} // namespace arbutus::core
