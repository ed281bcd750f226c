// Places of refused requests, and the refusals of each session.
//
// Load that it answers: callers that are refused come back, some of them at once and often. Without a place, one that waits as it was told
// to finds newcomers before it, and is refused again and again.
//
//   places.hold(fingerprint, place, now);                      // with the refusal
//   std::optional<HeldPlace> place = places.take(fingerprint, now);   // when a request of that fingerprint comes
//
// A request that comes back keeps the time at which it was first requested, and with it its deadlines and its place among others.
//
// Q: What if the fingerprint is unknown, or several requests have the same?
// A: The first is treated as new. Of the others, the next to come takes the place; they are alike.
//
// Q: What keeps a session from being refused for ever, because its part of the prompt is cached nowhere?
// A: Its refusals since it was last served count, and raise the loss of the next one (see CostEntry::boost).
//
// No clock: the caller passes in the current time. Soft state: a new dispatcher starts without places.

#pragma once

#include "arbutus/core/clock.h"
#include "arbutus/routing/crashcause.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace arbutus::routing {

struct HeldPlacesSettings
{
    std::size_t maxPlaces = 10'000;                      // about 100 bytes each; the oldest ones are dropped
    core::Duration retention = std::chrono::seconds(10); // after the refusal
    std::size_t maxSessions = 10'000;                    // about 60 bytes each; dropped when their number is exceeded
    double sessionBoost = 0.5;                           // added to the factor on the losses for each refusal of the session
    double maxSessionBoost = 8;                          // upper bound of the factor
};

/// Place of a refused request.
struct HeldPlace
{
    core::TimePoint requestedAt{};     // for the first time
    core::TimePoint latencyDeadline{}; // as of then
    std::uint32_t refusals = 1;
};

class HeldPlaces
{
public:
    explicit HeldPlaces(HeldPlacesSettings settings = {});

    void hold(const RequestFingerprint &fingerprint, HeldPlace place, core::TimePoint now);
    /// Place of a request that has come back; it is held no longer.
    [[nodiscard]] std::optional<HeldPlace> take(const RequestFingerprint &fingerprint, core::TimePoint now);
    [[nodiscard]] std::size_t size() const
    {
        return m_places.size();
    }

    //--- Sessions
    /// `session`: hash of the last shared part of the prompt; 0: none.
    void recordRefusal(std::uint64_t session);
    void recordServed(std::uint64_t session);
    /// Factor on the losses of a request of the session, from 1.
    [[nodiscard]] double sessionBoost(std::uint64_t session) const;

private:
    struct Row
    {
        HeldPlace place;
        core::TimePoint heldAt{};
    };
    void expire(core::TimePoint now);

    HeldPlacesSettings m_settings;
    std::unordered_map<RequestFingerprint, Row> m_places;
    std::deque<std::pair<core::TimePoint, RequestFingerprint>> m_byAge; // may name places that are no longer held
    std::unordered_map<std::uint64_t, std::uint32_t> m_refusals;        // by session, since it was last served
};

} // namespace arbutus::routing
