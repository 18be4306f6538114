#pragma once

#include <string>
#include <string_view>

namespace clementinesill {

// One field of a log line.
struct LogField {
    std::string_view key;
    std::string value;
};

} // namespace clementinesill
