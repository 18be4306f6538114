#pragma once

#include <cstdint>

namespace clementinesill::passthrough {

// What became of the requests sent during the outage, and of those sent after it.
struct ServedRequests {
    std::uint64_t during = 0;
    std::uint64_t duringLate = 0;
    std::uint64_t after = 0;
    std::uint64_t afterInTime = 0;
    std::uint64_t afterLate = 0;

    ServedRequests& operator+=(const ServedRequests& other)
    {
        during += other.during;
        duringLate += other.duringLate;
        after += other.after;
        afterInTime += other.afterInTime;
        afterLate += other.afterLate;
        return *this;
    }
};

} // namespace clementinesill::passthrough
