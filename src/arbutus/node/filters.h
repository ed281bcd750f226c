// The filter chain that checks a request's headers before its body is read.
//
// Each filter checks one condition and either passes the request on or returns an error. The order is fixed: inexpensive
// checks and those that protect the instance come first, and the limits, which acquire a slot, come last.

#pragma once

#include "arbutus/node/state.h"

#include <optional>
#include <variant>
#include <vector>

namespace arbutus::node {

/// A request's headers and the results of the filters.
struct FilterContext
{
    const RequestHead &head;
    const config::WorkspacePolicy *policy = nullptr;
    const config::RequestClass *requestClass = nullptr;
    std::chrono::milliseconds deadline{0};
    bool repeatable = true;
    bool holdsLimitSlot = false; // admitted by the limits; the slot has to be released
};

/// Rejects new requests while draining.
struct DrainFilter
{
    static std::optional<core::Error> apply(FilterContext &context, NodeState &state);
};
/// Rejects requests that this instance, or too many instances, have already forwarded.
struct LoopFilter
{
    static std::optional<core::Error> apply(FilterContext &context, NodeState &state);
};
/// Checks the workspace and its API key.
struct AuthenticationFilter
{
    static std::optional<core::Error> apply(FilterContext &context, NodeState &state);
};
/// Rejects requests if the workspace's residency excludes this region.
struct ResidencyFilter
{
    static std::optional<core::Error> apply(FilterContext &context, NodeState &state);
};
/// Resolves the request class, the deadline and whether the request may be repeated.
struct RequestClassFilter
{
    static std::optional<core::Error> apply(FilterContext &context, NodeState &state);
};
/// Requires a ticket or an Idempotency-Key for requests that may not be repeated.
struct TicketFilter
{
    static std::optional<core::Error> apply(FilterContext &context, NodeState &state);
};
/// Applies the workspace's rate and concurrency limits.
struct LimitFilter
{
    static std::optional<core::Error> apply(FilterContext &context, NodeState &state);
};

using RequestFilter = std::variant<DrainFilter, LoopFilter, AuthenticationFilter, ResidencyFilter, RequestClassFilter, TicketFilter, LimitFilter>;

/// Creates the filters in the order in which they apply.
[[nodiscard]] std::vector<RequestFilter> makeFilterChain();

/// Applies the filters in order; returns the first error, if any.
[[nodiscard]] std::optional<core::Error> applyFilters(std::vector<RequestFilter> &chain, FilterContext &context, NodeState &state);

} // namespace arbutus::node
