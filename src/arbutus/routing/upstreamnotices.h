// What upstreams say about themselves in their responses, as opposed to what they announce in the metadata store.
//
// Each instance has its own object. It records the responses that it receives and merges the notices of other instances; the
// newest one of a run of an upstream applies. A limit ends with a response that no longer has it, and with that run; an upstream that
// is leaving is so until its run ends.
//
// No sockets or clock: the caller passes in responses and the current time.
//
// Q: When does a response without a limit end the limit?
// A: If its request was sent after the last response that named one had arrived. Others may have been written before.

#pragma once

#include "arbutus/routing/upstreamregistry.h"

namespace arbutus::routing {

/// The newest notice of one run of an upstream.
struct UpstreamNotice
{
    core::UpstreamId upstream;
    StartTime startTime;                  // identifies the run
    std::optional<double> maxRequestRate; // requests per second that it takes from all instances together; empty: no limit
    core::TimePoint at{};                 // arrival of the response; if the limit has ended, sending of that response's request
    bool isLeaving = false;               // will soon stop accepting requests
};

class UpstreamNotices
{
public:
    /// Records a response; returns whether the limit has changed.
    bool recordResponse(
        const core::UpstreamId &upstream, StartTime startTime, std::optional<double> maxRequestRate, core::TimePoint requestSentAt, core::TimePoint now);
    /// Records a response that says that the upstream is leaving; returns whether that is new.
    bool recordLeaving(const core::UpstreamId &upstream, StartTime startTime, core::TimePoint now);
    /// Takes a notice of another instance; returns whether anything has changed.
    bool merge(const UpstreamNotice &notice);
    /// Drops the notices of runs that have ended and returns their upstreams.
    std::vector<core::UpstreamId> eraseEnded(const UpstreamRegistry &registry);
    [[nodiscard]] const std::map<core::UpstreamId, UpstreamNotice> &entries() const
    {
        return m_entries;
    }
    [[nodiscard]] std::optional<double> maxRequestRate(const core::UpstreamId &upstream) const;

private:
    std::map<core::UpstreamId, UpstreamNotice> m_entries;
};

} // namespace arbutus::routing
