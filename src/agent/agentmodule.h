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

// Creates the agent role, which serves callers' flows with the backend server on the same VM.
std::unique_ptr<IRoleModule> makeAgentModule(const schema::DaemonSettings& settings, fleet::IFleetClient& fleet, MetricsRegistry& metrics);

} // namespace clementinesill::agent
