#include "operators/internal/timetext.h"

#include <ctime>
#include <iomanip>
#include <sstream>

namespace clementinesill::operators {

std::string timeText(std::uint64_t timeMs)
{
    constexpr std::uint64_t msPerSecond = 1000;
    const auto seconds = static_cast<std::time_t>(timeMs / msPerSecond);
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S.") << std::setfill('0') << std::setw(3) << timeMs % msPerSecond << 'Z';
    return text.str();
}

} // namespace clementinesill::operators
