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

#include "arbutus/config/configlog.h"
#include "arbutus/core/clock.h"
#include "arbutus/core/error.h"
#include "arbutus/delivery/ledger.h"
#include "arbutus/delivery/successorledger.h"
#include "arbutus/limits/workspacelimits.h"
#include "arbutus/membership/membershipview.h"
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
    std::string bearerKeyHash;  // SHA-256 of the key; empty = none
    core::ClassId requestClass; // empty = the template's default
    std::optional<std::chrono::milliseconds> deadline;
    core::ServiceId service;        // empty = a model request
    bool safeMethod = false;        // GET, HEAD or OPTIONS to a plain service: repeatable by definition
    std::string ticket;             // X-Ticket
    std::string idempotencyKeyHash; // hash of workspace and Idempotency-Key; empty = none
    std::vector<std::string> via;   // instances that the request has passed
    bool forwarded = false;         // came from another instance, which has checked the key
    core::AttemptId originAttempt;  // set: the origin keeps the ticket and this is one of its attempts
    std::size_t resumeOffset = 0;   // tokens that the caller already has, told by the origin
};

/// What is known once the body has been read.
struct RequestBody
{
    core::ModelId model;
    bool stream = false;
    std::size_t promptTokens = 0;
    std::size_t maxTokens = 0;
    std::vector<std::uint64_t> prefixBlocks; // prefix blocks of the prompt
    std::string requestHash;                 // SHA-256 of method, path and body
};

struct RequestHeadReceived
{
    RequestKey key;
    RequestHead head;
};
struct RequestBodyReceived
{
    RequestKey key;
    RequestBody body;
};

/// The body could not be read or understood.
struct RequestBodyFailed
{
    RequestKey key;
    core::Error error;
};

/// How an attempt ended.
enum class AttemptResult {
    Completed,          // whole answer, relayed
    NotRun,             // it did not run: refused connection, nothing written, or the upstream's own word
    Incomplete,         // it may have run and no whole answer came
    ClientDisconnected, // the caller closed its connection
};
struct FirstTokenReceived
{
    RequestKey key;
    core::Duration elapsed{};
};
struct AttemptEnded
{
    RequestKey key;
    AttemptResult result = AttemptResult::Incomplete;
    std::string message;                              // for the log and the error
    std::optional<delivery::RecordedOutcome> outcome; // of an answer, for the ledger
    std::size_t tokensRelayed = 0;                    // whole tokens that the caller has got
    bool responseStarted = false;                     // the caller has got a part of the answer
    bool peerRefused = false;                         // the other instance refused, its upstream is not to blame
};
/// The owner of a ticket answered a request that was taken to it, or could not be reached.
struct ForwardToOwnerFinished
{
    RequestKey key;
    bool relayed = false;
};

struct EntriesRequested
{
    RequestKey key;
    core::WorkspaceId workspace;
    std::string bearerKeyHash;
    std::size_t ticketCount = 0;
};

/// Answer to HeadArrived.
struct AdmissionDecision
{
    RequestKey key;
    std::optional<core::Error> error;
    std::string replacementTicket;               // with a refusal that closed the request's ticket
    std::vector<std::string> alternateEntryUrls; // URLs, with a refusal that another entry would not make
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
    std::chrono::milliseconds backoff{0}; // backoff before it starts
    std::size_t resumeOffset = 0;         // tokens that the caller already has
    core::Revision revision;
};
struct RejectRequest
{
    RequestKey key;
    core::Error error;
    std::string replacementTicket; // may be empty
    std::vector<std::string> alternateEntryUrls;
    core::DecisionId decision;
};
/// Answers from the record of an earlier request with the same ticket.
struct ReplayResponse
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
struct EntryPoint
{
    core::InstanceId id;
    core::RegionId region;
    core::DomainId domain;
    std::string url;
};
struct EntriesResponse
{
    RequestKey key;
    std::optional<core::Error> error;
    std::vector<EntryPoint> entries; // best first
    std::vector<std::string> tickets;
    std::chrono::milliseconds ticketsExpireIn{0};
};

//-----------------------------------------------------------------------------
// Ledger
//-----------------------------------------------------------------------------

struct LedgerIntent
{
    std::string ticket;
    std::string requestHash;
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
struct LedgerCallReceived
{
    CallKey key;
    LedgerCall call;
};
struct LedgerCallResponse
{
    CallKey key;
    delivery::LedgerResult result;
};
/// Calls another instance's ledger; answered by LedgerAnswered.
struct CallLedger
{
    CallKey key;
    std::string address;
    LedgerCall call;
};
struct LedgerResponseReceived
{
    CallKey key;
    std::optional<delivery::LedgerResult> result; // nothing = no answer
};

/// Claims an Idempotency-Key: create-only write of a ticket in the platform's service.
struct ClaimIdempotencyKey
{
    RequestKey key;
    std::string storeKey; // key in the platform's service
    std::string ticket;   // what to write
};
struct IdempotencyKeyClaimed
{
    RequestKey key;
    std::optional<std::string> ticket; // the ticket in force: ours, or the one that was there; nothing = platform down
};

//-----------------------------------------------------------------------------
// Cluster
//-----------------------------------------------------------------------------

/// One row of a digest.
struct PoolSummary
{
    std::string name; // model, or plain service
    bool service = false;
    core::DomainId domain;
    core::Duration predictedWait{};
    std::uint32_t freeSlots = 0;
    std::uint32_t slots = 0;
    double price = 1.0;

