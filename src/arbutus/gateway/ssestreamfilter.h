// Validates a stream of server-sent events while it is relayed.
//
// Only complete events are passed on. Each must carry the id of the attempt, so that data from another response is
// detected before it reaches the client. The stream is complete only once the end marker "[DONE]" has been received.

#pragma once

#include "arbutus/core/ids.h"

#include <string>
#include <string_view>

namespace arbutus::gateway {

/// Filters the stream of one attempt.
class SseStreamFilter
{
public:
    /// `clientVisibleId` replaces the attempt's id in the output, so that the client sees the same id when another attempt
    /// resumes the response.
    SseStreamFilter(core::AttemptId attempt, std::string clientVisibleId);

    /// Adds a chunk and returns the events that may be passed on; empty if no event is complete yet.
    [[nodiscard]] std::string feed(std::string_view chunk);

    [[nodiscard]] bool idMismatch() const
    {
        return m_idMismatch; // an event did not carry the attempt's id; nothing is passed on from then on
    }
    [[nodiscard]] bool complete() const
    {
        return m_complete; // the end marker has been received
    }
    [[nodiscard]] std::size_t partialEventBytes() const
    {
        return m_pending.size(); // received after the last complete event
    }
    [[nodiscard]] std::size_t tokenCount() const
    {
        return m_tokenCount; // complete token events passed on
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
