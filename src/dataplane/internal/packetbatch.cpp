#include "dataplane/internal/packetbatch.h"

#include <cerrno>

namespace clementinesill::dataplane {

PacketBatch::PacketBatch()
    : m_buffer(maximumDatagrams * maximumDatagramBytes)
{
    for (std::size_t index = 0; index < maximumDatagrams; ++index) {
        m_receiveVectors[index] = { .iov_base = m_buffer.data() + index * maximumDatagramBytes, .iov_len = maximumDatagramBytes };
        m_received[index].msg_hdr.msg_iov = &m_receiveVectors[index];
        m_received[index].msg_hdr.msg_iovlen = 1;
        m_received[index].msg_hdr.msg_name = &m_sources[index];
        m_toSend[index].msg_hdr.msg_iov = m_sendVectors[index].data();
        m_toSend[index].msg_hdr.msg_iovlen = 2;
        m_toSend[index].msg_hdr.msg_name = &m_targets[index];
        m_toSend[index].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
}

std::size_t PacketBatch::receive(int socket)
{
    for (auto& header : m_received)
        header.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    m_queued = 0;
    const int count = recvmmsg(socket, m_received.data(), maximumDatagrams, MSG_WAITFORONE, nullptr);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
}

bool PacketBatch::truncated(std::size_t index) const
{
    return m_received[index].msg_hdr.msg_flags & MSG_TRUNC;
}

std::span<const std::byte> PacketBatch::datagram(std::size_t index) const
{
    return { m_buffer.data() + index * maximumDatagramBytes, m_received[index].msg_len };
}

Endpoint PacketBatch::source(std::size_t index) const
{
    return { .address = ntohl(m_sources[index].sin_addr.s_addr), .port = ntohs(m_sources[index].sin_port) };
}

std::span<std::byte> PacketBatch::headerSpace(std::size_t index)
{
    return m_headers[index];
}

void PacketBatch::queue(std::size_t index, std::size_t headerBytes, std::span<const std::byte> packet, const Endpoint& target)
{
    m_sendVectors[m_queued][0] = { .iov_base = m_headers[index].data(), .iov_len = headerBytes };
    m_sendVectors[m_queued][1] = { .iov_base = const_cast<std::byte*>(packet.data()), .iov_len = packet.size() };
    m_targets[m_queued] = { .sin_family = AF_INET, .sin_port = htons(target.port), .sin_addr = { htonl(target.address) }, .sin_zero = {} };
    ++m_queued;
}

SendErrorCounts PacketBatch::flush(int socket)
{
    SendErrorCounts errors {};
    std::size_t done = 0;
    while (done < m_queued) {
        const int count = sendmmsg(socket, m_toSend.data() + done, static_cast<unsigned>(m_queued - done), 0);
        if (count > 0) {
            done += static_cast<std::size_t>(count);
            continue;
        }
        if (errno == EINTR)
            continue;
        // A refused first datagram, such as one without a route, must not hold back the others.
        ++errors[static_cast<std::size_t>(sendError(errno))];
        ++done;
    }
    m_queued = 0;
    return errors;
}

} // namespace clementinesill::dataplane
