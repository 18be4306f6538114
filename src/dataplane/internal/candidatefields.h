#pragma once

#include <boost/endian/buffers.hpp>

namespace clementinesill::dataplane {

// Fields of the option that names a candidate, see docs/wire.md; big-endian and without padding.
struct CandidateFields {
    boost::endian::big_uint32_buf_t serverId;
    boost::endian::big_uint32_buf_t incarnation;
    boost::endian::big_uint32_buf_t agentAddress;
    boost::endian::big_uint16_buf_t agentPort;
    boost::endian::big_uint16_buf_t state;
};
static_assert(sizeof(CandidateFields) == 16);

} // namespace clementinesill::dataplane
