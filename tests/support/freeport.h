// Ports for the listeners of a test.
//
// They are outside the ephemeral range, so the kernel does not assign them to connections, and no other test process uses them at the same
// time.

#pragma once

#include <cstdint>

namespace arbutus::tests {

/// Returns a port of the loopback address that is free for TCP and UDP.
[[nodiscard]] std::uint16_t freePort();

} // namespace arbutus::tests
