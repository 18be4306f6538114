#include "fleet/types/flowkey.h"

#include "foundation/hash.h"

#include <array>

namespace clementinesill::fleet {

std::uint64_t hash(const FlowKey& key, std::uint64_t seed)
{
    const std::array<std::uint64_t, 2> words {
        (static_cast<std::uint64_t>(key.caller.address) << 32) | key.service.address,
        (static_cast<std::uint64_t>(key.caller.port) << 32) | (static_cast<std::uint64_t>(key.service.port) << 16) | static_cast<std::uint64_t>(key.protocol),
    };
    return hash64(std::as_bytes(std::span(words)), seed);
}

std::string format(const FlowKey& key)
{
    const std::string protocol = key.protocol == TransportProtocol::Tcp ? "tcp" : "udp";
    return protocol + " " + clementinesill::format(key.caller) + " " + clementinesill::format(key.service);
}

} // namespace clementinesill::fleet
