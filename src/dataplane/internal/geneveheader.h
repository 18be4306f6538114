#pragma once

#include <boost/endian/buffers.hpp>

namespace clementinesill::dataplane {

// Geneve header in wire format (RFC 8926): big-endian, no padding.
struct GeneveHeader {
    boost::endian::big_uint8_buf_t versionAndLength;
    boost::endian::big_uint8_buf_t flags;
    boost::endian::big_uint16_buf_t protocol;
    boost::endian::big_uint24_buf_t networkId;
    boost::endian::big_uint8_buf_t reserved;
};
static_assert(sizeof(GeneveHeader) == 8);

} // namespace clementinesill::dataplane
