#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace clementinesill::operators {

// Parses a duration with a unit, such as "3s", "250 ms" or "2 min"; empty if the text is not a duration.
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

} // namespace clementinesill::operators
