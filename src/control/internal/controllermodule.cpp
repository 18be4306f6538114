#include "control/controllermodule.h"

#include "foundation/error.h"

namespace clementinesill::control {

std::unique_ptr<IRoleModule> makeControllerModule(const schema::DaemonSettings&, MetricsRegistry&)
{
    throw Error(ErrorKind::Unsupported, "the controller role is not built yet", "wait");
}

} // namespace clementinesill::control
