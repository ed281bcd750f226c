// The configuration log: a hash-linked chain of edits, of which a node adopts only the next.
//
// Entry n is stored in the platform's key-value service under logKey(n), created only if absent, so that of racing
// edits exactly one gets number n. Each entry carries the hash of the one before it and an id of its own; a writer that
// lost the answer reads the key back and compares ids. A node never adopts a lower revision, whatever a stale read says.
//
// Q: Why compare hashes when numbers are unique?
// A: A restored backup of the platform could hold another history under the same numbers; such an entry is refused.

#pragma once

#include "arbutus/config/document.h"
#include "arbutus/core/ids.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::config {

/// One accepted edit.
struct LogEntry
{
    core::Revision revision;               // 1, 2, 3, …
    std::string editId;                    // drawn by the editor, to find its own edit again
    std::string previousHash;              // hash of entry revision-1; empty for entry 1
    std::string author;                    // who edited
    std::int64_t editedAtMs = 0;           // wall time of the edit, Unix milliseconds
    std::vector<boost::json::object> puts; // documents to write
    std::vector<DocumentKey> removals;     // documents to remove

    [[nodiscard]] std::string serialize() const;
    [[nodiscard]] std::string hash() const; // SHA-256 of serialize()
};

/// Reads what LogEntry::serialize() wrote.
[[nodiscard]] core::Result<LogEntry> parseLogEntry(std::string_view text);

/// Key of an entry in the platform's service, e.g. "config/log/000000000007".
[[nodiscard]] std::string logEntryKey(core::Revision revision);

/// Position in the chain.
struct LogHead
{
    core::Revision revision;
    std::string hash; // of the entry at `revision`; empty at 0

    auto operator<=>(const LogHead &) const = default;
};

/// What became of an offered entry.
enum class ApplyResult {
    Applied,      // was the next one
    Duplicate,    // at or below the revision in force
    Gap,          // entries between are missing
    HashMismatch, // does not link to the chain
    Invalid,      // faults; never in a chain that a checked editor wrote
};

/// Documents and chain position of one node.
class ConfigState
{
public:
    /// Adopts `entry` if it is the next of the chain.
    ApplyResult apply(const LogEntry &entry);

    /// Whole state as one text, and back. A snapshot is adopted only if its revision is higher.
    [[nodiscard]] std::string serializeSnapshot() const;
    bool installSnapshot(std::string_view text);

    /// Recent entries after `from`, oldest first; nothing when they are no longer kept (take a snapshot then).
    [[nodiscard]] std::optional<std::vector<LogEntry>> entriesAfter(core::Revision from) const;

    [[nodiscard]] const LogHead &head() const
    {
        return m_head;
    }
    [[nodiscard]] const DocumentSet &documents() const
    {
        return m_documents;
    }
    /// Revision at which a document was last written; 0 when absent.
    [[nodiscard]] core::Revision lastModifiedRevision(const DocumentKey &key) const;

    /// Resolved policy, or null when the workspace is unknown.
    [[nodiscard]] const WorkspacePolicy *findPolicy(const core::WorkspaceId &workspace) const;
    [[nodiscard]] const std::map<core::WorkspaceId, WorkspacePolicy> &policies() const
    {
        return m_policies;
    }

private:
    void resolveAffected(const DocumentKey &key);
    void resolveAll();

    LogHead m_head;
    DocumentSet m_documents;
    std::map<DocumentKey, core::Revision> m_lastModified;
    std::map<core::WorkspaceId, WorkspacePolicy> m_policies;
    std::deque<LogEntry> m_recentEntries; // the last RecentEntries adopted, oldest first
};

} // namespace arbutus::config
