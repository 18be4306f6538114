#pragma once

#include <chrono>

namespace clementinesill {

using MonotonicTime = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

// Monotonic clock, passed to every component that depends on time so that tests can control it.
class IClock {
public:
    virtual ~IClock() = default;

    virtual MonotonicTime now() const = 0;
};

} // namespace clementinesill
