#pragma once

#include <boost/endian/buffers.hpp>

namespace clementinesill::dataplane {

// TCP header in wire format (RFC 9293): big-endian, no padding.
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

} // namespace clementinesill::dataplane
