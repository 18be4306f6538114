#pragma once

#include <cstddef>
#include <string_view>

namespace clementinesill::dataplane {

// Why a datagram or packet was not read. Each is counted.
enum class PacketError {
    None,
    TooShort,
    NotGeneve,
    BadGeneveVersion,
    BadOptionLength,
    UnknownCriticalOption,
    NotIpv4,
    BadIpHeader,
    Fragment,
    UnknownProtocol,
    BadTransportHeader,
    // The datagram is larger than the receive buffer.
    Truncated,
};
constexpr std::size_t packetErrors = 12;

// Name of the error as it stands in metrics.
std::string_view name(PacketError error);

} // namespace clementinesill::dataplane
