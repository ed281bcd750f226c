// Configuration documents: templates with parameters, workspaces that use them, and the resolved policy.
//
// A template is a policy in which the string "${name}" is a placeholder for a parameter. A workspace names a template and
// provides the values. Resolving a workspace substitutes the values and parses the policy; all errors are reported, not
// just the first.
//
//   {"kind":"template","id":"press","parameters":{"rate":{"type":"number","default":50,"min":1,"max":10000}},
//    "policy":{"models":["almanac-large"],"residency":["bangkok"],"home_region":"bangkok",
//              "classes":{"desk":{"urgency":"urgent","deadline_ms":5000}},"limits":{"requests_per_s":"${rate}"}}}
//   {"kind":"workspace","id":"siamwong","template":"press","parameters":{"rate":80},"key_sha256":["…"]}
//
// Sections:
//   Policy      the resolved policy of a workspace
//   Documents   keys and sets of documents
//   Functions   parsing, resolution, validation

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

/// Scheduling priority of a request class: lower values are served first and rejected last.
enum class Urgency {
    Urgent,     // a customer is waiting at a service counter
    Normal,     // interactive
    Background, // rejected first under overload
};

/// One request class of a template.
struct RequestClass
{
    core::ClassId id;
    Urgency urgency = Urgency::Normal;
    std::chrono::milliseconds deadline{30'000}; // 1 ms .. 24 h, from arrival to the complete response
    bool queueable = false;                     // may be queued for free capacity for as long as its deadline allows
    bool repeatable = true;                     // false: runs at most once and requires a ticket
};

/// Weights of the routing criteria; they need not add up to one.
struct RoutingWeights
{
    double cost = 0.5;    // 0 .. 1
    double latency = 0.5; // 0 .. 1
};

/// Limits of a workspace, summed over all instances.
struct RequestLimits
{
    double requestsPerSecond = 100.0; // > 0
    double burst = 200.0;             // >= 1, requests
    std::uint32_t concurrency = 256;  // >= 1, requests in flight
};

/// Resolved policy of a workspace.
struct WorkspacePolicy
{
    core::WorkspaceId workspace;
    std::vector<std::string> apiKeyHashes; // SHA-256 of the accepted API keys, hexadecimal
    std::set<core::ModelId> models;
    std::set<core::ServiceId> services;
    std::set<core::RegionId> residency; // regions that may process its data
    core::RegionId homeRegion;          // member of residency
    std::map<core::ClassId, RequestClass> classes;
    core::ClassId defaultClass;
    RoutingWeights weights;
    RequestLimits limits;
};

//-----------------------------------------------------------------------------
// Documents
//-----------------------------------------------------------------------------

/// Identifies a document: kind ("template", "workspace" or "upstream") and id.
struct DocumentKey
{
    std::string kind;
    std::string id;

    auto operator<=>(const DocumentKey &) const = default;
};

/// All documents of a revision.
using DocumentSet = std::map<DocumentKey, boost::json::object>;

//-----------------------------------------------------------------------------
// Functions
//-----------------------------------------------------------------------------

/// Key of a document, or an error if "kind" or "id" is missing or invalid.
[[nodiscard]] core::Result<DocumentKey> documentKey(const boost::json::object &document);

/// Resolves the policy of a workspace; the error lists every invalid field.
[[nodiscard]] core::Result<WorkspacePolicy> resolvePolicy(const DocumentSet &documents, const core::WorkspaceId &workspace);

/// All errors of a document set; empty if it is valid.
[[nodiscard]] std::vector<std::string> validate(const DocumentSet &documents);

/// IDs of the workspaces in a document set.
[[nodiscard]] std::vector<core::WorkspaceId> listWorkspaces(const DocumentSet &documents);

/// Whether an upstream is configured as rejecting commands with an outdated fencing token.
[[nodiscard]] bool checksFencing(const DocumentSet &documents, const core::UpstreamId &upstream);

} // namespace arbutus::config
