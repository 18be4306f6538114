#pragma once

namespace clementinesill::agent {

// Result of one request to the backend server's health endpoint.
enum class ServerProbeResult {
    Healthy,
    // The response status is not 2xx.
    Unhealthy,
    // The connection was refused, since no process listens on the port.
    Refused,
    // No response within the timeout, or any other connection error.
    TimedOut,
};

// The actions that follow from a probe result.
struct HealthChange {
    // The server accepts connections again after it had refused one; the warm-up must restart.
    bool restarted = false;
    // The server is unhealthy; its concurrency limit must be lowered until the next probe.
    bool shouldLowerLimit = false;
};

} // namespace clementinesill::agent
