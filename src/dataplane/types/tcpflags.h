#pragma once

#include <cstdint>

namespace clementinesill::dataplane {

// Bits of the TCP header's flags byte.
struct TcpFlags {
    static constexpr std::uint8_t fin = 0x01;
    static constexpr std::uint8_t syn = 0x02;
    static constexpr std::uint8_t rst = 0x04;
    static constexpr std::uint8_t ack = 0x10;
};

} // namespace clementinesill::dataplane
