#pragma once

namespace clementinesill::agent {

// Changes in a newer table that affect this agent's server.
struct ServingChange {
    bool zoneTakenOut = false;
    bool zoneReturned = false;
    bool drainStarted = false;
    bool drainEnded = false;
};

} // namespace clementinesill::agent
