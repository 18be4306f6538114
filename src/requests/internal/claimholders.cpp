#include "requests/claimholders.h"

#include "fleet/serverrank.h"
#include "foundation/hash.h"

#include <algorithm>

namespace clementinesill::requests {

std::vector<std::uint32_t> claimHolders(std::string_view key, std::span<const std::uint32_t> servers)
{
    // Every agent has the same weight here, whatever its share of flows.
    std::vector<fleet::ServerEntry> entries;
    entries.reserve(servers.size());
    for (const auto server : servers)
        entries.push_back({ .id = server });
    std::vector<std::uint16_t> ranked(std::min(claimHolderCount, entries.size()));
    const auto hash = hash64(std::as_bytes(std::span(key)), 0);
    ranked.resize(fleet::rankServers(hash, entries, ranked));
    std::vector<std::uint32_t> holders;
    for (const auto index : ranked)
        holders.push_back(entries[index].id);
    return holders;
}

} // namespace clementinesill::requests
