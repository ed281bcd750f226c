// Prompt extraction for the completions and chat completions interfaces.

#include "arbutus/core/prompt.h"

#include "arbutus/core/json.h"

namespace arbutus::core {

namespace json = boost::json;

std::string extractPrompt(const json::object &body)
{
    std::string prompt = jsonString(body, "prompt");
    for (const json::value &message : jsonArray(body, "messages")) {
        if (message.is_object()) {
            prompt += jsonString(message.as_object(), "role") + ":" + jsonString(message.as_object(), "content") + "\n";
        }
    }
    return prompt;
}

} // namespace arbutus::core
