// Places for requests: asks the dispatcher of the region, which may be this instance.
//
// An ask goes to the first member of the region's duty order by datagram and is repeated while it waits, so a lost datagram
// or a new holder needs no protocol of its own. A holder that does not answer is passed over for a while; when none answers,
// this instance decides alone with what it knows of its own work.
//
// Q: How does a dispatcher learn what runs where?
// A: Every instance sends it what it holds, a few times a second, and each start and end at once.

#pragma once

#include "arbutus/edge/beliefs.h"
#include "arbutus/edge/fleet.h"

#include <memory>

namespace arbutus::edge {

struct PlacementSettings
{
    std::chrono::milliseconds answerTimeout{40}; // of the first answer to an ask
    std::chrono::milliseconds repeatPeriod{300}; // of an ask that waits; an ask is up to 1 kB, and hundreds may wait
    int silentAsks = 2;                          // unanswered, until a holder is passed over
    std::chrono::milliseconds passOver{700};
    std::chrono::milliseconds settlePeriod{20};         // of the own dispatcher while anything waits there
    std::chrono::milliseconds reportPeriod{300};        // of all that is held
    std::chrono::milliseconds statePeriod{250};         // of the region's state to other instances
    core::Duration logPeriod = std::chrono::seconds(1); // of the dispatcher's state
    std::size_t holdingsPerDatagram = 30;
    std::size_t dutyHoldersTold = 2; // of each region; the second takes over without a gap
};

/// A caller that left; whoever waits for a place for it stops.
struct CancelToken
{
    bool cancelled = false;
    std::function<void()> wake; // set by whoever waits
    void cancel()
    {
        cancelled = true;
        if (const auto call = std::exchange(wake, nullptr)) {
            call();
        }
    }
};

class Placement
{
public:
    Placement(Context &context, Fleet &fleet, Beliefs &beliefs, PlacementSettings settings = {});

    void start();
    /// A place, another region or a refusal; a token that is cancelled ends the wait with a refusal.
    boost::asio::awaitable<routing::Verdict> place(routing::Ask &ask, std::shared_ptr<CancelToken> token);
    void started(const routing::WorkId &id);
    void ended(const routing::WorkId &id, routing::WorkEnding ending);
    /// A datagram of dispatch or region state.
    void receive(const FleetMessage &message, const std::string &from);
    /// Beliefs have changed: tells the others, and places what waits.
    void beliefsChanged();
    [[nodiscard]] const routing::Dispatcher &dispatcher() const
    {
        return m_dispatcher;
    }

private:
    struct Waiter
    {
        explicit Waiter(const boost::asio::any_io_executor &executor)
            : timer(executor)
        {
        }
        std::optional<routing::Verdict> verdict;
        core::InstanceId askedOf; // the holder that has the ask
        boost::asio::steady_timer timer;
    };
    struct Held
    {
        core::UpstreamId upstream;
        core::TimePoint since{};
        std::optional<core::Duration> firstEventAfter;
        std::uint32_t memoryTokens = 0;
    };

    boost::asio::awaitable<void> settleLoop();
    boost::asio::awaitable<void> reportLoop();
    boost::asio::awaitable<void> stateLoop();
    boost::asio::awaitable<void> waitFor(Waiter &waiter, std::chrono::milliseconds most);

    /// The member that holds the dispatch duty; nothing if it is this instance or nobody answers.
    [[nodiscard]] std::optional<membership::Member> holder();
    [[nodiscard]] bool passedOver(const core::InstanceId &id) const;
    /// Nobody asks it for a while; what waits there asks the next one at once.
    void passOver(const core::InstanceId &id);
    void hand(const routing::Ask &ask, const routing::Granted &granted);
    void flushWork();
    void sendWork(const WorkReport &report);
    void deliver(std::vector<routing::Settled> settled);
    void sendState();
    void updateDuty();
    void logDispatch();
    [[nodiscard]] RegionState regionState();

    void receiveAsk(const routing::Ask &ask, const std::string &from);
    void receiveVerdicts(const std::vector<VerdictMessage> &verdicts);
    void receiveWork(const WorkReport &report, const core::InstanceId &sender);
    void receiveState(const RegionState &state, const core::InstanceId &sender);

    Context &m_context;
    Fleet &m_fleet;
    Beliefs &m_beliefs;
    PlacementSettings m_settings;
    routing::Dispatcher m_dispatcher;
    std::map<routing::WorkId, std::shared_ptr<Waiter>> m_waiters;
    std::map<routing::WorkId, Held> m_held;
    std::set<routing::WorkId> m_newlyStarted;
    std::vector<WorkEnded> m_newlyEnded;
    bool m_flushing = false;
    bool m_holds = false; // the dispatch duty
    core::TimePoint m_loggedAt{};
    std::map<core::InstanceId, core::TimePoint> m_passedOver;                                                      // until
    std::map<core::InstanceId, std::string> m_addresses;                                                           // of those that asked
    std::map<std::pair<core::RegionId, core::ServiceId>, std::pair<routing::Outlook, core::TimePoint>> m_outlooks; // of other regions

public:
    /// Called when a peer knows newer beliefs.
    std::function<void(const core::InstanceId &peer)> onNewerBeliefs;
    /// Called for an upstream that a peer saw leaving.
    std::function<void(const core::UpstreamId &upstream)> onLeaving;
};

} // namespace arbutus::edge
