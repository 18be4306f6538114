#pragma once

#include <cstdint>

namespace clementinesill::admission {

// What a run of the model gave.
struct OverloadResult {
    // Answered within the callers' patience, over what the warm server can finish in the time.
    double goodput = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint32_t mostAtOnce = 0;
    // Requests started while the server bore fewer than were running.
    std::uint64_t overruns = 0;
    std::uint64_t collapses = 0;
};

} // namespace clementinesill::admission
