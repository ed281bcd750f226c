// Rests that upstreams asked of this instance: times in which it sends them nothing.
//
// A rest holds between one instance and one run of an upstream. Other instances that were not turned away may send to the upstream, but
// a resting instance hands it no request through them: the load would come back by another way.
//
// No sockets or clock: the caller passes in responses and the current time.

#pragma once

#include "arbutus/routing/upstreamregistry.h"

namespace arbutus::routing {

class UpstreamRests
{
public:
    /// The run of the upstream asked for a rest; the one that ends last applies. Without a start time it is the run that is listed next, or
    /// now: an upstream may be known to the dispatcher and not to this instance.
    void record(const core::UpstreamId &upstream, std::optional<StartTime> startTime, core::Duration rest, core::TimePoint now);
    /// Time until the upstream may get requests again; zero if it may now, or has started again.
    [[nodiscard]] core::Duration remaining(const core::UpstreamId &upstream, const UpstreamRegistry &registry, core::TimePoint now) const;
    /// Forgets the rests that are over.
    void eraseEnded(const UpstreamRegistry &registry, core::TimePoint now);

    struct Rest
    {
        std::optional<StartTime> startTime; // identifies the run; empty: not known
        core::TimePoint end{};
    };
    [[nodiscard]] const std::map<core::UpstreamId, Rest> &entries() const
    {
        return m_entries;
    }

private:
    std::map<core::UpstreamId, Rest> m_entries;
};

} // namespace arbutus::routing
