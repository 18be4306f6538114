#pragma once

#include "dataplane/types/genevemessage.h"
#include "dataplane/types/route.h"

#include <boost/container/static_vector.hpp>
#include <cstdint>
#include <optional>

namespace clementinesill::fleet {
class FleetTable;
}

namespace clementinesill::passthrough {

struct RelayDecision;

// State of the search for the server that holds or accepts a flow. Carried in the packet from the balancer on.
struct Search {
    dataplane::Route route;
    // Ids of the servers whose agents have forwarded the packet.
    boost::container::static_vector<std::uint32_t, dataplane::maximumVisited> visited;
    // See GeneveMessage.
    std::optional<std::uint32_t> newestKnownServer;

    bool hasVisited(std::uint32_t serverId) const;

    // Whether the visited list is full, so that the remaining servers are visited in rank order.
    bool followsRankOrder() const { return (route.flags & dataplane::Route::followsRankOrder) != 0; }

    // Whether a traversal in rank order has visited every server of the table. Servers that have left the table do not matter.
    bool hasVisitedAll(const fleet::FleetTable& table, std::uint32_t serverId) const;

    // Updates the search for forwarding the packet to the server named by the decision. serverId is this agent's server, 0 if
    // it has none; the table is the agent's.
    void advance(const RelayDecision& decision, std::uint32_t serverId, const fleet::FleetTable& table);

private:
    // Whether this agent has the server that the packet was for.
    bool reachedTarget(std::uint32_t serverId) const { return route.serverId == serverId && !(route.flags & dataplane::Route::skippedServer); }
};

} // namespace clementinesill::passthrough
