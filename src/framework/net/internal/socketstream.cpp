#include "net/socketstream.h"

#include "foundation/error.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace clementinesill::net {

namespace asio = boost::asio;

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

[[noreturn]] void throwNetworkError(const boost::system::error_code& code)
{
    throw Error(ErrorKind::Network, "connection failed: " + code.message(), "open a new one");
}

} // namespace

SocketStream::SocketStream(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio::awaitable<std::size_t> SocketStream::readSome(std::span<std::byte> buffer)
{
    const auto [code, length] = co_await m_socket.async_read_some(asio::buffer(buffer.data(), buffer.size()), useTuple);
    if (code == asio::error::eof)
        co_return 0;
    if (code)
        throwNetworkError(code);
    co_return length;
}

asio::awaitable<void> SocketStream::write(std::span<const std::byte> bytes)
{
    const auto [code, length] = co_await asio::async_write(m_socket, asio::buffer(bytes.data(), bytes.size()), useTuple);
    if (code)
        throwNetworkError(code);
}

void SocketStream::shutdownWrite()
{
    boost::system::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void SocketStream::abort()
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

} // namespace clementinesill::net
