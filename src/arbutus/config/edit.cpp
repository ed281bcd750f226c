// Conflict detection, rebasing and diffs.

#include "arbutus/config/edit.h"

#include <algorithm>

namespace arbutus::config {

namespace json = boost::json;

namespace {

std::string displayName(const DocumentKey &key)
{
    return key.kind + "/" + key.id;
}

core::Result<std::vector<DocumentKey>> modifiedKeys(const Edit &edit)
{
    std::vector<DocumentKey> keys = edit.removals;
    for (const json::object &put : edit.puts) {
        BOOST_OUTCOME_TRY(const DocumentKey key, documentKey(put));
        keys.push_back(key);
    }
    return keys;
}

std::string joinErrors(const std::vector<std::string> &errors)
{
    std::string out;
    for (const std::string &error : errors) {
        out += (out.empty() ? "" : "; ") + error;
    }
    return out;
}

} // namespace

core::Result<LogEntry> buildLogEntry(const ConfigState &latest, const Edit &edit, std::int64_t editedAtMs)
{
    BOOST_OUTCOME_TRY(const std::vector<DocumentKey> keys, modifiedKeys(edit));
    if (keys.empty()) {
        return core::makeError(core::ErrorKind::ConfigInvalid, "the edit contains no changes");
    }
    for (const DocumentKey &key : keys) {
        const core::Revision lastModified = latest.lastModifiedRevision(key);
        if (lastModified > edit.baseRevision) {
            return core::makeError(core::ErrorKind::ConfigConflict,
                                   displayName(key) + " was changed in revision " + std::to_string(lastModified.value) + "; the edit is based on revision "
                                       + std::to_string(edit.baseRevision.value));
        }
    }
    DocumentSet after = latest.documents();
    for (const json::object &put : edit.puts) {
        after[documentKey(put).value()] = put;
    }
    for (const DocumentKey &key : edit.removals) {
        after.erase(key);
    }
    const std::vector<std::string> errors = validate(after);
    if (!errors.empty()) {
        return core::makeError(core::ErrorKind::ConfigInvalid, joinErrors(errors));
    }
    LogEntry entry;
    entry.revision = core::Revision(latest.head().revision.value + 1);
    entry.editId = edit.editId;
    entry.previousHash = latest.head().hash;
    entry.author = edit.author;
    entry.editedAtMs = editedAtMs;
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
            out.push_back("- " + displayName(key));
        } else if (found->second != document) {
            out.push_back("~ " + displayName(key) + " " + json::serialize(document) + " -> " + json::serialize(found->second));
        }
    }
    for (const auto &[key, document] : after) {
        if (!before.contains(key)) {
            out.push_back("+ " + displayName(key) + " " + json::serialize(document));
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
    json::value &child = document[name];
    if (child.is_null()) {
        child = json::object();
    }
    return child.is_object() && setFieldByPath(child.as_object(), path.substr(dot + 1), value);
}

} // namespace arbutus::config
