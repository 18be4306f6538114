#pragma once

#include "foundation/iclock.h"

namespace clementinesill {

// The machine's monotonic clock.
class SystemClock final : public IClock {
public:
    MonotonicTime now() const override { return std::chrono::steady_clock::now(); }
};

} // namespace clementinesill
