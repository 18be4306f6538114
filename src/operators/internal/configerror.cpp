#include "operators/configerror.h"

namespace clementinesill::operators {

namespace {

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
    : Error(kind, describe(position, problem), remedy)
    , m_fault(fault)
    , m_position(position)
{
}

} // namespace clementinesill::operators
