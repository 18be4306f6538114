#pragma once

#include <cstdint>

namespace clementinesill::admission {

// What a backend server carries now.
struct AdmissionLoad {
    std::uint32_t flows = 0;
    std::uint32_t requests = 0;
    std::uint32_t queued = 0;
    // Requests admitted at once at most.
    std::uint32_t limit = 0;
};

} // namespace clementinesill::admission
