#include "passthrough/zonerank.h"

#include "fleet/serverrank.h"

#include <algorithm>
#include <tuple>

namespace clementinesill::passthrough {

std::vector<const fleet::ServerEntry*> rankServersForZone(std::uint64_t flowHash, std::span<const fleet::ServerEntry> servers, const std::string& zone)
{
    struct Candidate {
        bool silent;
        bool inOtherZone;
        double score;
        const fleet::ServerEntry* server;
    };
    std::vector<Candidate> candidates;
    candidates.reserve(servers.size());
    for (const auto& server : servers)
        candidates.push_back({ .silent = server.silent, .inOtherZone = server.zone != zone, .score = fleet::rendezvousScore(flowHash, server), .server = &server });
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return std::tuple(left.silent, left.inOtherZone, -left.score, left.server->id) < std::tuple(right.silent, right.inOtherZone, -right.score, right.server->id);
    });
    std::vector<const fleet::ServerEntry*> ranking;
    ranking.reserve(candidates.size());
    for (const auto& candidate : candidates)
        ranking.push_back(candidate.server);
    return ranking;
}

} // namespace clementinesill::passthrough
