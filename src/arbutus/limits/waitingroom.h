// Requests that may wait, held until there is slack or until they must start.
//
// Order of release: urgency first, then the earliest latest-start. A full room refuses the least urgent request with the
// latest start, which may be the newcomer. Nothing is held past its latest start.

#pragma once

#include "arbutus/config/document.h"
#include "arbutus/core/clock.h"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace arbutus::limits {

using WaitingKey = std::uint64_t;

/// One held request.
struct Waiting
{
    config::Urgency urgency = config::Urgency::Normal;
    core::TimePoint latestStart{}; // it must start by then
    WaitingKey key = 0;

    auto operator<=>(const Waiting &) const = default;
};

/// The room.
class WaitingRoom
{
public:
    explicit WaitingRoom(std::size_t capacity);

    /// Adds a request; returns the one that has to be refused because the room is full.
    std::optional<WaitingKey> add(const Waiting &waiting);
    void remove(WaitingKey key);
    /// Requests whose latest start has come.
    [[nodiscard]] std::vector<WaitingKey> takeDue(core::TimePoint now);
    /// Next request to release into slack.
    [[nodiscard]] std::optional<WaitingKey> front() const;
    [[nodiscard]] std::vector<WaitingKey> takeAll();
    [[nodiscard]] std::size_t size() const
    {
        return m_waiting.size();
    }

private:
    std::size_t m_capacity;
    std::set<Waiting> m_waiting;
};

} // namespace arbutus::limits
