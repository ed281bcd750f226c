// Processing of a request in a node: filters, ticket, routing, retries, response.
//
//   head -> filters -> body -> [ticket: claim | forward to owner | intent at the witness] -> route -> attempt -> end
//                                                                                          \-> queue -/    \-> retry
//
// A request that may not be repeated is dispatched only by the owner of its ticket, after the witness has recorded the
// intent. A repeatable request is retried within a budget, either before the first byte has reached the caller or at an
// exact offset of the stream.
//
// Q: Does every rejection of a request with a ticket have the outcome "not run"?
// A: No: an earlier request with the same ticket may have run. If this instance owns the ticket and has not started it, it
//    closes the ticket before rejecting the request. If the record cannot be consulted, the outcome is "unknown".
// Q: Where are deadlines enforced?
// A: Here before a dispatch and when an attempt ends; in the program while an attempt runs (Dispatch::remainingTime).

#pragma once

#include "arbutus/limits/admissionqueue.h"
#include "arbutus/limits/tokenbucket.h"
#include "arbutus/node/filters.h"
#include "arbutus/node/state.h"

#include <map>
#include <optional>
#include <string>

namespace arbutus::node {

/// Controls the requests of one node.
class RequestController
{
public:
    explicit RequestController(NodeState &state);

    void handle(const RequestHeadReceived &event);
    void handle(const RequestBodyReceived &event);
    void handle(const RequestBodyFailed &event);
    void handle(const FirstTokenReceived &event);
    void handle(const StreamSilent &event);
    void handle(const AttemptEnded &event);
    void handle(const ForwardToOwnerFinished &event);
    void handle(const IdempotencyKeyClaimed &event);
    void handle(const EntriesRequested &event);
    /// Handles the response to a ledger call. Returns false if the call was not made by this controller.
    bool handle(const LedgerResponseReceived &event);
    void tick();
    /// Rejects all queued requests, for a drain.
    void rejectQueuedRequests();

    [[nodiscard]] std::size_t inFlightCount() const
    {
        return m_requests.size();
    }
    [[nodiscard]] std::size_t queuedCount() const;

private:
    /// Purpose of a request's ledger call.
    enum class LedgerCallPurpose {
        Intent,
        IntentRetry,
        Seal,
        HandedOverRecord,
    };
    struct Request
    {
        RequestHead head;
        RequestBody body;
        core::WorkspaceId workspace;
        config::RequestClass requestClass;
        config::RoutingWeights weights;
        std::set<core::RegionId> residency;
        core::TimePoint deadline{};
        bool repeatable = true;
        bool holdsLimitSlot = false;
        std::optional<delivery::Ticket> ticket;         // set if this node owns it
        bool ledgerConsulted = false;                   // a ledger has reported the state of the ticket
        std::string ticketText;                         // encoded; from the caller or from the claim
        std::vector<membership::Member> membersToQuery; // for a handed-over record; the next one last
        std::size_t attempts = 0;
        bool mayHaveRun = false; // an attempt ended without a complete response
        std::set<core::UpstreamId> triedUpstreams;
        std::set<core::DomainId> triedDomains;
        std::optional<routing::ScoredCandidate> attemptTarget; // of the attempt in progress
        bool retryReserved = false;                            // for the end of an attempt that CancelAttempt was emitted for
        std::size_t tokensRelayed = 0;
        core::DecisionId decision;
        std::string queueName; // admission queue that holds it; empty = not queued
    };
    struct PendingCall
    {
        RequestKey request;
        LedgerCallPurpose purpose = LedgerCallPurpose::Intent;
    };

    /// Decides the outcome that a rejection reports. Closes the ticket if this instance owns it and has not dispatched it;
    /// otherwise the outcome is unknown if an earlier request with the same ticket or Idempotency-Key may have run.
    [[nodiscard]] core::Error resolveOutcome(const RequestHead &head, core::Error error);
    void startWithTicket(RequestKey key, Request &request);
    void startAsOwner(RequestKey key, Request &request, const delivery::Ticket &ticket);
    void requestIntent(RequestKey key, Request &request, LedgerCallPurpose purpose);
    void handleIntentResponse(RequestKey key, Request &request, LedgerCallPurpose purpose, const std::optional<delivery::LedgerResult> &result);
    void requestSeal(RequestKey key, Request &request, const delivery::Ticket &ticket);
    void handleSealResponse(RequestKey key, Request &request, const std::optional<delivery::LedgerResult> &result);
    void lookUpHandedOverRecord(RequestKey key, Request &request);
    void respondFromRecord(RequestKey key, Request &request, const delivery::LedgerResult &result);

    [[nodiscard]] routing::RoutingRequest makeRoutingRequest(const Request &request) const;
    void route(RequestKey key, Request &request, bool mayQueue);
    bool tryEnqueue(RequestKey key, Request &request, const routing::RoutingDecision &choice);
    [[nodiscard]] bool hasCapacity(const routing::RoutingDecision &choice);
    [[nodiscard]] std::optional<core::Error> checkDeadline(const Request &request, const routing::ScoredCandidate &scored) const;
    [[nodiscard]] core::TimePoint latestDispatchTime(const Request &request, const routing::ScoredCandidate &scored) const;
    void dispatch(RequestKey key, Request &request, const routing::RoutingDecision &choice, core::Duration delay);
    [[nodiscard]] std::variant<LocalTarget, PeerTarget> makeTarget(const Request &request, const routing::ScoredCandidate &scored);
    [[nodiscard]] bool mayRetry(const Request &request, const AttemptEnded &event) const;
    void recordAttemptEnd(const Request &request, const AttemptEnded &event);
    void recordFinalOutcome(const Request &request, delivery::RecordedOutcome outcome);
    void respondToTicketWaiters(const Request &request);
    void reject(RequestKey key, Request &request, core::Error error, bool issueReplacement = false);
    void finish(RequestKey key);
    void logDecision(const Request &request, const routing::RoutingDecision *choice, std::string result, std::string detail);
    void releaseQueuedRequests();
    [[nodiscard]] core::DecisionId nextDecisionId();

    NodeState &m_state;
    std::vector<RequestFilter> m_filters;
    routing::Router m_router;
    limits::RetryBudget m_retryBudget;
    std::map<RequestKey, Request> m_requests;
    std::map<CallKey, PendingCall> m_pendingCalls;
    std::map<std::string, limits::AdmissionQueue> m_queues;         // by model or service
    std::map<std::string, std::vector<RequestKey>> m_ticketWaiters; // by ticketRecordKey(): requests with the same ticket and body
    std::uint64_t m_nextDecisionNumber = 1;
    std::string m_idPrefix; // of decision and attempt ids, unique to this incarnation
};

} // namespace arbutus::node
