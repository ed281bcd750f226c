// Relay of server-sent events: forwards complete events only, each exactly once and without gaps.
//
// Numeric event ids increase by one. After a stream is resumed at another upstream, events that the client already has are
// dropped. A missing event stops the relay, and so does an event without a number before the upstream's first numbered one, because
// nothing shows that it continues the stream.
//
// Q: When is a stream complete?
// A: When its body ended regularly and isTruncated() is false after finish(). How the body ended is not enough: an upstream that
//    fails may close its connection, or send a last chunk, inside an event.

#pragma once

#include "arbutus/http/message.h"

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
    /// Call at the regular end of the body. Returns the remaining bytes to forward; empty if the stream was cut off.
    [[nodiscard]] std::string finish(http::BodyEnd bodyEnd);

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
        return m_hasGap; // an event of the current upstream was missing or not numbered; nothing more of it is forwarded
    }
    [[nodiscard]] bool isTruncated() const
    {
        return m_isTruncated; // the body ended inside an event, or without length or chunks before its first event
    }

private:
    /// Moves the complete events from the buffer to `output`.
    void processEvents(bool isEndOfBody, std::string &output);
    void processEvent(std::string_view event, std::string &output);

    std::string m_buffer;
    std::string m_lastEventId;
    std::optional<std::int64_t> m_lastEventNumber; // m_lastEventId, if numeric
    std::uint64_t m_forwardedEventCount = 0;
    bool m_resumed = false;
    bool m_hasEvent = false;  // an event of the current upstream has been received
    bool m_hasNumber = false; // a numbered one has
    bool m_hasGap = false;
    bool m_isTruncated = false;
};

} // namespace arbutus::edge
