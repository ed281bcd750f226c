// Rebase, conflict and difference.

#include "arbutus/config/edit.h"

#include <algorithm>

namespace arbutus::config {

namespace json = boost::json;

namespace {

std::string nameOf(const DocumentKey &key)
{
    return key.kind + "/" + key.id;
}

core::Result<std::vector<DocumentKey>> touchedBy(const Edit &edit)
{
    std::vector<DocumentKey> keys = edit.removals;
    for (const json::object &put : edit.puts) {
        BOOST_OUTCOME_TRY(const DocumentKey key, documentKey(put));
        keys.push_back(key);
    }
    return keys;
}

std::string join(const std::vector<std::string> &lines)
{
    std::string out;
    for (const std::string &line : lines) {
        out += (out.empty() ? "" : "; ") + line;
    }
    return out;
}

} // namespace

core::Result<LogEntry> buildLogEntry(const ConfigState &newest, const Edit &edit, std::int64_t atMs)
{
    BOOST_OUTCOME_TRY(const std::vector<DocumentKey> keys, touchedBy(edit));
    if (keys.empty()) {
        return core::makeError(core::ErrorKind::ConfigInvalid, "the edit changes nothing");
    }
    for (const DocumentKey &key : keys) {
        const core::Revision written = newest.lastModifiedRevision(key);
        if (written > edit.baseRevision) {
            return core::makeError(core::ErrorKind::ConfigConflict,
                                   nameOf(key) + " was changed in revision " + std::to_string(written.value) + ", you saw revision "
                                       + std::to_string(edit.baseRevision.value));
        }
    }
    DocumentSet after = newest.documents();
    for (const json::object &put : edit.puts) {
        after[documentKey(put).value()] = put;
    }
    for (const DocumentKey &key : edit.removals) {
        after.erase(key);
    }
    const std::vector<std::string> faults = validate(after);
    if (!faults.empty()) {
        return core::makeError(core::ErrorKind::ConfigInvalid, join(faults));
    }
    LogEntry entry;
    entry.revision = core::Revision(newest.head().revision.value + 1);
    entry.editId = edit.editId;
    entry.previousHash = newest.head().hash;
    entry.author = edit.author;
    entry.editedAtMs = atMs;
    entry.puts = edit.puts;
    entry.removals = edit.removals;
    return entry;
}

std::vector<std::string> diffDocuments(const DocumentSet &before, const DocumentSet &after)
{
    std::vector<std::string> out;
    for (const auto &[key, document] : before) {
        const auto found = after.find(key);
        if (found == after.end()) {
            out.push_back("- " + nameOf(key));
        } else if (found->second != document) {
            out.push_back("~ " + nameOf(key) + " " + json::serialize(document) + " -> " + json::serialize(found->second));
        }
    }
    for (const auto &[key, document] : after) {
        if (!before.contains(key)) {
            out.push_back("+ " + nameOf(key) + " " + json::serialize(document));
        }
    }
    return out;
}

bool setFieldByPath(json::object &document, std::string_view path, const json::value &value)
{
    const std::size_t dot = path.find('.');
    const std::string_view name = path.substr(0, dot);
    if (name.empty()) {
        return false;
    }
    if (dot == std::string_view::npos) {
        document[name] = value;
        return true;
    }
    json::value &inner = document[name];
    if (inner.is_null()) {
        inner = json::object();
    }
    return inner.is_object() && setFieldByPath(inner.as_object(), path.substr(dot + 1), value);
}

} // namespace arbutus::config
