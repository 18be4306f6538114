#pragma once

namespace clementinesill::agent {

// What one look at the backend server's health endpoint found.
enum class ServerProbe {
    Healthy,
    // An answer other than success.
    Unhealthy,
    // The connection was refused: no process listens.
    Refused,
    // No answer in time.
    TimedOut,
};

// What the agent is to do about its backend server.
struct HealthChange {
    // The warm-up starts over: the server was seen gone and is back.
    bool restarted = false;
    // Less is to be given for the next interval.
    bool lower = false;
};

} // namespace clementinesill::agent
