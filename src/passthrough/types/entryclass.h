#pragma once

#include <cstddef>
#include <string_view>

namespace clementinesill::passthrough {

// Class of a datagram that a balancer sends, from the first to go to the last.
enum class EntryClass {
    OpenFlow,
    Reset,
    Opening,
    RetransmittedOpening,
};
constexpr std::size_t entryClassCount = 4;

std::string_view name(EntryClass entryClass);

} // namespace clementinesill::passthrough
