// Via header formatting and parsing.

#include "arbutus/http/via.h"

namespace arbutus::http {

namespace {

constexpr std::string_view InstancePrefix = "1.1 arbutus-"; // received-protocol and start of the pseudonym (RFC 9110, section 7.6.3)

} // namespace

std::vector<std::string> splitCommaSeparated(std::string_view text)
{
    std::vector<std::string> out;
    while (!text.empty()) {
        const std::size_t end = text.find(',');
        std::string_view item = text.substr(0, end);
        while (item.starts_with(' ')) {
            item.remove_prefix(1);
        }
        while (item.ends_with(' ')) {
            item.remove_suffix(1);
        }
        if (!item.empty()) {
            out.emplace_back(item);
        }
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return out;
}

std::string formatVia(const std::vector<std::string> &instances)
{
    std::string out;
    for (const std::string &instance : instances) {
        out += (out.empty() ? "" : ", ") + std::string(InstancePrefix) + instance;
    }
    return out;
}

std::vector<std::string> parseViaInstances(std::string_view header)
{
    std::vector<std::string> out;
    for (const std::string &item : splitCommaSeparated(header)) {
        if (item.starts_with(InstancePrefix)) {
            out.push_back(item.substr(InstancePrefix.size()));
        }
    }
    return out;
}

} // namespace arbutus::http
