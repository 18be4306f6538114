#include "agent/agentmodule.h"

#include "foundation/error.h"

namespace clementinesill::agent {

std::unique_ptr<IRoleModule> makeAgentModule(const schema::DaemonSettings&, fleet::IFleetClient&, MetricsRegistry&)
{
    throw Error(ErrorKind::Unsupported, "the agent role is not built yet", "wait");
}

} // namespace clementinesill::agent
