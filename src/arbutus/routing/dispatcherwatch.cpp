// Reply times and the judgement of waits.

#include "arbutus/routing/dispatcherwatch.h"

#include <algorithm>
#include <utility>

namespace arbutus::routing {

DispatcherWatch::DispatcherWatch(DispatcherWatchSettings settings)
    : m_settings(settings)
{
}

core::Duration DispatcherWatch::replyTimeout(const core::InstanceId &dispatcher) const
{
    constexpr int VariationFactor = 4; // RFC 6298
    constexpr int MinFactor = 2;       // of the usual time, however steady it is
    const auto found = m_dispatchers.find(dispatcher);
    core::Duration expected{};
    if (found != m_dispatchers.end()) {
        const Dispatcher &known = found->second;
        expected = std::max(known.smoothedTime + VariationFactor * known.variation, MinFactor * known.smoothedTime);
    }
    return std::clamp(expected, m_settings.minReplyTimeout, m_settings.maxReplyTimeout);
}

ReplyWait DispatcherWatch::beginWait(const core::InstanceId &dispatcher, core::TimePoint now) const
{
    return ReplyWait{dispatcher, now, now, now + replyTimeout(dispatcher)};
}

void DispatcherWatch::resume(ReplyWait &wait, core::TimePoint now) const
{
    wait.sentAt = now;
    wait.due = now + replyTimeout(wait.dispatcher);
    wait.isExtended = false;
}

void DispatcherWatch::recordReply(ReplyWait &wait, core::TimePoint now)
{
    wait.unanswered = 0;
    if (std::exchange(wait.isReplied, true)) {
        return;
    }
    Dispatcher &dispatcher = m_dispatchers[wait.dispatcher];
    const core::Duration time = now - wait.begunAt; // which of several requests it replies to is not known
    if (dispatcher.smoothedTime == core::Duration::zero()) {
        dispatcher.smoothedTime = std::max(time, core::Duration(1));
        dispatcher.variation = time / 2;
        return;
    }
    constexpr int TimeWeight = 8; // the reciprocals of the weights in RFC 6298
    constexpr int VariationWeight = 4;
    const core::Duration difference = time - dispatcher.smoothedTime;
    dispatcher.variation += (std::max(difference, -difference) - dispatcher.variation) / VariationWeight;
    dispatcher.smoothedTime = std::max(dispatcher.smoothedTime + difference / TimeWeight, core::Duration(1));
}

void DispatcherWatch::recordHeard(const core::InstanceId &dispatcher, core::TimePoint now)
{
    m_dispatchers[dispatcher].heardAt = now;
}

NoReply DispatcherWatch::judge(ReplyWait &wait, core::TimePoint now) const
{
    if (now < wait.due) { // the wait was ended early
        return NoReply::SendAgain;
    }
    if (now - wait.due > m_settings.maxOwnDelay && !wait.isExtended) {
        wait.isExtended = true;
        wait.due = now + replyTimeout(wait.dispatcher);
        return NoReply::WaitAgain;
    }
    const auto found = m_dispatchers.find(wait.dispatcher);
    const bool isHeard = found != m_dispatchers.end() && found->second.heardAt >= wait.sentAt;
    wait.unanswered = isHeard ? 0 : wait.unanswered + 1;
    return wait.unanswered >= m_settings.maxUnansweredRequests ? NoReply::Unresponsive : NoReply::SendAgain;
}

void DispatcherWatch::skip(const core::InstanceId &dispatcher, core::TimePoint now)
{
    m_dispatchers[dispatcher].skippedUntil = now + m_settings.skipTime;
}

bool DispatcherWatch::isSkipped(const core::InstanceId &dispatcher, core::TimePoint now) const
{
    const auto found = m_dispatchers.find(dispatcher);
    return found != m_dispatchers.end() && now < found->second.skippedUntil;
}

} // namespace arbutus::routing
