// What goes into a node and what comes out of it.
//
// A Node is the decision logic of one entry instance. The program feeds it events and carries out its actions; a test or
// a benchmark does the same with many nodes in one process. Requests are named by a RequestKey that the shell draws.
//
// Sections:
//   Requests     callers' and peers' requests
//   Ledger       tickets between instances
//   Cluster      datagrams, configuration, platform, upstreams
//   Event, Action

#pragma once

#include "arbutus/config/log.h"
#include "arbutus/core/clock.h"
#include "arbutus/core/error.h"
#include "arbutus/delivery/inherited.h"
#include "arbutus/delivery/ledger.h"
#include "arbutus/limits/workspacelimits.h"
#include "arbutus/membership/domainview.h"
#include "arbutus/placement/planner.h"
#include "arbutus/routing/router.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace arbutus::node {

using RequestKey = core::StrongNumber<struct RequestKeyTag>; // drawn by the shell, unique in one life
using CallKey = core::StrongNumber<struct CallKeyTag>;       // names a call to a peer or the platform

//-----------------------------------------------------------------------------
// Requests
//-----------------------------------------------------------------------------

/// What is judged before a body is read.
struct RequestHead
{
    core::RequestId id; // the caller's X-Request-Id, or drawn
    core::WorkspaceId workspace;
    std::string bearerHash;     // SHA-256 of the key; empty = none
    core::ClassId requestClass; // empty = the template's default
    std::optional<std::chrono::milliseconds> deadline;
    core::ServiceId service;      // empty = a model request
    bool safeMethod = false;      // GET, HEAD or OPTIONS to a plain service: repeatable by definition
    std::string ticket;           // X-Ticket
    std::string idempotencyHash;  // hash of workspace and Idempotency-Key; empty = none
    std::vector<std::string> via; // instances that the request has passed
    bool forwarded = false;       // came from another instance, which has checked the key
    core::AttemptId attempt;      // set: the origin keeps the ticket and this is one of its attempts
    std::size_t resumeOffset = 0; // tokens that the caller already has, told by the origin
};

/// What is known once the body has been read.
struct RequestBody
{
    core::ModelId model;
    bool stream = false;
    std::size_t promptTokens = 0;
    std::size_t maxTokens = 0;
    std::vector<std::uint64_t> blocks; // prefix blocks of the prompt
    std::string digest;                // SHA-256 of method, path and body
};

struct HeadArrived
{
    RequestKey key;
    RequestHead head;
};
struct BodyArrived
{
    RequestKey key;
    RequestBody body;
};

/// The body could not be read or understood.
struct BodyFailed
{
    RequestKey key;
    core::Error error;
};

/// How an attempt ended.
enum class AttemptEnd {
    Answered,   // whole answer, relayed
    NotRun,     // it did not run: refused connection, nothing written, or the upstream's own word
    Broken,     // it may have run and no whole answer came
    CallerGone, // the caller closed its connection
};
struct FirstTokenSeen
{
    RequestKey key;
    core::Duration elapsed{};
};
struct AttemptEnded
{
    RequestKey key;
    AttemptEnd end = AttemptEnd::Broken;
    std::string message;                              // for the log and the error
    std::optional<delivery::RecordedOutcome> outcome; // of an answer, for the ledger
    std::size_t tokensRelayed = 0;                    // whole tokens that the caller has got
    bool relayedAnything = false;                     // the caller has got a part of the answer
    bool peerRefused = false;                         // the other instance refused, its upstream is not to blame
};
/// The owner of a ticket answered a request that was taken to it, or could not be reached.
struct OwnerAnswered
{
    RequestKey key;
    bool relayed = false;
};

struct EntriesWanted
{
    RequestKey key;
    core::WorkspaceId workspace;
    std::string bearerHash;
    std::size_t tickets = 0;
};

/// Answer to HeadArrived.
struct HeadJudged
{
    RequestKey key;
    std::optional<core::Error> error;
    std::string freshTicket;               // with a refusal that closed the request's ticket
    std::vector<std::string> otherEntries; // URLs, with a refusal that another entry would not make
    core::Revision revision;
};

