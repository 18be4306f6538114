#pragma once

#include <boost/endian/buffers.hpp>

namespace clementinesill::dataplane {

// Body of the load notice option up to the server ids, as on the wire.
struct LoadNoticeFields {
    boost::endian::big_uint8_buf_t level;
    boost::endian::big_uint8_buf_t reserved;
    boost::endian::big_uint16_buf_t validityMs;
    boost::endian::big_uint32_buf_t priority;
};
static_assert(sizeof(LoadNoticeFields) == 8);

} // namespace clementinesill::dataplane
