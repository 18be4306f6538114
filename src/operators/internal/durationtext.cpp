#include "operators/internal/durationtext.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <utility>

namespace clementinesill::operators {

namespace {

// Accepted unit names with their length in milliseconds.
constexpr std::array<std::pair<std::string_view, std::uint32_t>, 9> units { {
    { "ms", 1 },
    { "s", 1000 },
    { "sec", 1000 },
    { "seconds", 1000 },
    { "m", 60'000 },
    { "min", 60'000 },
    { "minutes", 60'000 },
    { "h", 3'600'000 },
    { "hours", 3'600'000 },
} };

} // namespace

std::optional<std::chrono::milliseconds> parseDuration(std::string_view text)
{
    std::uint32_t amount = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), amount);
    if (status != std::errc())
        return std::nullopt;
    auto unit = text.substr(static_cast<std::size_t>(end - text.data()));
    unit.remove_prefix(std::min(unit.find_first_not_of(' '), unit.size()));
    for (const auto& [name, milliseconds] : units) {
        if (name == unit)
            return std::chrono::milliseconds(static_cast<std::int64_t>(amount) * milliseconds);
    }
    return std::nullopt;
}

} // namespace clementinesill::operators
