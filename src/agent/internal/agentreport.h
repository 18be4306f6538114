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

// Provides the agent's state to the admin endpoint. Called on the endpoint's thread; reads the state on the event loop.
class AgentReport final : public admin::IAdminSource {
public:
    AgentReport(boost::asio::io_context& loop, const AgentReportOptions& options);

    // Throws Error (Unavailable) if the loop does not run the handler in time, like flows.
    void report(schema::DaemonReport& report) const override;
    schema::FlowList flows(const schema::FlowQuery& query) const override;
    schema::DecisionList explain(const schema::ExplainQuery& query) const override;

    // Must be called on the loop.
    void setDraining(bool draining) { m_draining = draining; }

private:
    void runOnLoop(const std::function<void()>& read) const;
    bool matches(const schema::FlowQuery& query, const fleet::FlowKey& key) const;
    void fillRecord(schema::FlowRecord& record, const fleet::FlowKey& key, const FlowEntry& entry) const;

    boost::asio::io_context& m_loop;
    AgentReportOptions m_options;
    bool m_draining = false;
};

} // namespace clementinesill::agent
