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
    std::int64_t atMs = 0;                 // wall time of the edit, Unix milliseconds
    std::vector<boost::json::object> puts; // documents to write
    std::vector<DocumentKey> removals;     // documents to remove

    [[nodiscard]] std::string serialize() const;
    [[nodiscard]] std::string hash() const; // SHA-256 of serialize()
};

/// Reads what LogEntry::serialize() wrote.
[[nodiscard]] core::Result<LogEntry> parseEntry(std::string_view text);

/// Key of an entry in the platform's service, e.g. "config/log/000000000007".
[[nodiscard]] std::string logKey(core::Revision revision);

/// Position in the chain.
struct Head
{
    core::Revision revision;
    std::string hash; // of the entry at `revision`; empty at 0

    auto operator<=>(const Head &) const = default;
};

/// What became of an offered entry.
enum class Adoption {
    Adopted,   // was the next one
    Duplicate, // at or below the revision in force
    Gap,       // entries between are missing
    Foreign,   // does not link to the chain
    Invalid,   // faults; never in a chain that a checked editor wrote
};

/// Documents and chain position of one node.
class ConfigState
{
public:
    /// Adopts `entry` if it is the next of the chain.
    Adoption offer(const LogEntry &entry);

    /// Whole state as one text, and back. A snapshot is adopted only if its revision is higher.
    [[nodiscard]] std::string snapshot() const;
    bool adoptSnapshot(std::string_view text);

    /// Recent entries after `from`, oldest first; nothing when they are no longer kept (take a snapshot then).
    [[nodiscard]] std::optional<std::vector<LogEntry>> entriesAfter(core::Revision from) const;

    [[nodiscard]] const Head &head() const
    {
        return m_head;
    }
    [[nodiscard]] const DocumentSet &documents() const
    {
        return m_documents;
    }
    /// Revision at which a document was last written; 0 when absent.
    [[nodiscard]] core::Revision writtenAt(const DocumentKey &key) const;

    /// Resolved policy, or null when the workspace is unknown.
    [[nodiscard]] const Policy *policyOf(const core::WorkspaceId &workspace) const;
    [[nodiscard]] const std::map<core::WorkspaceId, Policy> &policies() const
    {
        return m_policies;
    }

private:
    void resolveTouched(const DocumentKey &key);
    void resolveAll();

    Head m_head;
    DocumentSet m_documents;
    std::map<DocumentKey, core::Revision> m_writtenAt;
    std::map<core::WorkspaceId, Policy> m_policies;
    std::deque<LogEntry> m_recent; // the last RecentEntries adopted, oldest first
};

} // namespace arbutus::config
