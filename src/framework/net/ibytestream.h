#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <span>

namespace clementinesill {

// One direction-pair of ordered bytes between this process and a peer; one task uses it at a time for each direction.
class IByteStream {
public:
    virtual ~IByteStream() = default;

    // Waits for at least one byte and returns how many were read; 0 once the peer has sent its last.
    // Throws Error (Network) if the connection was reset or aborted.
    virtual boost::asio::awaitable<std::size_t> readSome(std::span<std::byte> buffer) = 0;

    // Returns once all bytes are handed to the transport, which may hold a bounded amount unsent.
    // Throws Error (Network) if the connection was reset or aborted.
    virtual boost::asio::awaitable<void> write(std::span<const std::byte> bytes) = 0;

    // Sends the end of this direction after what was written.
    virtual void shutdownWrite() = 0;

    // Resets the connection; pending reads and writes throw.
    virtual void abort() = 0;
};

} // namespace clementinesill
