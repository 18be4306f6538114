#pragma once

#include "control.pb.h"

#include <cstdint>
#include <string>

namespace clementinesill::control {

// Result of reading the operators' configuration document.
struct DocumentRead {
    // CODE_NOT_FOUND if no document has been accepted yet.
    schema::Outcome outcome;
    std::uint64_t version = 0;
    // The document exactly as the operators sent it.
    std::string text;
};

} // namespace clementinesill::control
