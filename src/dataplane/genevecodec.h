#pragma once

#include "dataplane/types/packeterror.h"

#include <cstddef>
#include <span>

namespace clementinesill::dataplane {

struct GeneveMessage;

// Maximum size of the Geneve header with all options that the encoder writes.
constexpr std::size_t maximumGeneveHeaderBytes = 8 + 252;

// Decodes a datagram. The message's payload is a view of the datagram. Does not allocate.
PacketError decodeGeneve(std::span<const std::byte> datagram, GeneveMessage& message);

// Writes the header and options, without the payload, and returns their length in bytes. out must have room for
// maximumGeneveHeaderBytes. Entries at the end of visited and candidates that do not fit are left out.
std::size_t encodeGeneveHeader(const GeneveMessage& message, std::span<std::byte> out);

} // namespace clementinesill::dataplane
