#pragma once

#include "foundation/types/endpoint.h"
#include "net/ibytestream.h"

#include <chrono>

namespace clementinesill::tcpstack {

// A TCP connection that is terminated by a user-space stack. Used on the stack's event loop only.
class ITcpConnection : public IByteStream {
public:
    virtual Endpoint remote() const = 0;

    // Sends the first keepalive probe to an idle peer after `idle`, further ones every `interval`, and aborts the connection
    // after `count` probes without a response.
    virtual void enableKeepalive(std::chrono::milliseconds idle, std::chrono::milliseconds interval, unsigned count) = 0;

    // Closes the sending direction and releases the connection; bytes already written are still delivered.
    virtual void close() = 0;
};

} // namespace clementinesill::tcpstack
