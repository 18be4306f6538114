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

// Receives the agent's datagrams, applies the router's decisions, and sends the TCP stack's packets to the callers.
class PacketPath final : public tcpstack::IPacketSink {
public:
    // Binds the socket. Throws Error (AddressInUse or Network).
    PacketPath(boost::asio::io_context& loop, const PacketPathOptions& options);

    // Reads datagrams until the loop ends.
    boost::asio::awaitable<void> run(tcpstack::ITcpStack& stack);

    void sendPacket(std::span<const std::byte> packet) override;

    // Discards all outgoing packets while suspended, for an availability zone that is out of service.
    void setSendingSuspended(bool suspended) { m_sendingSuspended = suspended; }

private:
    void readDatagrams(tcpstack::ITcpStack& stack);
    void handleDatagram(std::span<const std::byte> datagram, tcpstack::ITcpStack& stack);
    void applyDecision(const FlowDecision& decision, dataplane::GeneveMessage& message, const dataplane::PacketView& packet, tcpstack::ITcpStack& stack);
    void traceDecision(const FlowDecision& decision, const dataplane::PacketView& packet, const fleet::FleetTable& table);
    void countDecision(const FlowDecision& decision);
    void forward(const FlowDecision& decision, dataplane::GeneveMessage& message, const dataplane::PacketView& packet);
    void notifyBalancer(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet);
    void send(const dataplane::GeneveMessage& message, std::span<const std::byte> packet, const Endpoint& target);

    PacketPathOptions m_options;
    boost::asio::posix::stream_descriptor m_socket;
    std::vector<std::byte> m_buffer;
    Counter& m_sentPackets;
    // Indexed by FlowReason.
    std::vector<Counter*> m_decisionCounters;
    bool m_sendingSuspended = false;
};

} // namespace clementinesill::agent
