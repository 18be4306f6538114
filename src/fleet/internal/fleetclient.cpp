#include "fleet/fleetclient.h"

#include "fleet/internal/grpcfleetclient.h"
#include "foundation/error.h"

namespace clementinesill::fleet {

std::unique_ptr<IFleetClient> makeFleetClient(const schema::DaemonSettings& settings, const ControllerSource& source)
{
    if (!source && settings.controllers().empty())
        throw Error(ErrorKind::InvalidSettings, "the settings list no controllers", "list the controllers' gRPC endpoints under 'controllers'");
    return std::make_unique<GrpcFleetClient>(settings, source);
}

} // namespace clementinesill::fleet
