// Events that a node handles and actions that it returns.
//
// A Node is the decision logic of one gateway instance. The program passes events to it and executes its actions; a test
// or a benchmark does the same with many nodes in one process. The program assigns each request a RequestKey.
//
// Sections:
//   Requests     requests of callers and of peers
//   Ledger       ledger calls between instances
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

using RequestKey = core::StrongNumber<struct RequestKeyTag>; // assigned by the program, unique within one incarnation
using CallKey = core::StrongNumber<struct CallKeyTag>;       // identifies a call to a peer or to the platform

//-----------------------------------------------------------------------------
// Requests
//-----------------------------------------------------------------------------

/// Data of a request that is checked before its body is read.
struct RequestHead
{
    core::RequestId id; // the caller's X-Request-Id, or generated
    core::WorkspaceId workspace;
    std::string bearerKeyHash;  // SHA-256 of the key; empty = none
    core::ClassId requestClass; // empty = the template's default
    std::optional<std::chrono::milliseconds> deadline;
    core::ServiceId service;        // empty = a model request
    bool safeMethod = false;        // GET, HEAD or OPTIONS to a service: always repeatable
    std::string ticket;             // X-Ticket
    std::string idempotencyKeyHash; // hash of workspace and Idempotency-Key; empty = none
    std::vector<std::string> via;   // instances that have forwarded the request
    bool forwarded = false;         // sent by another instance, which has checked the key
    core::AttemptId originAttempt;  // set if another instance, the origin, holds the ticket and forwarded this as one of its attempts
    std::size_t resumeOffset = 0;   // tokens that the caller has already received, as reported by the origin
};

/// Data of a request that is known once its body has been read.
struct RequestBody
{
    core::ModelId model;
    bool stream = false;
    std::size_t promptTokens = 0;
    std::size_t maxTokens = 0;
    std::vector<std::uint64_t> prefixBlocks; // hashes of the prompt's prefix blocks
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

/// The body could not be read or parsed.
struct RequestBodyFailed
{
    RequestKey key;
    core::Error error;
};

/// Result of one attempt.
enum class AttemptResult {
    Completed,          // the whole response was relayed
    NotRun,             // did not run: the connection could not be established, or the upstream or peer reported it
    Incomplete,         // may have run; no complete response arrived
    ClientDisconnected, // the caller closed the connection
};
struct FirstTokenReceived
{
    RequestKey key;
    core::Duration elapsed{};
};
/// The attempt's stream has been silent for a while. The attempt goes on unless CancelAttempt follows.
struct StreamSilent
{
    RequestKey key;
    std::size_t tokensRelayed = 0; // complete tokens that the caller has received
    bool responseStarted = false;  // the caller has received part of the response
};
struct AttemptEnded
{
    RequestKey key;
    AttemptResult result = AttemptResult::Incomplete;
    std::string message;                              // for the log and the error
    std::optional<delivery::RecordedOutcome> outcome; // of a response, for the ledger
    std::size_t tokensRelayed = 0;                    // complete tokens that the caller has received
    bool responseStarted = false;                     // the caller has received part of the response
    bool peerRefused = false;                         // rejected by the peer instance, not by its upstream
};
/// The ticket's owner has responded to a forwarded request, or could not be reached.
struct ForwardToOwnerFinished
{
    RequestKey key;
    bool relayed = false;
};

/// A caller requests the entry points of its workspace, and tickets; answered by EntriesResponse.
struct EntriesRequested
{
    RequestKey key;
    core::WorkspaceId workspace;
    std::string bearerKeyHash;
    std::size_t ticketCount = 0;
};

/// Response to RequestHeadReceived.
struct AdmissionDecision
{
    RequestKey key;
    std::optional<core::Error> error;
    std::string replacementTicket;               // set if the rejection closed the request's ticket
    std::vector<std::string> alternateEntryUrls; // set if another entry may accept the request
    core::Revision configRevision;
};

/// An upstream in this instance's failure domain.
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
/// Starts one attempt.
struct Dispatch
{
    RequestKey key;
    core::AttemptId attempt;
    core::DecisionId decision;
    std::variant<LocalTarget, PeerTarget> target;
    core::RegionId region;
    int priority = 1;
    bool repeatable = true;
    std::chrono::milliseconds remainingTime{0};
    std::chrono::milliseconds backoff{0}; // delay before the attempt starts
    std::size_t resumeOffset = 0;         // tokens that the caller has already received
    core::Revision configRevision;
};
/// Cancels the attempt whose stream is silent, since another attempt is certain to replace it.
struct CancelAttempt
{
    RequestKey key;
};
struct RejectRequest
{
    RequestKey key;
    core::Error error;
    std::string replacementTicket; // may be empty
    std::vector<std::string> alternateEntryUrls;
    core::DecisionId decision;
};
/// Sends the recorded response of an earlier request with the same ticket.
struct ReplayResponse
{
    RequestKey key;
    delivery::RecordedOutcome outcome;
};
/// Forwards the whole request to the owner of its ticket.
struct ForwardToOwner
{
    RequestKey key;
    core::InstanceRef owner;
    std::string address;
    std::chrono::milliseconds remainingTime{0};
};
/// An instance that callers can send requests to.
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

/// Another instance has called this instance's ledger; answered by LedgerCallResponse.
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
/// Calls another instance's ledger; answered by LedgerResponseReceived.
struct CallLedger
{
    CallKey key;
    std::string address;
    LedgerCall call;
};
struct LedgerResponseReceived
{
    CallKey key;
    std::optional<delivery::LedgerResult> result; // empty = no response
};

/// Claims an Idempotency-Key by a create-only write of a ticket to the platform's key-value service.
struct ClaimIdempotencyKey
{
    RequestKey key;
    std::string storeKey; // key in the platform's key-value service
    std::string ticket;   // value to write
};
struct IdempotencyKeyClaimed
{
    RequestKey key;
    std::optional<std::string> ticket; // the claimed ticket, or the one already stored under the key; empty = platform unreachable
};

//-----------------------------------------------------------------------------
// Cluster
//-----------------------------------------------------------------------------

/// Load of one model or service in a failure domain.
struct PoolSummary
{
    std::string name; // model or service
    bool service = false;
    core::DomainId domain;
    core::Duration predictedWait{};
    std::uint32_t freeSlots = 0;
    std::uint32_t slots = 0;
    double price = 1.0;

