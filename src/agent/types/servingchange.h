#pragma once

namespace clementinesill::agent {

// What a newer table changes for this agent's server.
struct ServingChange {
    bool zoneLeft = false;
    bool zoneReturned = false;
    bool drainStarted = false;
    bool drainEnded = false;
};

} // namespace clementinesill::agent
