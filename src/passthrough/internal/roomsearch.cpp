#include "passthrough/roomsearch.h"

#include "admission/types/queuetraits.h"
#include "fleet/fleettable.h"
#include "passthrough/internal/lowestranked.h"
#include "passthrough/types/search.h"

#include <algorithm>
#include <boost/container/static_vector.hpp>
#include <optional>

namespace clementinesill::passthrough {

namespace {

// The caller retransmits its SYN after 200 ms. The rest of that time is left for the search and the SYN-ACK.
constexpr auto maximumWait = std::chrono::milliseconds(150);
// Servers asked in one zone before the search goes on to another zone.
constexpr unsigned serversPerZone = 2;

} // namespace

admission::QueueTraits waitingTraits(const fleet::RouteEntry* route, Duration work, MonotonicTime now)
{
    Duration target = queueingDelayDivisor * maximumWait;
    if (route)
        target = route->responseTarget();
    return {
        .priority = route ? route->priority : 0,
        .expectedWork = work,
        .targetTime = now + target,
        .latestStart = now + std::min<Duration>(target / queueingDelayDivisor, maximumWait),
    };
}

const fleet::ServerEntry* nextServerForRoom(const Search& search, std::uint64_t flowHash, const fleet::ServiceEntry& service, const fleet::RouteEntry* route, const fleet::FleetTable& table, std::uint32_t serverId, const std::string& zone)
{
    if (search.visited.size() >= dataplane::maximumVisited)
        return nullptr;
    const bool zoneFirst = route && route->kind == fleet::RequestKind::Download;
    boost::container::static_vector<const std::string*, dataplane::maximumVisited + 1> visitedZones { &zone };
    for (const auto id : search.visited) {
        if (const auto* server = table.server(id))
            visitedZones.push_back(&server->zone);
    }
    const auto key = [&](const fleet::ServerEntry& server) -> std::optional<unsigned> {
        if (server.id == serverId || !server.accepting() || search.hasVisited(server.id))
            return std::nullopt;
        const auto otherZone = server.zone == zone ? 0U : 1U;
        if (zoneFirst)
            return otherZone;
        const auto visits = static_cast<unsigned>(std::ranges::count_if(visitedZones, [&](const auto* visited) { return *visited == server.zone; }));
        return visits / serversPerZone * 2 + otherZone;
    };
    return lowestRanked(flowHash, service.servers, key);
}

} // namespace clementinesill::passthrough
