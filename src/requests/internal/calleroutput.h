#pragma once

#include "foundation/iclock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <string_view>

namespace clementinesill {
class IByteStream;
}

namespace clementinesill::requests {

// Writes to one caller and resets the connection if a write does not finish within stallTimeout.
class CallerOutput {
public:
    CallerOutput(IByteStream& stream, boost::asio::any_io_executor executor, Duration stallTimeout);

    // Returns whether the transport accepted all bytes. Writes nothing after a failure.
    boost::asio::awaitable<bool> write(std::string_view bytes);

    // Resets the connection; later writes fail.
    void abort();
    bool failed() const { return m_failed; }

private:
    IByteStream& m_stream;
    boost::asio::any_io_executor m_executor;
    Duration m_stallTimeout;
    bool m_failed = false;
};

} // namespace clementinesill::requests
