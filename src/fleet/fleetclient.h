#pragma once

#include "fleet/ifleetclient.h"

#include <memory>

namespace clementinesill::schema {
class DaemonSettings;
}

namespace clementinesill::fleet {

// Link to the controllers over gRPC, as named by the settings.
std::unique_ptr<IFleetClient> makeFleetClient(const schema::DaemonSettings& settings);

} // namespace clementinesill::fleet
