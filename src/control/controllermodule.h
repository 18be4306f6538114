#pragma once

#include "control/types/controllermoduleoptions.h"
#include "foundation/irolemodule.h"

#include <memory>

namespace clementinesill {
class MetricsRegistry;
namespace schema {
class DaemonSettings;
}
} // namespace clementinesill

namespace clementinesill::control {

// Creates the controller role: the replicated log, the fleet state that it replicates, and the gRPC services.
std::unique_ptr<IRoleModule> makeControllerModule(const schema::DaemonSettings& settings, MetricsRegistry& metrics, const ControllerModuleOptions& options = {});

} // namespace clementinesill::control
