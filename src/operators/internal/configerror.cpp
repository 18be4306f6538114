#include "operators/configerror.h"

namespace clementinesill::operators {

namespace {

// Keeps the message on one line of bounded length, since the text may contain parts of the file.
std::string sanitize(std::string text)
{
    constexpr std::size_t maximumLength = 400;
    for (char& character : text) {
        if (static_cast<unsigned char>(character) < ' ' || character == '\x7f')
            character = ' ';
    }
    if (text.size() > maximumLength)
        text.replace(maximumLength, std::string::npos, "...");
    return text;
}

std::string describe(const ConfigPosition& position, const std::string& problem)
{
    std::string text = position.file;
    if (position.line)
        text += ":" + std::to_string(position.line);
    text += ": ";
    if (!position.key.empty())
        text += "key '" + position.key + "': ";
    return text + problem;
}

} // namespace

ConfigError::ConfigError(ErrorKind kind, ConfigFault fault, const ConfigPosition& position, const std::string& problem, const std::string& remedy)
    : Error(kind, sanitize(describe(position, problem)), sanitize(remedy))
    , m_fault(fault)
    , m_position(position)
{
}

} // namespace clementinesill::operators
