#include "passthrough/internal/datagrambatch.h"

namespace clementinesill::passthrough {

namespace {

constexpr std::size_t maximumDatagramBytes = 2048;

} // namespace

DatagramBatch::DatagramBatch()
    : m_buffer(maximumDatagrams * maximumDatagramBytes)
{
    for (std::size_t index = 0; index < maximumDatagrams; ++index) {
        m_vectors[index] = { .iov_base = m_buffer.data() + index * maximumDatagramBytes, .iov_len = maximumDatagramBytes };
        m_headers[index].msg_hdr.msg_iov = &m_vectors[index];
        m_headers[index].msg_hdr.msg_iovlen = 1;
    }
}

std::span<const std::span<std::byte>> DatagramBatch::receive(int socket)
{
    const int received = recvmmsg(socket, m_headers.data(), maximumDatagrams, MSG_DONTWAIT, nullptr);
    const auto count = received > 0 ? static_cast<std::size_t>(received) : 0;
    for (std::size_t index = 0; index < count; ++index)
        m_datagrams[index] = std::span(m_buffer).subspan(index * maximumDatagramBytes, m_headers[index].msg_len);
    return std::span(m_datagrams).first(count);
}

} // namespace clementinesill::passthrough
