#pragma once

#include "foundation/iclock.h"

#include <ctime>

namespace clementinesill {

// The machine's monotonic clock, which goes on while the VM is suspended: a lease that ends meanwhile is over.
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
