// The filter chain that judges a request's headers before its body is read.
//
// Each filter looks at one matter and either lets the request pass or names an error. The order is fixed: what is cheap
// and protects others comes first, what takes something (the limits) comes last.

#pragma once

#include "arbutus/node/state.h"

#include <optional>
#include <variant>
#include <vector>

namespace arbutus::node {

/// What the filters find out.
struct FilterContext
{
    const RequestHead &head;
    const config::WorkspacePolicy *policy = nullptr;
    const config::RequestClass *requestClass = nullptr;
    std::chrono::milliseconds deadline{0};
    bool repeatable = true;
    bool holdsLimitSlot = false; // the limits have taken it; to be released
};

struct DrainFilter
{ // refuses new work while draining
    static std::optional<core::Error> apply(FilterContext &context, NodeState &state);
};
struct LoopFilter
{ // refuses what has passed this instance, or too many
    static std::optional<core::Error> apply(FilterContext &context, NodeState &state);
};
struct AuthenticationFilter
{ // workspace and key
    static std::optional<core::Error> apply(FilterContext &context, NodeState &state);
};
struct ResidencyFilter
{ // this region may see the workspace's data
    static std::optional<core::Error> apply(FilterContext &context, NodeState &state);
};
struct RequestClassFilter
{ // class, deadline, repeatable
    static std::optional<core::Error> apply(FilterContext &context, NodeState &state);
};
struct TicketFilter
{ // a request that may not be repeated has a ticket or a key
    static std::optional<core::Error> apply(FilterContext &context, NodeState &state);
};
struct LimitFilter
{ // rate and concurrency
    static std::optional<core::Error> apply(FilterContext &context, NodeState &state);
};

using RequestFilter = std::variant<DrainFilter, LoopFilter, AuthenticationFilter, ResidencyFilter, RequestClassFilter, TicketFilter, LimitFilter>;

/// The chain in its order.
[[nodiscard]] std::vector<RequestFilter> makeFilterChain();

/// First error of the chain, or nothing.
[[nodiscard]] std::optional<core::Error> applyFilters(std::vector<RequestFilter> &chain, FilterContext &context, NodeState &state);

} // namespace arbutus::node
