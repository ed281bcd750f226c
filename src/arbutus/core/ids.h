// Strong types for identifiers and counters.
//
// Every identifier that crosses a function boundary has its own type, so that passing a workspace where a region is
// expected does not compile. The types are plain values with an order and a hash.
//
// Sections:
//   StrongId     text identifiers (instance, region, workspace, ...)
//   StrongNumber counters (revision, incarnation, ...)
//   InstanceRef  one run of an instance

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace arbutus::core {

//-----------------------------------------------------------------------------
// StrongId
//-----------------------------------------------------------------------------

/// A text identifier; distinct Tags make distinct types.
template<class Tag>
struct StrongId
{
    std::string text; // empty = not set

    StrongId() = default;
    explicit StrongId(std::string value)
        : text(std::move(value))
    {
    }

    [[nodiscard]] bool empty() const
    {
        return text.empty();
    }
    auto operator<=>(const StrongId &) const = default;
    friend std::ostream &operator<<(std::ostream &out, const StrongId &id)
    {
        return out << id.text;
    }
};

using InstanceId = StrongId<struct InstanceTag>;   // an instance of the gateway
using DomainId = StrongId<struct DomainTag>;       // a failure domain
using RegionId = StrongId<struct RegionTag>;       // a region
using WorkspaceId = StrongId<struct WorkspaceTag>; // a workspace
using TemplateId = StrongId<struct TemplateTag>;   // a workspace template
using UpstreamId = StrongId<struct UpstreamTag>;   // a model engine or a plain service instance
using ModelId = StrongId<struct ModelTag>;         // a model name, e.g. "almanac-large"
using ServiceId = StrongId<struct ServiceTag>;     // a plain service, e.g. "orders"
using ClassId = StrongId<struct ClassTag>;         // a request class of a template
using RequestId = StrongId<struct RequestTag>;     // a request of a caller
using AttemptId = StrongId<struct AttemptTag>;     // one attempt to send a request to an upstream
using DecisionId = StrongId<struct DecisionTag>;   // a routing decision

//-----------------------------------------------------------------------------
// StrongNumber
//-----------------------------------------------------------------------------

/// A counter; distinct Tags make distinct types.
template<class Tag>
struct StrongNumber
{
    std::uint64_t value = 0;

    StrongNumber() = default;
    explicit constexpr StrongNumber(std::uint64_t number)
        : value(number)
    {
    }

    auto operator<=>(const StrongNumber &) const = default;
    friend std::ostream &operator<<(std::ostream &out, const StrongNumber &number)
    {
        return out << number.value;
    }
};

using Revision = StrongNumber<struct RevisionTag>;         // position in the configuration log; 0 = no entry applied
using Incarnation = StrongNumber<struct IncarnationTag>;   // new at each start of an instance; 0 = unknown
using FencingToken = StrongNumber<struct FencingTag>;      // increases with each new holder of a lease
using TicketSerial = StrongNumber<struct TicketSerialTag>; // ticket number within one incarnation

//-----------------------------------------------------------------------------
// InstanceRef
//-----------------------------------------------------------------------------

/// One run of an instance. A restarted instance keeps its id and gets a new incarnation.
struct InstanceRef
{
    InstanceId id;
    Incarnation incarnation;

    auto operator<=>(const InstanceRef &) const = default;
};

} // namespace arbutus::core

template<class Tag>
struct std::hash<arbutus::core::StrongId<Tag>>
{
    std::size_t operator()(const arbutus::core::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.text);
    }
};

template<class Tag>
struct std::hash<arbutus::core::StrongNumber<Tag>>
{
    std::size_t operator()(const arbutus::core::StrongNumber<Tag> &number) const noexcept
    {
        return std::hash<std::uint64_t>{}(number.value);
    }
};
