#pragma once

#include <boost/endian/buffers.hpp>

namespace clementinesill::dataplane {

// IPv4 header in wire format (RFC 791): big-endian, no padding.
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

} // namespace clementinesill::dataplane
