// Interface between the gateway and the wire protocol of the platform that it runs on.
//
// The gateway's core knows no header, path or store key of any platform. A ProtocolAdapter decodes each message once into
// the structs below and encodes the responses. Adapters are stateless and make no routing decisions.
//
// Sections:
//   Requests    request headers of clients
//   Responses   response headers of upstreams
//   Directory   which instances a client may use
//   Store       keys and values of the metadata store
//   Adapter     the interface

#pragma once

#include "arbutus/catalog/catalog.h"
#include "arbutus/core/error.h"
#include "arbutus/http/client.h"
#include "arbutus/metadata/metadatastore.h"
#include "arbutus/routing/upstreamestimator.h"
#include "arbutus/routing/upstreamregistry.h"

#include <optional>
#include <string>
#include <vector>

namespace arbutus::edge {

//-----------------------------------------------------------------------------
// Requests
//-----------------------------------------------------------------------------

/// Decoded headers of a client's request.
struct RequestHead
{
    std::string attemptId;                            // unique per attempt: a retry by the client has a new id
    std::string host;                                 // lower case, without port
    std::string path;                                 // without query
    std::optional<std::chrono::milliseconds> timeout; // of the client, from the arrival of the request
    std::vector<routing::PromptPart> prompt;          // parts shared with other requests first, the request-specific part last
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedOutputTokens = 0;    // the client's estimate if it sent one, but at most its limit
    std::optional<std::uint32_t> statedTokens; // prompt tokens plus the maximum number of output tokens; empty: the request states none
    std::string credential;                    // names the client's workspace; never logged
    std::string lastEventId;                   // the client resumes a stream after this event
    std::string resumedAttemptId;              // the client's attempt that brought the first event of that stream
};

/// Values that the gateway adds to a request for an upstream.
struct UpstreamRequestOptions
{
    core::UpstreamId expectedUpstream;          // another upstream that has taken over the address must reject the request
    std::chrono::milliseconds timeout{0};       // time left for the response
    int priority = 0;                           // of the workspace or the route; 0 is the highest
    std::optional<core::WorkspaceId> workspace; // of the client, set where the configuration lists workspaces; an empty id on open routes
    std::string resumeAfterEventId;             // last event that the client has received; empty: start from the beginning
    bool isModelEngine = false;
};

//-----------------------------------------------------------------------------
// Responses
//-----------------------------------------------------------------------------

enum class ResponseKind {
    Success,     // 2xx from the upstream itself
    ErrorStatus, // any other status from the upstream itself; the request was executed
    NotExecuted, // the upstream states that it did not execute the request
    Misdirected, // another upstream has the address and did not execute the request
    Unverified,  // no proof that the upstream responded to this request
};

/// Decoded response headers of an upstream.
struct ResponseHead
{
    ResponseKind kind = ResponseKind::Unverified;
    bool closesConnection = false;        // "Connection: close", sent by draining upstreams, and occasionally by others
    std::optional<double> maxRequestRate; // that the upstream takes from all instances together, in requests per second
    std::string invalidMaxRequestRate;    // text of a rate that is not a finite, non-negative number; for the log
    bool isLeaving = false;               // the upstream will soon stop accepting requests
    std::optional<core::Duration> rest;   // time for which an upstream that rejects the request wants none from this instance
    std::string invalidRest;              // text of a time that is not a finite, non-negative number of seconds; for the log
};

//-----------------------------------------------------------------------------
// Directory
//-----------------------------------------------------------------------------

/// Location of a client that asks for instances, and the host that it wants to reach.
struct DirectoryQuery
{
    std::string host; // lower case, without port
    core::RegionId region;
    core::DomainId domain;
};

//-----------------------------------------------------------------------------
// Store
//-----------------------------------------------------------------------------

struct StoreKeyPrefixes
{
    std::string upstreamPrefix; // upstream announcements
    std::string memberPrefix;   // registrations of gateway instances
};

//-----------------------------------------------------------------------------
// Adapter
//-----------------------------------------------------------------------------

class ProtocolAdapter
{
public:
    ProtocolAdapter() = default;
    ProtocolAdapter(const ProtocolAdapter &) = delete;
    ProtocolAdapter &operator=(const ProtocolAdapter &) = delete;
    virtual ~ProtocolAdapter() = default;

    //--- Requests
    [[nodiscard]] virtual core::Result<RequestHead> parseRequest(const http::Request &request) const = 0;
    /// Headers for the upstream: the client's headers without hop-by-hop headers and without those reserved for the gateway.
    [[nodiscard]] virtual http::Headers upstreamHeaders(const http::Request &request, const UpstreamRequestOptions &options) const = 0;
    /// Headers for another gateway instance, which parses them like those of a client's request. With `hasWorkspaces`, without the workspace
    /// that a client may have stated.
    [[nodiscard]] virtual http::Headers peerHeaders(const http::Request &request, std::chrono::milliseconds timeout, bool hasWorkspaces) const = 0;

    //--- Responses
    /// Which attempt the headers name.
    [[nodiscard]] virtual http::ResponseMatch matchResponse(const http::Headers &headers, const std::string &attemptId) const = 0;
    [[nodiscard]] virtual ResponseHead parseResponse(const http::Response &response, const std::string &attemptId) const = 0;
    /// Headers for the client: the upstream's headers without hop-by-hop headers.
    [[nodiscard]] virtual http::Headers clientHeaders(const http::Headers &response) const = 0;

    //--- Directory
    [[nodiscard]] virtual std::optional<DirectoryQuery> parseDirectoryQuery(const http::Request &request) const = 0;
    [[nodiscard]] virtual http::Response directoryResponse(const std::vector<std::string> &addresses, std::chrono::seconds ttl) const = 0;
    [[nodiscard]] virtual bool isReadinessProbe(const http::Request &request) const = 0;

    //--- Store
    [[nodiscard]] virtual StoreKeyPrefixes storeKeyPrefixes() const = 0;
    [[nodiscard]] virtual bool isCatalogKey(const std::string &key) const = 0;
    [[nodiscard]] virtual core::Result<catalog::CatalogPointer> parseCatalog(const std::string &value) const = 0;
    /// The failure domain whose upstreams must get no requests while this key exists; empty for other keys.
    [[nodiscard]] virtual core::DomainId parseEvacuationKey(const std::string &key) const = 0;
    [[nodiscard]] virtual core::Result<routing::Announcement> parseAnnouncement(const std::string &key, const std::string &value) const = 0;
};

} // namespace arbutus::edge
