#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace clementinesill::operators {

// Reads a duration with its unit, such as "3s", "250 ms" or "2 min"; empty if the text is none.
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

} // namespace clementinesill::operators
