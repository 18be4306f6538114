#pragma once

#include <cstdint>

namespace clementinesill::agent {

// Load and health that are sent to the controllers with each lease renewal.
struct ServerReport {
    std::uint32_t inProgress = 0;
    std::uint32_t flows = 0;
    bool healthy = true;
    std::uint32_t warmupLimit = 0;
};

} // namespace clementinesill::agent
