// Names, statuses and usual remedies of the error kinds: one table, one row for each kind.

#include "arbutus/core/error.h"

#include <boost/json.hpp>

#include <array>

namespace arbutus::core {

namespace {

struct KindRow
{
    ErrorKind kind;
    std::string_view name;
    unsigned status; // HTTP
    std::string_view remedy;
};

constexpr std::array KindTable{
    KindRow{ErrorKind::BadRequest, "bad_request", 400, "correct the request as the message says and send it again"},
    KindRow{ErrorKind::BodyTooLarge, "body_too_large", 413, "send a body below the limit that the message names"},
    KindRow{ErrorKind::Unauthorized, "unauthorized", 401, "send the workspace's key as 'Authorization: Bearer KEY'"},
    KindRow{ErrorKind::UnknownWorkspace, "unknown_workspace", 404, "check X-Workspace against 'arbutusctl config get'"},
    KindRow{ErrorKind::UnknownModel, "unknown_model", 404, "choose a model that GET /v1/models lists"},
    KindRow{ErrorKind::UnknownService, "unknown_service", 404, "choose a service that the workspace's template allows"},
    KindRow{ErrorKind::UnknownClass, "unknown_class", 400, "choose a class that the workspace's template names"},
    KindRow{ErrorKind::ResidencyRefused, "residency_refused", 403, "use an entry in one of the workspace's regions; GET /v1/entries lists them"},
    KindRow{ErrorKind::LoopDetected, "loop_detected", 508, "remove the proxy that sends our own traffic back to us"},
    KindRow{ErrorKind::RateLimited, "rate_limited", 429, "wait for Retry-After, or ask the operators for a higher limit"},
    KindRow{ErrorKind::Overloaded, "overloaded", 503, "wait for Retry-After and send it again"},
    KindRow{ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, "allow a longer X-Deadline-Ms, or send it when there is less load"},
    KindRow{ErrorKind::NoUpstream, "no_upstream", 503, "wait for Retry-After; operators: see 'arbutusctl upstreams'"},
    KindRow{ErrorKind::UpstreamFailed, "upstream_failed", 502, "send it again if it may be repeated"},
    KindRow{ErrorKind::TicketInvalid, "ticket_invalid", 400, "ask for a fresh ticket with POST /v1/tickets"},
    KindRow{ErrorKind::TicketConflict, "ticket_conflict", 409, "use one ticket for one request only; ask for another"},
    KindRow{ErrorKind::TicketRequired, "ticket_required", 428, "send X-Ticket from GET /v1/entries, or an Idempotency-Key"},
    KindRow{ErrorKind::TicketSealed, "ticket_sealed", 409, "it did not run; send it again with the fresh ticket in X-Ticket"},
    KindRow{ErrorKind::OutcomeUnknown, "outcome_unknown", 504, "look at the service's own records before you send it again"},
    KindRow{ErrorKind::Draining, "draining", 503, "use another entry; GET /v1/entries lists them"},
    KindRow{ErrorKind::ConfigInvalid, "config_invalid", 422, "correct every fault that the message lists"},
    KindRow{ErrorKind::ConfigConflict, "config_conflict", 409, "read the newest revision, apply your change to it, and send it again"},
    KindRow{ErrorKind::PlatformDown, "platform_down", 503, "wait for the platform's service, or send a ticket instead of an Idempotency-Key"},
    KindRow{ErrorKind::PeerFailed, "peer_failed", 502, "send it again; operators: see 'arbutusctl instances'"},
    KindRow{ErrorKind::VersionMismatch, "version_mismatch", 502, "finish the rolling upgrade: run versions at most one apart"},
    KindRow{ErrorKind::NotFound, "not_found", 404, "check the path against the README"},
    KindRow{ErrorKind::SettingsInvalid, "settings_invalid", 500, "correct the settings file where the message points"},
    KindRow{ErrorKind::Internal, "internal", 500, "report it with the X-Decision-Id of the answer"},
};

const KindRow &rowOf(ErrorKind kind)
{
    return KindTable.at(static_cast<std::size_t>(kind));
}

} // namespace

std::string_view toString(ErrorKind kind)
{
    return rowOf(kind).name;
}

std::string_view toString(Outcome outcome)
{
    return outcome == Outcome::NotRun ? "not_run" : "unknown";
}

unsigned httpStatus(ErrorKind kind)
{
    return rowOf(kind).status;
}

Error makeError(ErrorKind kind, std::string message)
{
    return Error{kind, std::move(message), std::string(rowOf(kind).remedy), Outcome::NotRun, std::chrono::milliseconds(0)};
}

Error makeUnknownOutcomeError(ErrorKind kind, std::string message)
{
    Error error = makeError(kind, std::move(message));
    error.outcome = Outcome::Unknown;
    return error;
}

std::string toJson(const Error &error)
{
    boost::json::object body{{"kind", toString(error.kind)}, {"message", error.message}, {"remedy", error.remedy}, {"outcome", toString(error.outcome)}};
    return boost::json::serialize(boost::json::object{{"error", std::move(body)}});
}

} // namespace arbutus::core
