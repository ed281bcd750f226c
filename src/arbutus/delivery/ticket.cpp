// Ticket texts.

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
constexpr std::size_t LongestTicket = 1024; // bytes

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

std::optional<std::uint64_t> toNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
    if (read.ec != std::errc() || read.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

core::Error invalid(const std::string &why)
{
    return core::makeError(core::ErrorKind::TicketInvalid, "the ticket " + why);
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
    if (text.size() > LongestTicket) {
        return invalid("is too long");
    }
    const std::vector<std::string_view> fields = split(text);
    if (fields.size() != FieldCount || fields[0] != Version) {
        return invalid("is not one of ours");
    }
    const auto key = std::find_if(m_keys.begin(), m_keys.end(), [&](const TicketSigningKey &candidate) { return candidate.id == fields[1]; });
    if (key == m_keys.end()) {
        return core::makeUnknownOutcomeError(core::ErrorKind::TicketInvalid, "the ticket was signed with a key that is no longer accepted");
    }
    const std::string_view covered = text.substr(0, text.size() - fields.back().size() - 1);
    if (!core::equalConstantTime(core::hmacSha256Hex(key->secret, covered), fields.back())) {
        return invalid("is not authentic");
    }
    const auto ownerIncarnation = toNumber(fields[3]);
    const auto witnessIncarnation = toNumber(fields[5]);
    const auto serial = toNumber(fields[7]);
    const auto expiry = toNumber(fields[8]);
    if (!ownerIncarnation || !witnessIncarnation || !serial || !expiry) {
        return invalid("has a field that is no number");
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
