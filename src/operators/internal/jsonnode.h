#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace clementinesill::operators {

struct JsonMember;

// One value of a JSON text with the line it stands on.
struct JsonNode {
    enum class Type {
        Null,
        Boolean,
        Integer,
        Fraction,
        String,
        Array,
        Object,
    };

    Type type = Type::Null;
    // From 1.
    int line = 0;
    bool boolean = false;
    // Value of an Integer that is not negative; negative ones have type Fraction.
    std::uint64_t integer = 0;
    // Value of an Integer or a Fraction.
    double number = 0;
    std::string text;
    std::vector<JsonNode> items;
    std::vector<JsonMember> members;
};

} // namespace clementinesill::operators
