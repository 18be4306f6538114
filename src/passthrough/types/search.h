#pragma once

#include "dataplane/types/genevemessage.h"
#include "dataplane/types/route.h"

#include <boost/container/static_vector.hpp>
#include <cstdint>

namespace clementinesill::passthrough {

struct RelayDecision;

// State of the search for the server that holds or accepts a flow. Carried in the packet from the balancer on.
struct Search {
    dataplane::Route route;
    // Ids of the servers whose agents have forwarded the packet.
    boost::container::static_vector<std::uint32_t, dataplane::maximumVisited> visited;

    bool hasVisited(std::uint32_t serverId) const;

    // Whether the visited list is full, so that the remaining servers are visited in rank order.
    bool followsRankOrder() const { return (route.flags & dataplane::Route::followsRankOrder) != 0; }

    // Updates the search for forwarding the packet to the server named by the decision. serverId is this agent's server, 0 if
    // it has none; tableVersion is that of the agent's table.
    void advance(const RelayDecision& decision, std::uint32_t serverId, std::uint64_t tableVersion);
};

} // namespace clementinesill::passthrough
