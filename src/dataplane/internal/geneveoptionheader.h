#pragma once

#include <boost/endian/buffers.hpp>

namespace clementinesill::dataplane {

// Header of a Geneve option in wire format (RFC 8926): big-endian, no padding.
struct GeneveOptionHeader {
    boost::endian::big_uint16_buf_t optionClass;
    boost::endian::big_uint8_buf_t type;
    boost::endian::big_uint8_buf_t length;
};
static_assert(sizeof(GeneveOptionHeader) == 4);

} // namespace clementinesill::dataplane
