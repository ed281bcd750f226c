// Applies an operator's edit on top of the latest revision.
//
// An edit is based on the revision that the operator saw. If there are later edits, it is rebased if they modified other
// documents, and rejected with a conflict if they modified the same documents.

#pragma once

#include "arbutus/config/configlog.h"

#include <string>
#include <vector>

namespace arbutus::config {

/// Changes requested by an operator.
struct Edit
{
    std::string editId; // generated once and reused for every retry
    std::string author;
    std::vector<boost::json::object> puts;
    std::vector<DocumentKey> removals;
    core::Revision baseRevision; // revision that the operator saw
};

/// Builds the log entry for `edit` on top of `latest`. Fails with ConfigConflict, or ConfigInvalid listing all errors.
[[nodiscard]] core::Result<LogEntry> buildLogEntry(const ConfigState &latest, const Edit &edit, std::int64_t editedAtMs);

/// Lists the differences between two document sets, one per line: "+ kind/id", "- kind/id", "~ kind/id before -> after".
[[nodiscard]] std::vector<std::string> diffDocuments(const DocumentSet &before, const DocumentSet &after);

/// Sets a field by its path, e.g. "parameters.rate" to 80, creating missing objects. Returns false if the path has an
/// empty component or passes through a value that is not an object.
bool setFieldByPath(boost::json::object &document, std::string_view path, const boost::json::value &value);

} // namespace arbutus::config
