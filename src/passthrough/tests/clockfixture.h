#pragma once

#include "testing/manualclock.h"

namespace clementinesill::passthrough {

// Holds the clock of a test; as first base class, it is constructed before the members that use the clock.
struct ClockFixture {
    ManualClock clock;
};

} // namespace clementinesill::passthrough
