// Strong types for identifiers and counters.
//
// Every identifier that crosses a function boundary has a type of its own, so that a workspace can never be passed
// where a region is meant. The types are plain: a value, an order and a hash.
//
// Sections:
//   StrongId     text identifiers (instance, region, workspace, ...)
//   StrongNumber counters (revision, incarnation, ...)
//   InstanceRef  one life of one instance

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

/// A text identifier whose Tag keeps it apart from identifiers of other kinds.
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

using InstanceId = StrongId<struct InstanceTag>;   // an entry instance of the gateway
using DomainId = StrongId<struct DomainTag>;       // a failure domain
using RegionId = StrongId<struct RegionTag>;       // a region
using WorkspaceId = StrongId<struct WorkspaceTag>; // a workspace
using TemplateId = StrongId<struct TemplateTag>;   // a workspace template
using UpstreamId = StrongId<struct UpstreamTag>;   // a model engine or a plain service instance
using ModelId = StrongId<struct ModelTag>;         // a model name, e.g. "almanac-large"
using ServiceId = StrongId<struct ServiceTag>;     // a plain service, e.g. "orders"
using ClassId = StrongId<struct ClassTag>;         // a request class of a template
using RequestId = StrongId<struct RequestTag>;     // one request of a caller
using AttemptId = StrongId<struct AttemptTag>;     // one try of a request at one upstream
using DecisionId = StrongId<struct DecisionTag>;   // one routing decision

//-----------------------------------------------------------------------------
// StrongNumber
//-----------------------------------------------------------------------------

/// A counter whose Tag keeps it apart from counters of other kinds.
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

using Revision = StrongNumber<struct RevisionTag>;         // position in the configuration log, 0 = nothing adopted
using Incarnation = StrongNumber<struct IncarnationTag>;   // drawn at each start of an instance; 0 = unknown
using FencingToken = StrongNumber<struct FencingTag>;      // grows with each holder of a lease
using TicketSerial = StrongNumber<struct TicketSerialTag>; // ticket number within one incarnation

//-----------------------------------------------------------------------------
// InstanceRef
//-----------------------------------------------------------------------------

/// One life of one instance. A restarted instance has the same id and another incarnation.
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
