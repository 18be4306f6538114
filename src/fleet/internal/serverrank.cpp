#include "fleet/serverrank.h"

#include <algorithm>
#include <cmath>

namespace clementinesill::fleet {

double HighestRanked::score(std::uint64_t bits, std::uint32_t weight)
{
    constexpr double scale = 0x1p-53;
    // Adding 0.5 keeps the value above 0, whose logarithm is not finite.
    const double uniform = (static_cast<double>(bits) + 0.5) * scale;
    return -static_cast<double>(weight) / std::log(uniform);
}

double rendezvousScore(std::uint64_t flowHash, const ServerEntry& server)
{
    return HighestRanked::score(HighestRanked::hashBits(flowHash, server.id), server.weight);
}

std::size_t rankServers(std::uint64_t flowHash, std::span<const ServerEntry> servers, std::span<std::uint16_t> ranked)
{
    double scores[maximumRankedServers];
    const auto wanted = std::min({ ranked.size(), servers.size(), maximumRankedServers });
    std::size_t count = 0;
    for (std::size_t index = 0; index < servers.size(); ++index) {
        const double score = rendezvousScore(flowHash, servers[index]);
        if (count == wanted && (!count || score <= scores[count - 1]))
            continue;
        auto position = count < wanted ? count++ : count - 1;
        while (position && scores[position - 1] < score) {
            scores[position] = scores[position - 1];
            ranked[position] = ranked[position - 1];
            --position;
        }
        scores[position] = score;
        ranked[position] = static_cast<std::uint16_t>(index);
    }
    return count;
}

} // namespace clementinesill::fleet
