// Check of addresses that other processes state for themselves.

#pragma once

#include <string>

namespace arbutus::http {

/// Whether the text is "IP:PORT" of one machine and nothing else; host names, unspecified and multicast addresses are not.
[[nodiscard]] bool isMachineAddress(const std::string &text);

} // namespace arbutus::http
