#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace clementinesill::control {

// A checksummed piece of a file: magic number, length, XXH3 of the payload, payload.
std::string encodeFrame(std::string_view payload);

struct DecodedFrame {
    std::string_view payload;
    // Bytes of the file the frame takes.
    std::size_t size = 0;
};

// The frame at the start of the bytes; empty optional if there is no whole, sound one.
std::optional<DecodedFrame> decodeFrame(std::string_view bytes);

// Whether a whole, sound frame starts anywhere after the first byte.
bool holdsLaterFrame(std::string_view bytes);

} // namespace clementinesill::control
