// Time limit of one read, which may consist of several operations on the socket. Included by the sources of the server only.

#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>

namespace arbutus::http {

/// The timer of a read; outlives it while the timer is due.
struct ReadTimer : std::enable_shared_from_this<ReadTimer>
{
    explicit ReadTimer(boost::asio::ip::tcp::socket &theSocket)
        : socket(&theSocket)
        , timer(theSocket.get_executor())
    {
    }

    /// Ends the read after `limit`, and checks again after each further `limit` in case data had arrived.
    void start(std::chrono::milliseconds limit)
    {
        duration = limit;
        timer.expires_after(limit);
        waitForTimer();
    }

    /// Extends the current wait if `limit` is longer than the one it started with.
    void extend(std::chrono::milliseconds limit)
    {
        if (limit > duration) {
            timer.expires_at(timer.expiry() + (limit - duration));
            duration = limit;
            waitForTimer();
        }
    }

    void waitForTimer()
    {
        timer.async_wait([self = shared_from_this()](const boost::system::error_code &code) {
            const bool isDue = !code && self->timer.expiry() <= std::chrono::steady_clock::now(); // not extended in the same turn
            if (isDue && self->socket != nullptr) {
                self->expired = true;
                self->cancelUnlessReceiving();
                self->start(self->duration);
            }
        });
    }

    /// Ends the read unless data has arrived. cancel(), not close(): a read that has completed but whose coroutine has not
    /// resumed yet keeps its data.
    void cancelUnlessReceiving() const
    {
        boost::system::error_code code;
        if (socket->available(code) == 0) {
            socket->cancel(code);
        }
    }

    boost::asio::ip::tcp::socket *socket; // null once the read has ended
    boost::asio::steady_timer timer;
    std::chrono::milliseconds duration{0};
    bool expired = false;
};

/// Runs a ReadTimer for the lifetime of the object.
class ReadLimit
{
public:
    ReadLimit(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds limit)
        : m_timer(std::make_shared<ReadTimer>(socket))
    {
        m_timer->start(limit);
    }
    ReadLimit(const ReadLimit &) = delete;
    ReadLimit &operator=(const ReadLimit &) = delete;
    ~ReadLimit()
    {
        m_timer->socket = nullptr; // the timer may be due already
        m_timer->timer.cancel();
    }

    [[nodiscard]] const std::shared_ptr<ReadTimer> &timer() const
    {
        return m_timer;
    }

private:
    std::shared_ptr<ReadTimer> m_timer;
};

} // namespace arbutus::http
