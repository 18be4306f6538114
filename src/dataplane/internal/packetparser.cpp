#include "dataplane/packetparser.h"

#include "dataplane/internal/ipv4header.h"
#include "dataplane/internal/tcpheader.h"
#include "dataplane/internal/udpheader.h"
#include "dataplane/types/packetview.h"

namespace clementinesill::dataplane {

namespace {

constexpr std::uint8_t ipVersion4 = 4;
// The more-fragments flag and the fragment offset.
constexpr std::uint16_t fragmentMask = 0x3fff;
constexpr std::size_t wordBytes = 4;

PacketError parseTcp(std::span<const std::byte> segment, PacketView& packet)
{
    if (segment.size() < sizeof(TcpHeader))
        return PacketError::BadTransportHeader;
    const auto& header = *reinterpret_cast<const TcpHeader*>(segment.data());
    const std::size_t headerBytes = (header.dataOffset.value() >> 4) * wordBytes;
    if (headerBytes < sizeof(TcpHeader) || headerBytes > segment.size())
        return PacketError::BadTransportHeader;
    packet.key.protocol = fleet::TransportProtocol::Tcp;
    packet.key.caller.port = header.sourcePort.value();
    packet.key.service.port = header.destinationPort.value();
    packet.tcpFlags = header.flags.value();
    packet.sequence = header.sequence.value();
    packet.acknowledgement = header.acknowledgement.value();
    packet.payloadBytes = static_cast<std::uint16_t>(segment.size() - headerBytes);
    return PacketError::None;
}

PacketError parseUdp(std::span<const std::byte> segment, PacketView& packet)
{
    if (segment.size() < sizeof(UdpHeader))
        return PacketError::BadTransportHeader;
    const auto& header = *reinterpret_cast<const UdpHeader*>(segment.data());
    if (header.length.value() < sizeof(UdpHeader) || header.length.value() > segment.size())
        return PacketError::BadTransportHeader;
    packet.key.protocol = fleet::TransportProtocol::Udp;
    packet.key.caller.port = header.sourcePort.value();
    packet.key.service.port = header.destinationPort.value();
    packet.tcpFlags = 0;
    packet.payloadBytes = static_cast<std::uint16_t>(header.length.value() - sizeof(UdpHeader));
    return PacketError::None;
}

} // namespace

PacketError parsePacket(std::span<const std::byte> bytes, PacketView& packet)
{
    if (bytes.size() < sizeof(Ipv4Header))
        return PacketError::TooShort;
    const auto& header = *reinterpret_cast<const Ipv4Header*>(bytes.data());
    if (header.versionAndLength.value() >> 4 != ipVersion4)
        return PacketError::NotIpv4;
    const std::size_t headerBytes = (header.versionAndLength.value() & 0x0f) * wordBytes;
    const std::size_t totalBytes = header.totalLength.value();
    if (headerBytes < sizeof(Ipv4Header) || headerBytes > totalBytes || totalBytes > bytes.size())
        return PacketError::BadIpHeader;
    if (header.fragment.value() & fragmentMask)
        return PacketError::Fragment;
    packet.bytes = bytes.first(totalBytes);
    packet.key.caller.address = header.source.value();
    packet.key.service.address = header.destination.value();
    const auto segment = packet.bytes.subspan(headerBytes);
    if (header.protocol.value() == static_cast<std::uint8_t>(fleet::TransportProtocol::Tcp))
        return parseTcp(segment, packet);
    if (header.protocol.value() == static_cast<std::uint8_t>(fleet::TransportProtocol::Udp))
        return parseUdp(segment, packet);
    return PacketError::UnknownProtocol;
}

} // namespace clementinesill::dataplane
