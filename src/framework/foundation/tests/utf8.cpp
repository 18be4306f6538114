#include "foundation/utf8.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;

// clang-format off
TEST_GROUP(Utf8) {};
// clang-format on

TEST(Utf8, AcceptsTextAndRejectsOtherBytes)
{
    for (const auto* text : { "", "i-7f3a91c2", "\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x8c\x8d" })
        CHECK(isUtf8(text));
    CHECK(isUtf8(std::string_view("a\0b", 3)));
    // Bytes that never occur, incomplete characters, an overlong form, a surrogate and a number beyond Unicode.
    for (const auto* bytes : { "\xff", "i-\xfe", "\xc3", "\xe2\x82", "\x80", "\xc0\xaf", "\xed\xa0\x80", "\xf4\x90\x80\x80" })
        CHECK_FALSE(isUtf8(bytes));
}
