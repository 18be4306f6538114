#pragma once

#include "agent/internal/packetpathoptions.h"
#include "agent/types/serveridentity.h"
#include "foundation/metrics.h"
#include "tcpstack/ipacketsink.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <vector>

namespace clementinesill::admin {
class DecisionTrace;
}

namespace clementinesill::dataplane {
struct GeneveMessage;
struct PacketView;
} // namespace clementinesill::dataplane

namespace clementinesill::fleet {
class FleetTable;
class ITableSource;
} // namespace clementinesill::fleet

namespace clementinesill::tcpstack {
class ITcpStack;
}

namespace clementinesill::agent {

class IFlowRouter;
class IFlowTable;
struct FlowDecision;

// Takes the agent's datagrams from its socket, carries out what the router decides, and sends the stack's packets out.
class PacketPath final : public tcpstack::IPacketSink {
public:
    // Binds the socket. Throws Error (AddressInUse or Network).
    PacketPath(boost::asio::io_context& loop, const PacketPathOptions& options);

    // Reads datagrams until the loop ends.
    boost::asio::awaitable<void> run(tcpstack::ITcpStack& stack);

    void sendPacket(std::span<const std::byte> packet) override;

    // Sends nothing while muted: the availability zone is out.
    void setMuted(bool muted) { m_muted = muted; }

private:
    void drainSocket(tcpstack::ITcpStack& stack);
    void handle(std::span<const std::byte> datagram, tcpstack::ITcpStack& stack);
    void carryOut(const FlowDecision& decision, dataplane::GeneveMessage& message, const dataplane::PacketView& packet, tcpstack::ITcpStack& stack);
    void traceDecision(const FlowDecision& decision, const dataplane::PacketView& packet, const fleet::FleetTable& table);
    void countDecision(const FlowDecision& decision);
    void passOn(const FlowDecision& decision, dataplane::GeneveMessage& message, const dataplane::PacketView& packet);
    void tellBalancer(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet);
    void send(const dataplane::GeneveMessage& message, std::span<const std::byte> packet, const Endpoint& target);

    PacketPathOptions m_options;
    boost::asio::posix::stream_descriptor m_socket;
    std::vector<std::byte> m_buffer;
    Counter& m_sent;
    // By FlowReason.
    std::vector<Counter*> m_decisions;
    bool m_muted = false;
};

} // namespace clementinesill::agent
