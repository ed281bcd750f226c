// JSON serialization of log entries and snapshots, and the rules for applying them.

#include "arbutus/config/configlog.h"

#include "arbutus/core/hash.h"
#include "arbutus/core/json.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace arbutus::config {

namespace {

namespace json = boost::json;

constexpr std::size_t MaxRecentEntries = 512; // entries kept in memory for peers that lag behind

json::array toJson(const std::vector<DocumentKey> &keys)
{
    json::array out;
    for (const DocumentKey &key : keys) {
        out.push_back(json::object{{"kind", key.kind}, {"id", key.id}});
    }
    return out;
}

core::Error malformedEntry(const std::string &reason)
{
    return core::makeError(core::ErrorKind::ConfigInvalid, "invalid configuration log entry: " + reason);
}

core::Result<void> parsePuts(const json::object &object, LogEntry &entry)
{
    const json::value *puts = object.if_contains("puts");
    if (puts == nullptr || !puts->is_array()) {
        return malformedEntry("\"puts\" is missing or not an array");
    }
    for (const json::value &put : puts->as_array()) {
        if (!put.is_object()) {
            return malformedEntry("an element of \"puts\" is not an object");
        }
        BOOST_OUTCOME_TRYV(documentKey(put.as_object()));
        entry.puts.push_back(put.as_object());
    }
    return core::success();
}

core::Result<void> parseRemovals(const json::object &object, LogEntry &entry)
{
    const json::value *removals = object.if_contains("removals");
    if (removals == nullptr || !removals->is_array()) {
        return malformedEntry("\"removals\" is missing or not an array");
    }
    for (const json::value &removal : removals->as_array()) {
        if (!removal.is_object()) {
            return malformedEntry("an element of \"removals\" is not an object");
        }
        entry.removals.push_back(DocumentKey{core::jsonString(removal.as_object(), "kind"), core::jsonString(removal.as_object(), "id")});
    }
    return core::success();
}

void applyEntry(DocumentSet &documents, const LogEntry &entry)
{
    for (const json::object &put : entry.puts) {
        documents[documentKey(put).value()] = put;
    }
    for (const DocumentKey &key : entry.removals) {
        documents.erase(key);
    }
}

} // namespace

std::string LogEntry::serialize() const
{
    json::array documents;
    for (const json::object &put : puts) {
        documents.emplace_back(put);
    }
    const json::object object{{"revision", static_cast<std::int64_t>(revision.value)},
                              {"edit_id", editId},
                              {"previous_hash", previousHash},
                              {"author", author},
                              {"at_ms", editedAtMs},
                              {"puts", std::move(documents)},
                              {"removals", toJson(removals)}};
    return json::serialize(object);
}

std::string LogEntry::hash() const
{
    return core::sha256Hex(serialize());
}

core::Result<LogEntry> parseLogEntry(std::string_view text)
{
    BOOST_OUTCOME_TRY(const json::object object, core::parseJsonObject(text));
    LogEntry entry;
    entry.revision = core::Revision(static_cast<std::uint64_t>(std::max<std::int64_t>(core::jsonInteger(object, "revision"), 0)));
    entry.editId = core::jsonString(object, "edit_id");
    entry.previousHash = core::jsonString(object, "previous_hash");
    entry.author = core::jsonString(object, "author");
    entry.editedAtMs = core::jsonInteger(object, "at_ms");
    if (entry.revision.value == 0 || entry.editId.empty()) {
        return malformedEntry("\"revision\" or \"edit_id\" is missing or invalid");
    }
    BOOST_OUTCOME_TRYV(parsePuts(object, entry));
    BOOST_OUTCOME_TRYV(parseRemovals(object, entry));
    return entry;
}

std::string logEntryKey(core::Revision revision)
{
    std::array<char, 40> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "config/log/%012llu", static_cast<unsigned long long>(revision.value));
    return buffer.data();
}

