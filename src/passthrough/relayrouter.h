#pragma once

#include "foundation/iclock.h"
#include "passthrough/types/relaydecision.h"
#include "passthrough/types/relayrouteroptions.h"

#include <cstdint>

namespace clementinesill::agent {
struct TableView;
}

namespace clementinesill::fleet {
struct RouteEntry;
struct ServerEntry;
} // namespace clementinesill::fleet

namespace clementinesill::passthrough {

struct FlowPacket;
struct Search;

// Decides what an agent does with a caller's packet: whether its own server takes a new flow, and where the packet of a
// flow that it does not hold goes on to. Confined to the agent's loop.
class RelayRouter {
public:
    explicit RelayRouter(const RelayRouterOptions& options);

    // The controllers' name for the server; 0 while it is not registered.
    void setServer(std::uint32_t serverId, std::uint32_t serviceId);

    std::uint32_t serverId() const { return m_serverId; }

    // Takes no new flow while leaving is set.
    void setLeaving(bool leaving) { m_leaving = leaving; }

    // A packet that came from a balancer or another agent.
    RelayDecision decide(const Search& search, const FlowPacket& packet, const agent::TableView& view);

    // A packet that the server handed back.
    RelayDecision decideHandedBack(const Search& search, const FlowPacket& packet, const agent::TableView& view);

    // A packet whose search has ended without a holder, looked at again: the caller is told once the leader has confirmed,
    // after the flow was first missed, that no server exists which was not asked.
    RelayDecision endSearch(const Search& search, const FlowPacket& packet, const agent::TableView& view);

private:
    RelayDecision open(const Search& search, const FlowPacket& packet, const agent::TableView& view);
    RelayDecision passOpening(const Search& search, const FlowPacket& packet, const agent::TableView& view, RelayReason obstacle) const;
    const fleet::ServerEntry* nextAccepting(const Search& search, const FlowPacket& packet, const agent::TableView& view) const;
    RelayDecision follow(const Search& search, const FlowPacket& packet, const agent::TableView& view);
    RelayDecision passOn(const Search& search, const FlowPacket& packet, const agent::TableView& view, RelayReason reason);
    RelayReason obstacle(const Search& search, std::uint32_t serviceId, const agent::TableView& view);
    std::uint32_t serviceFor(const Search& search, const FlowPacket& packet, const agent::TableView& view) const;
    bool worthWaiting(const FlowPacket& packet, const fleet::RouteEntry* route) const;
    const fleet::ServerEntry* nextInRank(const Search& search, std::uint64_t flowHash, const agent::TableView& view) const;
    const fleet::ServerEntry* nextHolder(const Search& search, const FlowPacket& packet, const agent::TableView& view) const;

    RelayRouterOptions m_options;
    MonotonicTime m_start;
    std::uint32_t m_serverId = 0;
    std::uint32_t m_serviceId = 0;
    bool m_leaving = false;
};

} // namespace clementinesill::passthrough
