// Loses datagrams between the instances of a rig.
//
// Instances of a rig share a process and an address. Their sockets tell them apart: a filter on each socket drops what comes from the
// ports of the instances that it is cut off from, and a share of all other datagrams. Connections are not affected.
//
//   setDatagramLoss(port, DatagramLoss{.cutSenders = {otherPort}, .share = 0.5});

#pragma once

#include <cstdint>
#include <set>

namespace arbutus::tests {

struct DatagramLoss
{
    std::set<std::uint16_t> cutSenders;
    double share = 0; // of the datagrams of the other senders
};

/// Replaces the losses of this process's socket for datagrams at a port.
void setDatagramLoss(std::uint16_t port, const DatagramLoss &loss);

} // namespace arbutus::tests
