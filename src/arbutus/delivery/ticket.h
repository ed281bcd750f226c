// Tickets: each permits one incarnation of one instance to run one request at most once.
//
// A ticket names its owner (the only incarnation that may ever dispatch it), one witness, the workspace, a serial and an
// expiry, and is signed with an HMAC. Callers treat it as opaque text:
//
//   t1~<key id>~<owner>~<incarnation>~<witness>~<incarnation>~<workspace>~<serial>~<expiry, Unix ms>~<HMAC>
//
// Q: Why does the ticket carry incarnations?
// A: A restarted owner has lost its record of what it ran, and a restarted witness its recorded intents. Neither may
//    answer for its previous incarnation; the incarnation in the ticket lets them detect that.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/core/error.h"
#include "arbutus/core/ids.h"

#include <string>
#include <string_view>
#include <vector>

namespace arbutus::delivery {

/// A ticket after decoding and signature verification.
struct Ticket
{
    core::InstanceRef owner;
    core::InstanceRef witness; // empty id = no other instance was available; if the owner crashes, the outcome is unknown
    core::WorkspaceId workspace;
    core::TicketSerial serial;
    core::WallTime expiry; // the owner refuses to start it from then on

    auto operator<=>(const Ticket &) const = default;
};

/// A key for signing tickets. The first key of a list signs, all keys verify, so that keys can be rotated.
struct TicketSigningKey
{
    std::string id;
    std::string secret; // at least 16 bytes
};

/// Encodes, signs, decodes and verifies tickets.
class TicketCodec
{
public:
    explicit TicketCodec(std::vector<TicketSigningKey> keys);

    [[nodiscard]] std::string encode(const Ticket &ticket) const;
    [[nodiscard]] core::Result<Ticket> decode(std::string_view text) const;
    /// Replaces the keys; the first one signs.
    void setKeys(std::vector<TicketSigningKey> keys);

private:
    std::vector<TicketSigningKey> m_keys;
};

/// Key of a ticket in the ledgers: owner, incarnation and serial.
[[nodiscard]] std::string ticketRecordKey(const Ticket &ticket);

} // namespace arbutus::delivery
