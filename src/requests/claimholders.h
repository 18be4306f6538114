#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace clementinesill::requests {

// Agents that hold the claims of one key.
inline constexpr std::size_t claimHolderCount = 3;

// The key's holders among the service's agents, by rendezvous hashing; fewer if there are fewer agents.
std::vector<std::uint32_t> claimHolders(std::string_view key, std::span<const std::uint32_t> servers);

// Grants that make a majority of so many holders.
constexpr std::uint32_t claimMajority(std::size_t holders)
{
    return static_cast<std::uint32_t>(holders / 2 + 1);
}

} // namespace clementinesill::requests
