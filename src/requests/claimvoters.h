#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace clementinesill::requests {

// Maximum number of agents that vote on a key.
inline constexpr std::size_t claimVoterCount = 3;

// Selects the key's voters among the service's agents by rendezvous hashing; fewer if there are fewer agents.
std::vector<std::uint32_t> claimVoters(std::string_view key, std::span<const std::uint32_t> servers);

constexpr std::uint32_t claimMajority(std::size_t voters)
{
    return static_cast<std::uint32_t>(voters / 2 + 1);
}

} // namespace clementinesill::requests
