#pragma once

#include <string>

namespace clementinesill::control {

// Another controller.
struct ReplicaPeer {
    std::string name;
    // Where it serves gRPC.
    std::string endpoint;
};

} // namespace clementinesill::control
