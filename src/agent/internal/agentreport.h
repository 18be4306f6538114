#pragma once

#include "admin/iadminsource.h"
#include "agent/internal/agentreportoptions.h"
#include "agent/types/serveridentity.h"
#include "fleet/types/flowkey.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace clementinesill {
class IClock;
namespace admin {
class DecisionTrace;
}
namespace admission {
class IAdmission;
}
namespace fleet {
class ITableSource;
}
namespace schema {
class FlowRecord;
}
} // namespace clementinesill

namespace clementinesill::agent {

class IFlowTable;
struct FlowEntry;

// What the agent tells on its admin endpoint. Asked on the endpoint's thread, it reads the agent's state on the loop.
class AgentReport final : public admin::IAdminSource {
public:
    // Counts as draining from setDraining on.
    AgentReport(boost::asio::io_context& loop, const AgentReportOptions& options);

    // Throws Error (Unavailable) if the loop does not answer in time, as flows and explain.
    void report(schema::DaemonReport& report) const override;
    schema::FlowList flows(const schema::FlowQuery& query) const override;
    schema::DecisionList explain(const schema::ExplainQuery& query) const override;

    // Called on the loop.
    void setDraining(bool draining) { m_draining = draining; }

private:
    void readOnLoop(const std::function<void()>& read) const;
    bool meets(const schema::FlowQuery& query, const fleet::FlowKey& key) const;
    void describe(schema::FlowRecord& record, const fleet::FlowKey& key, const FlowEntry& entry) const;

    boost::asio::io_context& m_loop;
    AgentReportOptions m_options;
    bool m_draining = false;
};

} // namespace clementinesill::agent
