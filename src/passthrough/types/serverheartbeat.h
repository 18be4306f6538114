#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace clementinesill::passthrough {

// State that a server reports periodically.
struct ServerHeartbeat {
    // Unique among servers; may stay the same when the server restarts.
    std::string name;
    std::string service;
    std::string zone;
    // Number of requests the server processes concurrently.
    std::uint32_t slots = 0;
    // The server is shutting down and finishes its open flows.
    bool draining = false;
    // How much longer the server handles only the request rate of a cold server.
    std::chrono::milliseconds coldRemaining { 0 };
    // Increases with each heartbeat of one instance.
    std::uint64_t sequence = 0;
    // When this instance started, in milliseconds since the Unix epoch by the server's clock; 0 if not reported.
    std::uint64_t startedAtMs = 0;

    // Whether both were sent by one instance. Two instances may report the same start.
    bool isSameInstance(const ServerHeartbeat& other) const { return name == other.name && startedAtMs == other.startedAtMs; }
};

} // namespace clementinesill::passthrough
