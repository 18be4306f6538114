#pragma once

#include "foundation/types/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <span>

namespace clementinesill::tcpstack {

class ITcpConnection;

using AcceptHandler = std::function<void(std::shared_ptr<ITcpConnection>)>;

// A user-space TCP stack whose owner delivers the received IPv4 packets and sends the outgoing ones. All functions must be
// called on one event loop.
class ITcpStack {
public:
    virtual ~ITcpStack() = default;

    // Processes one received IPv4 packet.
    virtual void input(std::span<const std::byte> packet) = 0;

    // Accepts connections on a port of the stack's address. Throws Error (AddressInUse).
    virtual void listen(std::uint16_t port, AcceptHandler handler) = 0;

    // Discards the connection with the remote endpoint, in any state, without sending a packet. Its pending reads and writes
    // throw. Must not be called from within a callback of the stack.
    virtual void discardConnection(Endpoint remote) = 0;

    // Returns the number of connections with data or a FIN that the peer has not acknowledged yet.
    virtual std::size_t unacknowledgedConnectionCount() const = 0;

    // Opens a connection from an ephemeral port. Throws Error (Network) if it is refused or times out.
    virtual boost::asio::awaitable<std::shared_ptr<ITcpConnection>> connect(Endpoint remote) = 0;
};

} // namespace clementinesill::tcpstack
