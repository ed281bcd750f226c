// Access to the configuration log in the platform's key-value service, for command line tools.

#pragma once

#include "arbutus/config/edit.h"
#include "arbutus/metadata/kvclient.h"

namespace arbutus::metadata {

/// Reads the newest configuration by applying every entry of the log.
boost::asio::awaitable<core::Result<config::ConfigState>> readConfig(KvClient &client);

/// Reads all entries of the log, oldest first.
boost::asio::awaitable<core::Result<std::vector<config::LogEntry>>> readHistory(KvClient &client);

/// Writes an edit. After a concurrent edit, buildLogEntry() rebases or rejects it; lost responses are resolved by reading back.
boost::asio::awaitable<core::Result<core::Revision>> writeEdit(KvClient &client, config::Edit edit, std::int64_t editedAtMs);

} // namespace arbutus::metadata
