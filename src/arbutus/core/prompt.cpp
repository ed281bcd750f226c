// Prompts of the two interfaces.

#include "arbutus/core/prompt.h"

#include "arbutus/core/json.h"

namespace arbutus::core {

namespace json = boost::json;

std::string promptOf(const json::object &body)
{
    std::string prompt = jsonText(body, "prompt");
    for (const json::value &message : jsonArray(body, "messages")) {
        if (message.is_object()) {
            prompt += jsonText(message.as_object(), "role") + ":" + jsonText(message.as_object(), "content") + "\n";
        }
    }
    return prompt;
}

} // namespace arbutus::core
