#pragma once

#include <cstdint>

namespace clementinesill::agent {

// What the controllers are told with each renewal.
struct ServerReport {
    std::uint32_t inProgress = 0;
    std::uint32_t flows = 0;
    bool healthy = true;
    std::uint32_t warmupLimit = 0;
};

} // namespace clementinesill::agent
