#pragma once

#include <string>
#include <string_view>

namespace clementinesill::admin {

// Percent-encodes all characters except letters, digits, '-', '.', '_' and '~'.
std::string percentEncode(std::string_view text);

// Reverses percentEncode; an invalid or incomplete sequence is kept unchanged.
std::string percentDecode(std::string_view text);

} // namespace clementinesill::admin
