// Wire encoding of gossip datagrams and ledger messages: protobuf, with each datagram prefixed by an HMAC.

#pragma once

#include "arbutus/node/events.h"

#include <optional>
#include <string>
#include <string_view>

namespace arbutus::wire {
class LedgerRequest;
class LedgerReply;
} // namespace arbutus::wire

namespace arbutus::peer {

constexpr std::uint32_t ProtocolVersion = 1; // the current and the previous version are accepted

/// Whether messages of a peer's protocol version are accepted.
[[nodiscard]] constexpr bool isVersionSupported(std::uint32_t version)
{
    return version == ProtocolVersion || version + 1 == ProtocolVersion;
}

/// Why a datagram was rejected.
enum class DatagramError {
    AuthenticationFailed,
    Malformed,
    UnsupportedVersion,
};

/// A decoded datagram, or the reason why decoding failed.
struct DecodedDatagram
{
    std::optional<node::Datagram> datagram;
    DatagramError error = DatagramError::Malformed;
};

/// Encodes and decodes datagrams, authenticated with the cluster key.
class DatagramCodec
{
public:
    explicit DatagramCodec(std::string clusterKey);

    [[nodiscard]] std::string encode(const node::Datagram &datagram) const;
    [[nodiscard]] DecodedDatagram decode(std::string_view bytes) const;

private:
    std::string m_key;
};

void toWire(const node::LedgerCall &call, wire::LedgerRequest &out);
[[nodiscard]] node::LedgerCall fromWire(const wire::LedgerRequest &in);
void toWire(const delivery::LedgerResult &result, wire::LedgerReply &out);
[[nodiscard]] delivery::LedgerResult fromWire(const wire::LedgerReply &in);

} // namespace arbutus::peer
