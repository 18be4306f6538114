#pragma once

#include "foundation/iclock.h"
#include "passthrough/tests/requestclass.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace clementinesill::passthrough {

// Load on one service around a restart of all VMs, and the capacity of its servers.
struct RestartScenario {
    std::uint32_t servers = 7;
    std::uint32_t slots = 5;
    // Requests per second.
    double rate = 376;
    // How long no server responds.
    Duration outage = std::chrono::milliseconds(1500);
    // How long callers send new requests after the outage.
    Duration length = std::chrono::seconds(3);
    // Time in a slot; multiplied by coldFactor for a cold server.
    Duration serviceTime = std::chrono::milliseconds(32);
    double coldFactor = 1.6;
    Duration coldTime = std::chrono::seconds(2);
    // Responses within the target latency are in time, later ones within the timeout are late.
    Duration targetLatency = std::chrono::milliseconds(150);
    Duration timeout = std::chrono::milliseconds(1500);
    int retries = 2;
    // If given, they replace the rate, service time, latency target and timeout above.
    std::vector<RequestClass> classes;
    // The rates are multiplied by this until the end of the burst.
    double burstFactor = 1;
    Duration burstLength { 0 };
    // Capacity of each agent's queue of waiting SYNs; 0: none wait, and requests start with their SYN.
    std::size_t waitingOpenings = 0;
    // Speeds of the servers, repeated; work takes longer at a lower speed.
    std::vector<double> speeds { 1 };
    // Share of the requests that are lost between caller and server after the handshake.
    double requestLoss = 0;
    std::uint64_t seed = 1;
};

} // namespace clementinesill::passthrough
