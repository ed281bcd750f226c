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
class SseRelay
{
public:
    /// `lastEvent` is the last event that the caller already has; empty: none.
    explicit SseRelay(const std::string &lastEvent = {});

    /// Another upstream goes on after lastEvent().
    void resume();
    /// Takes bytes of the body; returns the whole events to pass on.
    [[nodiscard]] std::string feed(std::string_view piece);
    /// The body has ended as a whole: the bytes after the last event.
    [[nodiscard]] std::string finish();

    [[nodiscard]] const std::string &lastEventId() const
    {
        return m_lastEventId;
    }
    [[nodiscard]] std::uint64_t forwardedEventCount() const
    {
        return m_forwardedEventCount; // passed on
    }
    [[nodiscard]] bool hasGap() const
    {
        return m_hasGap; // an event is missing; nothing more is passed on
    }

private:
    void processEvent(std::string_view event, std::string &out);

    std::string m_pending;
    std::string m_lastEventId;
    std::optional<std::int64_t> m_lastEventNumber; // of m_lastEvent, where it is a number
    std::uint64_t m_forwardedEventCount = 0;
    bool m_resumed = false;
    bool m_hasGap = false;
};

} // namespace arbutus::edge
