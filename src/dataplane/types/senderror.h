#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace clementinesill::dataplane {

// Why the kernel rejected a datagram. Each error has a counter.
enum class SendError {
    // The datagram exceeds the path MTU.
    TooLarge,
    // No route to the target.
    Unreachable,
    // The send buffer is full.
    NoBuffer,
    Other,
};
constexpr std::size_t sendErrorCount = 4;

using SendErrorCounts = std::array<std::uint32_t, sendErrorCount>;

// Maps the errno value of a failed send.
SendError classifySendError(int errorNumber);

// Value of the error label in metrics.
std::string_view name(SendError error);

} // namespace clementinesill::dataplane
