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

// Buffers for one batch of datagrams that are read, given another outer header, and sent on without copying the packet.
class PacketBatch {
public:
    static constexpr std::size_t maximumDatagrams = 64;
    static constexpr std::size_t maximumDatagramBytes = 9216;

    PacketBatch();
    PacketBatch(const PacketBatch&) = delete;
    PacketBatch& operator=(const PacketBatch&) = delete;

    // Reads what the socket holds, waiting as long as its receive timeout; returns how many datagrams were read.
    std::size_t receive(int socket);

    // Whether the datagram was larger than maximumDatagramBytes, and so lost its end.
    bool truncated(std::size_t index) const;

    std::span<const std::byte> datagram(std::size_t index) const;
    Endpoint source(std::size_t index) const;

    // Space for the outer header of datagram index in the batch to send.
    std::span<std::byte> headerSpace(std::size_t index);

    // Queues header and packet to a target; the packet must lie in the batch's receive buffer.
    void queue(std::size_t index, std::size_t headerBytes, std::span<const std::byte> packet, const Endpoint& target);

    // Sends what was queued; returns how many datagrams the kernel did not take, by error.
    SendErrorCounts flush(int socket);

private:
    std::vector<std::byte> m_buffer;
    std::array<iovec, maximumDatagrams> m_receiveVectors {};
    std::array<mmsghdr, maximumDatagrams> m_received {};
    std::array<sockaddr_in, maximumDatagrams> m_sources {};
    std::array<std::array<std::byte, maximumGeneveHeaderBytes>, maximumDatagrams> m_headers {};
    std::array<std::array<iovec, 2>, maximumDatagrams> m_sendVectors {};
    std::array<mmsghdr, maximumDatagrams> m_toSend {};
    std::array<sockaddr_in, maximumDatagrams> m_targets {};
    std::size_t m_queued = 0;
};

} // namespace clementinesill::dataplane
