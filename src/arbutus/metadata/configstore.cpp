// Reads and writes of the configuration log by command line tools.

#include "arbutus/metadata/configstore.h"

namespace arbutus::metadata {

namespace asio = boost::asio;

namespace {

constexpr std::int64_t EntriesPerPage = 256;
constexpr int MaxWriteAttempts = 16;               // each attempt can lose its revision to a concurrent editor
constexpr const char *LogRangeEnd = "config/log0"; // '0' follows '/': sorts after every "config/log/" key

} // namespace

asio::awaitable<core::Result<std::vector<config::LogEntry>>> readHistory(KvClient &client)
{
    std::vector<config::LogEntry> entries;
    core::Revision nextRevision(1);
    while (true) {
        auto page = co_await client.range(config::logEntryKey(nextRevision), LogRangeEnd, EntriesPerPage);
        if (!page) {
            co_return page.error();
        }
        for (const KvPair &pair : page.value().pairs) {
            auto entry = config::parseLogEntry(pair.value);
            if (!entry) {
                co_return entry.error();
            }
            nextRevision = core::Revision(entry.value().revision.value + 1);
            entries.push_back(std::move(entry.value()));
        }
        if (page.value().pairs.size() < static_cast<std::size_t>(EntriesPerPage)) {
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
            co_return core::makeError(core::ErrorKind::ConfigInvalid,
                                      "the configuration log is inconsistent at revision " + std::to_string(entry.revision.value));
        }
    }
    co_return state;
}

asio::awaitable<core::Result<core::Revision>> writeEdit(KvClient &client, config::Edit edit, std::int64_t editedAtMs)
{
    for (int i = 0; i < MaxWriteAttempts; ++i) {
        auto state = co_await readConfig(client);
        if (!state) {
            co_return state.error();
        }
        auto entry = config::buildLogEntry(state.value(), edit, editedAtMs);
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
        const auto existing = config::parseLogEntry(created.value().existingValue);
        if (existing && existing.value().editId == edit.editId) { // our own edit, written by an earlier attempt whose response was lost
            co_return existing.value().revision;
        }
    }
    co_return core::makeError(core::ErrorKind::ConfigConflict,
                              "gave up after " + std::to_string(MaxWriteAttempts) + " attempts: concurrent edits took every revision");
}

} // namespace arbutus::metadata
