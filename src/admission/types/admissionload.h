#pragma once

#include <cstdint>

namespace clementinesill::admission {

// Current load of a backend server.
struct AdmissionLoad {
    std::uint32_t flows = 0;
    std::uint32_t requests = 0;
    std::uint32_t queued = 0;
    // Current limit on concurrent requests.
    std::uint32_t limit = 0;
};

} // namespace clementinesill::admission
