#pragma once

#include "foundation/types/endpoint.h"
#include "net/ibytestream.h"

#include <chrono>

namespace clementinesill::tcpstack {

// A TCP connection that ends in this process. Used on the stack's loop only.
class ITcpConnection : public IByteStream {
public:
    virtual Endpoint remote() const = 0;

    // Probes a silent peer after idle, then every interval, and breaks the connection after count probes unanswered.
    virtual void enableKeepalive(std::chrono::milliseconds idle, std::chrono::milliseconds interval, unsigned count) = 0;

    // Sends the end of this direction and forgets the connection; what was written is still delivered.
    virtual void close() = 0;
};

} // namespace clementinesill::tcpstack
