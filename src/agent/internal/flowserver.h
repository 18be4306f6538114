#pragma once

#include "agent/types/serveridentity.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>

namespace clementinesill::admission {
class IAdmission;
}

namespace clementinesill::tcpstack {
class ITcpConnection;
}

namespace clementinesill::agent {

class IFlowTable;

// What the flow server works with. The references must outlive it.
struct FlowServerOptions {
    ServerIdentity identity;
    // The backend server on the same VM.
    Endpoint server;
    IFlowTable& flows;
    admission::IAdmission& admission;
};

// Serves each accepted flow in a task of its own: connects to the backend server and relays.
class FlowServer {
public:
    FlowServer(boost::asio::io_context& loop, const FlowServerOptions& options);

    void accept(std::shared_ptr<tcpstack::ITcpConnection> caller);

private:
    boost::asio::awaitable<void> serve(std::shared_ptr<tcpstack::ITcpConnection> caller);
    boost::asio::awaitable<void> relayToServer(tcpstack::ITcpConnection& caller);
    void endFlow(const tcpstack::ITcpConnection& caller);

    boost::asio::io_context& m_loop;
    FlowServerOptions m_options;
};

} // namespace clementinesill::agent
