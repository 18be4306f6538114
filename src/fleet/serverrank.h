#pragma once

#include "fleet/types/flowkey.h"
#include "fleet/types/serverentry.h"
#include "foundation/hash.h"

#include <concepts>
#include <cstdint>
#include <span>

namespace clementinesill::fleet {

// Weighted rendezvous hashing: all daemons rank the same servers for a flow in the same order.
// Adding or removing a server does not change the relative order of the others.

// Maximum number of servers that rankServers returns.
constexpr std::size_t maximumRankedServers = 64;

// Score of a server for a flow hash; the highest score ranks first. Ties are broken by the lower id.
double rendezvousScore(std::uint64_t flowHash, const ServerEntry& server);

// Writes the indices of the highest ranked servers in rank order to `ranked`, at most ranked.size() and
// maximumRankedServers; returns their number. The servers must be sorted by id. Does not allocate.
std::size_t rankServers(std::uint64_t flowHash, std::span<const ServerEntry> servers, std::span<std::uint16_t> ranked);

// Finds the highest ranked server that passes a filter. The servers must be passed to consider() sorted by id.
class HighestRanked {
public:
    explicit HighestRanked(std::uint64_t flowHash)
        : m_flowHash(flowHash)
    {
    }

    // Selects the server if it ranks above the selected one and passes the filter. The filter runs only on servers that
    // rank higher.
    template <std::predicate<const ServerEntry&> Filter>
    void consider(const ServerEntry& server, Filter&& passes)
    {
        const auto bits = hashBits(m_flowHash, server.id);
        if (m_server && !outranksSelected(bits, server.weight))
            return;
        if (!passes(server))
            return;
        m_server = &server;
        m_bits = bits;
        m_weight = server.weight;
    }

    // Null if no server has passed.
    const ServerEntry* server() const { return m_server; }

private:
    friend double rendezvousScore(std::uint64_t flowHash, const ServerEntry& server);

    // The upper 53 bits of the hash, since a double represents at most 53 bits exactly.
    static std::uint64_t hashBits(std::uint64_t flowHash, std::uint32_t serverId) { return hash64(serverId, flowHash) >> 11; }
    static double score(std::uint64_t bits, std::uint32_t weight);

    // A score needs a logarithm, so it is computed only if hash and weight disagree on the order.
    bool outranksSelected(std::uint64_t bits, std::uint32_t weight) const
    {
        if (bits <= m_bits && weight <= m_weight)
            return false;
        if (bits >= m_bits && weight >= m_weight)
            return true;
        return score(bits, weight) > score(m_bits, m_weight);
    }

    std::uint64_t m_flowHash;
    const ServerEntry* m_server = nullptr;
    std::uint64_t m_bits = 0;
    std::uint32_t m_weight = 0;
};

// Highest ranked server that passes the filter; null if none does. The servers must be sorted by id. Does not allocate.
template <std::predicate<const ServerEntry&> Filter>
const ServerEntry* highestRanked(std::uint64_t flowHash, std::span<const ServerEntry> servers, Filter&& passes)
{
    HighestRanked highest(flowHash);
    for (const auto& server : servers)
        highest.consider(server, passes);
    return highest.server();
}

// Filters for highestRanked.

// Whether new flows may be sent to the server.
inline bool acceptsNewFlows(const ServerEntry& server) { return server.accepting(); }

// Whether any packets may be sent to the server.
inline bool isRoutable(const ServerEntry& server) { return !server.zoneOut; }

// Highest ranked server that passes the filter and has renewed its lease; the highest ranked silent one only if there is no
// other. A silent server's VM is most likely down, so packets of flows that other servers hold would be lost there.
template <std::predicate<const ServerEntry&> Filter>
const ServerEntry* highestRankedPreferringLive(std::uint64_t flowHash, std::span<const ServerEntry> servers, Filter&& passes)
{
    const auto passesAndIsLive = [&](const ServerEntry& server) { return !server.silent && passes(server); };
    if (const auto* server = highestRanked(flowHash, servers, passesAndIsLive))
        return server;
    return highestRanked(flowHash, servers, passes);
}

} // namespace clementinesill::fleet
