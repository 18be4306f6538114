#include "passthrough/internal/packetsocket.h"

#include "dataplane/genevecodec.h"
#include "net/udpsocket.h"
#include "passthrough/internal/datagrambatch.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sys/socket.h>

namespace clementinesill::passthrough {

namespace asio = boost::asio;

namespace {

constexpr std::size_t maximumDatagramBytes = 2048;
// Datagrams read in a row before other tasks of the loop run.
constexpr int datagramsPerWakeup = 64;

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
        for (int count = 0; count < datagramsPerWakeup; ++count) {
            const auto length = recv(m_socket.native_handle(), m_buffer.data(), m_buffer.size(), 0);
            if (length < 0)
                break;
            handler(std::span(m_buffer).first(static_cast<std::size_t>(length)));
        }
    }
}

asio::awaitable<void> PacketSocket::runBatches(BatchHandler handler)
{
    const auto batch = std::make_unique<DatagramBatch>();
    while (true) {
        co_await m_socket.async_wait(asio::posix::stream_descriptor::wait_read, asio::use_awaitable);
        if (const auto datagrams = batch->receive(m_socket.native_handle()); !datagrams.empty())
            handler(datagrams);
    }
}

bool PacketSocket::send(std::span<const std::byte> packet, const Endpoint& target)
{
    return net::sendDatagram(m_socket.native_handle(), {}, packet, target);
}

bool PacketSocket::send(const dataplane::GeneveMessage& message, std::span<const std::byte> payload, const Endpoint& target)
{
    std::array<std::byte, dataplane::maximumGeneveHeaderBytes> header;
    const auto headerBytes = dataplane::encodeGeneveHeader(message, header);
    return net::sendDatagram(m_socket.native_handle(), std::span(header).first(headerBytes), payload, target);
}

} // namespace clementinesill::passthrough
