#pragma once

#include "operators/internal/jsonnode.h"

#include <string>

namespace clementinesill::operators {

// A member of a JSON object. Members keep the order of the text and may have duplicate keys.
struct JsonMember {
    std::string key;
    int line = 0;
    JsonNode value;
};

} // namespace clementinesill::operators
