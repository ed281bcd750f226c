// Checks a stream of server-sent events while it is relayed.
//
// Only whole events are passed on. Each must carry the id of the attempt that was asked, so that a piece of another's
// answer is noticed before it reaches the caller; the stream is whole only when the end marker "[DONE]" has come.

#pragma once

#include "arbutus/core/ids.h"

#include <string>
#include <string_view>

namespace arbutus::gateway {

/// Checker of one attempt's stream.
class EventStream
{
public:
    /// `shownId` is the id that the caller sees, also when the answer is resumed under another attempt.
    EventStream(core::AttemptId attempt, std::string shownId);

    /// Takes a piece; returns what may be passed on. Empty also when nothing is whole yet.
    [[nodiscard]] std::string take(std::string_view piece);

    [[nodiscard]] bool crossed() const
    {
        return m_crossed; // an event carried another id
    }
    [[nodiscard]] bool whole() const
    {
        return m_whole; // the end marker has come
    }
    [[nodiscard]] std::size_t tokens() const
    {
        return m_tokens; // whole token events passed on
    }

private:
    void takeEvent(std::string_view event, std::string &out);

    std::string m_idField;
    std::string m_shownField;
    std::string m_pending;
    bool m_crossed = false;
    bool m_whole = false;
    std::size_t m_tokens = 0;
};

} // namespace arbutus::gateway
