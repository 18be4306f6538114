#include "dataplane/internal/roundrobinforwarder.h"

#include "dataplane/types/packetview.h"
#include "fleet/fleettable.h"

namespace clementinesill::dataplane {

ForwardDecision RoundRobinForwarder::decide(const PacketView& packet, const fleet::FleetTable& table)
{
    const auto* service = table.service(packet.key.service, packet.key.protocol);
    if (!service)
        return drop(ForwardReason::NoService);
    const auto& servers = service->servers;
    const auto start = m_next.fetch_add(1, std::memory_order_relaxed);
    const bool mayOpenFlow = packet.opensTcpFlow() || packet.key.protocol == fleet::TransportProtocol::Udp;
    for (std::size_t step = 0; step < servers.size(); ++step) {
        const auto& server = servers[(start + step) % servers.size()];
        if (server.accepting())
            return forwardTo(server, table, ForwardReason::RoundRobin, mayOpenFlow ? Route::opensFlow : 0);
    }
    return drop(servers.empty() ? ForwardReason::NoServer : ForwardReason::NoAcceptingServer);
}

} // namespace clementinesill::dataplane
