#pragma once

#include "dataplane/types/packeterror.h"

#include <cstddef>
#include <span>

namespace clementinesill::dataplane {

struct PacketView;

// Parses the headers of an IPv4 packet that carries TCP or UDP. Does not allocate. Does not verify checksums; the flow's
// endpoints do. Fragments are rejected, since only the first fragment of a packet contains the ports.
PacketError parsePacket(std::span<const std::byte> bytes, PacketView& packet);

} // namespace clementinesill::dataplane
