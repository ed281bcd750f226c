// Making an edit that fits onto the newest revision.
//
// An edit is made against the revision that the operator saw. When others have edited since, the edit is rebased if it
// touches other documents, and refused with what changed if it touches the same ones.

#pragma once

#include "arbutus/config/configlog.h"

#include <string>
#include <vector>

namespace arbutus::config {

/// What an operator wants to change.
struct Edit
{
    std::string editId; // drawn once, kept over every try
    std::string author;
    std::vector<boost::json::object> puts;
    std::vector<DocumentKey> removals;
    core::Revision baseRevision; // revision that the operator saw
};

/// The next entry of the chain that carries out `edit`; ConfigConflict or ConfigInvalid with every fault otherwise.
[[nodiscard]] core::Result<LogEntry> buildLogEntry(const ConfigState &newest, const Edit &edit, std::int64_t atMs);

/// One line for each difference between two document sets: "+ kind/id", "- kind/id", "~ kind/id before -> after".
[[nodiscard]] std::vector<std::string> diffDocuments(const DocumentSet &before, const DocumentSet &after);

/// Sets a field by its path, e.g. "parameters.rate" to 80; makes objects on the way. False when the path is blocked.
bool setFieldByPath(boost::json::object &document, std::string_view path, const boost::json::value &value);

} // namespace arbutus::config