    bool operator==(const PoolSummary &) const = default;
};
/// A failure domain, with members that other domains can contact.
struct DigestDomain
{
    core::DomainId domain;
    std::vector<membership::Member> entries;

    bool operator==(const DigestDomain &) const = default;
};
/// Summary of the sender's region for other failure domains.
struct Digest
{
    core::DomainId domain; // of the sender
    core::RegionId region;
    std::uint64_t sequence = 0;
    bool relayed = false;                // a copy that the first receiver broadcasts within its domain
    std::uint32_t regionDomainCount = 1; // failure domains in the sender's region
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
    core::Revision revision; // of the sender's configuration
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
/// Fetches the configuration after a revision from another instance; answered by ConfigEntriesReceived or
/// ConfigSnapshotReceived.
struct FetchConfig
{
    std::string address;
    core::Revision afterRevision;
};
/// Starts or stops watching the configuration log in the platform's key-value service.
struct WatchConfig
{
    bool enabled = false;
};
/// Writes a configuration snapshot to the platform's key-value service, create-only.
struct WriteSnapshot
{
    core::Revision revision;
    std::string snapshot;
};
/// A peer requests configuration; answered by ConfigResponse.
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

/// Result of FetchPlatformList. The platform's list may be out of date.
struct PlatformListReceived
{
    std::vector<routing::UpstreamDescriptor> upstreams;
    std::vector<membership::Member> instances; // contacts in all regions
    std::map<core::RegionId, std::uint32_t> domainCountByRegion;
};
struct FetchPlatformList
{
};
struct FetchLoadReport
{
    core::UpstreamId upstream;
    std::string address;
    std::uint64_t eventsAfter = 0; // only cache events with a higher sequence number
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
    std::optional<routing::LoadReport> report; // empty = unreachable
    std::vector<CacheEvent> events;
};
/// Publishes this domain's entries in the client directory.
struct WriteDirectory
{
    std::vector<EntryPoint> entries;
};

/// Acquires a lease in the platform's key-value service and renews it, until disabled.
struct MaintainLease
{
    std::string name;
    bool enabled = false;
};
/// The lease was acquired or renewed.
struct LeaseGranted
{
    core::FencingToken fencingToken;
    core::TimePoint expiry{}; // on this instance's clock, counted from before the call was sent
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
/// No request is in flight and the handover has ended; the process may exit.
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
    std::optional<routing::RoutingDecision> choice; // empty for a rejection
    std::string result;                             // dispatch, refuse, hold
    std::string detail;                             // the reason, for a rejection
    core::Revision configRevision;
};
/// An event for the log: name and key=value pairs.
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
                           StreamSilent,
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
                            CancelAttempt,
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
