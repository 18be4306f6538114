#include "requests/claimvoters.h"

#include "fleet/serverrank.h"
#include "foundation/hash.h"

#include <algorithm>

namespace clementinesill::requests {

std::vector<std::uint32_t> claimVoters(std::string_view key, std::span<const std::uint32_t> servers)
{
    // All agents have the same weight here, unlike for flows.
    std::vector<fleet::ServerEntry> entries;
    entries.reserve(servers.size());
    for (const auto server : servers)
        entries.push_back({ .id = server });
    std::vector<std::uint16_t> ranked(std::min(claimVoterCount, entries.size()));
    const auto hash = hash64(std::as_bytes(std::span(key)), 0);
    ranked.resize(fleet::rankServers(hash, entries, ranked));
    std::vector<std::uint32_t> voters;
    for (const auto index : ranked)
        voters.push_back(entries[index].id);
    return voters;
}

} // namespace clementinesill::requests
