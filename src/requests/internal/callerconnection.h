#pragma once

#include "requests/internal/callerinput.h"
#include "requests/internal/calleroutput.h"
#include "requests/internal/gatestate.h"
#include "requests/internal/requestreader.h"
#include "requests/internal/watchdog.h"

#include <optional>

namespace clementinesill {
class IByteStream;
}

namespace clementinesill::requests {

struct CallerContext;

// Serves the requests of one caller's connection one after the other.
class CallerConnection {
public:
    CallerConnection(GateState& gate, IByteStream& stream, const CallerContext& context);

    boost::asio::awaitable<void> run();

    // Ends the connection if no request is in progress, or else after it.
    void drain();

private:
    boost::asio::awaitable<void> serveRequests();
    boost::asio::awaitable<bool> serveRequest(Duration idleTimeout);
    boost::asio::awaitable<void> refuse(ReadEnd end);
    boost::asio::awaitable<void> close();

    GateState& m_gate;
    IByteStream& m_stream;
    const CallerContext& m_context;
    CallerInput m_input;
    CallerOutput m_output;
    RequestReader* m_reader = nullptr;
    std::optional<Watchdog> m_drainTimer;
};

} // namespace clementinesill::requests
