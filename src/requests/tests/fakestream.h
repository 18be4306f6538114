#pragma once

#include "foundation/error.h"
#include "net/ibytestream.h"
#include "requests/internal/signal.h"

#include <algorithm>
#include <cstring>
#include <string>

namespace clementinesill::requests {

// In-memory caller connection: the test sends bytes as the caller and reads what the caller received.
class FakeStream final : public IByteStream {
public:
    explicit FakeStream(boost::asio::any_io_executor executor)
        : m_changed(executor)
    {
    }

    void send(std::string_view bytes)
    {
        m_incoming += bytes;
        m_changed.notify();
    }

    void sendEnd()
    {
        m_callerEnded = true;
        m_changed.notify();
    }

    void reset()
    {
        aborted = true;
        m_changed.notify();
    }

    boost::asio::awaitable<std::size_t> readSome(std::span<std::byte> buffer) override
    {
        while (m_incoming.empty() && !m_callerEnded && !aborted)
            co_await m_changed.wait();
        if (aborted)
            throw Error(ErrorKind::Network, "reset", "connect again");
        endOfStreamRead = m_incoming.empty();
        const auto size = std::min(buffer.size(), m_incoming.size());
        std::memcpy(buffer.data(), m_incoming.data(), size);
        m_incoming.erase(0, size);
        co_return size;
    }

    boost::asio::awaitable<void> write(std::span<const std::byte> bytes) override
    {
        if (aborted)
            throw Error(ErrorKind::Network, "reset", "connect again");
        received.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
        co_return;
    }

    void shutdownWrite() override { endedByProxy = true; }

    void abort() override
    {
        // An abort after shutdownWrite loses no data.
        resetByProxy = resetByProxy || !endedByProxy;
        aborted = true;
        m_changed.notify();
    }

    std::string received;
    bool endedByProxy = false;
    bool aborted = false;
    // The proxy has read the caller's end of stream.
    bool endOfStreamRead = false;
    // The proxy reset the connection, by which the caller detects a truncated response.
    bool resetByProxy = false;

private:
    std::string m_incoming;
    bool m_callerEnded = false;
    Signal m_changed;
};

} // namespace clementinesill::requests
