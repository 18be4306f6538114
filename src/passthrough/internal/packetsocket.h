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

// A UDP socket on an event loop.
class PacketSocket {
public:
    using Handler = std::function<void(std::span<std::byte> datagram)>;

    // Gets the datagrams of one wake-up in order of arrival.
    using BatchHandler = std::function<void(std::span<const std::span<std::byte>> datagrams)>;

    // Binds the socket. Throws Error (AddressInUse or Network).
    PacketSocket(boost::asio::io_context& loop, const Endpoint& endpoint);

    // Calls the handler for each received datagram until the loop is stopped.
    boost::asio::awaitable<void> run(Handler handler);

    // The same, but with all datagrams that one system call reads at once, so that the handler can choose their order.
    boost::asio::awaitable<void> runBatches(BatchHandler handler);

    // Sends the packet unchanged. Returns false if the kernel rejected it.
    bool send(std::span<const std::byte> packet, const Endpoint& target);

    // Sends the message's header followed by the payload. Returns false if the kernel rejected it.
    bool send(const dataplane::GeneveMessage& message, std::span<const std::byte> payload, const Endpoint& target);

private:
    boost::asio::posix::stream_descriptor m_socket;
    std::vector<std::byte> m_buffer;
};

} // namespace clementinesill::passthrough
