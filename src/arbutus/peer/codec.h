// Datagrams and ledger messages on the wire: protobuf, with an HMAC before each datagram.

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

constexpr std::uint32_t ProtocolVersion = 1; // this one and the one before it are accepted

/// Whether a peer's protocol version can be spoken with.
[[nodiscard]] constexpr bool isVersionSupported(std::uint32_t version)
{
    return version == ProtocolVersion || version + 1 == ProtocolVersion;
}

/// Why a datagram was not taken.
enum class DatagramError {
    AuthenticationFailed,
    Malformed,
    UnsupportedVersion,
};

/// A datagram or the fault found.
struct DecodedDatagram
{
    std::optional<node::Datagram> datagram;
    DatagramError error = DatagramError::Malformed;
};

/// Writes and reads datagrams with the cluster's key.
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
void toWire(const delivery::LedgerResult &answer, wire::LedgerReply &out);
[[nodiscard]] delivery::LedgerResult fromWire(const wire::LedgerReply &in);

} // namespace arbutus::peer
