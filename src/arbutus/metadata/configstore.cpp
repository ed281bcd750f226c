// The log as tools see it.

#include "arbutus/metadata/configstore.h"

namespace arbutus::metadata {

namespace asio = boost::asio;

namespace {

constexpr std::int64_t EntriesPerRead = 256;
constexpr int WriteTries = 16; // racing editors each win one number
constexpr const char *LogEnd = "config/log0";

} // namespace

asio::awaitable<core::Result<std::vector<config::LogEntry>>> readHistory(KvClient &client)
{
    std::vector<config::LogEntry> entries;
    core::Revision next(1);
    while (true) {
        auto range = co_await client.range(config::logEntryKey(next), LogEnd, EntriesPerRead);
        if (!range) {
            co_return range.error();
        }
        for (const KvPair &stored : range.value().pairs) {
            auto entry = config::parseLogEntry(stored.value);
            if (!entry) {
                co_return entry.error();
            }
            next = core::Revision(entry.value().revision.value + 1);
            entries.push_back(std::move(entry.value()));
        }
        if (range.value().pairs.size() < static_cast<std::size_t>(EntriesPerRead)) {
            co_return entries;
        }
    }
}

asio::awaitable<core::Result<config::ConfigState>> readConfig(KvClient &client)
{
    auto history = co_await readHistory(client);
    if (!history) {
        co_return history.error();
    }
    config::ConfigState state;
    for (const config::LogEntry &entry : history.value()) {
        if (state.apply(entry) != config::ApplyResult::Applied) {
            co_return core::makeError(core::ErrorKind::ConfigInvalid, "the log does not link at revision " + std::to_string(entry.revision.value));
        }
    }
    co_return state;
}

asio::awaitable<core::Result<core::Revision>> writeEdit(KvClient &client, config::Edit edit, std::int64_t atMs)
{
    for (int i = 0; i < WriteTries; ++i) {
        auto newest = co_await readConfig(client);
        if (!newest) {
            co_return newest.error();
        }
        auto entry = config::buildLogEntry(newest.value(), edit, atMs);
        if (!entry) {
            co_return entry.error();
        }
        auto created = co_await client.create(config::logEntryKey(entry.value().revision), entry.value().serialize());
        if (!created) {
            co_return created.error();
        }
        if (created.value().created) {
            co_return entry.value().revision;
        }
        const auto winner = config::parseLogEntry(created.value().existingValue);
        if (winner && winner.value().editId == edit.editId) { // ours, written by a try whose answer was lost
            co_return winner.value().revision;
        }
    }
    co_return core::makeError(core::ErrorKind::ConfigConflict, "other editors were faster too often");
}

} // namespace arbutus::metadata
