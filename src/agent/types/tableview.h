#pragma once

#include "foundation/iclock.h"

namespace clementinesill::fleet {
class FleetTable;
}

namespace clementinesill::agent {

// The table an agent holds and how far it can rely on it. The table must outlive the view.
struct TableView {
    const fleet::FleetTable& table;
    // When a controller with a live lease last said that no newer version exists.
    MonotonicTime confirmedAt;
};

} // namespace clementinesill::agent
