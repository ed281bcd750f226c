// Settings of an instance: one TOML file, with flags over it.
//
// A wrong file is refused with every fault named: file:line, key, what was found, what is allowed. What workspaces may do
// is never a setting; it is configuration in the platform's service. docs/CONFIGURATION.md lists every key.

#pragma once

#include "arbutus/core/error.h"
#include "arbutus/http/message.h"
#include "arbutus/http/tls.h"
#include "arbutus/node/settings.h"

#include <string>
#include <vector>

namespace arbutus::gateway {

/// Everything that an instance is told at its start.
struct Settings
{
    node::NodeSettings node;
    http::Endpoint callersEndpoint;
    http::Endpoint adminEndpoint;
    http::Endpoint peersEndpoint;
    http::Endpoint gossipEndpoint;
    std::vector<http::Endpoint> platformEndpoints;
    std::string adminKey;
    std::string clusterKey;
    http::TlsFiles tls;
    std::size_t eventQueueCapacity = 65'536; // events waiting for the decisions thread
};

/// One key that the file may have; the table behind it is what docs and checks are made from.
struct SettingDescription
{
    std::string path;         // "listen.callers"
    std::string type;         // text, number, list
    std::string description;  // with unit and range
    std::string defaultValue; // default, or "required"
};

[[nodiscard]] const std::vector<SettingDescription> &settingDescriptions();

/// Reads a settings text; `name` is used in messages.
[[nodiscard]] core::Result<Settings> parseSettings(std::string_view text, const std::string &name);

/// Reads a settings file.
[[nodiscard]] core::Result<Settings> loadSettings(const std::string &file);

} // namespace arbutus::gateway
