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
#include "arbutus/metadata/store.h"
#include "arbutus/routing/enginemodel.h"
#include "arbutus/routing/roster.h"

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
    std::string attempt;                               // the caller's id of this attempt; each retry of its own has another
    std::string host;                                  // lower case, without a port
    std::string path;                                  // without the query
    std::optional<std::chrono::milliseconds> deadline; // that the caller waits, from the arrival of the request
    std::vector<routing::PromptPart> prompt;           // shared parts first, the request's own last
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; // expected: the caller's estimate, else the most that it accepts
    std::string lastEvent;          // the caller resumes a stream after this event
};

/// What the gateway adds for an upstream.
struct SendTerms
{
    core::UpstreamId upstream;             // any other upstream at that address must refuse
    std::chrono::milliseconds deadline{0}; // that is left
    int priority = 0;                      // of the route; 0 is first
    std::string resumeAfter;               // the last event that the caller has; empty: from the start
    bool engine = false;                   // the upstream is a model engine
};

//-----------------------------------------------------------------------------
// Answers
//-----------------------------------------------------------------------------

enum class AnswerKind {
    Success,     // 2xx of the upstream itself
    Failure,     // any other answer of the upstream itself; the request has run
    TurnedAway,  // the upstream says that it did not run the request
    Misdirected, // another upstream has the address; it did not run the request
    Unproven,    // nothing shows that the upstream answered this request
};

/// What an upstream's answer headers say.
struct AnswerHead
{
    AnswerKind kind = AnswerKind::Unproven;
    bool leaving = false; // the connection ends, which leaving upstreams say, and others now and then
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
struct StoreLayout
{
    std::string upstreamPrefix; // announcements of upstreams
    std::string memberPrefix;   // gateway instances that register themselves
};

//-----------------------------------------------------------------------------
// Dialect
//-----------------------------------------------------------------------------

class Dialect
{
public:
    Dialect() = default;
    Dialect(const Dialect &) = delete;
    Dialect &operator=(const Dialect &) = delete;
    virtual ~Dialect() = default;

    //--- Requests
    [[nodiscard]] virtual core::Result<RequestHead> readRequest(const http::Request &request) const = 0;
    /// Headers for the upstream: the caller's, less those of one connection and those that only the gateway may set.
    [[nodiscard]] virtual http::Headers upstreamHeaders(const http::Request &request, const SendTerms &terms) const = 0;
    /// Headers for another gateway, which judges the request as if the caller had sent it there.
    [[nodiscard]] virtual http::Headers peerHeaders(const http::Request &request, std::chrono::milliseconds deadline) const = 0;

    //--- Answers
    /// False where the headers name another attempt.
    [[nodiscard]] virtual bool isAnswerTo(const http::Headers &headers, const std::string &attempt) const = 0;
    [[nodiscard]] virtual AnswerHead readAnswer(const http::Response &answer, const std::string &attempt) const = 0;
    /// Headers for the caller.
    [[nodiscard]] virtual http::Headers callerHeaders(const http::Headers &answer) const = 0;

    //--- Directory
    [[nodiscard]] virtual std::optional<DirectoryQuery> readDirectoryQuery(const http::Request &request) const = 0;
    [[nodiscard]] virtual http::Response directoryAnswer(const std::vector<std::string> &addresses, std::chrono::seconds lifetime) const = 0;
    [[nodiscard]] virtual bool isReadinessQuery(const http::Request &request) const = 0;

    //--- Store
    [[nodiscard]] virtual StoreLayout layout() const = 0;
    [[nodiscard]] virtual bool isCatalogKey(const std::string &key) const = 0;
    [[nodiscard]] virtual core::Result<catalog::CatalogPointer> readCatalog(const std::string &value) const = 0;
    /// The failure domain whose upstreams must get nothing while this key exists; empty for other keys.
    [[nodiscard]] virtual core::DomainId evacuatedDomain(const std::string &key) const = 0;
    [[nodiscard]] virtual core::Result<routing::Announcement> readAnnouncement(const std::string &key, const std::string &value) const = 0;
};

} // namespace arbutus::edge
