#pragma once

#include "control/operatorlistener.h"

#include <functional>
#include <string>
#include <vector>

namespace clementinesill::control {

// What a controller works with beside its settings.
struct ControllerModuleOptions {
    // gRPC endpoints of controllers to join, as the settings name them now; unset if the settings name the group.
    std::function<std::vector<std::string>()> seeds;
    // Serves operators by another protocol beside gRPC; unset if there is none.
    OperatorListenerFactory operatorListener;
};

} // namespace clementinesill::control
