// Limits of requests and responses between instances.
//
// The instance that received a request has checked it against the limits of its configuration. The next instance may have another
// configuration at that moment, so it accepts whatever any acceptable configuration allows, and the headers that instances add.

#pragma once

#include "arbutus/catalog/catalog.h"
#include "arbutus/http/client.h"
#include "arbutus/http/server.h"

namespace arbutus::edge {

constexpr std::size_t MaxHops = 2;                // to another region, and there through a relay
constexpr std::size_t MaxHeadersPerHop = 16;      // that an instance adds or makes longer
constexpr std::size_t MaxBytesPerHopHeader = 512; // name, value and separators
constexpr std::size_t MaxHopHeaderBytes = MaxHops * MaxHeadersPerHop * MaxBytesPerHopHeader;

/// Limits of the listener for other instances.
[[nodiscard]] inline http::ServerLimits peerServerLimits()
{
    http::ServerLimits limits;
    limits.maxHeaderBytes = catalog::ClientLimits::MaxHeaderBytes + MaxHopHeaderBytes;
    limits.maxBodyBytes = catalog::ClientLimits::MaxBodyBytes;
    return limits;
}

/// Largest response head that an instance accepts from another one: the largest of an upstream, and the headers that instances add.
[[nodiscard]] constexpr std::uint32_t maxPeerResponseHeadBytes()
{
    return http::CallOptions::DefaultMaxHeadBytes + static_cast<std::uint32_t>(MaxHopHeaderBytes);
}

/// Whether a response without a stated outcome shows that the other instance has not passed the request on: its listener rejects a head
/// that it cannot accept before the request is handled. A handled request that fails gets another status.
[[nodiscard]] constexpr bool isRejectedByListener(unsigned status)
{
    return status == 400 || status == 431;
}

} // namespace arbutus::edge
