// Bound for the memory that the bodies of requests and responses, and what connections hold of unfinished parts of messages, may take
// together.
//
//   const auto budget = std::make_shared<ByteBudget>(ByteBudgetSettings{});
//   ByteHold hold(budget, HolderKind::Response, upstream, [&] { call.cancel(); });
//   if (!hold.resize(bytesReceived)) { /* over the budget: give the body up */ }
//
// Q: Who gives way if the budget is used up?
// A: The largest response, and of those of one upstream that uses more than its share the largest of these. A faulty upstream that sends
//    without end holds the largest ones, so requests to sound upstreams go on. The body of a request is refused before it is read, since
//    nothing is lost with it, and never makes a response give way.
//
//    A body that is complete is kept: its response is on its way to the client.
//
// Q: Why do requests have a share of their own?
// A: Clients with large bodies that arrive slowly would otherwise leave no room for responses.
//
// Q: What keeps large bodies from shutting out requests with small ones?
// A: The body of a request gets at most half of what is free, so there is always room for a smaller one. Responses leave a reserve for requests.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>

namespace arbutus::limits {

struct ByteBudgetSettings
{
    static constexpr std::size_t DefaultBytes = std::size_t(64) * 1024 * 1024;

    std::size_t maxBytes = DefaultBytes;                // of all bodies
    std::size_t maxRequestBytes = DefaultBytes / 2;     // of those of requests; a single one may be larger, see allowSingleRequest()
    std::size_t requestReserve = DefaultBytes / 16;     // that responses leave free for requests
    std::size_t maxBytesPerUpstream = DefaultBytes / 4; // of those of the responses of one upstream

    [[nodiscard]] static ByteBudgetSettings of(std::size_t bytes)
    {
        return {bytes, bytes / 2, bytes / 16, bytes / 4};
    }
};

enum class HolderKind { Request, Response };

class ByteHold;

/// Counts the bytes of all holds. Not thread-safe.
class ByteBudget
{
public:
    explicit ByteBudget(ByteBudgetSettings settings = {});

    /// Sets the largest request that is granted if it is the only one, though it is larger than the share of requests.
    void allowSingleRequest(std::size_t bytes)
    {
        m_singleRequestBytes = bytes;
    }
    [[nodiscard]] std::size_t usedBytes() const
    {
        return m_usedBytes;
    }
    /// Highest value of usedBytes() so far.
    [[nodiscard]] std::size_t peakBytes() const
    {
        return m_peakBytes;
    }

private:
    friend class ByteHold;

    [[nodiscard]] bool isRequestGranted(const ByteHold &hold, std::size_t bytes) const;
    [[nodiscard]] bool makeRoom(ByteHold &hold, std::size_t bytes);
    /// The largest response, of `upstream` unless that is null; null if `hold` with `bytes` would be at least as large.
    [[nodiscard]] ByteHold *largestBeside(const ByteHold &hold, std::size_t bytes, const std::string *upstream) const;
    void change(ByteHold &hold, std::size_t bytes);

    ByteBudgetSettings m_settings;
    std::size_t m_singleRequestBytes = std::numeric_limits<std::size_t>::max();
    std::map<std::uint64_t, ByteHold *> m_holds; // in the order of their creation
    std::uint64_t m_nextHold = 0;
    std::map<std::string, std::size_t> m_responseBytes; // by upstream
    std::size_t m_usedBytes = 0;
    std::size_t m_requestBytes = 0;
    std::size_t m_peakBytes = 0;
};

/// The bytes of one body; returns them at its end.
class ByteHold
{
public:
    /// `onEvicted` is called when the body must give way to others; it must not resize or end any hold.
    ByteHold(std::shared_ptr<ByteBudget> budget, HolderKind kind, std::string upstream, std::function<void()> onEvicted = {});
    ByteHold(const ByteHold &) = delete;
    ByteHold &operator=(const ByteHold &) = delete;
    ~ByteHold();

    /// Sets the number of bytes that the body takes; returns false, and holds nothing, if they are not granted.
    [[nodiscard]] bool resize(std::size_t bytes);
    /// The body is complete and does not give way any more.
    void keep()
    {
        m_isKept = true;
    }
    /// Whether a resize failed, or the body had to give way.
    [[nodiscard]] bool isDenied() const
    {
        return m_isDenied;
    }

private:
    friend class ByteBudget;

    std::shared_ptr<ByteBudget> m_budget; // a request that is abandoned at the end of the process may outlive its owner
    HolderKind m_kind;
    std::string m_upstream;
    std::function<void()> m_onEvicted;
    std::uint64_t m_id;
    std::size_t m_bytes = 0;
    bool m_isDenied = false;
    bool m_isKept = false;
};

} // namespace arbutus::limits
