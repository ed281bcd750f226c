// What server and client of the peers' protocol share.

#pragma once

namespace arbutus::peer {

constexpr const char *ClusterKeyMetadataName = "x-arbutus-key"; // SHA-256 of the cluster key
constexpr int MaxMessageBytes = 64 * 1024 * 1024;               // one message; snapshots are the largest

} // namespace arbutus::peer
