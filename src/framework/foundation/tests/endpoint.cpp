#include "foundation/types/endpoint.h"

#include "foundation/error.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;

// clang-format off
TEST_GROUP(Endpoint) {};
// clang-format on

TEST(Endpoint, ParsesAddressAndPort)
{
    const auto endpoint = parseEndpoint("127.0.0.1:7000");
    LONGS_EQUAL(0x7f000001, endpoint.address);
    LONGS_EQUAL(7000, endpoint.port);
    STRCMP_EQUAL("127.0.0.1:7000", format(endpoint).c_str());
}

TEST(Endpoint, RejectsInvalidInputWithErrorKind)
{
    const auto kindOf = [](const char* text) {
        try {
            parseEndpoint(text);
        } catch (const Error& error) {
            return error.kind();
        }
        return ErrorKind::NotFound;
    };
    CHECK(kindOf("127.0.0.1") == ErrorKind::InvalidArgument);
    CHECK(kindOf("127.0.0.1:0") == ErrorKind::InvalidArgument);
    CHECK(kindOf("127.0.0.1:70000") == ErrorKind::InvalidArgument);
    CHECK(kindOf("300.0.0.1:70") == ErrorKind::InvalidArgument);
    CHECK(kindOf("[::1]:70") == ErrorKind::Unsupported);
    CHECK(kindOf("::1:70") == ErrorKind::Unsupported);
}
