// Typed errors.
//
// An Error says what went wrong (kind, message), what the caller can do about it (remedy) and what became of the
// request (outcome). `Outcome::NotRun` is a promise: the request did not run and never will.
//
// Q: Which outcome do I choose?
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

/// What became of the request that an error answers.
enum class Outcome {
    NotRun,  // did not run and never will
    Unknown, // may have run; the record cannot say
};

/// Every kind of error that a caller, operator or peer can be shown.
enum class ErrorKind {
    BadRequest,       // malformed or unacceptable request
    BodyTooLarge,     // body over the limit of the listener
    Unauthorized,     // missing or wrong key
    UnknownWorkspace, // no such workspace in the configuration
    UnknownModel,     // model not allowed or not known
    UnknownService,   // plain service not allowed or not known
    UnknownClass,     // the workspace's template has no such request class
    ResidencyRefused, // this region may not see the workspace's data
    LoopDetected,     // the request has passed this instance before
    RateLimited,      // over the workspace's rate or concurrency
    Overloaded,       // no room here now
    DeadlineExceeded, // cannot be done, or was not done, in time
    NoUpstream,       // nothing that could serve it is reachable
    UpstreamFailed,   // the upstream gave no complete answer
    TicketInvalid,    // not authentic, expired, or of another workspace
    TicketConflict,   // the ticket was used with another body
    TicketRequired,   // the request may not be repeated and has no ticket
    TicketSealed,     // closed before it ran
    OutcomeUnknown,   // it may have run; no record can tell
    Draining,         // this instance is shutting down
    ConfigInvalid,    // configuration document with faults
    ConfigConflict,   // a racing edit won
    PlatformDown,     // the platform's service gave no usable answer
    PeerFailed,       // another instance gave no usable answer
    VersionMismatch,  // another instance speaks another protocol version
    NotFound,         // no such path or record
    SettingsInvalid,  // settings file with faults
    Internal,         // a fault of ours
};

/// An error with its remedy and the truth about the request.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;                     // what happened
    std::string remedy;                      // what to do about it
    Outcome outcome = Outcome::NotRun;       // what became of the request
    std::chrono::milliseconds retryAfter{0}; // 0 = no advice
};

/// A value or an Error.
template<class T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

using boost::outcome_v2::success;

/// Name of a kind as it stands in error bodies and logs, e.g. "rate_limited".
[[nodiscard]] std::string_view toString(ErrorKind kind);

/// "not_run" or "unknown".
[[nodiscard]] std::string_view toString(Outcome outcome);

/// HTTP status that goes with a kind.
[[nodiscard]] unsigned httpStatus(ErrorKind kind);

/// Error with the kind's usual remedy and outcome NotRun.
[[nodiscard]] Error makeError(ErrorKind kind, std::string message);

/// The same with outcome Unknown.
[[nodiscard]] Error makeUnknownOutcomeError(ErrorKind kind, std::string message);

/// Error body: {"error":{"kind":…,"message":…,"remedy":…,"outcome":…}}.
[[nodiscard]] std::string toJson(const Error &error);

} // namespace arbutus::core
