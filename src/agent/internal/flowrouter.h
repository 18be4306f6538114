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

// Routes by the flow table; what is not held goes along the rank order until every server was asked.
class FlowRouter final : public IFlowRouter {
public:
    explicit FlowRouter(const FlowRouterOptions& options);

    FlowDecision decide(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view) override;
    void setLeaving(bool leaving) override { m_leaving = leaving; }

private:
    using ServerFilter = bool (*)(const fleet::ServerEntry&);

    bool addressedHere(const dataplane::GeneveMessage& message) const;
    bool opensNewFlows(const dataplane::GeneveMessage& message, const TableView& view) const;
    FlowDecision openTcpFlow(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view);
    FlowDecision repeatSyn(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, FlowEntry& entry);
    FlowDecision openOrPassOn(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view);
    FlowDecision open(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet);
    FlowDecision openAdmitted(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet);
    FlowDecision continueTcpFlow(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view);
    FlowDecision deliver(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, FlowEntry& entry);
    FlowDecision endSearch(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view);
    FlowDecision routeDatagram(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view);
    bool searchedAll(const TableView& view) const;
    FlowDecision nextServer(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view, ServerFilter filter, FlowReason reason) const;
    FlowDecision nextCandidate(const dataplane::GeneveMessage& message, const TableView& view, FlowReason reason) const;

    FlowRouterOptions m_options;
    bool m_leaving = false;
};

} // namespace clementinesill::agent
