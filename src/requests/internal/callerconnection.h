#pragma once

#include "requests/internal/callerinput.h"
#include "requests/internal/calleroutput.h"
#include "requests/internal/proxystate.h"
#include "requests/internal/requestreader.h"
#include "requests/internal/watchdog.h"

#include <optional>

namespace clementinesill {
class IByteStream;
}

namespace clementinesill::requests {

struct CallerContext;

// Serves the requests of one caller's connection in sequence.
class CallerConnection {
public:
    CallerConnection(ProxyState& proxy, IByteStream& stream, const CallerContext& context);

    boost::asio::awaitable<void> run();

    // Closes the connection after the request in progress, or after the drain grace period if there is none.
    void drain();

private:
    boost::asio::awaitable<void> serveRequests();
    boost::asio::awaitable<bool> serveRequest(Duration idleTimeout);
    boost::asio::awaitable<void> reject(ReadResult result);
    boost::asio::awaitable<void> close();

    ProxyState& m_proxy;
    IByteStream& m_stream;
    const CallerContext& m_context;
    CallerInput m_input;
    CallerOutput m_output;
    RequestReader* m_reader = nullptr;
    std::optional<Watchdog> m_drainTimer;
};

} // namespace clementinesill::requests
