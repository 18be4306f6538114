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

// Wires the controller role: the replicated log and the gRPC services over it.
std::unique_ptr<IRoleModule> makeControllerModule(const schema::DaemonSettings& settings, MetricsRegistry& metrics, const ControllerModuleOptions& options = {});

} // namespace clementinesill::control
