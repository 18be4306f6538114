#pragma once

#include "control.pb.h"

#include <cstdint>
#include <string>

namespace clementinesill::control {

// The operators' document as it was read.
struct DocumentRead {
    // CODE_NOT_FOUND if none was accepted yet.
    schema::Outcome outcome;
    std::uint64_t version = 0;
    // As the operators sent it.
    std::string text;
};

} // namespace clementinesill::control
