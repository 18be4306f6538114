#pragma once

#include <string>

namespace clementinesill::control {

// Another controller.
struct ReplicaPeer {
    std::string name;
    // gRPC endpoint.
    std::string endpoint;
};

} // namespace clementinesill::control
