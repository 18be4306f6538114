#pragma once

#include "net/ibytestream.h"

#include <boost/asio/ip/tcp.hpp>

namespace clementinesill::net {

// A kernel TCP connection as a byte stream.
class SocketStream final : public IByteStream {
public:
    explicit SocketStream(boost::asio::ip::tcp::socket socket);

    boost::asio::awaitable<std::size_t> readSome(std::span<std::byte> buffer) override;
    boost::asio::awaitable<void> write(std::span<const std::byte> bytes) override;
    void shutdownWrite() override;
    void abort() override;

    boost::asio::ip::tcp::socket& socket() { return m_socket; }

private:
    boost::asio::ip::tcp::socket m_socket;
};

} // namespace clementinesill::net