    bool operator==(const PoolSummary &) const = default;
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
    std::uint64_t sequence = 0;
    bool relayed = false;
    std::uint32_t regionDomainCount = 1;
    std::vector<PoolSummary> pools;
    std::vector<DigestDomain> domains;
    std::vector<limits::WorkspaceDemand> demand;

    bool operator==(const Digest &) const = default;
};
struct LoadUpdate
{
    std::vector<routing::LoadReport> reports;

    bool operator==(const LoadUpdate &) const = default;
};
struct DemandUpdate
{
    std::vector<limits::WorkspaceDemand> workspaceDemand; // by workspace
    std::vector<placement::ModelDemand> modelDemand;      // by model
};
/// Announces the sender's configuration revision.
struct RevisionAnnouncement
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
    std::variant<membership::Message, Digest, LoadUpdate, DemandUpdate, RevisionAnnouncement> body;
};
struct DatagramReceived
{
    std::string address; // of the sender
    Datagram datagram;
};
struct SendDatagram
{
    std::string address;
    Datagram datagram;
};

struct ConfigEntriesReceived
{
    std::vector<config::LogEntry> entries;
};
struct ConfigSnapshotReceived
{
    std::string snapshot;
};
/// Fetches configuration after a revision from another instance; answered by one of the two above.
struct FetchConfig
{
    std::string address;
    core::Revision afterRevision;
};
/// Starts or stops watching the log in the platform's service.
struct WatchConfig
{
    bool enabled = false;
};
/// Writes a snapshot into the platform's service, create-only.
struct WriteSnapshot
{
    core::Revision revision;
    std::string snapshot;
};
/// A peer asks for configuration; answered by ConfigGiven.
struct ConfigRequested
{
    CallKey key;
    core::Revision afterRevision;
};
struct ConfigResponse
{
    CallKey key;
    core::Revision revision;
    std::vector<config::LogEntry> entries;
    std::string snapshot; // instead of entries
};

/// The platform's lagging list, as far as this instance asked for it.
struct PlatformListReceived
{
    std::vector<routing::UpstreamDescriptor> upstreams;
    std::vector<membership::Member> instances; // all regions' contacts
    std::map<core::RegionId, std::uint32_t> domainCountByRegion;
};
struct FetchPlatformList
{
};
struct FetchLoadReport
{
    core::UpstreamId upstream;
    std::string address;
    std::uint64_t eventsAfter = 0; // cache events after this number
    bool includeEvents = true;
};
/// One cache event of an upstream.
struct CacheEvent
{
    std::uint64_t sequence = 0;
    bool stored = true;
    std::uint64_t blockHash = 0;
};
struct LoadReportReceived
{
    core::UpstreamId upstream;
    std::optional<routing::LoadReport> report; // nothing = not reachable
    std::vector<CacheEvent> events;
};
/// Lists this domain's entries in the client directory.
struct WriteDirectory
{
    std::vector<EntryPoint> entries;
};

/// Asks for a lease in the platform's service, and keeps it, until told otherwise.
struct MaintainLease
{
    std::string name;
    bool enabled = false;
};
/// The lease is held, or was renewed.
struct LeaseGranted
{
    core::FencingToken fencingToken;
    core::TimePoint expiry{}; // by this instance's clock, reckoned from before the call was sent
};
struct SendPlacementCommand
{
    placement::PlacementCommand command;
    std::string address; // of the upstream
    core::FencingToken fencingToken;
};
struct PlacementCommandFinished
{
    placement::PlacementCommand command;
    bool succeeded = false;
    std::string message;
};

struct TimerTick
{
};
struct DrainRequested
{
};
/// All work is done and handed over; the process may end.
struct DrainCompleted
{
};

/// One routing decision, for the log and for "explain".
struct LogRoutingDecision
{
    core::DecisionId decision;
    core::RequestId request;
    core::WorkspaceId workspace;
    core::ClassId requestClass;
    core::ModelId model;
    core::ServiceId service;
    std::optional<routing::RoutingDecision> choice; // nothing = refused or held
    std::string result;                             // dispatch, refuse, hold
    std::string detail;                             // why, for a refusal
    core::Revision revision;
};
/// Another event worth a log line: name and key=value pairs.
struct LogEvent
{
    std::string eventName;
    std::vector<std::pair<std::string, std::string>> fields;
};

//-----------------------------------------------------------------------------
// Event, Action
//-----------------------------------------------------------------------------

using Event = std::variant<RequestHeadReceived,
                           RequestBodyReceived,
                           RequestBodyFailed,
                           FirstTokenReceived,
                           AttemptEnded,
                           ForwardToOwnerFinished,
                           EntriesRequested,
                           LedgerCallReceived,
                           LedgerResponseReceived,
                           IdempotencyKeyClaimed,
                           DatagramReceived,
                           ConfigEntriesReceived,
                           ConfigSnapshotReceived,
                           ConfigRequested,
                           PlatformListReceived,
                           LoadReportReceived,
                           LeaseGranted,
                           PlacementCommandFinished,
                           TimerTick,
                           DrainRequested>;

using Action = std::variant<AdmissionDecision,
                            Dispatch,
                            RejectRequest,
                            ReplayResponse,
                            ForwardToOwner,
                            EntriesResponse,
                            LedgerCallResponse,
                            CallLedger,
                            ClaimIdempotencyKey,
                            SendDatagram,
                            FetchConfig,
                            WatchConfig,
                            WriteSnapshot,
                            ConfigResponse,
                            FetchPlatformList,
                            FetchLoadReport,
                            WriteDirectory,
                            MaintainLease,
                            SendPlacementCommand,
                            DrainCompleted,
                            LogRoutingDecision,
                            LogEvent>;

using Actions = std::vector<Action>;

} // namespace arbutus::node
