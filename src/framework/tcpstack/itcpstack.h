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

// TCP in user space over IPv4 packets that its owner brings and takes away. All calls belong on one loop.
class ITcpStack {
public:
    virtual ~ITcpStack() = default;

    // Feeds one IPv4 packet.
    virtual void input(std::span<const std::byte> packet) = 0;

    // Accepts connections on a port of the stack's address. Throws Error (AddressInUse).
    virtual void listen(std::uint16_t port, AcceptHandler handler) = 0;

    // Drops what the stack knows of the connection with the remote endpoint, in whatever state, and sends nothing. The
    // connection's pending reads and writes throw. Not to be called while the stack calls out.
    virtual void forget(Endpoint remote) = 0;

    // Connections with bytes, or an end, that the peer has not acknowledged yet.
    virtual std::size_t undelivered() const = 0;

    // Opens a connection from a local port of the stack's choosing. Throws Error (Network) if it is refused or times out.
    virtual boost::asio::awaitable<std::shared_ptr<ITcpConnection>> connect(Endpoint remote) = 0;
};

} // namespace clementinesill::tcpstack
