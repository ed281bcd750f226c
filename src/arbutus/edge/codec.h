// Messages between instances as protobuf: datagrams of membership and dispatch, and snapshots of beliefs.

#pragma once

#include "arbutus/edge/beliefs.h"
#include "arbutus/membership/domainview.h"
#include "arbutus/routing/dispatcher.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace arbutus::edge {

constexpr std::uint32_t FleetProtocol = 1; // version of these messages; others are refused

/// Work that has begun to be answered or has ended.
struct WorkEnded
{
    routing::WorkId id;
    core::UpstreamId upstream;
    routing::WorkEnding ending = routing::WorkEnding::Answered;
};

/// What a node holds at upstreams, and what has ended since its last message.
struct WorkReport
{
    std::vector<routing::Holding> holdings;
    std::vector<WorkEnded> ended;
};

/// Another region's outlook as the sender knows it.
struct RegionOutlook
{
    core::RegionId region;
    routing::Outlook outlook;
    core::Duration age{};
};

/// A node's word on its region and its beliefs.
struct RegionState
{
    std::vector<RegionOutlook> outlooks;
    metadata::StoreRevision beliefRevision;
    metadata::StoreRevision asOf;
    core::Duration evidenceAge{};
    std::vector<core::UpstreamId> leaving; // seen otherwise than through the store
};

struct VerdictMessage
{
    routing::WorkId id;
    routing::Verdict verdict;
};

struct Withdrawal
{
    routing::WorkId id;
};

using FleetBody = std::variant<membership::Message, routing::Ask, std::vector<VerdictMessage>, WorkReport, RegionState, Withdrawal>;

/// One datagram.
struct FleetMessage
{
    core::InstanceRef sender;
    core::RegionId region;
    FleetBody body;
};

/// Times in an Ask are sent as time left; `now` turns them back.
[[nodiscard]] std::string encode(const FleetMessage &message, core::TimePoint now);
[[nodiscard]] std::optional<FleetMessage> decodeMessage(std::string_view bytes, core::TimePoint now);

[[nodiscard]] std::string encode(const BeliefSnapshot &snapshot);
[[nodiscard]] std::optional<BeliefSnapshot> decodeSnapshot(const std::string &bytes);

} // namespace arbutus::edge
