#include "passthrough/roomsearch.h"

#include "admission/types/queuetraits.h"
#include "fleet/fleettable.h"
#include "fleet/serverrank.h"
#include "passthrough/types/search.h"

#include <algorithm>
#include <boost/container/static_vector.hpp>
#include <limits>

namespace clementinesill::passthrough {

namespace {

// A SYN may wait for a third of its latency target; the rest of the target is left for the network and for processing.
constexpr int waitDivisor = 3;
// The caller retransmits its SYN after 200 ms. The rest of that time is left for the search and the SYN-ACK.
constexpr auto maximumWait = std::chrono::milliseconds(150);
// Servers asked in one zone before the search goes on to another zone.
constexpr std::ptrdiff_t serversPerZone = 2;

} // namespace

admission::QueueTraits waitingTraits(const fleet::RouteEntry* route, Duration work, MonotonicTime now)
{
    Duration target = waitDivisor * maximumWait;
    if (route)
        target = route->targetLatency.count() ? route->targetLatency : route->timeout;
    return {
        .priority = route ? route->priority : 0,
        .expectedWork = work,
        .targetTime = now + target,
        .latestStart = now + std::min<Duration>(target / waitDivisor, maximumWait),
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
    // Lower goes first.
    const auto zoneOrder = [&](const fleet::ServerEntry& server) {
        const std::ptrdiff_t otherZone = server.zone == zone ? 0 : 1;
        const auto visits = std::ranges::count_if(visitedZones, [&](const auto* visited) { return *visited == server.zone; });
        return zoneFirst ? otherZone : visits / serversPerZone * 2 + otherZone;
    };
    fleet::HighestRanked best(flowHash);
    auto bestOrder = std::numeric_limits<std::ptrdiff_t>::max();
    for (const auto& server : service.servers) {
        if (server.id == serverId || !server.accepting() || search.hasVisited(server.id))
            continue;
        const auto order = zoneOrder(server);
        if (order > bestOrder)
            continue;
        if (order < bestOrder)
            best = fleet::HighestRanked(flowHash);
        bestOrder = order;
        best.consider(server, [](const auto&) { return true; });
    }
    return best.server();
}

} // namespace clementinesill::passthrough
