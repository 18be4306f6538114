#include "fleet/fleetclient.h"

#include "foundation/error.h"

namespace clementinesill::fleet {

std::unique_ptr<IFleetClient> makeFleetClient(const schema::DaemonSettings&)
{
    throw Error(ErrorKind::Unsupported, "the fleet client is not built yet", "wait");
}

} // namespace clementinesill::fleet
