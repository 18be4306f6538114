#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace clementinesill::control {

// Frame of a file, protected by a checksum: magic number, length, XXH3 of the payload, payload.
std::string encodeFrame(std::string_view payload);

struct DecodedFrame {
    std::string_view payload;
    // Size of the whole frame in the file, in bytes.
    std::size_t size = 0;
};

// Decodes the frame at the start of the bytes; empty optional if it is incomplete or its checksum does not match.
std::optional<DecodedFrame> decodeFrame(std::string_view bytes);

// Whether a complete frame with a matching checksum starts anywhere after the first byte.
bool containsLaterFrame(std::string_view bytes);

} // namespace clementinesill::control
