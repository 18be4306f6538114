#pragma once

#include "tcpstack/internal/lwip.h"
#include "tcpstack/itcpstack.h"

#include <boost/asio/io_context.hpp>

struct tcp_pcb;

namespace clementinesill::tcpstack {

class IPacketSink;

// lwIP with one network interface whose packets come from input and go to the sink.
class LwipStack final : public ITcpStack {
public:
    LwipStack(std::uint32_t address, boost::asio::io_context& loop, IPacketSink& sink);

    void input(std::span<const std::byte> packet) override;
    void listen(std::uint16_t port, AcceptHandler handler) override;
    void forget(Endpoint remote) override;
    std::size_t undelivered() const override;
    boost::asio::awaitable<std::shared_ptr<ITcpConnection>> connect(Endpoint remote) override;

    // Called by lwIP with the core lock held, on the loop or on its timer thread.
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
