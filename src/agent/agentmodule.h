#pragma once

#include "foundation/irolemodule.h"

#include <memory>

namespace clementinesill {
class MetricsRegistry;
namespace fleet {
class IFleetClient;
}
namespace schema {
class DaemonSettings;
}
} // namespace clementinesill

namespace clementinesill::agent {

// Wires the agent role: flows of callers to the backend server on the same VM.
std::unique_ptr<IRoleModule> makeAgentModule(const schema::DaemonSettings& settings, fleet::IFleetClient& fleet, MetricsRegistry& metrics);

} // namespace clementinesill::agent
