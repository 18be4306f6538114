#include "agent/proxyheader.h"

#include "fleet/types/flowkey.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <cstring>

using namespace clementinesill;
using namespace clementinesill::agent;

// clang-format off
TEST_GROUP(ProxyHeader) {};
// clang-format on

TEST(ProxyHeader, EncodesVersion2Header)
{
    const fleet::FlowKey key { .caller = { .address = 0xc0000201, .port = 0x1234 }, .service = { .address = 0x0a000001, .port = 443 }, .protocol = fleet::TransportProtocol::Tcp };
    const std::array<unsigned char, 28> expected { 0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d, 0x0a, 0x51, 0x55, 0x49, 0x54, 0x0a,
        0x21, 0x11, 0x00, 0x0c, 192, 0, 2, 1, 10, 0, 0, 1, 0x12, 0x34, 0x01, 0xbb };
    const auto header = proxyHeader(key);
    LONGS_EQUAL(expected.size(), header.size());
    MEMCMP_EQUAL(expected.data(), header.data(), expected.size());
}
