#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace clementinesill::passthrough {

// What a server says about itself from time to time.
struct ServerBeat {
    // Unique among servers; a restarted server may keep it.
    std::string name;
    std::string service;
    std::string zone;
    // Requests the server runs at once.
    std::uint32_t slots = 0;
    // The server leaves: it finishes what it holds.
    bool draining = false;
    // How much longer the server bears only the rate of a cold one.
    std::chrono::milliseconds coldRemaining { 0 };
    // Grows with each heartbeat of one start.
    std::uint64_t sequence = 0;
    // When this start of the server began, in milliseconds since the Unix epoch on the server's clock; 0 if not told.
    std::uint64_t startedAtMs = 0;
};

} // namespace clementinesill::passthrough
