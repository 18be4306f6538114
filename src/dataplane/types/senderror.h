#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace clementinesill::dataplane {

// Why the kernel did not take a datagram. Each is counted.
enum class SendError {
    // Larger than the path allows.
    TooLarge,
    // No route to the target.
    Unreachable,
    // The kernel's send buffer is full.
    NoBuffer,
    Other,
};
constexpr std::size_t sendErrors = 4;

using SendErrorCounts = std::array<std::uint32_t, sendErrors>;

// Kind of an errno value of a send.
SendError sendError(int code);

// Name of the error as it stands in metrics.
std::string_view name(SendError error);

} // namespace clementinesill::dataplane
