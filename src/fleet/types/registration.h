#pragma once

#include <cstdint>

namespace clementinesill::fleet {

// What the controllers told a server's agent on its registration.
struct Registration {
    std::uint32_t serverId = 0;
    std::uint32_t incarnation = 0;
};

} // namespace clementinesill::fleet
