// Log lines and pauses after exceptions.

#include "arbutus/edge/background.h"
#include "arbutus/core/asyncsleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace arbutus::edge {

namespace asio = boost::asio;

namespace {

constexpr auto RestartDelay = std::chrono::milliseconds(100); // so that a loop that fails at once does not use up the processor

void recordException(InstanceContext &context, std::string_view name, const std::exception &error)
{
    context.metrics.incrementCounter("arbutus_unexpected_errors_total", "in=\"" + std::string(name) + "\"");
    context.writeLog(observe::LogLine("unexpected_error").add("in", name).add("reason", error.what()));
}

asio::awaitable<void> runLoop(InstanceContext &context, std::string name, std::function<asio::awaitable<void>()> loop)
{
    while (true) {
        try {
            co_await loop();
            co_return;
        } catch (const std::exception &error) {
            recordException(context, name, error);
        }
        co_await core::asyncSleep(RestartDelay);
    }
}

} // namespace

void spawnLoop(InstanceContext &context, std::string name, std::function<asio::awaitable<void>()> loop)
{
    asio::co_spawn(context.executor, runLoop(context, std::move(name), std::move(loop)), asio::detached);
}

void runEventLoop(InstanceContext &context, asio::io_context &loop)
{
    while (!loop.stopped()) {
        guard(context, "event_loop", [&loop] { loop.run(); });
    }
}

void guard(InstanceContext &context, std::string_view name, const std::function<void()> &handle)
{
    try {
        handle();
    } catch (const std::exception &error) {
        recordException(context, name, error);
    }
}

} // namespace arbutus::edge
