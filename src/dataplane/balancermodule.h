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

// Wires the balancer role: packets from the fabric to the agents.
std::unique_ptr<IRoleModule> makeBalancerModule(const schema::DaemonSettings& settings, fleet::IFleetClient& fleet, MetricsRegistry& metrics);

} // namespace clementinesill::dataplane
