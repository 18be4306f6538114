#pragma once

#include <string>

namespace clementinesill::passthrough {

struct ServerBeat;

// Where the heartbeats of the server on this VM arrive. Thread-safe.
class IServerBeats {
public:
    virtual ~IServerBeats() = default;

    // In force at once for new flows, so that the heartbeat may be acknowledged.
    virtual void beat(const ServerBeat& beat) = 0;

    // The server ends for good.
    virtual void leave(const std::string& name) = 0;
};

} // namespace clementinesill::passthrough
