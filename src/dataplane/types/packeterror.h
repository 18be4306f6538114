#pragma once

#include <cstddef>
#include <string_view>

namespace clementinesill::dataplane {

// Why a datagram or packet was rejected by the decoder or parser. Each error has a counter.
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
constexpr std::size_t packetErrorCount = 12;

// Value of the error label in metrics.
std::string_view name(PacketError error);

} // namespace clementinesill::dataplane
