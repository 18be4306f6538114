#pragma once

#include <chrono>

namespace clementinesill::agent {

// How a silent peer is found.
struct KeepaliveOptions {
    // Silence before the first probe.
    std::chrono::milliseconds idle { 30000 };
    std::chrono::milliseconds interval { 5000 };
    // Unanswered probes after which the connection is broken.
    unsigned count = 4;
};

} // namespace clementinesill::agent
