#pragma once

#include "foundation/iclock.h"
#include "passthrough/searchbudget.h"
#include "passthrough/types/relaydecision.h"
#include "passthrough/types/relayrouteroptions.h"

#include <cstdint>
#include <vector>

namespace clementinesill::agent {
struct TableView;
}

namespace clementinesill::fleet {
struct RouteEntry;
struct ServerEntry;
} // namespace clementinesill::fleet

namespace clementinesill::passthrough {

struct FlowPacket;
struct ReleasedOpening;
struct Search;
struct WaitingOpening;

// Decides what an agent does with a caller's packet: whether its server accepts a new flow, and which agent a packet of a
// flow held elsewhere is forwarded to. Must only be used on the agent's event loop.
class RelayRouter {
public:
    explicit RelayRouter(const RelayRouterOptions& options);

    // Sets the ids assigned by the controllers; 0 while the server is not registered.
    void setServer(std::uint32_t serverId, std::uint32_t serviceId);

    std::uint32_t serverId() const { return m_serverId; }

    // Called when the server may hold flows that are not recorded here. Packets of unknown flows are delivered to it, as after a
    // start of the agent, until all such flows have ended.
    void probeUnknownFlows();

    // While set, no new flow is accepted.
    void setShuttingDown(bool shuttingDown) { m_shuttingDown = shuttingDown; }

    // Decides about a packet received from a balancer or another agent.
    RelayDecision decide(const Search& search, const FlowPacket& packet, const agent::TableView& view);

    // Decides about a packet that the server bounced.
    RelayDecision decideBounced(const Search& search, const FlowPacket& packet, const agent::TableView& view);

    // Decides about a packet whose search found no server that holds the flow. Resets the flow only if the leader has confirmed
    // the table since the first search that found no holder, and the packet has visited all servers in the table.
    RelayDecision concludeSearch(const Search& search, const FlowPacket& packet, const agent::TableView& view);

    // Whether releaseWaiting() may return anything because of a packet: a SYN was displaced, or one waits and the server has room.
    bool mayRelease() const;

    // Decides about the SYNs that no longer wait: those that the server has room for, were displaced, have expired, or that the
    // server no longer accepts. All checks of a new flow are made again, because the table and the server may have changed.
    std::vector<ReleasedOpening> releaseWaiting(const agent::TableView& view);

private:
    RelayDecision openFlow(const FlowPacket& packet, RelayReason reason);
    RelayDecision decideWithoutFreeSlot(const Search& search, const FlowPacket& packet, const fleet::RouteEntry* route, const agent::TableView& view);
    RelayDecision decideReleased(const WaitingOpening& opening, const agent::TableView& view);
    RelayReason checkServer(const agent::TableView& view) const;
    RelayReason checkTarget(const Search& search, std::uint32_t serviceId, const agent::TableView& view);
    bool hasFreeSlot() const;
    RelayDecision decideNewFlow(const Search& search, const FlowPacket& packet, const agent::TableView& view);
    RelayDecision forwardNewFlow(const Search& search, const FlowPacket& packet, const agent::TableView& view, RelayReason rejectReason) const;
    const fleet::ServerEntry* nextAcceptingServer(const Search& search, const FlowPacket& packet, const agent::TableView& view) const;
    RelayDecision decideExistingFlow(const Search& search, const FlowPacket& packet, const agent::TableView& view);
    RelayDecision forwardExistingFlow(const Search& search, const FlowPacket& packet, const agent::TableView& view, RelayReason reason);
    RelayReason checkAdmission(const Search& search, std::uint32_t serviceId, const agent::TableView& view);
    std::uint32_t targetService(const Search& search, const FlowPacket& packet, const agent::TableView& view) const;
    bool mayOverlookServer(const Search& search, const FlowPacket& packet, const agent::TableView& view) const;
    bool mayQueue(const FlowPacket& packet, const fleet::RouteEntry* route) const;
    const fleet::ServerEntry* nextServerInRankOrder(const Search& search, std::uint64_t flowHash, const agent::TableView& view) const;
    const fleet::ServerEntry* nextCandidateHolder(const Search& search, const FlowPacket& packet, const agent::TableView& view) const;

    RelayRouterOptions m_options;
    SearchBudget m_searchBudget;
    // Since when all flows of the server are recorded.
    MonotonicTime m_recordedSince;
    std::uint32_t m_serverId = 0;
    std::uint32_t m_serviceId = 0;
    bool m_shuttingDown = false;
};

} // namespace clementinesill::passthrough
