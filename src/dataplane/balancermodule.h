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

namespace clementinesill::dataplane {

// Creates the module of the balancer role, which forwards packets from the fabric to the agents. All arguments but settings
// must outlive it.
std::unique_ptr<IRoleModule> makeBalancerModule(const schema::DaemonSettings& settings, fleet::IFleetClient& fleet, MetricsRegistry& metrics);

} // namespace clementinesill::dataplane
