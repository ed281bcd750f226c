// Constants shared by the client and the server of the peer protocol.

#pragma once

namespace arbutus::peer {

constexpr const char *ClusterKeyMetadataName = "x-arbutus-key"; // SHA-256 of the cluster key
constexpr int MaxMessageBytes = 64 * 1024 * 1024;               // limit for one message; configuration snapshots are the largest

} // namespace arbutus::peer
