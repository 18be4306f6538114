#pragma once

#include <string>
#include <string_view>

namespace clementinesill::admin {

// Percent-encodes everything but letters, digits, '-', '.', '_' and '~'.
std::string percentEncode(std::string_view text);

// Reverses percentEncode; an incomplete sequence is kept as it stands.
std::string percentDecode(std::string_view text);

} // namespace clementinesill::admin
