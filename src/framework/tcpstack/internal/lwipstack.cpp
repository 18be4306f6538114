#include "tcpstack/internal/lwipstack.h"

#include "foundation/error.h"
#include "tcpstack/internal/lwip.h"
#include "tcpstack/internal/lwipconnection.h"
#include "tcpstack/ipacketsink.h"
#include "tcpstack/lwipstack.h"

#include <boost/asio/post.hpp>
#include <mutex>
#include <vector>

namespace clementinesill::tcpstack {

namespace asio = boost::asio;

namespace {

// Leaves room for the outer headers on a path with an MTU of 1500 bytes.
constexpr u16_t interfaceMtuBytes = 1400;

void initializeLwip()
{
    static std::once_flag started;
    std::call_once(started, [] { tcpip_init(nullptr, nullptr); });
}

err_t interfaceOutput(netif* interface, pbuf* packet, const ip4_addr_t*)
{
    static_cast<LwipStack*>(interface->state)->output(packet);
    return ERR_OK;
}

err_t initializeInterface(netif* interface)
{
    interface->name[0] = 'c';
    interface->name[1] = 's';
    interface->mtu = interfaceMtuBytes;
    interface->output = interfaceOutput;
    return ERR_OK;
}

err_t accepted(void* argument, tcp_pcb* pcb, err_t status)
{
    if (status != ERR_OK || !pcb)
        return ERR_VAL;
    static_cast<LwipStack*>(argument)->onAccepted(pcb);
    return ERR_OK;
}

err_t connected(void* argument, tcp_pcb*, err_t)
{
    static_cast<LwipConnection*>(argument)->onConnected();
    return ERR_OK;
}

tcp_pcb* findConnection(tcp_pcb* list, const Endpoint& remote)
{
    for (auto* pcb = list; pcb; pcb = pcb->next) {
        if (pcb->remote_port == remote.port && lwip_ntohl(ip4_addr_get_u32(ip_2_ip4(&pcb->remote_ip))) == remote.address)
            return pcb;
    }
    return nullptr;
}

ip_addr_t toLwipAddress(std::uint32_t address)
{
    ip_addr_t result = IPADDR4_INIT(0);
    ip4_addr_set_u32(ip_2_ip4(&result), lwip_htonl(address));
    return result;
}

} // namespace

LwipStack::LwipStack(std::uint32_t address, asio::io_context& loop, IPacketSink& sink)
    : m_loop(loop)
    , m_sink(sink)
    , m_address(address)
{
    initializeLwip();
    const LwipLock lock;
    const auto own = toLwipAddress(address);
    const auto mask = toLwipAddress(UINT32_MAX);
    const auto gateway = toLwipAddress(0);
    netif_add(&m_interface, ip_2_ip4(&own), ip_2_ip4(&mask), ip_2_ip4(&gateway), this, initializeInterface, ip_input);
    netif_set_default(&m_interface);
    netif_set_link_up(&m_interface);
    netif_set_up(&m_interface);
}

void LwipStack::input(std::span<const std::byte> packet)
{
    const LwipLock lock;
    auto* buffer = pbuf_alloc(PBUF_RAW, static_cast<u16_t>(packet.size()), PBUF_RAM);
    if (!buffer)
        return;
    pbuf_take(buffer, packet.data(), static_cast<u16_t>(packet.size()));
    if (ip_input(buffer, &m_interface) != ERR_OK)
        pbuf_free(buffer);
}

void LwipStack::output(pbuf* packet)
{
    std::vector<std::byte> bytes(packet->tot_len);
    pbuf_copy_partial(packet, bytes.data(), packet->tot_len, 0);
    if (m_loop.get_executor().running_in_this_thread()) {
        m_sink.sendPacket(bytes);
        return;
    }
    asio::post(m_loop, [this, bytes = std::move(bytes)] { m_sink.sendPacket(bytes); });
}

void LwipStack::onAccepted(tcp_pcb* pcb)
{
    const Endpoint remote { .address = lwip_ntohl(ip4_addr_get_u32(ip_2_ip4(&pcb->remote_ip))), .port = pcb->remote_port };
    auto connection = LwipConnection::adopt(m_loop, pcb, remote);
    asio::post(m_loop, [this, connection] { m_accept(connection); });
}

void LwipStack::listen(std::uint16_t port, AcceptHandler handler)
{
    const LwipLock lock;
    m_accept = std::move(handler);
    const auto own = toLwipAddress(m_address);
    auto* pcb = tcp_new_ip_type(IPADDR_TYPE_V4);
    if (tcp_bind(pcb, &own, port) != ERR_OK) {
        tcp_abort(pcb);
        throw Error(ErrorKind::AddressInUse, "port " + std::to_string(port) + " of the stack is in use", "listen once for each service");
    }
    pcb = tcp_listen_with_backlog(pcb, TCP_DEFAULT_LISTEN_BACKLOG);
    tcp_arg(pcb, this);
    tcp_accept(pcb, accepted);
}

void LwipStack::discardConnection(Endpoint remote)
{
    const LwipLock lock;
    auto* pcb = findConnection(tcp_active_pcbs, remote);
    if (!pcb)
        pcb = findConnection(tcp_tw_pcbs, remote);
    if (pcb)
        tcp_abandon(pcb, 0);
}

std::size_t LwipStack::unacknowledgedConnectionCount() const
{
    const LwipLock lock;
    std::size_t count = 0;
    for (const auto* pcb = tcp_active_pcbs; pcb; pcb = pcb->next)
        count += pcb->state != SYN_RCVD && (pcb->unsent || pcb->unacked);
    return count;
}

asio::awaitable<std::shared_ptr<ITcpConnection>> LwipStack::connect(Endpoint remote)
{
    std::shared_ptr<LwipConnection> connection;
    {
        const LwipLock lock;
        const auto target = toLwipAddress(remote.address);
        const auto own = toLwipAddress(m_address);
        auto* pcb = tcp_new_ip_type(IPADDR_TYPE_V4);
        tcp_bind(pcb, &own, 0);
        connection = LwipConnection::adopt(m_loop, pcb, remote);
        if (tcp_connect(pcb, &target, remote.port, connected) != ERR_OK)
            throw Error(ErrorKind::Network, "no local port is free", "close connections first");
    }
    co_await connection->waitUntilConnected();
    co_return connection;
}

std::shared_ptr<ITcpStack> makeLwipStack(std::uint32_t address, asio::io_context& loop, IPacketSink& sink)
{
    // Never destroyed: lwIP's threads may invoke callbacks until the process exits.
    static std::shared_ptr<ITcpStack> stack;
    stack = std::make_shared<LwipStack>(address, loop, sink);
    return stack;
}

} // namespace clementinesill::tcpstack
