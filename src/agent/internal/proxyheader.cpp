#include "agent/proxyheader.h"

#include "fleet/types/flowkey.h"

#include <array>
#include <boost/endian/buffers.hpp>
#include <cstdint>
#include <cstring>

namespace clementinesill::agent {

namespace {

constexpr std::array<std::uint8_t, 12> signature { 0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d, 0x0a, 0x51, 0x55, 0x49, 0x54, 0x0a };
// Version 2, command PROXY.
constexpr std::uint8_t versionAndCommand = 0x21;
constexpr std::uint8_t streamOverIpv4 = 0x11;
constexpr std::uint8_t datagramOverIpv4 = 0x12;

struct HeaderFields {
    std::array<std::uint8_t, 12> signature;
    std::uint8_t versionAndCommand;
    std::uint8_t familyAndProtocol;
    boost::endian::big_uint16_buf_t addressBytes;
    boost::endian::big_uint32_buf_t sourceAddress;
    boost::endian::big_uint32_buf_t destinationAddress;
    boost::endian::big_uint16_buf_t sourcePort;
    boost::endian::big_uint16_buf_t destinationPort;
};
constexpr std::size_t addressBytes = 12;
static_assert(sizeof(HeaderFields) == 16 + addressBytes);

} // namespace

std::vector<std::byte> proxyHeader(const fleet::FlowKey& key)
{
    HeaderFields fields {};
    fields.signature = signature;
    fields.versionAndCommand = versionAndCommand;
    fields.familyAndProtocol = key.protocol == fleet::TransportProtocol::Udp ? datagramOverIpv4 : streamOverIpv4;
    fields.addressBytes = std::uint16_t(addressBytes);
    fields.sourceAddress = key.caller.address;
    fields.destinationAddress = key.service.address;
    fields.sourcePort = key.caller.port;
    fields.destinationPort = key.service.port;
    std::vector<std::byte> bytes(sizeof(fields));
    std::memcpy(bytes.data(), &fields, sizeof(fields));
    return bytes;
}

} // namespace clementinesill::agent
