// Bound for the connections that clients hold open at all listeners of a process together.
//
//   const auto budget = std::make_shared<ConnectionBudget>(ConnectionBudget::shareOf(descriptorLimit));
//   ConnectionPlace place(budget, [&] { socket.close(); });
//   if (!place.isGranted()) { /* no connection can give way: close the new one */ }
//   place.setState(ConnectionState::Busy);
//
// Q: Who gives way if all places are taken?
// A: The connection in the state that costs its client the least, and of these the one that is in that state for the longest: first one
//    that has never brought a whole head, then one that waits for its next request, then one whose body has not arrived, and last one
//    that is being closed after a response. A request that is being handled keeps its connection.
//
// Q: Why is it a share of the descriptors?
// A: The connections to upstreams, to other instances and to the store need the rest: a process that can accept but not pass on refuses
//    all it accepts.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace arbutus::limits {

/// What a connection is used for, in the order in which connections give way.
enum class ConnectionState {
    New,         // no whole head has been received on it
    Idle,        // between two requests
    ReadingBody, // nothing of the request has been sent on
    Closing,     // after the last response
    Busy,        // its request is being handled; does not give way
};

class ConnectionPlace;

/// Counts the places of all connections. Not thread-safe.
class ConnectionBudget
{
public:
    explicit ConnectionBudget(std::size_t maxConnections);

    /// Two thirds of the descriptors that the process may open.
    [[nodiscard]] static std::size_t shareOf(std::size_t maxDescriptors);
    [[nodiscard]] std::size_t usedPlaces() const
    {
        return m_usedPlaces;
    }
    /// Number of connections that have given way so far.
    [[nodiscard]] std::size_t evictedCount() const
    {
        return m_evictedCount;
    }

private:
    friend class ConnectionPlace;

    static constexpr std::size_t YieldingStates = static_cast<std::size_t>(ConnectionState::Busy);
    using Order = std::map<std::uint64_t, ConnectionPlace *>; // by the begin of the state

    [[nodiscard]] bool makeRoom();

    std::size_t m_maxConnections;
    std::size_t m_usedPlaces = 0;
    std::size_t m_evictedCount = 0;
    std::uint64_t m_nextNumber = 0;
    std::array<Order, YieldingStates> m_yielding;
};

/// The place of one connection; returned at its end.
class ConnectionPlace
{
public:
    /// `onEvicted` is called when the connection must give way; it must not end any place.
    explicit ConnectionPlace(std::shared_ptr<ConnectionBudget> budget, std::function<void()> onEvicted = {});
    ConnectionPlace(const ConnectionPlace &) = delete;
    ConnectionPlace &operator=(const ConnectionPlace &) = delete;
    ~ConnectionPlace();

    [[nodiscard]] bool isGranted() const
    {
        return m_isGranted;
    }
    /// Whether the connection had to give way; it holds no place any more.
    [[nodiscard]] bool isEvicted() const
    {
        return m_isEvicted;
    }
    void setState(ConnectionState state);
    void setEvictedCallback(std::function<void()> onEvicted)
    {
        m_onEvicted = std::move(onEvicted);
    }

private:
    friend class ConnectionBudget;

    void leaveOrder();

    std::shared_ptr<ConnectionBudget> m_budget;
    std::function<void()> m_onEvicted;
    ConnectionState m_state = ConnectionState::Busy;
    std::uint64_t m_number = 0;
    bool m_isGranted = false;
    bool m_isEvicted = false;
};

} // namespace arbutus::limits
