// Relay of server-sent events: forwards complete events only, each exactly once and without gaps.
//
// Numeric event ids increase by one. After a stream is resumed at another upstream, events that the client already has are
// dropped. A missing event stops the relay.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutus::edge {

/// Relays one response to one client, across all upstreams that contribute to it.
class SseRelay
{
public:
    /// `lastEventId` is the last event that the client already has; empty if none.
    explicit SseRelay(const std::string &lastEventId = {});

    /// Continues with another upstream, which resumes after lastEventId(). Discards a partial event.
    void resume();
    /// Consumes a chunk of the body and returns the complete events to forward.
    [[nodiscard]] std::string feed(std::string_view chunk);
    /// Call at the regular end of the body. Returns the remaining bytes after the last complete event.
    [[nodiscard]] std::string finish();

    [[nodiscard]] const std::string &lastEventId() const
    {
        return m_lastEventId;
    }
    /// Bytes received after the last complete event.
    [[nodiscard]] std::size_t partialEventBytes() const
    {
        return m_buffer.size();
    }
    [[nodiscard]] std::uint64_t forwardedEventCount() const
    {
        return m_forwardedEventCount;
    }
    [[nodiscard]] bool hasGap() const
    {
        return m_hasGap; // an event was missing; nothing more is forwarded
    }

private:
    void processEvent(std::string_view event, std::string &output);

    std::string m_buffer;
    std::string m_lastEventId;
    std::optional<std::int64_t> m_lastEventNumber; // m_lastEventId, if numeric
    std::uint64_t m_forwardedEventCount = 0;
    bool m_resumed = false;
    bool m_hasGap = false;
};

} // namespace arbutus::edge
