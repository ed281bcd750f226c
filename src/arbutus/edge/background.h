// Coroutines and event loops that outlive an unexpected exception.
//
// An exception that leaves a detached coroutine ends it without a word, and one that leaves a handler of the event loop ends the process. Here
// both are logged, and the work begins again.

#pragma once

#include "arbutus/edge/context.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace arbutus::edge {

/// Runs a coroutine that lasts as long as the instance. After an exception it begins again, after a pause; it ends when it returns.
void spawnLoop(InstanceContext &context, std::string name, std::function<boost::asio::awaitable<void>()> loop);

/// Runs the event loop until it is stopped, also if handlers throw.
void runEventLoop(InstanceContext &context, boost::asio::io_context &loop);

/// Calls `handle`; logs and counts an exception as the failure of one message or task.
void guard(InstanceContext &context, std::string_view name, const std::function<void()> &handle);

} // namespace arbutus::edge
