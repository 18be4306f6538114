#include "agent/internal/nexthop.h"

#include "agent/types/flowdecision.h"
#include "agent/types/serveridentity.h"
#include "dataplane/types/genevemessage.h"
#include "dataplane/types/packetview.h"
#include "fleet/fleettable.h"
#include "fleet/serverrank.h"

#include <algorithm>
#include <array>

namespace clementinesill::agent {

namespace {

bool wasVisited(const dataplane::GeneveMessage& message, std::uint32_t serverId)
{
    return serverId == message.route->serverId || std::find(message.visited.begin(), message.visited.end(), serverId) != message.visited.end();
}

void listCandidates(dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const fleet::ServiceEntry& service, const fleet::FleetTable& table)
{
    message.candidates.clear();
    std::array<std::uint16_t, dataplane::maximumVisited> ranked {};
    const auto count = fleet::rankServers(fleet::hash(packet.key, table.hashSeed()), service.servers, ranked);
    for (const auto index : std::span(ranked).first(count)) {
        const auto& server = service.servers[index];
        if (server.zoneOut || wasVisited(message, server.id))
            continue;
        message.candidates.push_back({ .serverId = server.id, .incarnation = server.incarnation, .agent = server.agent, .draining = !server.accepting() });
        if (message.candidates.size() == dataplane::maximumCandidates)
            return;
    }
}

} // namespace

void addressNextHop(dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const FlowDecision& decision, const ServerIdentity& identity, const fleet::FleetTable& table)
{
    auto& route = *message.route;
    const auto* service = table.service(identity.serviceId);
    const bool tableIsCurrent = table.version() >= route.tableVersion;
    if (decision.searchEnded) {
        message.visited.clear();
        route.flags |= dataplane::Route::searchEnded;
    }
    // An agent that ended the search without an attempt to open the flow does not count as visited by the opening search.
    if (!decision.searchEnded || decision.reason == FlowReason::NotAdmitted)
        message.visited.push_back(identity.serverId);
    route.serverId = decision.nextServerId;
    route.incarnation = decision.nextIncarnation;
    route.flags |= dataplane::Route::forwardedByAgent;
    route.tableVersion = std::max(route.tableVersion, table.version());
    ++route.hops;
    if (tableIsCurrent && service)
        listCandidates(message, packet, *service, table);
}

} // namespace clementinesill::agent
