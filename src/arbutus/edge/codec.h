// Messages between instances as protobuf: datagrams of membership and dispatch, and snapshots of beliefs.

#pragma once

#include "arbutus/edge/metadatacache.h"
#include "arbutus/membership/membershipview.h"
#include "arbutus/routing/dispatcher.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace arbutus::edge {

constexpr std::uint32_t FleetProtocolVersion = 1; // version of these messages; others are refused

/// Work that has begun to be answered or has ended.
struct CompletedPlacement
{
    routing::PlacementId id;
    core::UpstreamId upstream;
    routing::SendOutcome outcome = routing::SendOutcome::Completed;
};

/// What a node holds at upstreams, and what has ended since its last message.
struct PlacementReport
{
    std::vector<routing::ReportedRequest> inFlight;
    std::vector<CompletedPlacement> completed;
};

/// Another region's outlook as the sender knows it.
struct RegionServiceLoad
{
    core::RegionId region;
    routing::ServiceLoad load;
    core::Duration age{};
};

/// A node's word on its region and its beliefs.
struct RegionState
{
    std::vector<RegionServiceLoad> serviceLoads;
    metadata::StoreRevision lastChangeRevision;
    metadata::StoreRevision storeRevision;
    core::Duration metadataStaleness{};
    std::vector<core::UpstreamId> leavingUpstreams; // seen otherwise than through the store
};

struct PlacementReply
{
    routing::PlacementId id;
    routing::PlacementDecision decision;
};

struct PlacementCancellation
{
    routing::PlacementId id;
};

using FleetMessageBody =
    std::variant<membership::Message, routing::PlacementRequest, std::vector<PlacementReply>, PlacementReport, RegionState, PlacementCancellation>;

/// One datagram.
struct FleetMessage
{
    core::InstanceRef sender;
    core::RegionId region;
    FleetMessageBody body;
};

/// Times in an Ask are sent as time left; `now` turns them back.
[[nodiscard]] std::string encode(const FleetMessage &message, core::TimePoint now);
[[nodiscard]] std::optional<FleetMessage> decodeFleetMessage(std::string_view bytes, core::TimePoint now);

[[nodiscard]] std::string encode(const MetadataSnapshot &snapshot);
[[nodiscard]] std::optional<MetadataSnapshot> decodeMetadataSnapshot(const std::string &bytes);

} // namespace arbutus::edge
