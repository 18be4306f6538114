#pragma once

#include "fleet.pb.h"

#include <vector>

namespace clementinesill::operators {

// Checked content of an operators' folder. Records are in the order of their names, defaults filled in.
struct FleetConfig {
    // Ids are 0: the controllers assign them.
    std::vector<schema::Service> services;
    // A zone whose files give no state has ZONE_STATE_UNSPECIFIED: it keeps the state that it has, or is in when new.
    std::vector<schema::Zone> zones;
};

} // namespace clementinesill::operators
