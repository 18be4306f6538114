#pragma once

#include <string_view>

namespace clementinesill {

// Version of the program, logged at each start.
inline constexpr std::string_view programVersion = "0.3.0";

} // namespace clementinesill
