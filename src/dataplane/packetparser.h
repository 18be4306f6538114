#pragma once

#include "dataplane/types/packeterror.h"

#include <cstddef>
#include <span>

namespace clementinesill::dataplane {

struct PacketView;

// Reads the headers of an IPv4 packet that carries TCP or UDP. Does not allocate; checksums are left to the endpoint.
// Fragments are refused: only the first one names its ports.
PacketError parsePacket(std::span<const std::byte> bytes, PacketView& packet);

} // namespace clementinesill::dataplane
