#pragma once

#include "operators/internal/jsonnode.h"

#include <string>

namespace clementinesill::operators {

// One key of an object with its value; keys are in the order of the text and may repeat.
struct JsonMember {
    std::string key;
    int line = 0;
    JsonNode value;
};

} // namespace clementinesill::operators