/// An upstream of the own failure domain.
struct LocalTarget
{
    core::UpstreamId upstream;
    std::string address;
};
/// An instance in the upstream's failure domain.
struct PeerTarget
{
    core::InstanceRef instance;
    std::string address;
    core::DomainId domain;
};
/// Orders one attempt.
struct Dispatch
{
    RequestKey key;
    core::AttemptId attempt;
    core::DecisionId decision;
    std::variant<LocalTarget, PeerTarget> target;
    core::RegionId region;
    int priority = 1;
    bool repeatable = true;
    std::chrono::milliseconds timeLeft{0};
    std::chrono::milliseconds delay{0}; // backoff before it starts
    std::size_t resumeOffset = 0;       // tokens that the caller already has
    core::Revision revision;
};
struct Refuse
{
    RequestKey key;
    core::Error error;
    std::string freshTicket; // may be empty
    std::vector<std::string> otherEntries;
    core::DecisionId decision;
};
/// Answers from the record of an earlier request with the same ticket.
struct Replay
{
    RequestKey key;
    delivery::RecordedOutcome outcome;
};
/// Takes the whole request to the owner of its ticket.
struct ForwardToOwner
{
    RequestKey key;
    core::InstanceRef owner;
    std::string address;
    std::chrono::milliseconds timeLeft{0};
};
/// One entry for callers.
struct EntryLine
{
    core::InstanceId id;
    core::RegionId region;
    core::DomainId domain;
    std::string url;
};
struct EntriesGiven
{
    RequestKey key;
    std::optional<core::Error> error;
    std::vector<EntryLine> entries; // best first
    std::vector<std::string> tickets;
    std::chrono::milliseconds expiresIn{0};
};

//-----------------------------------------------------------------------------
// Ledger
//-----------------------------------------------------------------------------

struct LedgerIntent
{
    std::string ticket;
    std::string digest;
};
struct LedgerOutcome
{
    std::string ticket;
    delivery::RecordedOutcome outcome;
};
struct LedgerSeal
{
    std::string ticket;
};
struct LedgerLookup
{
    std::string ticket;
};
using LedgerCall = std::variant<LedgerIntent, LedgerOutcome, LedgerSeal, LedgerLookup, delivery::Handover>;

/// A ledger call came in from another instance; answered by LedgerReplied.
struct LedgerCalled
{
    CallKey key;
    LedgerCall call;
};
struct LedgerReplied
{
    CallKey key;
    delivery::LedgerAnswer answer;
};
/// Calls another instance's ledger; answered by LedgerAnswered.
struct CallLedger
{
    CallKey key;
    std::string address;
    LedgerCall call;
};
struct LedgerAnswered
{
    CallKey key;
    std::optional<delivery::LedgerAnswer> answer; // nothing = no answer
};

/// Claims an Idempotency-Key: create-only write of a ticket in the platform's service.
struct ClaimKey
{
    RequestKey key;
    std::string claim;  // key in the platform's service
    std::string ticket; // what to write
};
struct KeyClaimed
{
    RequestKey key;
    std::optional<std::string> ticket; // the ticket in force: ours, or the one that was there; nothing = platform down
};

//-----------------------------------------------------------------------------
// Cluster
//-----------------------------------------------------------------------------

/// One row of a digest.
struct DigestRow
{
    std::string name; // model, or plain service
    bool service = false;
    core::DomainId domain;
    core::Duration wait{};
    std::uint32_t freeSlots = 0;
    std::uint32_t slots = 0;
    double price = 1.0;

    bool operator==(const DigestRow &) const = default;
};
struct DigestDomain
{
    core::DomainId domain;
    std::vector<membership::Member> entries;

    bool operator==(const DigestDomain &) const = default;
};
/// What other failure domains need to know of the sender's region.
struct Digest
{
    core::DomainId domain; // the sender's
    core::RegionId region;
    std::uint64_t number = 0;
    bool relayed = false;
    std::uint32_t domainCount = 1;
    std::vector<DigestRow> rows;
    std::vector<DigestDomain> domains;
    std::vector<limits::Demand> demand;

    bool operator==(const Digest &) const = default;
};
struct LoadNews
{
    std::vector<routing::LoadReport> reports;

    bool operator==(const LoadNews &) const = default;
};
struct DemandNews
{
    std::vector<limits::Demand> demand;         // by workspace
    std::vector<placement::ModelDemand> models; // by model
};
/// Announces the sender's configuration revision.
struct HeadNews
{
    std::string peerAddress; // where the entries can be fetched
};
/// One datagram between instances.
struct Datagram
{
    core::InstanceRef sender;
    core::DomainId domain;
    core::RegionId region;
    core::Revision revision; // the sender's configuration
    std::variant<membership::Message, Digest, LoadNews, DemandNews, HeadNews> body;
};
struct DatagramArrived
{
    std::string address; // of the sender
    Datagram datagram;
};
struct SendDatagram
{
    std::string address;
    Datagram datagram;
};

