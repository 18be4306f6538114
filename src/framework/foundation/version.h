#pragma once

#include <string_view>

namespace clementinesill {

// Of the program, as the log tells it at each start.
inline constexpr std::string_view programVersion = "0.3.0";

} // namespace clementinesill
