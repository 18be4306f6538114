#pragma once

#include <cstdint>
#include <string>

namespace clementinesill::operators {

// Formats milliseconds since the Unix epoch as UTC, such as "2026-01-31T12:00:00.250Z".
std::string timeText(std::uint64_t timeMs);

} // namespace clementinesill::operators
