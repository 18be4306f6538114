#include "agent/internal/flowserver.h"

#include "admission/iadmission.h"
#include "agent/iflowtable.h"
#include "foundation/error.h"
#include "foundation/log.h"
#include "net/relay.h"
#include "net/socketstream.h"
#include "tcpstack/itcpconnection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace clementinesill::agent {

namespace asio = boost::asio;

namespace {

// A named token: g++ 12 ends the life of one made inside a co_await expression too early.
constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

FlowServer::FlowServer(asio::io_context& loop, const FlowServerOptions& options)
    : m_loop(loop)
    , m_options(options)
{
}

void FlowServer::accept(std::shared_ptr<tcpstack::ITcpConnection> caller)
{
    asio::co_spawn(m_loop, serve(std::move(caller)), asio::detached);
}

asio::awaitable<void> FlowServer::serve(std::shared_ptr<tcpstack::ITcpConnection> caller)
{
    try {
        co_await relayToServer(*caller);
        caller->close();
    } catch (const Error& error) {
        log(LogLevel::Warn, "flow_failed", { { "flow", format(caller->remote()) }, { "reason", error.what() } });
        caller->abort();
    }
    endFlow(*caller);
}

asio::awaitable<void> FlowServer::relayToServer(tcpstack::ITcpConnection& caller)
{
    asio::ip::tcp::socket socket(m_loop);
    const asio::ip::tcp::endpoint server(asio::ip::address_v4(m_options.server.address), m_options.server.port);
    const auto [code] = co_await socket.async_connect(server, useTuple);
    if (code)
        throw Error(ErrorKind::Unavailable, "the backend server at " + format(m_options.server) + " refused: " + code.message(), "start it, or correct agent.serverEndpoint");
    net::SocketStream stream(std::move(socket));
    co_await net::relay(caller, stream);
}

void FlowServer::endFlow(const tcpstack::ITcpConnection& caller)
{
    m_options.flows.setState({ .caller = caller.remote(), .service = m_options.identity.service, .protocol = fleet::TransportProtocol::Tcp }, FlowState::Closing);
    m_options.admission.releaseFlow();
}

} // namespace clementinesill::agent
