#pragma once

#include <boost/endian/buffers.hpp>

namespace clementinesill::dataplane {

// Body of the holder option in wire format (see docs/wire.md): big-endian, no padding.
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
