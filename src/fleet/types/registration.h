#pragma once

#include <cstdint>

namespace clementinesill::fleet {

// Identity that the controllers assign to a server on registration.
struct Registration {
    std::uint32_t serverId = 0;
    std::uint32_t incarnation = 0;
};

} // namespace clementinesill::fleet
