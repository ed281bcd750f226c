// Tickets: the right of one instance's one life to run one request at most once.
//
// A ticket names its owner (the only incarnation that may ever dispatch it), one witness, the workspace, a serial and an
// expiry, and carries an HMAC. Callers treat it as opaque text:
//
//   t1~<key id>~<owner>~<incarnation>~<witness>~<incarnation>~<workspace>~<serial>~<expiry, Unix ms>~<HMAC>
//
// Q: Why does the ticket carry incarnations?
// A: A restarted owner has forgotten what it ran, and a restarted witness what it was told. Neither may speak for the
//    life before; the incarnation makes them notice.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/core/error.h"
#include "arbutus/core/ids.h"

#include <string>
#include <string_view>
#include <vector>

namespace arbutus::delivery {

/// A ticket, parsed and authenticated.
struct Ticket
{
    core::InstanceRef owner;
    core::InstanceRef witness; // empty id = the owner was alone; its crash leaves the outcome unknown
    core::WorkspaceId workspace;
    core::TicketSerial serial;
    core::WallTime expiry; // the owner refuses it from then on

    auto operator<=>(const Ticket &) const = default;
};

/// A key for tickets. The first of a list signs; all of it verify, so that keys can be rotated.
struct TicketSigningKey
{
    std::string id;
    std::string secret; // at least 16 bytes
};

/// Writes and reads ticket texts.
class TicketCodec
{
public:
    explicit TicketCodec(std::vector<TicketSigningKey> keys);

    [[nodiscard]] std::string encode(const Ticket &ticket) const;
    [[nodiscard]] core::Result<Ticket> decode(std::string_view text) const;
    /// Replaces the keys, newest first.
    void setKeys(std::vector<TicketSigningKey> keys);

private:
    std::vector<TicketSigningKey> m_keys;
};

/// Key of a ticket inside a ledger: owner, incarnation and serial.
[[nodiscard]] std::string ticketRecordKey(const Ticket &ticket);

} // namespace arbutus::delivery
