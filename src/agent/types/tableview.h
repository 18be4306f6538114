#pragma once

#include "foundation/iclock.h"

namespace clementinesill::fleet {
class FleetTable;
}

namespace clementinesill::agent {

// An agent's fleet table and the time at which it was last confirmed to be current. The table must outlive the view.
struct TableView {
    const fleet::FleetTable& table;
    // When a controller with a valid lease last confirmed that no newer version exists.
    MonotonicTime confirmedAt;
};

} // namespace clementinesill::agent
