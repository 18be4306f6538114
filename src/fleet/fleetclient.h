#pragma once

#include "fleet/ifleetclient.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace clementinesill::schema {
class DaemonSettings;
}

namespace clementinesill::fleet {

// Returns the gRPC endpoints of the controllers that are configured at the time of the call. Called from the client's
// threads.
using ControllerSource = std::function<std::vector<std::string>()>;

// Client of the controllers over gRPC. Without a source, it uses the controllers in the settings. With a source, it also uses
// the controllers that are listed in table updates. Throws Error (InvalidSettings) if there is no source and the settings
// list no controllers.
std::unique_ptr<IFleetClient> makeFleetClient(const schema::DaemonSettings& settings, const ControllerSource& source = {});

} // namespace clementinesill::fleet
