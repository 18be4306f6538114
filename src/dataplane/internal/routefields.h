#pragma once

#include <boost/endian/buffers.hpp>

namespace clementinesill::dataplane {

// Body of the route option in wire format (see docs/wire.md): big-endian, no padding.
struct RouteFields {
    boost::endian::big_uint64_buf_t tableVersion;
    boost::endian::big_uint32_buf_t serviceId;
    boost::endian::big_uint32_buf_t serverId;
    boost::endian::big_uint32_buf_t incarnation;
    boost::endian::big_uint32_buf_t balancerAddress;
    boost::endian::big_uint32_buf_t ingressAddress;
    boost::endian::big_uint16_buf_t balancerPort;
    boost::endian::big_uint16_buf_t ingressPort;
    // At most 255.
    boost::endian::big_uint8_buf_t cappedHops;
    boost::endian::big_uint8_buf_t flags;
    // 0 in packets of daemons that write only cappedHops.
    boost::endian::big_uint16_buf_t hops;
};
static_assert(sizeof(RouteFields) == 36);

} // namespace clementinesill::dataplane