ApplyResult ConfigState::apply(const LogEntry &entry)
{
    if (entry.revision <= m_head.revision) {
        return ApplyResult::Duplicate;
    }
    if (entry.revision.value != m_head.revision.value + 1) {
        return ApplyResult::Gap;
    }
    if (entry.previousHash != m_head.hash) {
        return ApplyResult::HashMismatch;
    }
    for (const json::object &put : entry.puts) {
        if (!documentKey(put)) {
            return ApplyResult::Invalid;
        }
    }
    applyEntry(m_documents, entry);
    m_head = LogHead{entry.revision, entry.hash()};
    for (const json::object &put : entry.puts) {
        const DocumentKey key = documentKey(put).value();
        m_lastModified[key] = entry.revision;
        resolveAffected(key);
    }
    for (const DocumentKey &key : entry.removals) {
        m_lastModified[key] = entry.revision;
        resolveAffected(key);
    }
    m_recentEntries.push_back(entry);
    if (m_recentEntries.size() > MaxRecentEntries) {
        m_recentEntries.pop_front();
    }
    return ApplyResult::Applied;
}

std::string ConfigState::serializeSnapshot() const
{
    json::array documents;
    for (const auto &[key, document] : m_documents) {
        json::object row{{"document", document}, {"written_at", static_cast<std::int64_t>(lastModifiedRevision(key).value)}};
        documents.emplace_back(std::move(row));
    }
    const json::object object{{"revision", static_cast<std::int64_t>(m_head.revision.value)}, {"hash", m_head.hash}, {"documents", std::move(documents)}};
    return json::serialize(object);
}

bool ConfigState::installSnapshot(std::string_view text)
{
    const auto parsed = core::parseJsonObject(text);
    if (!parsed) {
        return false;
    }
    const json::object &object = parsed.value();
    const core::Revision revision(static_cast<std::uint64_t>(std::max<std::int64_t>(core::jsonInteger(object, "revision"), 0)));
    const json::value *rows = object.if_contains("documents");
    if (revision <= m_head.revision || rows == nullptr || !rows->is_array()) {
        return false;
    }
    DocumentSet documents;
    std::map<DocumentKey, core::Revision> lastModified;
    for (const json::value &row : rows->as_array()) {
        const json::value *document = row.is_object() ? row.as_object().if_contains("document") : nullptr;
        if (document == nullptr || !document->is_object() || !documentKey(document->as_object())) {
            return false;
        }
        const DocumentKey key = documentKey(document->as_object()).value();
        documents[key] = document->as_object();
        lastModified[key] = core::Revision(static_cast<std::uint64_t>(core::jsonInteger(row.as_object(), "written_at")));
    }
    m_documents = std::move(documents);
    m_lastModified = std::move(lastModified);
    m_head = LogHead{revision, core::jsonString(object, "hash")};
    m_recentEntries.clear();
    resolveAll();
    return true;
}

std::optional<std::vector<LogEntry>> ConfigState::entriesAfter(core::Revision revision) const
{
    if (revision >= m_head.revision) {
        return std::vector<LogEntry>{};
    }
    if (m_recentEntries.empty() || m_recentEntries.front().revision.value > revision.value + 1) {
        return std::nullopt;
    }
    std::vector<LogEntry> entries;
    for (const LogEntry &entry : m_recentEntries) {
        if (entry.revision > revision) {
            entries.push_back(entry);
        }
    }
    return entries;
}

core::Revision ConfigState::lastModifiedRevision(const DocumentKey &key) const
{
    const auto found = m_lastModified.find(key);
    return found == m_lastModified.end() ? core::Revision() : found->second;
}

const WorkspacePolicy *ConfigState::findPolicy(const core::WorkspaceId &workspace) const
{
    const auto found = m_policies.find(workspace);
    return found == m_policies.end() ? nullptr : &found->second;
}

void ConfigState::resolveAffected(const DocumentKey &key)
{
    if (key.kind == "template") {
        resolveAll();
        return;
    }
    if (key.kind != "workspace") {
        return;
    }
    const core::WorkspaceId workspace(key.id);
    m_policies.erase(workspace);
    if (auto policy = resolvePolicy(m_documents, workspace)) {
        m_policies[workspace] = std::move(policy.value());
    }
}

void ConfigState::resolveAll()
{
    m_policies.clear();
    for (const core::WorkspaceId &workspace : listWorkspaces(m_documents)) {
        if (auto policy = resolvePolicy(m_documents, workspace)) {
            m_policies[workspace] = std::move(policy.value());
        }
    }
}

} // namespace arbutus::config