struct ConfigEntriesRead
{
    std::vector<config::LogEntry> entries;
};
struct ConfigSnapshotRead
{
    std::string snapshot;
};
/// Fetches configuration after a revision from another instance; answered by one of the two above.
struct PullConfig
{
    std::string address;
    core::Revision after;
};
/// Starts or stops watching the log in the platform's service.
struct WatchConfig
{
    bool on = false;
};
/// Writes a snapshot into the platform's service, create-only.
struct WriteSnapshot
{
    core::Revision revision;
    std::string snapshot;
};
/// A peer asks for configuration; answered by ConfigGiven.
struct ConfigAsked
{
    CallKey key;
    core::Revision after;
};
struct ConfigGiven
{
    CallKey key;
    core::Revision revision;
    std::vector<config::LogEntry> entries;
    std::string snapshot; // instead of entries
};

/// The platform's lagging list, as far as this instance asked for it.
struct ListRead
{
    std::vector<routing::UpstreamLine> upstreams;
    std::vector<membership::Member> instances; // all regions' contacts
    std::map<core::RegionId, std::uint32_t> domainsOfRegion;
};
struct ReadList
{
};
struct ReadLoad
{
    core::UpstreamId upstream;
    std::string address;
    std::uint64_t eventsSince = 0; // cache events after this number
    bool withEvents = true;
};
/// One cache event of an upstream.
struct CacheNews
{
    std::uint64_t number = 0;
    bool stored = true;
    std::uint64_t block = 0;
};
struct LoadRead
{
    core::UpstreamId upstream;
    std::optional<routing::LoadReport> report; // nothing = not reachable
    std::vector<CacheNews> events;
};
/// Lists this domain's entries in the client directory.
struct WriteDirectory
{
    std::vector<EntryLine> entries;
};

/// Asks for a lease in the platform's service, and keeps it, until told otherwise.
struct HoldLease
{
    std::string name;
    bool on = false;
};
/// The lease is held, or was renewed.
struct LeaseHeld
{
    core::FencingToken fencing;
    core::TimePoint until{}; // by this instance's clock, reckoned from before the call was sent
};
struct SendOrder
{
    placement::Order order;
    std::string address; // of the upstream
    core::FencingToken fencing;
};
struct OrderEnded
{
    placement::Order order;
    bool done = false;
    std::string message;
};

struct Ticked
{
};
struct DrainAsked
{
};
/// All work is done and handed over; the process may end.
struct Drained
{
};

/// One routing decision, for the log and for "explain".
struct DecisionLogged
{
    core::DecisionId decision;
    core::RequestId request;
    core::WorkspaceId workspace;
    core::ClassId requestClass;
    core::ModelId model;
    core::ServiceId service;
    std::optional<routing::Choice> choice; // nothing = refused or held
    std::string result;                    // dispatch, refuse, hold
    std::string detail;                    // why, for a refusal
    core::Revision revision;
};
/// Another event worth a log line: name and key=value pairs.
struct EventLogged
{
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

//-----------------------------------------------------------------------------
// Event, Action
//-----------------------------------------------------------------------------

using Event = std::variant<HeadArrived,
                           BodyArrived,
                           BodyFailed,
                           FirstTokenSeen,
                           AttemptEnded,
                           OwnerAnswered,
                           EntriesWanted,
                           LedgerCalled,
                           LedgerAnswered,
                           KeyClaimed,
                           DatagramArrived,
                           ConfigEntriesRead,
                           ConfigSnapshotRead,
                           ConfigAsked,
                           ListRead,
                           LoadRead,
                           LeaseHeld,
                           OrderEnded,
                           Ticked,
                           DrainAsked>;

using Action = std::variant<HeadJudged,
                            Dispatch,
                            Refuse,
                            Replay,
                            ForwardToOwner,
                            EntriesGiven,
                            LedgerReplied,
                            CallLedger,
                            ClaimKey,
                            SendDatagram,
                            PullConfig,
                            WatchConfig,
                            WriteSnapshot,
                            ConfigGiven,
                            ReadList,
                            ReadLoad,
                            WriteDirectory,
                            HoldLease,
                            SendOrder,
                            Drained,
                            DecisionLogged,
                            EventLogged>;

using Actions = std::vector<Action>;

} // namespace arbutus::node
