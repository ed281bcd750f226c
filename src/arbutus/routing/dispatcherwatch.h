// Decides how long to wait for the reply of a region's dispatcher, and when it counts as unresponsive.
//
//   ReplyWait wait = watch.beginWait(dispatcher, now);
//   ... send the placement request, wait for a reply until wait.due ...
//   watch.recordReply(wait, now);                            // it has arrived
//   switch (watch.judge(wait, now)) { ... }                  // it has not
//
// No sockets, threads or clock.
//
// Load pattern: a burst while a quarter of the upstreams crashes. The dispatcher replies later than usual, or the instance that waits runs late
// itself. If either is taken for a failure of the dispatcher, all instances send their waiting requests to the next dispatcher, which knows
// less about the load, gets them all at once, and is late as well.
//
// Q: How is a slow dispatcher told from one that has failed?
// A: The time to wait follows its reply times, as the retransmission timeout of TCP does (RFC 6298). A reply to another request shows that it
//    works: then only the datagram was lost.
//
// Q: And an instance that is slow itself?
// A: Its wait ends later than it should. What arrived meanwhile has not been read, so it waits once more, without another request.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/core/ids.h"

#include <map>

namespace arbutus::routing {

struct DispatcherWatchSettings
{
    core::Duration minReplyTimeout = std::chrono::milliseconds(40);
    core::Duration maxReplyTimeout = std::chrono::milliseconds(250);
    core::Duration maxOwnDelay = std::chrono::milliseconds(15); // of the end of a wait, before the instance counts as slow itself
    int maxUnansweredRequests = 2;                              // in a row, before the dispatcher is unresponsive
    core::Duration skipTime = std::chrono::milliseconds(700);   // of an unresponsive dispatcher
};

/// The wait of one placement for the reply of one dispatcher.
struct ReplyWait
{
    core::InstanceId dispatcher;
    core::TimePoint begunAt{};
    core::TimePoint sentAt{}; // the last time
    core::TimePoint due{};    // of the reply
    int unanswered = 0;       // requests in a row during which the dispatcher replied to nothing
    bool isExtended = false;  // because this instance was slow
    bool isReplied = false;   // the first reply has been recorded
};

enum class NoReply {
    SendAgain,
    WaitAgain,    // until ReplyWait::due
    Unresponsive, // ask the next dispatcher
};

class DispatcherWatch
{
public:
    explicit DispatcherWatch(DispatcherWatchSettings settings = {});

    [[nodiscard]] ReplyWait beginWait(const core::InstanceId &dispatcher, core::TimePoint now) const;
    /// The request was sent again.
    void resume(ReplyWait &wait, core::TimePoint now) const;
    /// A reply to the request has arrived; the first one tells how long the dispatcher takes.
    void recordReply(ReplyWait &wait, core::TimePoint now);
    /// A reply to any request has arrived from the dispatcher.
    void recordHeard(const core::InstanceId &dispatcher, core::TimePoint now);
    /// What to do after a wait that has ended without a reply.
    [[nodiscard]] NoReply judge(ReplyWait &wait, core::TimePoint now) const;

    void skip(const core::InstanceId &dispatcher, core::TimePoint now);
    [[nodiscard]] bool isSkipped(const core::InstanceId &dispatcher, core::TimePoint now) const;
    [[nodiscard]] core::Duration replyTimeout(const core::InstanceId &dispatcher) const;
    [[nodiscard]] core::Duration skipTime() const
    {
        return m_settings.skipTime;
    }

private:
    struct Dispatcher
    {
        core::Duration smoothedTime{}; // of replies; zero: none yet
        core::Duration variation{};
        core::TimePoint heardAt{};
        core::TimePoint skippedUntil{};
    };

    DispatcherWatchSettings m_settings;
    std::map<core::InstanceId, Dispatcher> m_dispatchers;
};

} // namespace arbutus::routing
