#pragma once

#include "fleet.pb.h"

#include <vector>

namespace clementinesill::operators {

// Validated content of an operators' folder. Records are sorted by name, with defaults filled in.
struct FleetConfig {
    // Ids are 0: the controllers assign them.
    std::vector<schema::Service> services;
    // A zone without a state in the files has ZONE_STATE_UNSPECIFIED: an existing zone keeps its state, a new one
    // gets ZONE_STATE_IN.
    std::vector<schema::Zone> zones;
};

} // namespace clementinesill::operators
