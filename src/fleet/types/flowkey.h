#pragma once

#include "foundation/types/endpoint.h"

#include <compare>
#include <cstdint>
#include <string>

namespace clementinesill::fleet {

enum class TransportProtocol : std::uint8_t {
    Tcp = 6,
    Udp = 17,
};

// Identifies a flow: caller endpoint, service endpoint and protocol.
struct FlowKey {
    Endpoint caller;
    Endpoint service;
    TransportProtocol protocol = TransportProtocol::Tcp;

    auto operator<=>(const FlowKey&) const = default;
};

// Seeded hash over all fields. All daemons get the same value for the same seed.
std::uint64_t hash(const FlowKey& key, std::uint64_t seed);

std::string format(const FlowKey& key);

} // namespace clementinesill::fleet

// For unordered containers inside one process; does not use the hash seed of the fleet table.
template <>
struct std::hash<clementinesill::fleet::FlowKey> {
    std::size_t operator()(const clementinesill::fleet::FlowKey& key) const { return clementinesill::fleet::hash(key, 0x9e3779b97f4a7c15); }
};
