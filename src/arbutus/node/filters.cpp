// Filters of request headers.

#include "arbutus/node/filters.h"

#include "arbutus/core/hash.h"

#include <algorithm>

namespace arbutus::node {

namespace {

constexpr std::size_t MaxHops = 1; // instances that have forwarded the request to this one

} // namespace

std::optional<core::Error> DrainFilter::apply(FilterContext & /*context*/, NodeState &state)
{
    if (!state.draining) {
        return std::nullopt;
    }
    core::Error error = core::makeError(core::ErrorKind::Draining, "instance " + state.self().id.text + " is shutting down");
    error.retryAfter = std::chrono::milliseconds(10); // short, because another entry can accept the request
    return error;
}

std::optional<core::Error> LoopFilter::apply(FilterContext &context, NodeState &state)
{
    const auto &via = context.head.via;
    if (std::find(via.begin(), via.end(), state.self().id.text) != via.end()) {
        return core::makeError(core::ErrorKind::LoopDetected, "the request has already been forwarded by instance " + state.self().id.text);
    }
    if (via.size() > MaxHops) {
        return core::makeError(core::ErrorKind::LoopDetected,
                               "the request has been forwarded by " + std::to_string(via.size()) + " instances, at most " + std::to_string(MaxHops)
                                   + " is allowed");
    }
    return std::nullopt;
}

std::optional<core::Error> AuthenticationFilter::apply(FilterContext &context, NodeState &state)
{
    context.policy = state.config.findPolicy(context.head.workspace);
    if (context.policy == nullptr) {
        return core::makeError(core::ErrorKind::UnknownWorkspace,
                               "unknown workspace \"" + context.head.workspace.text + "\" in configuration revision "
                                   + std::to_string(state.config.head().revision.value));
    }
    if (context.head.forwarded) {
        return std::nullopt;
    }
    const auto &accepted = context.policy->apiKeyHashes;
    const bool known =
        std::any_of(accepted.begin(), accepted.end(), [&](const std::string &hash) { return core::equalConstantTime(hash, context.head.bearerKeyHash); });
    if (!known) {
        return core::makeError(core::ErrorKind::Unauthorized, "the API key does not belong to workspace \"" + context.head.workspace.text + "\"");
    }
    return std::nullopt;
}

std::optional<core::Error> ResidencyFilter::apply(FilterContext &context, NodeState &state)
{
    if (context.policy->residency.contains(state.self().region)) {
        return std::nullopt;
    }
    return core::makeError(core::ErrorKind::ResidencyRefused,
                           "the residency of workspace \"" + context.policy->workspace.text + "\" excludes region " + state.self().region.text);
}

std::optional<core::Error> RequestClassFilter::apply(FilterContext &context, NodeState & /*state*/)
{
    const core::ClassId &classId = context.head.requestClass.empty() ? context.policy->defaultClass : context.head.requestClass;
    const auto found = context.policy->classes.find(classId);
    if (found == context.policy->classes.end()) {
        std::string names;
        for (const auto &[id, requestClass] : context.policy->classes) {
            names += (names.empty() ? "" : ", ") + id.text;
        }
        return core::makeError(core::ErrorKind::UnknownClass, "unknown request class \"" + classId.text + "\"; the template defines " + names);
    }
    context.requestClass = &found->second;
    context.deadline = context.head.deadline ? std::min(*context.head.deadline, found->second.deadline) : found->second.deadline;
    const RequestHead &head = context.head;
    const bool atMostOnce = !head.ticket.empty() || !head.idempotencyKeyHash.empty();           // regardless of the class
    const bool unclassifiedServiceRequest = head.requestClass.empty() && !head.service.empty(); // the default class applies to model requests only
    context.repeatable = !atMostOnce && (head.safeMethod || (found->second.repeatable && !unclassifiedServiceRequest));
    if (context.deadline.count() <= 0) {
        return core::makeError(core::ErrorKind::DeadlineExceeded, "no time remains until the deadline");
    }
    return std::nullopt;
}

std::optional<core::Error> TicketFilter::apply(FilterContext &context, NodeState & /*state*/)
{
    const RequestHead &head = context.head;
    if (context.repeatable || !head.originAttempt.empty() || !head.ticket.empty() || !head.idempotencyKeyHash.empty()) {
        return std::nullopt;
    }
    return core::makeError(core::ErrorKind::TicketRequired,
                           "requests of class " + context.requestClass->id.text + " may not be repeated and require a ticket or an Idempotency-Key");
}

std::optional<core::Error> LimitFilter::apply(FilterContext &context, NodeState &state)
{
    if (context.head.forwarded) {
        return std::nullopt; // counted by the instance that received it from the caller
    }
    const auto admitted = state.limits.admit(*context.policy, state.limitPartitionFor(*context.policy), state.now());
    if (!admitted) {
        return admitted.error();
    }
    context.holdsLimitSlot = true;
    return std::nullopt;
}

std::vector<RequestFilter> makeFilterChain()
{
    return {DrainFilter{}, LoopFilter{}, AuthenticationFilter{}, ResidencyFilter{}, RequestClassFilter{}, TicketFilter{}, LimitFilter{}};
}

std::optional<core::Error> applyFilters(std::vector<RequestFilter> &chain, FilterContext &context, NodeState &state)
{
    for (RequestFilter &filter : chain) {
        auto error = std::visit([&](auto &active) { return active.apply(context, state); }, filter);
        if (error) {
            return error;
        }
    }
    return std::nullopt;
}

} // namespace arbutus::node
