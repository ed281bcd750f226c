// Configuration log: a hash chain of edits that each instance applies in order.
//
// Entry n is stored in the platform's key-value service under logEntryKey(n) and is only created if the key is absent, so
// exactly one of several concurrent edits gets revision n. Each entry contains the hash of its predecessor and a unique
// edit ID; a writer that did not receive the response reads the key back and compares edit IDs. An instance never goes back
// to a lower revision, even if a read returns stale data.
//
// Q: Why compare hashes if revisions are unique?
// A: A platform restored from a backup could contain a different history under the same revisions. Such an entry is
//    rejected.

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
    std::string editId;                    // chosen by the writer, to recognize its own edit when reading back
    std::string previousHash;              // hash of entry revision-1; empty for entry 1
    std::string author;                    // who made the edit
    std::int64_t editedAtMs = 0;           // wall-clock time of the edit, Unix milliseconds
    std::vector<boost::json::object> puts; // documents to write
    std::vector<DocumentKey> removals;     // documents to remove

    [[nodiscard]] std::string serialize() const;
    [[nodiscard]] std::string hash() const; // SHA-256 of serialize()
};

/// Parses the output of LogEntry::serialize().
[[nodiscard]] core::Result<LogEntry> parseLogEntry(std::string_view text);

/// Key of an entry in the platform's key-value service, e.g. "config/log/000000000007".
[[nodiscard]] std::string logEntryKey(core::Revision revision);

/// Last applied entry of the chain.
struct LogHead
{
    core::Revision revision;
    std::string hash; // of the entry at `revision`; empty at 0

    auto operator<=>(const LogHead &) const = default;
};

/// Result of applying an entry.
enum class ApplyResult {
    Applied,      // was the next entry of the chain
    Duplicate,    // at or below the current revision
    Gap,          // entries in between are missing
    HashMismatch, // previousHash does not match the chain
    Invalid,      // contains an invalid document; cannot occur if the writer validated the edit
};

/// Configuration held by one process: its documents and its position in the log.
class ConfigState
{
public:
    /// Applies `entry` if it is the next entry of the chain.
    ApplyResult apply(const LogEntry &entry);

    /// Serializes the complete state.
    [[nodiscard]] std::string serializeSnapshot() const;
    /// Replaces the state by a snapshot; returns false if that is malformed or its revision is not higher than the current one.
    bool installSnapshot(std::string_view text);

    /// Entries after `revision`, oldest first; nullopt if they are no longer in memory and a snapshot is needed.
    [[nodiscard]] std::optional<std::vector<LogEntry>> entriesAfter(core::Revision revision) const;

    [[nodiscard]] const LogHead &head() const
    {
        return m_head;
    }
    [[nodiscard]] const DocumentSet &documents() const
    {
        return m_documents;
    }
    /// Revision in which a document was last written or removed; 0 if there is no record.
    [[nodiscard]] core::Revision lastModifiedRevision(const DocumentKey &key) const;

    /// Resolved policy, or null if the workspace is unknown.
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
    std::deque<LogEntry> m_recentEntries; // the last MaxRecentEntries applied entries, oldest first
};

} // namespace arbutus::config
