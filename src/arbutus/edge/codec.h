// Protobuf encoding of the messages between instances: membership and placement datagrams, and metadata snapshots.

#pragma once

#include "arbutus/edge/metadatacache.h"
#include "arbutus/limits/quotaleases.h"
#include "arbutus/membership/membershipview.h"
#include "arbutus/routing/dispatcher.h"
#include "arbutus/routing/requestquarantine.h"
#include "arbutus/routing/streamrecords.h"
#include "arbutus/routing/upstreamnotices.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace arbutus::edge {

constexpr std::uint32_t FleetProtocolVersion = 1; // messages of other versions are rejected

/// A request that is no longer in flight, and how it ended.
struct CompletedPlacement
{
    routing::PlacementId id;
    core::UpstreamId upstream;
    routing::SendOutcome outcome = routing::SendOutcome::Completed;
    routing::StreamTiming timing = {};
};

/// Requests that an instance has in flight at upstreams, those completed since its last report, and what upstreams said.
struct PlacementReport
{
    std::vector<routing::ReportedRequest> inFlight;
    std::vector<CompletedPlacement> completed;
    std::vector<routing::UpstreamNotice> notices;
    std::set<core::UpstreamId> unreachableUpstreams; // that the instance has no path to
    std::optional<limits::QuotaLease> quotaLease;
};

/// Load of a service in a region, as known to the sender.
struct RegionServiceLoad
{
    core::RegionId region;
    routing::ServiceLoad load;
    core::Duration age{};
};

/// Loads known to an instance, and the position and staleness of its cached metadata.
struct RegionState
{
    std::vector<RegionServiceLoad> serviceLoads;
    metadata::StorePosition lastChange;
    metadata::StorePosition storePosition;
    core::Duration metadataStaleness{};
    std::vector<routing::UpstreamNotice> notices;    // of upstreams of the sender's region
    std::set<core::UpstreamId> unreachableUpstreams; // that some instance of the sender's region has no path to
    std::vector<routing::ProfileReport> profiles;    // of engines of the sender's region
    std::optional<limits::QuotaState> quota;         // empty: there are no quotas
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

/// Asks for the record of a stream that a client resumes.
struct StreamQuery
{
    routing::StreamId stream;
};

/// Records of streams, and which ones the sender was asked for and does not know.
struct StreamReport
{
    std::vector<routing::StreamRecord> records;
    std::vector<routing::StreamId> unknown;
};

using FleetMessageBody = std::variant<membership::Message,
                                      routing::PlacementRequest,
                                      std::vector<PlacementReply>,
                                      PlacementReport,
                                      RegionState,
                                      PlacementCancellation,
                                      std::vector<routing::CauseRecord>,
                                      StreamQuery,
                                      StreamReport,
                                      limits::QuotaState>;

/// One datagram.
struct FleetMessage
{
    core::InstanceRef sender;
    core::RegionId region;
    FleetMessageBody body;
    std::size_t ignoredParts = 0;                // with values that only a newer release knows
    catalog::CatalogVersion catalogVersion;      // of the sender's configuration; 0: it has none, or its build states none
    metadata::StoreGeneration catalogGeneration; // of that configuration
    std::optional<core::Duration> proofAge;      // of the sender's proof that the store has no newer configuration (ConfigurationProof)
    KeptEvacuations keptEvacuations;             // of the sender
    core::TimePoint arrivedAt{};                 // at the earliest; set by the receiver
};

/// Deadlines are sent as remaining time, relative to `now`, because the clocks of instances are not comparable.
[[nodiscard]] std::string encode(const FleetMessage &message, core::TimePoint now);
[[nodiscard]] std::optional<FleetMessage> decodeFleetMessage(std::string_view bytes, core::TimePoint now);

[[nodiscard]] std::string encode(const MetadataSnapshot &snapshot);
[[nodiscard]] std::optional<MetadataSnapshot> decodeMetadataSnapshot(const std::string &bytes);

} // namespace arbutus::edge
