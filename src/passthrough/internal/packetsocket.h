#pragma once

#include "foundation/types/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstddef>
#include <functional>
#include <span>
#include <vector>

namespace clementinesill::dataplane {
struct GeneveMessage;
}

namespace clementinesill::passthrough {

// A UDP socket on a loop.
class PacketSocket {
public:
    using Handler = std::function<void(std::span<std::byte> datagram)>;

    // Binds the socket. Throws Error (AddressInUse or Network).
    PacketSocket(boost::asio::io_context& loop, const Endpoint& endpoint);

    // Hands each datagram to the handler until the loop ends.
    boost::asio::awaitable<void> run(Handler handler);

    // Sends the packet as it is; false if the kernel did not take it.
    bool send(std::span<const std::byte> packet, const Endpoint& target);

    // Sends the message with its header in front of the payload; false if the kernel did not take it.
    bool send(const dataplane::GeneveMessage& message, std::span<const std::byte> payload, const Endpoint& target);

private:
    boost::asio::posix::stream_descriptor m_socket;
    std::vector<std::byte> m_buffer;
};

} // namespace clementinesill::passthrough
