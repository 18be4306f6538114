#pragma once

#include "dataplane/types/packeterror.h"

#include <cstddef>
#include <span>

namespace clementinesill::dataplane {

struct GeneveMessage;

// Bytes that the Geneve header and every option of ours take at most.
constexpr std::size_t maximumGeneveHeaderBytes = 8 + 252;

// Reads a datagram; the message's payload views it. Does not allocate.
PacketError decodeGeneve(std::span<const std::byte> datagram, GeneveMessage& message);

// Writes header and options, without the payload, and returns their length in bytes. out must hold
// maximumGeneveHeaderBytes; options that do not fit beside the route are cut from the end of visited and candidates.
std::size_t encodeGeneveHeader(const GeneveMessage& message, std::span<std::byte> out);

} // namespace clementinesill::dataplane
