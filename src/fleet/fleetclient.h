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

// gRPC endpoints of the controllers to ask first, as the settings name them now. Called from the client's threads.
using ControllerSource = std::function<std::vector<std::string>()>;

// Link to the controllers over gRPC. Without a source they are those of the settings; with one, more are learned from the
// controllers themselves.
std::unique_ptr<IFleetClient> makeFleetClient(const schema::DaemonSettings& settings, const ControllerSource& source = {});

} // namespace clementinesill::fleet
