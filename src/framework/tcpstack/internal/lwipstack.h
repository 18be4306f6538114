#pragma once

#include "tcpstack/internal/lwip.h"
#include "tcpstack/itcpstack.h"

#include <boost/asio/io_context.hpp>

struct tcp_pcb;

namespace clementinesill::tcpstack {

class IPacketSink;

// An lwIP stack with one network interface, which receives packets through input() and sends them to the sink.
class LwipStack final : public ITcpStack {
public:
    LwipStack(std::uint32_t address, boost::asio::io_context& loop, IPacketSink& sink);

    void input(std::span<const std::byte> packet) override;
    void listen(std::uint16_t port, AcceptHandler handler) override;
    void discardConnection(Endpoint remote) override;
    std::size_t unacknowledgedConnectionCount() const override;
    boost::asio::awaitable<std::shared_ptr<ITcpConnection>> connect(Endpoint remote) override;

    // Called by lwIP with the core lock held, on the event loop or on lwIP's timer thread.
    void output(pbuf* packet);
    void onAccepted(tcp_pcb* pcb);

private:
    boost::asio::io_context& m_loop;
    IPacketSink& m_sink;
    AcceptHandler m_accept;
    netif m_interface {};
    std::uint32_t m_address;
};

} // namespace clementinesill::tcpstack
