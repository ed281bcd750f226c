// Workspaces of the route gateway: who may call, how urgent the calls are, where they may run, and how much may be used.
//
// A configuration that lists workspaces requires a credential on every route that is not open. The credential names the
// workspace; what the workspace states goes before what the route states (priority), or binds beside it (home regions).
//
// Sections:
//   Quota              limit of what a workspace may use, over all instances together
//   Workspace          one entry of the configuration
//   CredentialIndex    finds the workspace of a credential
//
// Q: Why does the index not hold the credentials?
// A: It holds keyed hashes, made with a key that is new in each process. So a memory dump or an error message shows no
//    credential, and the time of a lookup says nothing about the credentials that are known.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/core/ids.h"

#include <array>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutus::catalog {

//-----------------------------------------------------------------------------
// Quota
//-----------------------------------------------------------------------------

enum class QuotaUnit {
    Requests, // each request costs one unit
    Tokens,   // a request costs its prompt tokens plus its maximum number of output tokens
};

/// Limit of what a workspace may use, over all instances together.
struct Quota
{
    QuotaUnit unit = QuotaUnit::Requests;
    double unitsPerSecond = 0;   // refill of the bucket; greater than 0
    double burstUnits = 0;       // size of the bucket
    std::uint32_t plainCost = 1; // units of a request that states no tokens, if the unit is tokens

    /// Units that a request with these token counts costs; `tokens` is empty if the request states none.
    [[nodiscard]] std::uint32_t costOf(std::optional<std::uint32_t> tokens) const
    {
        return unit == QuotaUnit::Requests ? 1 : tokens.value_or(plainCost);
    }
    bool operator==(const Quota &) const = default;
};

//-----------------------------------------------------------------------------
// Workspace
//-----------------------------------------------------------------------------

struct Workspace
{
    core::WorkspaceId id;
    std::optional<int> priority;          // of all its requests, in place of the route's; 0 is highest
    std::set<core::RegionId> homeRegions; // regions that may serve it, in addition to the route's restriction; empty = all
    std::optional<Quota> quota;           // empty: no limit

    /// Whether requests may be served in `region`.
    [[nodiscard]] bool allowsRegion(const core::RegionId &region) const
    {
        return homeRegions.empty() || homeRegions.contains(region);
    }
    bool operator==(const Workspace &) const = default;
};

/// A workspace as the configuration states it.
struct WorkspaceEntry
{
    Workspace workspace;
    std::vector<std::string> credentials;
};

//-----------------------------------------------------------------------------
// CredentialIndex
//-----------------------------------------------------------------------------

class CredentialIndex
{
public:
    /// Adds a credential of the workspace with this index. A credential that is already there stays with its first workspace.
    void add(std::string_view credential, std::size_t workspace);
    /// Index of the workspace that holds the credential.
    [[nodiscard]] std::optional<std::size_t> find(std::string_view credential) const;

private:
    using Digest = std::array<unsigned char, 32>;
    [[nodiscard]] static Digest digestOf(std::string_view credential);

    struct Row
    {
        Digest digest;
        std::size_t workspace = 0;
    };
    std::unordered_multimap<std::uint64_t, Row> m_rows; // by the first bytes of the digest
};

} // namespace arbutus::catalog
