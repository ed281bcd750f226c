// Settings of an instance: one TOML file, which command-line flags can override.
//
// An invalid file is rejected with a list of all errors, each with file:line, key, value found and values allowed.
// Workspace policies are not settings; they are configuration stored in the platform's service. docs/CONFIGURATION.md
// lists every key.

#pragma once

#include "arbutus/core/error.h"
#include "arbutus/http/message.h"
#include "arbutus/http/tls.h"
#include "arbutus/node/settings.h"

#include <chrono>
#include <string>
#include <vector>

namespace arbutus::gateway {

/// Settings read once at startup.
struct Settings
{
    node::NodeSettings node;
    http::Endpoint clientEndpoint;
    http::Endpoint adminEndpoint;
    http::Endpoint peersEndpoint;
    http::Endpoint gossipEndpoint;
    std::vector<http::Endpoint> platformEndpoints;
    std::string adminKey;
    std::string clusterKey;
    http::TlsFiles tls;
    std::size_t eventQueueCapacity = 65'536;             // events waiting for the decision thread
    std::chrono::milliseconds streamIdleTimeout{10'000}; // pause of a stream after which another attempt is sought
};

/// Description of one key of the settings file. Keys without a description are rejected as unknown.
struct SettingDescription
{
    std::string path;         // "listen.callers"
    std::string type;         // text, number, list
    std::string description;  // includes unit and range
    std::string defaultValue; // or "required"
};

[[nodiscard]] const std::vector<SettingDescription> &settingDescriptions();

/// Parses the text of a settings file; `name` is the file name used in error messages.
[[nodiscard]] core::Result<Settings> parseSettings(std::string_view text, const std::string &name);

/// Reads and parses a settings file.
[[nodiscard]] core::Result<Settings> loadSettings(const std::string &file);

} // namespace arbutus::gateway
