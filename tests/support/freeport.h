// Ports for servers of tests, which run in several processes at the same time.

#pragma once

#include <cstdint>

namespace arbutus::tests {

/// Returns a port of 127.0.0.1 that is free for TCP and UDP, and that no other test process takes meanwhile. It is outside the ephemeral
/// range, because the kernel could assign an ephemeral port to a connection before the test binds it.
[[nodiscard]] std::uint16_t freePort();

} // namespace arbutus::tests
