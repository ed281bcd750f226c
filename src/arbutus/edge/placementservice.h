// Places for requests: asks the dispatcher of the region, which may be this instance.
//
// An ask goes to the first member of the region's duty order by datagram and is repeated while it waits, so a lost datagram
// or a new holder needs no protocol of its own. A holder that does not answer is passed over for a while; when none answers,
// this instance decides alone with what it knows of its own work.
//
// Q: How does a dispatcher learn what runs where?
// A: Every instance sends it what it holds, a few times a second, and each start and end at once.

#pragma once

#include "arbutus/edge/fleet.h"
#include "arbutus/edge/metadatacache.h"

#include <memory>

namespace arbutus::edge {

struct PlacementServiceSettings
{
    std::chrono::milliseconds replyTimeout{40};    // of the first answer to an ask
    std::chrono::milliseconds resendInterval{300}; // of an ask that waits; an ask is up to 1 kB, and hundreds may wait
    int maxUnansweredRequests = 2;                 // unanswered, until a holder is passed over
    std::chrono::milliseconds unresponsiveSkipTime{700};
    std::chrono::milliseconds dispatchInterval{20};         // of the own dispatcher while anything waits there
    std::chrono::milliseconds placementReportInterval{300}; // of all that is held
    std::chrono::milliseconds regionStateInterval{250};     // of the region's state to other instances
    core::Duration logInterval = std::chrono::seconds(1);   // of the dispatcher's state
    std::size_t maxInFlightPerDatagram = 30;
    std::size_t notifiedDispatchersPerRegion = 2; // of each region; the second takes over without a gap
};

/// A caller that left; whoever waits for a place for it stops.
struct CancellationToken
{
    bool cancelled = false;
    std::function<void()> onCancel; // set by whoever waits
    void cancel()
    {
        cancelled = true;
        if (const auto call = std::exchange(onCancel, nullptr)) {
            call();
        }
    }
};

class PlacementService
{
public:
    PlacementService(InstanceContext &context, Fleet &fleet, MetadataCache &beliefs, PlacementServiceSettings settings = {});

    void start();
    /// A place, another region or a refusal; a token that is cancelled ends the wait with a refusal.
    boost::asio::awaitable<routing::PlacementDecision> place(routing::PlacementRequest &ask, std::shared_ptr<CancellationToken> token);
    void recordFirstEvent(const routing::PlacementId &id);
    void recordCompletion(const routing::PlacementId &id, routing::SendOutcome ending);
    /// A datagram of dispatch or region state.
    void handleMessage(const FleetMessage &message, const std::string &from);
    /// Beliefs have changed: tells the others, and places what waits.
    void onMetadataChanged();
    [[nodiscard]] const routing::Dispatcher &dispatcher() const
    {
        return m_dispatcher;
    }

private:
    struct PendingPlacement
    {
        explicit PendingPlacement(const boost::asio::any_io_executor &executor)
            : timer(executor)
        {
        }
        std::optional<routing::PlacementDecision> decision;
        core::InstanceId requestedFrom; // the holder that has the ask
        boost::asio::steady_timer timer;
    };
    struct InFlightPlacement
    {
        core::UpstreamId upstream;
        core::TimePoint sentAt{};
        std::optional<core::Duration> timeToFirstEvent;
        std::uint32_t memoryTokens = 0;
    };

    boost::asio::awaitable<void> dispatchLoop();
    boost::asio::awaitable<void> reportLoop();
    boost::asio::awaitable<void> stateLoop();
    boost::asio::awaitable<void> waitForDecision(PendingPlacement &waiter, std::chrono::milliseconds most);

    /// The member that holds the dispatch duty; nothing if it is this instance or nobody answers.
    [[nodiscard]] std::optional<membership::Member> remoteDispatcher();
    [[nodiscard]] bool isSkipped(const core::InstanceId &id) const;
    /// Nobody asks it for a while; what waits there asks the next one at once.
    void skipUnresponsive(const core::InstanceId &id);
    void recordGrant(const routing::PlacementRequest &ask, const routing::Granted &granted);
    void scheduleReport();
    void sendReport(const PlacementReport &report);
    void deliverDecisions(std::vector<routing::DeferredDecision> settled);
    void sendRegionState();
    void updateDispatcherRole();
    void logDispatchState();
    [[nodiscard]] RegionState buildRegionState();

    void handlePlacementRequest(const routing::PlacementRequest &ask, const std::string &from);
    void handlePlacementReplies(const std::vector<PlacementReply> &verdicts);
    void handlePlacementReport(const PlacementReport &report, const core::InstanceId &sender);
    void handleRegionState(const RegionState &state, const core::InstanceId &sender);

    InstanceContext &m_context;
    Fleet &m_fleet;
    MetadataCache &m_beliefs;
    PlacementServiceSettings m_settings;
    routing::Dispatcher m_dispatcher;
    std::map<routing::PlacementId, std::shared_ptr<PendingPlacement>> m_pending;
    std::map<routing::PlacementId, InFlightPlacement> m_inFlight;
    std::set<routing::PlacementId> m_unreportedFirstEvents;
    std::vector<CompletedPlacement> m_unreportedCompletions;
    bool m_reportScheduled = false;
    bool m_isDispatcher = false; // the dispatch duty
    core::TimePoint m_loggedAt{};
    std::map<core::InstanceId, core::TimePoint> m_skippedUntil;                                                           // until
    std::map<core::InstanceId, std::string> m_requesterAddresses;                                                         // of those that asked
    std::map<std::pair<core::RegionId, core::ServiceId>, std::pair<routing::ServiceLoad, core::TimePoint>> m_remoteLoads; // of other regions

public:
    /// Called when a peer knows newer beliefs.
    std::function<void(const core::InstanceId &peer)> onNewerMetadata;
    /// Called for an upstream that a peer saw leaving.
    std::function<void(const core::UpstreamId &upstream)> onUpstreamLeaving;
};

} // namespace arbutus::edge
