#include "passthrough/internal/packetsocket.h"

#include "net/udpsocket.h"

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sys/socket.h>

namespace clementinesill::passthrough {

namespace asio = boost::asio;

namespace {

constexpr std::size_t maximumDatagramBytes = 2048;
// Datagrams read before other tasks of the loop run again.
constexpr int datagramsPerTurn = 64;

} // namespace

PacketSocket::PacketSocket(asio::io_context& loop, const Endpoint& endpoint)
    : m_socket(loop, net::openUdpSocket({ .endpoint = endpoint, .nonBlocking = true }))
    , m_buffer(maximumDatagramBytes)
{
}

asio::awaitable<void> PacketSocket::run(Handler handler)
{
    while (true) {
        co_await m_socket.async_wait(asio::posix::stream_descriptor::wait_read, asio::use_awaitable);
        for (int turn = 0; turn < datagramsPerTurn; ++turn) {
            const auto length = recv(m_socket.native_handle(), m_buffer.data(), m_buffer.size(), 0);
            if (length < 0)
                break;
            handler(std::span(m_buffer).first(static_cast<std::size_t>(length)));
        }
    }
}

bool PacketSocket::send(std::span<const std::byte> header, std::span<const std::byte> payload, const Endpoint& target)
{
    return net::sendDatagram(m_socket.native_handle(), header, payload, target);
}

} // namespace clementinesill::passthrough
