// What upstreams say about themselves in their responses, as opposed to what they announce in the metadata store.
//
// Each instance has its own object. It records the responses that it receives and merges the notices of other instances.
//
// Sections:
//   UpstreamNotice   the form in which instances exchange what they know
//   UpstreamLeaving  an upstream that said that it is leaving
//   UpstreamNotices  the state
//
// Limits: the newest one of a run of an upstream applies. It ends with a response that no longer has it, and with that run.
//
// Leavings: a response does not state its run, so a leaving applies to all runs that may have given the response. The run that was known
// when the request was sent (and any earlier one) is leaving or over, and is never used again. A later one, which was started unseen,
// may also have given it; it is used once the store lists it as ready in data from `announcementTime` after the response, because an
// upstream that is leaving announces that. Leavings do not depend on an entry of the registry, and outlive it.
//
// No sockets or clock: the caller passes in responses and the current time.
//
// Q: When does a response without a limit end the limit?
// A: If its request was sent after the last response that named one had arrived. Others may have been written before.

#pragma once

#include "arbutus/routing/upstreamregistry.h"

namespace arbutus::routing {

//-----------------------------------------------------------------------------
// UpstreamNotice
//-----------------------------------------------------------------------------

/// What is known of one run of an upstream.
struct UpstreamNotice
{
    core::UpstreamId upstream;
    StartTime startTime;                  // identifies the run
    std::optional<double> maxRequestRate; // requests per second that it takes from all instances together; empty: no limit
    core::TimePoint at{};                 // arrival of the response; if the limit has ended, sending of that response's request
    bool isLeaving = false;               // will soon stop accepting requests
};

//-----------------------------------------------------------------------------
// UpstreamLeaving
//-----------------------------------------------------------------------------

struct UpstreamLeaving
{
    std::optional<StartTime> lastRun; // the last run that is leaving or over; empty: none was known when the request was sent
    core::TimePoint at{};             // arrival of the newest response that says so
    bool mayBeLaterRun = false;       // a later run may have given the response
};

/// The end of what was known of a leaving, for the log.
struct EndedLeaving
{
    core::UpstreamId upstream;
    enum class Reason {
        ListedAsReady, // it holds for no run later than `lastRun`
        Forgotten,     // the upstream has not been listed for `retention`
    } reason = Reason::Forgotten;
};

[[nodiscard]] std::string_view toString(EndedLeaving::Reason reason);

struct UpstreamNoticesSettings
{
    core::Duration announcementTime = std::chrono::seconds(5); // an upstream that is leaving has announced it, or its entry has expired
    core::Duration reportTime = std::chrono::seconds(30);      // leavings of upstreams that are not listed are reported this long
    core::Duration retention = std::chrono::minutes(10);       // leavings of upstreams that are not listed are remembered this long
};

//-----------------------------------------------------------------------------
// UpstreamNotices
//-----------------------------------------------------------------------------

class UpstreamNotices
{
public:
    explicit UpstreamNotices(UpstreamNoticesSettings settings = {});

    //--- Limits
    /// Records a response; returns whether the limit has changed.
    bool recordResponse(
        const core::UpstreamId &upstream, StartTime startTime, std::optional<double> maxRequestRate, core::TimePoint requestSentAt, core::TimePoint now);
    /// Takes the limit in a notice of another instance; returns whether it has changed.
    bool merge(const UpstreamNotice &notice);
    /// Drops the limits of runs that have ended and returns their upstreams.
    std::vector<core::UpstreamId> eraseEnded(const UpstreamRegistry &registry);
    /// Limits by upstream.
    [[nodiscard]] const std::map<core::UpstreamId, UpstreamNotice> &entries() const
    {
        return m_entries;
    }
    [[nodiscard]] std::optional<double> maxRequestRate(const core::UpstreamId &upstream) const;

    //--- Leavings
    /// Records a response that says that its upstream is leaving. `knownRun` is the run that was known when the request was sent. Returns
    /// whether that is new.
    bool recordLeaving(const core::UpstreamId &upstream, std::optional<StartTime> knownRun, core::TimePoint now);
    /// Takes the leaving in a notice of another instance; returns whether it is new.
    bool mergeLeaving(const UpstreamNotice &notice);
    /// Whether this run of the upstream must get no requests; empty: its run is not known.
    [[nodiscard]] bool isLeaving(const core::UpstreamId &upstream, std::optional<StartTime> run) const;
    /// Ends what no longer holds. `confirmedAt` is the time for which the registry is known to match the store.
    std::vector<EndedLeaving> expireLeavings(const UpstreamRegistry &registry, core::TimePoint confirmedAt, core::TimePoint now);
    [[nodiscard]] const std::map<core::UpstreamId, UpstreamLeaving> &leavings() const
    {
        return m_leavings;
    }
    /// Upstreams that a dispatcher may still choose, because it may not know of their leaving.
    [[nodiscard]] std::set<core::UpstreamId> withheld(const UpstreamRegistry &registry, core::TimePoint now) const;

    /// What other instances should know.
    [[nodiscard]] std::vector<UpstreamNotice> notices(const UpstreamRegistry &registry, core::TimePoint now) const;

private:
    bool addLeaving(const core::UpstreamId &upstream, const UpstreamLeaving &leaving);

    UpstreamNoticesSettings m_settings;
    std::map<core::UpstreamId, UpstreamNotice> m_entries;
    std::map<core::UpstreamId, UpstreamLeaving> m_leavings;
};

} // namespace arbutus::routing
