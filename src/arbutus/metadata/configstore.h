// Reading and writing the configuration log in the platform's service, for tools.

#pragma once

#include "arbutus/config/edit.h"
#include "arbutus/metadata/kvclient.h"

namespace arbutus::metadata {

/// Newest state of the log, entry by entry.
boost::asio::awaitable<core::Result<config::ConfigState>> readConfig(KvClient &client);

/// All entries of the log, oldest first.
boost::asio::awaitable<core::Result<std::vector<config::LogEntry>>> readHistory(KvClient &client);

/// Writes an edit; races with other editors are resolved as planEntry() says, lost answers by reading back.
boost::asio::awaitable<core::Result<core::Revision>> writeEdit(KvClient &client, config::Edit edit, std::int64_t atMs);

} // namespace arbutus::metadata
