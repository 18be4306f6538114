#include "passthrough/zonerank.h"

#include "fleet/serverrank.h"

#include <algorithm>
#include <tuple>

namespace clementinesill::passthrough {

std::vector<const fleet::ServerEntry*> rankFromZone(std::uint64_t flowHash, std::span<const fleet::ServerEntry> servers, const std::string& zone)
{
    struct Place {
        bool silent;
        bool elsewhere;
        double score;
        const fleet::ServerEntry* server;
    };
    std::vector<Place> places;
    places.reserve(servers.size());
    for (const auto& server : servers)
        places.push_back({ .silent = server.silent, .elsewhere = server.zone != zone, .score = fleet::rendezvousScore(flowHash, server), .server = &server });
    std::sort(places.begin(), places.end(), [](const Place& left, const Place& right) {
        return std::tuple(left.silent, left.elsewhere, -left.score, left.server->id) < std::tuple(right.silent, right.elsewhere, -right.score, right.server->id);
    });
    std::vector<const fleet::ServerEntry*> order;
    order.reserve(places.size());
    for (const auto& place : places)
        order.push_back(place.server);
    return order;
}

} // namespace clementinesill::passthrough
