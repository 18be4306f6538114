#include "agent/resetpacket.h"

#include "agent/internal/sequencewindow.h"
#include "dataplane/types/packetview.h"

#include <arpa/inet.h>
#include <cstring>
#include <tins/ip.h>
#include <tins/tcp.h>

namespace clementinesill::agent {

namespace {

Tins::IPv4Address libraryAddress(std::uint32_t address)
{
    return Tins::IPv4Address(htonl(address));
}

} // namespace

std::vector<std::byte> resetPacket(const dataplane::PacketView& packet)
{
    Tins::TCP segment(packet.key.caller.port, packet.key.service.port);
    if (packet.tcpFlags & dataplane::TcpFlags::ack) {
        segment.flags(Tins::TCP::RST);
        segment.seq(packet.acknowledgement);
    } else {
        segment.flags(Tins::TCP::RST | Tins::TCP::ACK);
        segment.ack_seq(packet.sequence + sequenceLength(packet));
    }
    auto reset = Tins::IP(libraryAddress(packet.key.caller.address), libraryAddress(packet.key.service.address)) / segment;
    const auto bytes = reset.serialize();
    std::vector<std::byte> result(bytes.size());
    std::memcpy(result.data(), bytes.data(), bytes.size());
    return result;
}

} // namespace clementinesill::agent
