#pragma once

#include <array>
#include <cstddef>
#include <span>
#include <sys/socket.h>
#include <vector>

namespace clementinesill::passthrough {

// Buffers for the datagrams that one system call reads.
class DatagramBatch {
public:
    // About as many small datagrams as the kernel queues by default, so that one read takes them all.
    static constexpr std::size_t maximumDatagrams = 256;

    DatagramBatch();
    DatagramBatch(const DatagramBatch&) = delete;
    DatagramBatch& operator=(const DatagramBatch&) = delete;

    // Reads the datagrams that have arrived, without waiting. They are valid until the next call.
    std::span<const std::span<std::byte>> receive(int socket);

private:
    std::vector<std::byte> m_buffer;
    std::array<iovec, maximumDatagrams> m_vectors {};
    std::array<mmsghdr, maximumDatagrams> m_headers {};
    std::array<std::span<std::byte>, maximumDatagrams> m_datagrams {};
};

} // namespace clementinesill::passthrough
