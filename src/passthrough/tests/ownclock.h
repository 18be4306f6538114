#pragma once

#include "testing/manualclock.h"

namespace clementinesill::passthrough {

// A clock that is there before what uses it: the first base of an agent under test.
struct OwnClock {
    ManualClock clock;
};

} // namespace clementinesill::passthrough
