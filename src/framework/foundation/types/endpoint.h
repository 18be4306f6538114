#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace clementinesill {

// IPv4 address and port, both in host byte order.
struct Endpoint {
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;
};

// Parses "ADDRESS:PORT". Throws Error (InvalidArgument, or Unsupported for IPv6).
Endpoint parseEndpoint(std::string_view text);

// Parses a dotted IPv4 address; the result is in host byte order. Throws like parseEndpoint.
std::uint32_t parseAddress(std::string_view text);

std::string formatAddress(std::uint32_t address);
std::string format(const Endpoint& endpoint);

} // namespace clementinesill
