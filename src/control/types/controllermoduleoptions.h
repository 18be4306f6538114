#pragma once

#include "control/operatorlistenerfactory.h"

#include <functional>
#include <string>
#include <vector>

namespace clementinesill::control {

// Dependencies of a controller that its settings do not contain.
struct ControllerModuleOptions {
    // Returns the gRPC endpoints of the controllers to join, read from the settings at each call; unset if the settings
    // list the members of the group.
    std::function<std::vector<std::string>()> seeds;
    // Creates a listener that serves operators over a second protocol besides gRPC; unset if there is none.
    OperatorListenerFactory operatorListener;
};

} // namespace clementinesill::control
