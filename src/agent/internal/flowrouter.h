#pragma once

#include "agent/iflowrouter.h"
#include "agent/types/serveridentity.h"
#include "foundation/iclock.h"

namespace clementinesill::admission {
class IAdmission;
}

namespace clementinesill::fleet {
struct ServerEntry;
}

namespace clementinesill::agent {

class IFlowTable;
struct FlowEntry;

// Routes by the flow table; what is not held goes along the rank order until every server was asked.
class FlowRouter final : public IFlowRouter {
public:
    // The references must outlive the router.
    FlowRouter(const ServerIdentity& identity, IFlowTable& flows, admission::IAdmission& admission, const IClock& clock);

    FlowDecision decide(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const fleet::FleetTable& table) override;

private:
    using ServerFilter = bool (*)(const fleet::ServerEntry&);

    FlowDecision openFlow(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const fleet::FleetTable& table);
    FlowDecision continueFlow(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const fleet::FleetTable& table);
    bool holds(FlowEntry& entry, const dataplane::PacketView& packet) const;
    const fleet::ServerEntry* nextServer(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const fleet::FleetTable& table, ServerFilter filter) const;

    ServerIdentity m_identity;
    IFlowTable& m_flows;
    admission::IAdmission& m_admission;
    const IClock& m_clock;
};

} // namespace clementinesill::agent
