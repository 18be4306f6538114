#pragma once

#include "fleet/types/flowkey.h"
#include "fleet/types/serverentry.h"
#include "foundation/hash.h"

#include <concepts>
#include <cstdint>
#include <span>

namespace clementinesill::fleet {

// Weighted rendezvous hashing: every daemon ranks the same servers for a flow in the same order.
// A server that comes or goes moves only its own place in the order.

// Most servers that one ranking writes.
constexpr std::size_t maximumRanked = 64;

// Score of one server for a flow hash; higher ranks first. Ties are broken by the lower id.
double rendezvousScore(std::uint64_t flowHash, const ServerEntry& server);

// Writes the indices of the first servers in rank order, at most ranked.size() and maximumRanked; returns how many were
// written. The servers are in the order of their ids. Does not allocate.
std::size_t rankServers(std::uint64_t flowHash, std::span<const ServerEntry> servers, std::span<std::uint16_t> ranked);

// Best server seen so far while servers are offered in the order of their ids.
class RankLeader {
public:
    explicit RankLeader(std::uint64_t flowHash)
        : m_flowHash(flowHash)
    {
    }

    // Makes the server the leader if it ranks higher and passes; the filter runs only on servers that rank higher.
    template <std::predicate<const ServerEntry&> Filter>
    void offer(const ServerEntry& server, Filter&& passes)
    {
        const auto bits = hashBits(m_flowHash, server.id);
        if (m_server && !outranksLeader(bits, server.weight))
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

    static std::uint64_t hashBits(std::uint64_t flowHash, std::uint32_t serverId) { return hash64(serverId, flowHash) >> 11; }
    static double scoreOf(std::uint64_t bits, std::uint32_t weight);

    // Scores take a logarithm, so they are left out where hash and weight agree on the order.
    bool outranksLeader(std::uint64_t bits, std::uint32_t weight) const
    {
        if (bits <= m_bits && weight <= m_weight)
            return false;
        if (bits >= m_bits && weight >= m_weight)
            return true;
        return scoreOf(bits, weight) > scoreOf(m_bits, m_weight);
    }

    std::uint64_t m_flowHash;
    const ServerEntry* m_server = nullptr;
    std::uint64_t m_bits = 0;
    std::uint32_t m_weight = 0;
};

// First server in rank order that passes the filter; null if none does. Does not allocate.
template <std::predicate<const ServerEntry&> Filter>
const ServerEntry* firstInRank(std::uint64_t flowHash, std::span<const ServerEntry> servers, Filter&& passes)
{
    RankLeader leader(flowHash);
    for (const auto& server : servers)
        leader.offer(server, passes);
    return leader.server();
}

// Filters of firstInRank.

// Whether new flows may go to the server.
inline bool takesNewFlows(const ServerEntry& server) { return server.accepting(); }

// Whether packets of any kind may go to the server.
inline bool isReachable(const ServerEntry& server) { return !server.zoneOut; }

// First server in rank order that passes the filter and is not silent; the first silent one only if there is no other.
// A silent server is most likely dead and would swallow the packets of flows that others hold.
template <std::predicate<const ServerEntry&> Filter>
const ServerEntry* firstToAsk(std::uint64_t flowHash, std::span<const ServerEntry> servers, Filter&& passes)
{
    const auto passesAndRenews = [&](const ServerEntry& server) { return !server.silent && passes(server); };
    if (const auto* server = firstInRank(flowHash, servers, passesAndRenews))
        return server;
    return firstInRank(flowHash, servers, passes);
}

} // namespace clementinesill::fleet
