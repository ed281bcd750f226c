// Server-sent events while they are relayed: whole ones only, each once, none missing.
//
// Events carry increasing ids. After a stream was resumed at another upstream, events that the caller has already are
// dropped, and one that would leave a gap is a fault.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutus::edge {

/// Relay of one answer to one caller, over all upstreams that contribute to it.
class EventRelay
{
public:
    /// `lastEvent` is the last event that the caller already has; empty: none.
    explicit EventRelay(const std::string &lastEvent = {});

    /// Another upstream goes on after lastEvent().
    void resume();
    /// Takes bytes of the body; returns the whole events to pass on.
    [[nodiscard]] std::string take(std::string_view piece);
    /// The body has ended as a whole: the bytes after the last event.
    [[nodiscard]] std::string takeRest();

    [[nodiscard]] const std::string &lastEvent() const
    {
        return m_lastEvent;
    }
    [[nodiscard]] std::uint64_t events() const
    {
        return m_events; // passed on
    }
    [[nodiscard]] bool gap() const
    {
        return m_gap; // an event is missing; nothing more is passed on
    }

private:
    void takeEvent(std::string_view event, std::string &out);

    std::string m_pending;
    std::string m_lastEvent;
    std::optional<std::int64_t> m_lastNumber; // of m_lastEvent, where it is a number
    std::uint64_t m_events = 0;
    bool m_resumed = false;
    bool m_gap = false;
};

} // namespace arbutus::edge
