#include "agent/internal/flowserver.h"

#include "admission/iadmission.h"
#include "agent/iflowtable.h"
#include "agent/proxyheader.h"
#include "foundation/error.h"
#include "foundation/log.h"
#include "foundation/metrics.h"
#include "net/relay.h"
#include "net/socketstream.h"
#include "requests/irequestproxy.h"
#include "tcpstack/itcpconnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <vector>

namespace clementinesill::agent {

namespace asio = boost::asio;

// A flow that a coroutine currently serves.
struct FlowServer::ServedFlow {
    std::uint64_t id = 0;
    fleet::FlowKey key;
    std::shared_ptr<tcpstack::ITcpConnection> caller;
    // Stream mode: the connection to the backend server.
    std::unique_ptr<net::SocketStream> server;
};

FlowServer::FlowServer(asio::io_context& loop, const FlowServerOptions& options)
    : m_loop(loop)
    , m_options(options)
{
}

FlowServer::~FlowServer() = default;

fleet::FlowKey FlowServer::keyOf(const tcpstack::ITcpConnection& caller) const
{
    return { .caller = caller.remote(), .service = m_options.identity.service, .protocol = fleet::TransportProtocol::Tcp };
}

void FlowServer::accept(std::shared_ptr<tcpstack::ITcpConnection> caller)
{
    const auto key = keyOf(*caller);
    auto* entry = m_options.flows.find(key);
    // The TCP stack may accept a SYN that arrived just as an older connection of the same key closed. The router delivered it
    // as a packet of the older flow, so it was never admitted.
    if (!entry || entry->served || entry->state == FlowState::Closing) {
        ++m_options.metrics.counter("agent_flows_unadmitted_total");
        caller->abort();
        return;
    }
    entry->served = true;
    const auto& keepalive = m_options.keepalive;
    caller->enableKeepalive(keepalive.idle, keepalive.interval, keepalive.count);
    auto flow = std::make_shared<ServedFlow>(ServedFlow { .id = entry->id, .key = key, .caller = std::move(caller), .server = nullptr });
    m_served[flow->id] = flow;
    asio::co_spawn(m_loop, serve(std::move(flow)), asio::detached);
}

asio::awaitable<void> FlowServer::serve(std::shared_ptr<ServedFlow> flow)
{
    try {
        if (m_options.requestProxy) {
            const requests::CallerContext context { .caller = flow->key.caller, .service = flow->key.service, .flow = flow->id };
            co_await m_options.requestProxy->serve(*flow->caller, context);
        } else {
            co_await relayToServer(*flow);
        }
        flow->caller->close();
    } catch (const std::exception& error) {
        log(LogLevel::Warn, "flow_failed", { { "flow", format(flow->key.caller) }, { "reason", error.what() } });
        flow->caller->abort();
    }
    endFlow(*flow);
}

asio::awaitable<void> FlowServer::relayToServer(ServedFlow& flow)
{
    co_await connectToServer(flow);
    if (m_options.proxyProtocol)
        co_await flow.server->write(proxyHeader(flow.key));
    co_await net::relay(*flow.caller, *flow.server);
}

asio::awaitable<void> FlowServer::connectToServer(ServedFlow& flow)
{
    const auto decision = m_options.admission.admitRequest();
    if (!decision.admitted())
        throw Error(ErrorKind::Refused, "the backend server accepts no connection at the moment", "connect again later");
    const auto start = m_options.clock.now();
    asio::ip::tcp::socket socket(m_loop, asio::ip::tcp::v4());
    flow.server = std::make_unique<net::SocketStream>(std::move(socket));
    const asio::ip::tcp::endpoint server(asio::ip::address_v4(m_options.server.address), m_options.server.port);
    boost::system::error_code code;
    co_await flow.server->socket().async_connect(server, asio::redirect_error(asio::use_awaitable, code));
    const auto outcome = code ? admission::RequestOutcome::Rejected : admission::RequestOutcome::Completed;
    m_options.admission.finishRequest({ .outcome = outcome, .latency = m_options.clock.now() - start });
    if (!code)
        co_return;
    if (code == asio::error::connection_refused)
        m_onServerRefused();
    throw Error(ErrorKind::Unavailable, "the backend server at " + format(m_options.server) + " refused the connection: " + code.message(), "start it, or correct agent.serverEndpoint");
}

void FlowServer::abort(ServedFlow& flow)
{
    flow.caller->abort();
    if (flow.server)
        flow.server->abort();
}

std::size_t FlowServer::abortIdle(Duration timeout)
{
    const auto now = m_options.clock.now();
    std::size_t aborted = 0;
    for (const auto& [id, flow] : m_served) {
        const auto* entry = m_options.flows.find(flow->key);
        if (!entry || entry->id != id || now - entry->lastActivity < timeout)
            continue;
        abort(*flow);
        ++aborted;
    }
    return aborted;
}

std::size_t FlowServer::abortAll()
{
    for (const auto& [id, flow] : m_served)
        abort(*flow);
    return m_served.size();
}

void FlowServer::endFlow(const ServedFlow& flow)
{
    m_served.erase(flow.id);
    m_options.admission.releaseFlow();
    auto* entry = m_options.flows.find(flow.key);
    if (!entry || entry->id != flow.id)
        return;
    m_options.flows.setState(flow.key, FlowState::Closing);
    entry->lastActivity = m_options.clock.now();
}

} // namespace clementinesill::agent
