#pragma once

#include <cstddef>
#include <vector>

namespace clementinesill::dataplane {
struct PacketView;
}

namespace clementinesill::agent {

// Creates the TCP reset (RFC 9293, 3.10.7.1) in response to a packet of an unknown flow, as an IPv4 packet to the caller.
std::vector<std::byte> resetPacket(const dataplane::PacketView& packet);

} // namespace clementinesill::agent
