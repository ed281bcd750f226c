// The prompt of an OpenAI-compatible request as one text; engines split this text into prefix blocks.

#pragma once

#include <boost/json/object.hpp>

#include <string>

namespace arbutus::core {

/// Concatenates "prompt" and the roles and contents of "messages"; empty if the body has neither.
[[nodiscard]] std::string extractPrompt(const boost::json::object &body);

} // namespace arbutus::core
