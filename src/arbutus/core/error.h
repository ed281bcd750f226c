// Typed errors.
//
// An Error holds what went wrong (kind, message), what the caller can do about it (remedy) and whether the request
// may have run (outcome). `Outcome::NotRun` is a guarantee: the request did not run and never will.
//
// Q: Which outcome should an error have?
// A: NotRun only where no upstream can have received, or can ever receive, a byte of the request. Otherwise Unknown.

#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace arbutus::core {

/// Whether the request that failed with an error may have run.
enum class Outcome {
    NotRun,  // did not run and never will
    Unknown, // may have run; cannot be determined
};

/// Every kind of error reported to callers, operators and peers.
enum class ErrorKind {
    BadRequest,       // malformed or unacceptable request
    BodyTooLarge,     // body larger than the listener's limit
    Unauthorized,     // missing or wrong key
    UnknownWorkspace, // no such workspace in the configuration
    UnknownModel,     // model not allowed or not known
    UnknownService,   // plain service not allowed or not known
    UnknownClass,     // the workspace's template has no such request class
    ResidencyRefused, // the workspace's data must not enter this region
    LoopDetected,     // the request has already passed through this instance
    RateLimited,      // over the workspace's rate or concurrency limit
    Overloaded,       // at capacity
    DeadlineExceeded, // cannot be, or was not, completed in time
    NoUpstream,       // no reachable upstream can serve the request
    UpstreamFailed,   // the upstream's response is missing or incomplete
    TicketInvalid,    // not authentic, expired, or of another workspace
    TicketConflict,   // the ticket was already used with a different body
    TicketRequired,   // the request may not be repeated and has no ticket
    TicketSealed,     // the ticket was sealed before its request ran
    OutcomeUnknown,   // the request may have run; no record of its result exists
    Draining,         // this instance is shutting down
    ConfigInvalid,    // configuration document with errors
    ConfigConflict,   // a concurrent edit was written first
    PlatformDown,     // no valid response from the platform's service
    PeerFailed,       // no valid response from another instance
    VersionMismatch,  // another instance uses another protocol version
    NotFound,         // no such path or record
    SettingsInvalid,  // settings file with errors
    Internal,         // bug in the gateway
    Quarantined,      // the request, or a part of its prompt, crashes upstreams
    HeadTooLarge,     // head larger than the listener's limit
};

/// An error, its remedy and the outcome of the request.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;                     // what happened
    std::string remedy;                      // what to do about it
    Outcome outcome = Outcome::NotRun;       // whether the request may have run
    std::chrono::milliseconds retryAfter{0}; // 0 = not given
};

/// A value or an Error.
template<class T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

using boost::outcome_v2::success;

/// Name of a kind as written in error bodies and logs, e.g. "rate_limited".
[[nodiscard]] std::string_view toString(ErrorKind kind);

/// "not_run" or "unknown".
[[nodiscard]] std::string_view toString(Outcome outcome);

/// HTTP status of a kind.
[[nodiscard]] unsigned httpStatus(ErrorKind kind);

/// Creates an error with the kind's default remedy and Outcome::NotRun.
[[nodiscard]] Error makeError(ErrorKind kind, std::string message);

/// Creates an error with the kind's default remedy and Outcome::Unknown.
[[nodiscard]] Error makeUnknownOutcomeError(ErrorKind kind, std::string message);

/// Serializes an error body: {"error":{"kind":…,"message":…,"remedy":…,"outcome":…}}.
[[nodiscard]] std::string toJson(const Error &error);

} // namespace arbutus::core
