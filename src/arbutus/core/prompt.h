// The prompt of an OpenAI-compatible request as one text, as engines see it and cut it into prefix blocks.

#pragma once

#include <boost/json/object.hpp>

#include <string>

namespace arbutus::core {

/// "prompt", or the roles and contents of "messages"; empty when there is neither.
[[nodiscard]] std::string extractPrompt(const boost::json::object &body);

} // namespace arbutus::core
