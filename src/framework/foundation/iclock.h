#pragma once

#include <chrono>

namespace clementinesill {

using MonotonicTime = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

// Monotonic time. Every decision that depends on time takes its clock from outside.
class IClock {
public:
    virtual ~IClock() = default;

    virtual MonotonicTime now() const = 0;
};

} // namespace clementinesill
