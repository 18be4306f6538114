#pragma once

#include "agent/types/flowserveroptions.h"
#include "fleet/types/flowkey.h"
#include "foundation/iclock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

namespace clementinesill::net {
class SocketStream;
}

namespace clementinesill::tcpstack {
class ITcpConnection;
}

namespace clementinesill::agent {

// Serves each accepted connection in a separate coroutine, through the request proxy or as a relay to the backend server.
class FlowServer {
public:
    FlowServer(boost::asio::io_context& loop, const FlowServerOptions& options);
    ~FlowServer();

    // Serves the connection if the flow table holds its flow; resets it otherwise.
    void accept(std::shared_ptr<tcpstack::ITcpConnection> caller);

    // Resets flows whose callers have sent no packet for the timeout. Returns their number.
    std::size_t abortIdle(Duration timeout);

    // Resets all flows. Returns their number.
    std::size_t abortAll();

    // Sets the handler that is called each time the backend server refuses a connection.
    void onServerRefused(std::function<void()> handler) { m_onServerRefused = std::move(handler); }

    std::size_t servedFlowCount() const { return m_served.size(); }

private:
    struct ServedFlow;

    boost::asio::awaitable<void> serve(std::shared_ptr<ServedFlow> flow);
    boost::asio::awaitable<void> relayToServer(ServedFlow& flow);
    boost::asio::awaitable<void> connectToServer(ServedFlow& flow);
    void abort(ServedFlow& flow);
    void endFlow(const ServedFlow& flow);
    fleet::FlowKey keyOf(const tcpstack::ITcpConnection& caller) const;

    boost::asio::io_context& m_loop;
    FlowServerOptions m_options;
    std::function<void()> m_onServerRefused = [] {};
    // Keyed by flow id.
    std::unordered_map<std::uint64_t, std::shared_ptr<ServedFlow>> m_served;
};

} // namespace clementinesill::agent
