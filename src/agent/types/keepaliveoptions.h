#pragma once

#include <chrono>

namespace clementinesill::agent {

// TCP keepalive settings, by which a dead peer is detected.
struct KeepaliveOptions {
    // Idle time before the first probe.
    std::chrono::milliseconds idle { 30000 };
    // Time between probes.
    std::chrono::milliseconds interval { 5000 };
    // Number of unacknowledged probes after which the connection is aborted.
    unsigned count = 4;
};

} // namespace clementinesill::agent
