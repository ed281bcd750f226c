// The way of a request through a node: judged, ticketed, routed, retried, answered.
//
//   head -> filters -> body -> [ticket: claim | owner elsewhere | intent at the witness] -> route -> attempt -> end
//                                                                                         \-> held -/     \-> retry
//
// A request that may not be repeated is dispatched only by the owner of its ticket, after the witness has recorded the
// intent. What may be repeated is retried within a budget, before the first byte reached the caller or at an exact
// offset of the stream.
//
// Q: Is every refusal of a request with a ticket "not run"?
// A: No: an earlier try with the same ticket may have run. A refusal closes the ticket first where this instance owns it
//    and it was never started; where the record cannot be consulted the outcome is "unknown".
// Q: Where are deadlines enforced?
// A: Here before a dispatch and when an attempt ends; in the shell while an attempt runs (Dispatch::timeLeft).

#pragma once

#include "arbutus/limits/admissionqueue.h"
#include "arbutus/limits/tokenbucket.h"
#include "arbutus/node/filters.h"
#include "arbutus/node/state.h"

#include <map>
#include <optional>
#include <string>

namespace arbutus::node {

/// Requests of one node.
class RequestController
{
public:
    explicit RequestController(NodeState &state);

    void handle(const RequestHeadReceived &arrived);
    void handle(const RequestBodyReceived &arrived);
    void handle(const RequestBodyFailed &failed);
    void handle(const FirstTokenReceived &seen);
    void handle(const AttemptEnded &ended);
    void handle(const ForwardToOwnerFinished &answered);
    void handle(const IdempotencyKeyClaimed &claimed);
    void handle(const EntriesRequested &wanted);
    /// An answer to a ledger call; false when the call was not one of ours.
    bool handle(const LedgerResponseReceived &answered);
    void tick();
    /// Refuses everything that is held, for a planned stop.
    void rejectHeldRequests();

    [[nodiscard]] std::size_t inFlightCount() const
    {
        return m_requests.size();
    }
    [[nodiscard]] std::size_t heldCount() const;

private:
    /// What a ledger call of a request is for.
    enum class Asking {
        Intent,
        IntentAgain,
        Seal,
        Inherited,
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
        bool counted = false;
        std::optional<delivery::Ticket> ticket;  // this node owns it
        bool ledgerConsulted = false;            // a ledger has said what became of the ticket
        std::string ticketText;                  // the one in force
        std::vector<membership::Member> lookups; // still to be asked for an inherited record, next one last
        std::size_t attempts = 0;
        bool mayHaveRun = false; // an attempt broke
        std::set<core::UpstreamId> triedUpstreams;
        std::set<core::DomainId> triedDomains;
        std::optional<routing::ScoredCandidate> running; // target of the attempt under way
        std::size_t tokensRelayed = 0;
        core::DecisionId decision;
        std::string room; // waiting room that holds it
    };
    struct PendingCall
    {
        RequestKey request;
        Asking asking = Asking::Intent;
    };

    [[nodiscard]] core::Error settleRefusal(const RequestHead &head, core::Error error);
    void startWithTicket(RequestKey key, Request &request);
    void startOwned(RequestKey key, Request &request, const delivery::Ticket &ticket);
    void askWitness(RequestKey key, Request &request, Asking asking);
    void intentAnswered(RequestKey key, Request &request, Asking asking, const std::optional<delivery::LedgerResult> &answer);
    void askSeal(RequestKey key, Request &request, const delivery::Ticket &ticket);
    void sealAnswered(RequestKey key, Request &request, const std::optional<delivery::LedgerResult> &answer);
    void askInherited(RequestKey key, Request &request);
    void answerFromRecord(RequestKey key, Request &request, const delivery::LedgerResult &answer);

    void route(RequestKey key, Request &request, bool mayHold);
    bool tryHold(RequestKey key, Request &request, const routing::RoutingDecision &choice);
    [[nodiscard]] bool hasSlack(const routing::RoutingDecision &choice);
    [[nodiscard]] std::optional<core::Error> tooLate(const Request &request, const routing::ScoredCandidate &scored) const;
    [[nodiscard]] core::TimePoint latestStart(const Request &request, const routing::ScoredCandidate &scored) const;
    void dispatch(RequestKey key, Request &request, const routing::RoutingDecision &choice, core::Duration delay);
    [[nodiscard]] std::variant<LocalTarget, PeerTarget> targetOf(const Request &request, const routing::ScoredCandidate &scored);
    [[nodiscard]] bool mayRetry(const Request &request, const AttemptEnded &ended);
    void noteAttemptEnd(const Request &request, const AttemptEnded &ended);
    void finishLedger(const Request &request, delivery::RecordedOutcome outcome);
    void releaseWaiters(const Request &request);
    void refuse(RequestKey key, Request &request, core::Error error, bool freshTicket = false);
    void finish(RequestKey key);
    void logDecision(const Request &request, const routing::RoutingDecision *choice, std::string result, std::string detail);
    void releaseIntoSlack();
    [[nodiscard]] core::DecisionId drawDecision();

    NodeState &m_state;
    std::vector<RequestFilter> m_filters;
    routing::Router m_router;
    limits::RetryBudget m_retries;
    std::map<RequestKey, Request> m_requests;
    std::map<CallKey, PendingCall> m_calls;
    std::map<std::string, limits::AdmissionQueue> m_rooms;          // by model or service
    std::map<std::string, std::vector<RequestKey>> m_ticketWaiters; // by ledgerKey(): same ticket, same body
    std::uint64_t m_nextDecision = 1;
    std::string m_prefix; // of decision and attempt ids, unique to this life
};

} // namespace arbutus::node
