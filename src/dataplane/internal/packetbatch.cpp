#include "dataplane/internal/packetbatch.h"

#include <cerrno>

namespace clementinesill::dataplane {

PacketBatch::PacketBatch()
    : m_buffer(maximumDatagrams * maximumDatagramBytes)
{
    for (std::size_t index = 0; index < maximumDatagrams; ++index) {
        m_receiveVectors[index] = { .iov_base = m_buffer.data() + index * maximumDatagramBytes, .iov_len = maximumDatagramBytes };
        m_receiveHeaders[index].msg_hdr.msg_iov = &m_receiveVectors[index];
        m_receiveHeaders[index].msg_hdr.msg_iovlen = 1;
        m_receiveHeaders[index].msg_hdr.msg_name = &m_sources[index];
        m_sendHeaders[index].msg_hdr.msg_iov = m_sendVectors[index].data();
        m_sendHeaders[index].msg_hdr.msg_iovlen = 2;
        m_sendHeaders[index].msg_hdr.msg_name = &m_targets[index];
        m_sendHeaders[index].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
}

std::size_t PacketBatch::receive(int socket)
{
    for (auto& header : m_receiveHeaders)
        header.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    m_queuedCount = 0;
    const int count = recvmmsg(socket, m_receiveHeaders.data(), maximumDatagrams, MSG_WAITFORONE, nullptr);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
}

bool PacketBatch::isTruncated(std::size_t index) const
{
    return m_receiveHeaders[index].msg_hdr.msg_flags & MSG_TRUNC;
}

std::span<const std::byte> PacketBatch::datagram(std::size_t index) const
{
    return { m_buffer.data() + index * maximumDatagramBytes, m_receiveHeaders[index].msg_len };
}

Endpoint PacketBatch::source(std::size_t index) const
{
    return { .address = ntohl(m_sources[index].sin_addr.s_addr), .port = ntohs(m_sources[index].sin_port) };
}

std::span<std::byte> PacketBatch::headerBuffer(std::size_t index)
{
    return m_outerHeaders[index];
}

void PacketBatch::queue(std::size_t index, std::size_t headerBytes, std::span<const std::byte> packet, const Endpoint& target)
{
    m_sendVectors[m_queuedCount][0] = { .iov_base = m_outerHeaders[index].data(), .iov_len = headerBytes };
    m_sendVectors[m_queuedCount][1] = { .iov_base = const_cast<std::byte*>(packet.data()), .iov_len = packet.size() };
    m_targets[m_queuedCount] = { .sin_family = AF_INET, .sin_port = htons(target.port), .sin_addr = { htonl(target.address) }, .sin_zero = {} };
    ++m_queuedCount;
}

SendErrorCounts PacketBatch::flush(int socket)
{
    SendErrorCounts errors {};
    std::size_t handledCount = 0;
    while (handledCount < m_queuedCount) {
        const int count = sendmmsg(socket, m_sendHeaders.data() + handledCount, static_cast<unsigned>(m_queuedCount - handledCount), 0);
        if (count > 0) {
            handledCount += static_cast<std::size_t>(count);
            continue;
        }
        if (errno == EINTR)
            continue;
        // The first remaining datagram failed, for example because it has no route. It is skipped so that the others are sent.
        ++errors[static_cast<std::size_t>(classifySendError(errno))];
        ++handledCount;
    }
    m_queuedCount = 0;
    return errors;
}

} // namespace clementinesill::dataplane
