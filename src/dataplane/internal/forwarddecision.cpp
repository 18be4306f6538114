#include "dataplane/types/forwarddecision.h"

#include "fleet/fleettable.h"

namespace clementinesill::dataplane {

std::string_view name(ForwardReason reason)
{
    switch (reason) {
    case ForwardReason::FirstAccepting:
        return "first_accepting";
    case ForwardReason::CacheHit:
        return "cache_hit";
    case ForwardReason::FirstInRank:
        return "first_in_rank";
    case ForwardReason::RoundRobin:
        return "round_robin";
    case ForwardReason::NoService:
        return "no_service";
    case ForwardReason::NoServer:
        return "no_server";
    case ForwardReason::NoAcceptingServer:
        return "no_accepting_server";
    }
    return "unknown";
}

ForwardDecision forwardTo(const fleet::ServerEntry& server, const fleet::FleetTable& table, ForwardReason reason, std::uint8_t flags)
{
    return {
        .reason = reason,
        .dropped = false,
        .agent = server.agent,
        .route = {
            .tableVersion = table.version(),
            .serviceId = server.serviceId,
            .serverId = server.id,
            .incarnation = server.incarnation,
            .flags = flags,
        },
    };
}

ForwardDecision drop(ForwardReason reason)
{
    return { .reason = reason };
}

} // namespace clementinesill::dataplane
