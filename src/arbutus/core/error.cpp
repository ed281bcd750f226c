// Table of error kinds: name, HTTP status and default remedy.

#include "arbutus/core/error.h"

#include <boost/json.hpp>

#include <array>

namespace arbutus::core {

namespace {

struct ErrorKindInfo
{
    ErrorKind kind;
    std::string_view name;
    unsigned status; // HTTP
    std::string_view defaultRemedy;
};

constexpr std::array ErrorKindTable{
    ErrorKindInfo{ErrorKind::BadRequest, "bad_request", 400, "correct the request as the message describes and resend it"},
    ErrorKindInfo{ErrorKind::BodyTooLarge, "body_too_large", 413, "send a body smaller than the limit given in the message"},
    ErrorKindInfo{ErrorKind::Unauthorized, "unauthorized", 401, "authenticate with the workspace's key: 'Authorization: Bearer KEY'"},
    ErrorKindInfo{ErrorKind::UnknownWorkspace, "unknown_workspace", 404, "use a workspace in X-Workspace that 'arbutusctl config get' lists"},
    ErrorKindInfo{ErrorKind::UnknownModel, "unknown_model", 404, "use a model that GET /v1/models lists"},
    ErrorKindInfo{ErrorKind::UnknownService, "unknown_service", 404, "use a service that the workspace's template allows"},
    ErrorKindInfo{ErrorKind::UnknownClass, "unknown_class", 400, "use a request class that the workspace's template defines"},
    ErrorKindInfo{ErrorKind::ResidencyRefused, "residency_refused", 403, "use an entry in one of the workspace's regions; GET /v1/entries lists them"},
    ErrorKindInfo{ErrorKind::LoopDetected, "loop_detected", 508, "remove the proxy that routes this gateway's traffic back to it"},
    ErrorKindInfo{ErrorKind::RateLimited, "rate_limited", 429, "retry after the delay in Retry-After, or ask the operators for a higher limit"},
    ErrorKindInfo{ErrorKind::Overloaded, "overloaded", 503, "retry after the delay in Retry-After"},
    ErrorKindInfo{ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, "set a longer X-Deadline-Ms, or retry when the load is lower"},
    ErrorKindInfo{ErrorKind::NoUpstream, "no_upstream", 503, "retry after the delay in Retry-After; operators: see 'arbutusctl upstreams'"},
    ErrorKindInfo{ErrorKind::UpstreamFailed, "upstream_failed", 502, "retry if the request is safe to repeat"},
    ErrorKindInfo{ErrorKind::TicketInvalid, "ticket_invalid", 400, "request a new ticket with POST /v1/tickets"},
    ErrorKindInfo{ErrorKind::TicketConflict, "ticket_conflict", 409, "use each ticket for one request only; request a new ticket"},
    ErrorKindInfo{ErrorKind::TicketRequired, "ticket_required", 428, "send X-Ticket from GET /v1/entries, or an Idempotency-Key"},
    ErrorKindInfo{ErrorKind::TicketSealed, "ticket_sealed", 409, "the request did not run; resend it with the new ticket in X-Ticket"},
    ErrorKindInfo{ErrorKind::OutcomeUnknown, "outcome_unknown", 504, "check the service's own records before resending the request"},
    ErrorKindInfo{ErrorKind::Draining, "draining", 503, "use another entry; GET /v1/entries lists them"},
    ErrorKindInfo{ErrorKind::ConfigInvalid, "config_invalid", 422, "correct every error that the message lists"},
    ErrorKindInfo{ErrorKind::ConfigConflict, "config_conflict", 409, "read the newest revision, reapply the change to it and resend it"},
    ErrorKindInfo{
        ErrorKind::PlatformDown, "platform_down", 503, "retry when the platform's service is available, or send a ticket instead of an Idempotency-Key"},
    ErrorKindInfo{ErrorKind::PeerFailed, "peer_failed", 502, "retry; operators: see 'arbutusctl instances'"},
    ErrorKindInfo{ErrorKind::VersionMismatch, "version_mismatch", 502, "finish the rolling upgrade: instances may differ by at most one version"},
    ErrorKindInfo{ErrorKind::NotFound, "not_found", 404, "check the path against the README"},
    ErrorKindInfo{ErrorKind::SettingsInvalid, "settings_invalid", 500, "correct the settings file at the place given in the message"},
    ErrorKindInfo{ErrorKind::Internal, "internal", 500, "report it with the X-Decision-Id of the response"},
    ErrorKindInfo{ErrorKind::Quarantined, "quarantined", 503, "change the request, or send it without that part of the prompt; operators: see GET /quarantine"},
    ErrorKindInfo{ErrorKind::HeadTooLarge, "head_too_large", 431, "send a head smaller than the limit given in the message"},
};

const ErrorKindInfo &infoFor(ErrorKind kind)
{
    return ErrorKindTable.at(static_cast<std::size_t>(kind));
}

} // namespace

std::string_view toString(ErrorKind kind)
{
    return infoFor(kind).name;
}

std::string_view toString(Outcome outcome)
{
    return outcome == Outcome::NotRun ? "not_run" : "unknown";
}

unsigned httpStatus(ErrorKind kind)
{
    return infoFor(kind).status;
}

Error makeError(ErrorKind kind, std::string message)
{
    return Error{kind, std::move(message), std::string(infoFor(kind).defaultRemedy), Outcome::NotRun, std::chrono::milliseconds(0)};
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
