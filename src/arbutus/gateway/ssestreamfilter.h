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
class SseStreamFilter
{
public:
    /// `shownId` is the id that the caller sees, also when the answer is resumed under another attempt.
    SseStreamFilter(core::AttemptId attempt, std::string shownId);

    /// Takes a piece; returns what may be passed on. Empty also when nothing is whole yet.
    [[nodiscard]] std::string feed(std::string_view piece);

    [[nodiscard]] bool idMismatch() const
    {
        return m_idMismatch; // an event carried another id
    }
    [[nodiscard]] bool complete() const
    {
        return m_complete; // the end marker has come
    }
    [[nodiscard]] std::size_t tokenCount() const
    {
        return m_tokenCount; // whole token events passed on
    }

private:
    void processEvent(std::string_view event, std::string &out);

    std::string m_idField;
    std::string m_clientVisibleIdField;
    std::string m_pending;
    bool m_idMismatch = false;
    bool m_complete = false;
    std::size_t m_tokenCount = 0;
};

} // namespace arbutus::gateway
