#pragma once

#include <boost/endian/buffers.hpp>

namespace clementinesill::dataplane {

// Headers as they lie in a packet (RFC 791, RFC 9293, RFC 768, RFC 8926); big-endian and without padding.

struct Ipv4Header {
    boost::endian::big_uint8_buf_t versionAndLength;
    boost::endian::big_uint8_buf_t serviceType;
    boost::endian::big_uint16_buf_t totalLength;
    boost::endian::big_uint16_buf_t identification;
    boost::endian::big_uint16_buf_t fragment;
    boost::endian::big_uint8_buf_t timeToLive;
    boost::endian::big_uint8_buf_t protocol;
    boost::endian::big_uint16_buf_t checksum;
    boost::endian::big_uint32_buf_t source;
    boost::endian::big_uint32_buf_t destination;
};
static_assert(sizeof(Ipv4Header) == 20);

struct TcpHeader {
    boost::endian::big_uint16_buf_t sourcePort;
    boost::endian::big_uint16_buf_t destinationPort;
    boost::endian::big_uint32_buf_t sequence;
    boost::endian::big_uint32_buf_t acknowledgement;
    boost::endian::big_uint8_buf_t dataOffset;
    boost::endian::big_uint8_buf_t flags;
    boost::endian::big_uint16_buf_t window;
    boost::endian::big_uint16_buf_t checksum;
    boost::endian::big_uint16_buf_t urgent;
};
static_assert(sizeof(TcpHeader) == 20);

struct UdpHeader {
    boost::endian::big_uint16_buf_t sourcePort;
    boost::endian::big_uint16_buf_t destinationPort;
    boost::endian::big_uint16_buf_t length;
    boost::endian::big_uint16_buf_t checksum;
};
static_assert(sizeof(UdpHeader) == 8);

struct GeneveHeader {
    boost::endian::big_uint8_buf_t versionAndLength;
    boost::endian::big_uint8_buf_t flags;
    boost::endian::big_uint16_buf_t protocol;
    boost::endian::big_uint24_buf_t networkId;
    boost::endian::big_uint8_buf_t reserved;
};
static_assert(sizeof(GeneveHeader) == 8);

struct GeneveOptionHeader {
    boost::endian::big_uint16_buf_t optionClass;
    boost::endian::big_uint8_buf_t type;
    boost::endian::big_uint8_buf_t length;
};
static_assert(sizeof(GeneveOptionHeader) == 4);

struct RouteFields {
    boost::endian::big_uint64_buf_t tableVersion;
    boost::endian::big_uint32_buf_t serviceId;
    boost::endian::big_uint32_buf_t serverId;
    boost::endian::big_uint32_buf_t incarnation;
    boost::endian::big_uint32_buf_t balancerAddress;
    boost::endian::big_uint32_buf_t ingressAddress;
    boost::endian::big_uint16_buf_t balancerPort;
    boost::endian::big_uint16_buf_t ingressPort;
    boost::endian::big_uint8_buf_t hops;
    boost::endian::big_uint8_buf_t flags;
    boost::endian::big_uint16_buf_t reserved;
};
static_assert(sizeof(RouteFields) == 36);

struct CandidateFields {
    boost::endian::big_uint32_buf_t serverId;
    boost::endian::big_uint32_buf_t incarnation;
    boost::endian::big_uint32_buf_t agentAddress;
    boost::endian::big_uint16_buf_t agentPort;
    boost::endian::big_uint16_buf_t state;
};
static_assert(sizeof(CandidateFields) == 16);

struct HolderFields {
    boost::endian::big_uint32_buf_t callerAddress;
    boost::endian::big_uint32_buf_t serviceAddress;
    boost::endian::big_uint16_buf_t callerPort;
    boost::endian::big_uint16_buf_t servicePort;
    boost::endian::big_uint8_buf_t protocol;
    boost::endian::big_uint24_buf_t reserved;
    boost::endian::big_uint32_buf_t serverId;
    boost::endian::big_uint32_buf_t incarnation;
};
static_assert(sizeof(HolderFields) == 24);

} // namespace clementinesill::dataplane
