// Configuration documents: templates with parameters, workspaces made from them, and the effective policy.
//
// A template is a policy in which a text "${name}" stands for a parameter; a workspace names a template and gives the
// values. Resolving a workspace fills the values in and reads the policy, with every fault named, not just the first.
//
//   {"kind":"template","id":"press","parameters":{"rate":{"type":"number","default":50,"min":1,"max":10000}},
//    "policy":{"models":["almanac-large"],"residency":["bangkok"],"home_region":"bangkok",
//              "classes":{"desk":{"urgency":"urgent","deadline_ms":5000}},"limits":{"requests_per_s":"${rate}"}}}
//   {"kind":"workspace","id":"siamwong","template":"press","parameters":{"rate":80},"key_sha256":["…"]}
//
// Sections:
//   Policy      what one workspace may do
//   Documents   what operators write
//   Functions   parse, resolve, validate

#pragma once

#include "arbutus/core/error.h"
#include "arbutus/core/ids.h"

#include <boost/json.hpp>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace arbutus::config {

//-----------------------------------------------------------------------------
// Policy
//-----------------------------------------------------------------------------

/// Order in which classes are served and refused: lower values are served first.
enum class Urgency {
    Urgent,     // somebody stands at a counter
    Normal,     // interactive
    Background, // may be refused first
};

/// One request class of a template.
struct RequestClass
{
    core::ClassId id;
    Urgency urgency = Urgency::Normal;
    std::chrono::milliseconds deadline{30'000}; // 1 ms .. 24 h, from arrival to the whole answer
    bool mayWait = false;                       // may be held for slack until its deadline
    bool repeatable = true;                     // false: runs at most once, needs a ticket
};

/// What the router weighs for a workspace; the two need not add up to one.
struct RoutingWeights
{
    double cost = 0.5;    // 0 .. 1
    double latency = 0.5; // 0 .. 1
};

/// Limits over all instances together.
struct RequestLimits
{
    double requestsPerSecond = 100.0; // > 0
    double burst = 200.0;             // >= 1 request
    std::uint32_t concurrency = 256;  // >= 1 request in flight
};

/// Everything a workspace may do.
struct WorkspacePolicy
{
    core::WorkspaceId workspace;
    std::vector<std::string> apiKeyHashes; // SHA-256 of accepted keys, hexadecimal
    std::set<core::ModelId> models;
    std::set<core::ServiceId> services;
    std::set<core::RegionId> residency; // regions that may see its data
    core::RegionId homeRegion;          // member of residency
    std::map<core::ClassId, RequestClass> classes;
    core::ClassId defaultClass;
    RoutingWeights weights;
    RequestLimits limits;
};

//-----------------------------------------------------------------------------
// Documents
//-----------------------------------------------------------------------------

/// Name of a document: kind ("template", "workspace" or "upstream") and id.
struct DocumentKey
{
    std::string kind;
    std::string id;

    auto operator<=>(const DocumentKey &) const = default;
};

/// All documents of one revision.
using DocumentSet = std::map<DocumentKey, boost::json::object>;

//-----------------------------------------------------------------------------
// Functions
//-----------------------------------------------------------------------------

/// Key of a document, or an error when "kind" or "id" is missing or wrong.
[[nodiscard]] core::Result<DocumentKey> documentKey(const boost::json::object &document);

/// Effective policy of a workspace.
[[nodiscard]] core::Result<WorkspacePolicy> resolvePolicy(const DocumentSet &documents, const core::WorkspaceId &workspace);

/// Every fault of a document set; empty when it can be put in force.
[[nodiscard]] std::vector<std::string> validate(const DocumentSet &documents);

/// The workspaces in a document set.
[[nodiscard]] std::vector<core::WorkspaceId> listWorkspaces(const DocumentSet &documents);

/// Whether the configuration says that an upstream refuses orders with an old fencing number.
[[nodiscard]] bool checksFencing(const DocumentSet &documents, const core::UpstreamId &upstream);

} // namespace arbutus::config
