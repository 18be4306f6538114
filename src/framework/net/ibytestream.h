#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <span>

namespace clementinesill {

// A bidirectional byte stream to a peer. At most one read and one write may be pending at a time.
class IByteStream {
public:
    virtual ~IByteStream() = default;

    // Waits for at least one byte and returns the number of bytes read; 0 at end of stream.
    // Throws Error (Network) if the connection was reset or aborted.
    virtual boost::asio::awaitable<std::size_t> readSome(std::span<std::byte> buffer) = 0;

    // Returns once the transport has accepted all bytes; it may buffer a bounded amount that is not sent yet.
    // Throws Error (Network) if the connection was reset or aborted.
    virtual boost::asio::awaitable<void> write(std::span<const std::byte> bytes) = 0;

    // Closes the sending direction after all written bytes are sent.
    virtual void shutdownWrite() = 0;

    // Resets the connection; pending reads and writes throw.
    virtual void abort() = 0;
};

} // namespace clementinesill
