#include "net/udpsocket.h"

#include "foundation/error.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace clementinesill::net {

namespace {

// Absorbs bursts that arrive while the reading thread is not scheduled. The kernel limits the size to net.core.rmem_max.
constexpr int receiveBufferBytes = 8 * 1024 * 1024;

[[noreturn]] void throwOpenError(const Endpoint& endpoint, int code)
{
    const auto problem = "cannot bind UDP " + format(endpoint) + ": " + std::strerror(code);
    if (code == EADDRINUSE)
        throw Error(ErrorKind::AddressInUse, problem, "stop the process that holds the address, or choose another");
    throw Error(ErrorKind::Network, problem, "use an address of this VM");
}

void setOption(int socket, int option, int value)
{
    setsockopt(socket, SOL_SOCKET, option, &value, sizeof(value));
}

} // namespace

int openUdpSocket(const UdpSocketOptions& options)
{
    const int type = SOCK_DGRAM | SOCK_CLOEXEC | (options.nonBlocking ? SOCK_NONBLOCK : 0);
    const int socket = ::socket(AF_INET, type, 0);
    if (socket < 0)
        throwOpenError(options.endpoint, errno);
    if (options.reusePort)
        setOption(socket, SO_REUSEPORT, 1);
    setOption(socket, SO_RCVBUF, receiveBufferBytes);
    const timeval timeout { .tv_sec = options.receiveTimeout.count() / 1000, .tv_usec = (options.receiveTimeout.count() % 1000) * 1000 };
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    const sockaddr_in address { .sin_family = AF_INET, .sin_port = htons(options.endpoint.port), .sin_addr = { htonl(options.endpoint.address) }, .sin_zero = {} };
    if (bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) < 0) {
        const int code = errno;
        close(socket);
        throwOpenError(options.endpoint, code);
    }
    return socket;
}

bool sendDatagram(int socket, std::span<const std::byte> header, std::span<const std::byte> payload, const Endpoint& target)
{
    std::array<iovec, 2> parts { iovec { .iov_base = const_cast<std::byte*>(header.data()), .iov_len = header.size() }, iovec { .iov_base = const_cast<std::byte*>(payload.data()), .iov_len = payload.size() } };
    sockaddr_in address { .sin_family = AF_INET, .sin_port = htons(target.port), .sin_addr = { htonl(target.address) }, .sin_zero = {} };
    msghdr datagram {};
    datagram.msg_name = &address;
    datagram.msg_namelen = sizeof(address);
    datagram.msg_iov = parts.data();
    datagram.msg_iovlen = parts.size();
    return sendmsg(socket, &datagram, 0) >= 0;
}

} // namespace clementinesill::net
