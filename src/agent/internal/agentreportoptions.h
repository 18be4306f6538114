#pragma once

#include "agent/types/serveridentity.h"

#include <string>

namespace clementinesill {
class IClock;
}

namespace clementinesill::admin {
class DecisionTrace;
}

namespace clementinesill::admission {
class IAdmission;
}

namespace clementinesill::fleet {
class ITableSource;
}

namespace clementinesill::agent {

class IFlowTable;

// Dependencies of the agent report. The references must outlive it.
struct AgentReportOptions {
    ServerIdentity identity;
    // Names of the service and of the backend server.
    std::string service;
    std::string server;
    const IFlowTable& flows;
    const admission::IAdmission& admission;
    const fleet::ITableSource& tables;
    const admin::DecisionTrace& trace;
    const IClock& clock;
};

} // namespace clementinesill::agent
