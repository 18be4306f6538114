#pragma once

#include "agent/iflowrouter.h"
#include "agent/internal/flowrouteroptions.h"
#include "agent/types/serveridentity.h"
#include "foundation/iclock.h"

#include <cstddef>

namespace clementinesill::admission {
class IAdmission;
}

namespace clementinesill::fleet {
struct ServerEntry;
}

namespace clementinesill::agent {

class IFlowTable;
class IMissLog;
struct FlowEntry;

// Routes packets by the flow table. A packet of an unknown flow is forwarded to the other servers in rank order until one
// takes it or all were visited.
class FlowRouter final : public IFlowRouter {
public:
    explicit FlowRouter(const FlowRouterOptions& options);

    FlowDecision decide(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view) override;
    void setShuttingDown(bool shuttingDown) override { m_shuttingDown = shuttingDown; }

private:
    using ServerFilter = bool (*)(const fleet::ServerEntry&);

    bool isAddressedToSelf(const dataplane::GeneveMessage& message) const;
    bool mayOpenFlow(const dataplane::GeneveMessage& message, const TableView& view) const;
    FlowDecision handleSyn(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view);
    FlowDecision handleSynOfOpenFlow(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, FlowEntry& entry);
    FlowDecision openOrForward(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view);
    FlowDecision openFlow(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet);
    FlowDecision openAdmittedFlow(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet);
    FlowDecision routeTcpSegment(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view);
    FlowDecision deliver(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, FlowEntry& entry);
    FlowDecision concludeSearch(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view);
    FlowDecision routeDatagram(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view);
    bool canSearchAllServers(const TableView& view) const;
    FlowDecision forwardToNextServer(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view, ServerFilter filter, FlowReason reason) const;
    FlowDecision forwardToNextCandidate(const dataplane::GeneveMessage& message, const TableView& view, FlowReason reason) const;

    FlowRouterOptions m_options;
    bool m_shuttingDown = false;
};

} // namespace clementinesill::agent
