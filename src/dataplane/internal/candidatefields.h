#pragma once

#include <boost/endian/buffers.hpp>

namespace clementinesill::dataplane {

// One entry of the candidates option in wire format (see docs/wire.md): big-endian, no padding.
struct CandidateFields {
    boost::endian::big_uint32_buf_t serverId;
    boost::endian::big_uint32_buf_t incarnation;
    boost::endian::big_uint32_buf_t agentAddress;
    boost::endian::big_uint16_buf_t agentPort;
    boost::endian::big_uint16_buf_t state;
};
static_assert(sizeof(CandidateFields) == 16);

} // namespace clementinesill::dataplane
