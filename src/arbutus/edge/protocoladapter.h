// What callers, upstreams and the metadata store say, as this product's types.
//
// The gateway's core knows no header, path or key of any platform. A Dialect decodes each message once into the structs
// below and encodes the answers; it decides nothing and keeps nothing.
//
// Sections:
//   Requests    what a caller asks
//   Answers     what an upstream answered
//   Directory   which instances a caller may use
//   Store       keys and values of the metadata store
//   Dialect     the interface

#pragma once

#include "arbutus/catalog/catalog.h"
#include "arbutus/core/error.h"
#include "arbutus/http/message.h"
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

/// What the headers of a caller's request say.
struct RequestHead
{
    std::string attemptId;                            // the caller's id of this attempt; each retry of its own has another
    std::string host;                                 // lower case, without a port
    std::string path;                                 // without the query
    std::optional<std::chrono::milliseconds> timeout; // that the caller waits, from the arrival of the request
    std::vector<routing::PromptPart> prompt;          // shared parts first, the request's own last
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedOutputTokens = 0; // expected: the caller's estimate, else the most that it accepts
    std::string lastEventId;                // the caller resumes a stream after this event
};

/// What the gateway adds for an upstream.
struct UpstreamRequestOptions
{
    core::UpstreamId expectedUpstream;    // any other upstream at that address must refuse
    std::chrono::milliseconds timeout{0}; // that is left
    int priority = 0;                     // of the route; 0 is first
    std::string resumeAfterEventId;       // the last event that the caller has; empty: from the start
    bool isModelEngine = false;           // the upstream is a model engine
};

//-----------------------------------------------------------------------------
// Answers
//-----------------------------------------------------------------------------

enum class ResponseKind {
    Success,     // 2xx of the upstream itself
    ErrorStatus, // any other answer of the upstream itself; the request has run
    NotExecuted, // the upstream says that it did not run the request
    Misdirected, // another upstream has the address; it did not run the request
    Unverified,  // nothing shows that the upstream answered this request
};

/// What an upstream's answer headers say.
struct ResponseHead
{
    ResponseKind kind = ResponseKind::Unverified;
    bool closesConnection = false; // the connection ends, which leaving upstreams say, and others now and then
};

//-----------------------------------------------------------------------------
// Directory
//-----------------------------------------------------------------------------

/// Where a caller that asks for instances is.
struct DirectoryQuery
{
    core::RegionId region;
    core::DomainId domain;
};

//-----------------------------------------------------------------------------
// Store
//-----------------------------------------------------------------------------

/// Key prefixes of the store.
struct StoreKeyPrefixes
{
    std::string upstreamPrefix; // announcements of upstreams
    std::string memberPrefix;   // gateway instances that register themselves
};

//-----------------------------------------------------------------------------
// Dialect
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
    /// Headers for the upstream: the caller's, less those of one connection and those that only the gateway may set.
    [[nodiscard]] virtual http::Headers upstreamHeaders(const http::Request &request, const UpstreamRequestOptions &terms) const = 0;
    /// Headers for another gateway, which judges the request as if the caller had sent it there.
    [[nodiscard]] virtual http::Headers peerHeaders(const http::Request &request, std::chrono::milliseconds deadline) const = 0;

    //--- Answers
    /// False where the headers name another attempt.
    [[nodiscard]] virtual bool isResponseTo(const http::Headers &headers, const std::string &attempt) const = 0;
    [[nodiscard]] virtual ResponseHead parseResponse(const http::Response &answer, const std::string &attempt) const = 0;
    /// Headers for the caller.
    [[nodiscard]] virtual http::Headers clientHeaders(const http::Headers &answer) const = 0;

    //--- Directory
    [[nodiscard]] virtual std::optional<DirectoryQuery> parseDirectoryQuery(const http::Request &request) const = 0;
    [[nodiscard]] virtual http::Response directoryResponse(const std::vector<std::string> &addresses, std::chrono::seconds lifetime) const = 0;
    [[nodiscard]] virtual bool isReadinessProbe(const http::Request &request) const = 0;

    //--- Store
    [[nodiscard]] virtual StoreKeyPrefixes storeKeyPrefixes() const = 0;
    [[nodiscard]] virtual bool isCatalogKey(const std::string &key) const = 0;
    [[nodiscard]] virtual core::Result<catalog::CatalogPointer> parseCatalog(const std::string &value) const = 0;
    /// The failure domain whose upstreams must get nothing while this key exists; empty for other keys.
    [[nodiscard]] virtual core::DomainId parseEvacuationKey(const std::string &key) const = 0;
    [[nodiscard]] virtual core::Result<routing::Announcement> parseAnnouncement(const std::string &key, const std::string &value) const = 0;
};

} // namespace arbutus::edge
