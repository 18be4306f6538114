#include "passthrough/types/search.h"

#include "passthrough/types/relaydecision.h"

#include <algorithm>

namespace clementinesill::passthrough {

bool Search::hasVisited(std::uint32_t serverId) const
{
    return std::find(visited.begin(), visited.end(), serverId) != visited.end();
}

void Search::advance(const RelayDecision& decision, std::uint32_t serverId, std::uint64_t tableVersion)
{
    if (visited.size() == visited.capacity()) {
        if (followsRankOrder() && tableVersion != route.tableVersion)
            route.flags |= dataplane::Route::mixedTables;
        route.flags |= dataplane::Route::followsRankOrder;
    } else if (serverId) {
        visited.push_back(serverId);
    }
    route.serviceId = decision.nextServiceId;
    route.serverId = decision.nextServerId;
    route.incarnation = decision.nextIncarnation;
    route.flags |= dataplane::Route::forwardedByAgent;
    route.tableVersion = std::max(route.tableVersion, tableVersion);
    ++route.hops;
}

} // namespace clementinesill::passthrough
