#pragma once

#include "foundation/types/errorkind.h"
#include "operators/internal/jsonmember.h"

#include <string>
#include <string_view>

namespace clementinesill::operators {

// Parses JSON with comments and records the line of each value.
// Throws ConfigError of the given kind: Syntax, or TooLarge if the text or its nesting exceeds the limits.
JsonNode parseJson(const std::string& file, std::string_view text, ErrorKind kind);

} // namespace clementinesill::operators
