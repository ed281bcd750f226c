// Keeps beliefs fresh: reads the metadata store, or fetches from a peer that knows more; registers this instance.
//
// Each call to the store costs, so one instance of the fleet watches it and the others hear of changes from it. Whoever's
// evidence gets older than a bound reads the store itself; the bounds are spread, so that after the watcher's death or a cut
// one more instance reads for each region, and all of them only when nothing else is heard.
//
// Q: What if the store is out?
// A: Beliefs stay as they are. Entries that lapse meanwhile are kept for a while after its return (routing::Roster).

#pragma once

#include "arbutus/edge/beliefs.h"
#include "arbutus/edge/fleet.h"

#include <pcg_random.hpp>

namespace arbutus::edge {

struct StoreDutySettings
{
    std::chrono::milliseconds watchWait{900};                             // of one watch call without changes
    std::chrono::milliseconds watchPause{300};                            // between calls; announcements change a few times a second
    std::chrono::milliseconds checkPeriod{50};                            // whether to read, while another instance does
    core::Duration secondReadsAfter = std::chrono::milliseconds(700);     // evidence age at which the next in the ranking reads too
    core::Duration regionReadsAfter = std::chrono::milliseconds(900);     // and the duty holder of a region
    core::Duration everyoneReadsAfter = std::chrono::milliseconds(1'200); // and any instance, plus a drawn part
    core::Duration everyoneSpread = std::chrono::milliseconds(500);
    std::chrono::milliseconds retryFirst{150}; // after a failed call; doubles
    std::chrono::milliseconds retryMost{1'000};
    core::Duration awayAfter = std::chrono::milliseconds(1'000); // without an answer, the store counts as having been away
    core::Duration awayLasts = std::chrono::milliseconds(2'000); // after its return, lapsed entries are given time
    std::chrono::milliseconds leaseTime{15'000};                 // of this instance's registration
    std::chrono::milliseconds leaseRenewal{5'000};
    std::chrono::milliseconds membersRead{15'000}; // other instances' registrations
    std::chrono::milliseconds fetchTimeout{700};   // of beliefs from a peer
};

class StoreDuty
{
public:
    using Changed = std::function<void(const BeliefChange &change)>;

    StoreDuty(Context &context, Fleet &fleet, Beliefs &beliefs, std::uint64_t seed, StoreDutySettings settings = {});

    void start(Changed changed);
    /// A peer knows newer beliefs.
    void fetchFrom(const core::InstanceId &peer);
    /// Ends the registration; planned stop.
    void leave();

private:
    boost::asio::awaitable<void> readLoop();
    boost::asio::awaitable<void> registerLoop();
    boost::asio::awaitable<void> membersLoop();
    boost::asio::awaitable<void> fetch(membership::Member peer);
    boost::asio::awaitable<bool> readOnce();
    boost::asio::awaitable<bool> readMembers(metadata::Freshness freshness);
    /// A registered instance; greeted if it is new.
    void addContact(const metadata::StoreItem &item);
    [[nodiscard]] core::Duration readsAfter();
    [[nodiscard]] bool storeWasAway(core::TimePoint now) const;
    void noteAnswer(bool answered, const std::string &what);
    void report(const BeliefChange &change, std::string_view source);
    [[nodiscard]] std::string registration() const;

    Context &m_context;
    Fleet &m_fleet;
    Beliefs &m_beliefs;
    StoreDutySettings m_settings;
    pcg32 m_random;
    Changed m_changed;
    bool m_rangeNeeded = true;      // nothing read yet, or the history is gone
    bool m_lost = false;            // the last call failed
    core::TimePoint m_answeredAt{}; // last answer of the store
    core::TimePoint m_backAt{};     // end of the last time that it was away
    bool m_everAway = false;
    bool m_fetching = false;
    metadata::LeaseId m_lease;
    bool m_leaving = false;
};

/// Answer of GET /beliefs on the peers' listener.
[[nodiscard]] http::Response beliefsAnswer(const Beliefs &beliefs, const http::Request &request, core::TimePoint now);

} // namespace arbutus::edge
