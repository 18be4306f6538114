#pragma once

#include "foundation/iclock.h"

#include <ctime>

namespace clementinesill {

// Monotonic clock that also advances while the VM is suspended, so that leases expire during a suspension.
class SystemClock final : public IClock {
public:
    MonotonicTime now() const override
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return MonotonicTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

} // namespace clementinesill
