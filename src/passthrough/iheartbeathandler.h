#pragma once

#include <string>

namespace clementinesill::passthrough {

struct ServerHeartbeat;

// Receives the heartbeats of the server on this VM. Thread-safe.
class IHeartbeatHandler {
public:
    virtual ~IHeartbeatHandler() = default;

    // Must take effect for all flows that are opened after it returns, because the heartbeat is acknowledged then. Throws Error
    // (Unavailable) if it has not taken effect in time.
    virtual void onHeartbeat(const ServerHeartbeat& heartbeat) = 0;

    // The server is shutting down permanently. As above, no flow is opened after it returns.
    virtual void onServerShutdown(const std::string& name) = 0;
};

} // namespace clementinesill::passthrough
