#include "passthrough/types/search.h"

#include "fleet/fleettable.h"
#include "passthrough/types/relaydecision.h"

#include <algorithm>

namespace clementinesill::passthrough {

bool Search::hasVisited(std::uint32_t serverId) const
{
    return std::find(visited.begin(), visited.end(), serverId) != visited.end();
}

bool Search::hasVisitedAll(const fleet::FleetTable& table, std::uint32_t serverId) const
{
    return reachedTarget(serverId) && !table.hasSilentServer() && newestKnownServer && table.newestServerId() <= *newestKnownServer;
}

void Search::advance(const RelayDecision& decision, std::uint32_t serverId, const fleet::FleetTable& table)
{
    if (visited.size() == visited.capacity()) {
        if ((followsRankOrder() && !reachedTarget(serverId)) || table.hasSilentServer())
            route.flags |= dataplane::Route::skippedServer;
        if (!followsRankOrder())
            newestKnownServer = table.newestServerId();
        else if (newestKnownServer)
            newestKnownServer = std::min(*newestKnownServer, table.newestServerId());
        route.flags |= dataplane::Route::followsRankOrder | dataplane::Route::zonesFirst;
    } else if (serverId) {
        visited.push_back(serverId);
    }
    route.serviceId = decision.nextServiceId;
    route.serverId = decision.nextServerId;
    route.incarnation = decision.nextIncarnation;
    route.flags |= dataplane::Route::forwardedByAgent;
    route.tableVersion = std::max(route.tableVersion, table.version());
    ++route.hops;
}

} // namespace clementinesill::passthrough
