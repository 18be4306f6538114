#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace clementinesill::operators {

struct JsonMember;

// A JSON value with its line in the text.
struct JsonNode {
    enum class Type {
        Null,
        Boolean,
        UnsignedInteger,
        OtherNumber,
        String,
        Array,
        Object,
    };

    Type type = Type::Null;
    // Starts at 1.
    int line = 0;
    bool boolean = false;
    // Value of an UnsignedInteger.
    std::uint64_t integer = 0;
    // Value of any number. OtherNumber is a negative integer or a floating-point number.
    double number = 0;
    std::string text;
    std::vector<JsonNode> items;
    std::vector<JsonMember> members;
};

} // namespace clementinesill::operators
