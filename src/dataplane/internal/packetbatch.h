#pragma once

#include "dataplane/genevecodec.h"
#include "dataplane/types/senderror.h"
#include "foundation/types/endpoint.h"

#include <array>
#include <cstddef>
#include <netinet/in.h>
#include <span>
#include <sys/socket.h>
#include <vector>

namespace clementinesill::dataplane {

// Buffers for one batch of datagrams. Each is received, gets a new outer header and is sent without copying the packet.
class PacketBatch {
public:
    static constexpr std::size_t maximumDatagrams = 64;
    static constexpr std::size_t maximumDatagramBytes = 9216;

    PacketBatch();
    PacketBatch(const PacketBatch&) = delete;
    PacketBatch& operator=(const PacketBatch&) = delete;

    // Reads the datagrams that are available and returns their number. Waits up to the receive timeout of the socket for the
    // first.
    std::size_t receive(int socket);

    // Whether the datagram was larger than maximumDatagramBytes and was cut off.
    bool isTruncated(std::size_t index) const;

    std::span<const std::byte> datagram(std::size_t index) const;
    Endpoint source(std::size_t index) const;

    // Buffer for the new outer header of the datagram.
    std::span<std::byte> headerBuffer(std::size_t index);

    // Queues header and packet for sending to the target. The packet must be in the batch's receive buffer.
    void queue(std::size_t index, std::size_t headerBytes, std::span<const std::byte> packet, const Endpoint& target);

    // Sends the queued datagrams. Returns the number of failed sends by error.
    SendErrorCounts flush(int socket);

private:
    std::vector<std::byte> m_buffer;
    std::array<iovec, maximumDatagrams> m_receiveVectors {};
    std::array<mmsghdr, maximumDatagrams> m_receiveHeaders {};
    std::array<sockaddr_in, maximumDatagrams> m_sources {};
    std::array<std::array<std::byte, maximumGeneveHeaderBytes>, maximumDatagrams> m_outerHeaders {};
    std::array<std::array<iovec, 2>, maximumDatagrams> m_sendVectors {};
    std::array<mmsghdr, maximumDatagrams> m_sendHeaders {};
    std::array<sockaddr_in, maximumDatagrams> m_targets {};
    std::size_t m_queuedCount = 0;
};

} // namespace clementinesill::dataplane
