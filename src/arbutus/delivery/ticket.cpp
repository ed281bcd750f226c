// Encoding and decoding of tickets.

#include "arbutus/delivery/ticket.h"

#include "arbutus/core/hash.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace arbutus::delivery {

namespace {

constexpr char Separator = '~';
constexpr std::string_view Version = "t1";
constexpr std::size_t FieldCount = 10;
constexpr std::size_t MaxTicketBytes = 1024;

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> out;
    while (true) {
        const auto end = text.find(Separator);
        out.push_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return out;
        }
        text.remove_prefix(end + 1);
    }
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

core::Error invalidTicketError(const std::string &problem)
{
    return core::makeError(core::ErrorKind::TicketInvalid, "the ticket " + problem);
}

} // namespace

TicketCodec::TicketCodec(std::vector<TicketSigningKey> keys)
    : m_keys(std::move(keys))
{
}

void TicketCodec::setKeys(std::vector<TicketSigningKey> keys)
{
    m_keys = std::move(keys);
}

std::string TicketCodec::encode(const Ticket &ticket) const
{
    std::string text(Version);
    const auto add = [&text](const std::string &field) { text += Separator + field; };
    add(m_keys.front().id);
    add(ticket.owner.id.text);
    add(std::to_string(ticket.owner.incarnation.value));
    add(ticket.witness.id.text);
    add(std::to_string(ticket.witness.incarnation.value));
    add(ticket.workspace.text);
    add(std::to_string(ticket.serial.value));
    add(std::to_string(ticket.expiry.time_since_epoch().count()));
    return text + Separator + core::hmacSha256Hex(m_keys.front().secret, text);
}

core::Result<Ticket> TicketCodec::decode(std::string_view text) const
{
    if (text.size() > MaxTicketBytes) {
        return invalidTicketError("is longer than " + std::to_string(MaxTicketBytes) + " bytes");
    }
    const std::vector<std::string_view> fields = split(text);
    if (fields.size() != FieldCount || fields[0] != Version) {
        return invalidTicketError("does not have the format " + std::string(Version) + " with " + std::to_string(FieldCount) + " fields");
    }
    const auto key = std::find_if(m_keys.begin(), m_keys.end(), [&](const TicketSigningKey &candidate) { return candidate.id == fields[1]; });
    if (key == m_keys.end()) {
        return core::makeUnknownOutcomeError(core::ErrorKind::TicketInvalid, "the ticket was signed with a key that is no longer accepted");
    }
    const std::string_view signedText = text.substr(0, text.size() - fields.back().size() - 1);
    if (!core::equalConstantTime(core::hmacSha256Hex(key->secret, signedText), fields.back())) {
        return invalidTicketError("has an invalid signature");
    }
    const auto ownerIncarnation = parseNumber(fields[3]);
    const auto witnessIncarnation = parseNumber(fields[5]);
    const auto serial = parseNumber(fields[7]);
    const auto expiry = parseNumber(fields[8]);
    if (!ownerIncarnation || !witnessIncarnation || !serial || !expiry) {
        return invalidTicketError("has an incarnation, serial or expiry that is not a number");
    }
    Ticket ticket;
    ticket.owner = core::InstanceRef{core::InstanceId(std::string(fields[2])), core::Incarnation(*ownerIncarnation)};
    ticket.witness = core::InstanceRef{core::InstanceId(std::string(fields[4])), core::Incarnation(*witnessIncarnation)};
    ticket.workspace = core::WorkspaceId(std::string(fields[6]));
    ticket.serial = core::TicketSerial(*serial);
    ticket.expiry = core::WallTime(std::chrono::milliseconds(static_cast<std::int64_t>(*expiry)));
    return ticket;
}

std::string ticketRecordKey(const Ticket &ticket)
{
    return ticket.owner.id.text + Separator + std::to_string(ticket.owner.incarnation.value) + Separator + std::to_string(ticket.serial.value);
}

} // namespace arbutus::delivery
