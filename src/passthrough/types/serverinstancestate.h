#pragma once

namespace clementinesill::passthrough {

// What the agent knows about the instance that sent a heartbeat.
struct ServerInstanceState {
    // It has replaced another instance, or has started again.
    bool restarted = false;
    // It has sent several heartbeats, so that it is known to run.
    bool verified = false;
    // It takes new flows, and the drain that the controllers may have recorded for its boot id is over.
    bool endsDrain = false;
};

} // namespace clementinesill::passthrough
