#pragma once

#include <cstdint>

namespace clementinesill::admission {

// Result of a run of the overload model.
struct OverloadResult {
    // Requests completed within the callers' timeout, relative to the capacity of the warm server.
    double goodput = 0;
    std::uint64_t completed = 0;
    std::uint64_t rejected = 0;
    std::uint32_t maximumConcurrency = 0;
    // Requests started while the number of running requests exceeded the server's current capacity.
    std::uint64_t overruns = 0;
    // Crashes of the server due to overload.
    std::uint64_t collapses = 0;
};

} // namespace clementinesill::admission
