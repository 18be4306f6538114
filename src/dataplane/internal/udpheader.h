#pragma once

#include <boost/endian/buffers.hpp>

namespace clementinesill::dataplane {

// UDP header in wire format (RFC 768): big-endian, no padding.
struct UdpHeader {
    boost::endian::big_uint16_buf_t sourcePort;
    boost::endian::big_uint16_buf_t destinationPort;
    boost::endian::big_uint16_buf_t length;
    boost::endian::big_uint16_buf_t checksum;
};
static_assert(sizeof(UdpHeader) == 8);

} // namespace clementinesill::dataplane
