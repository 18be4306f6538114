#pragma once

#include "foundation/types/endpoint.h"

#include <cstdint>
#include <string>

namespace clementinesill::fleet {

// A backend server as every daemon knows it.
struct ServerEntry {
    std::uint32_t id = 0;
    std::uint32_t incarnation = 0;
    std::uint32_t serviceId = 0;
    Endpoint agent;
    std::uint32_t weight = 1;
    // Requests the server runs at once; 0 if not told.
    std::uint32_t slots = 0;
    bool draining = false;
    // Has not renewed its lease: dead, or cut off from the controllers.
    bool silent = false;
    bool zoneOut = false;
    std::string zone;
    std::string name;

    // Whether new flows may go to it.
    bool accepting() const { return !draining && !silent && !zoneOut; }
};

} // namespace clementinesill::fleet
