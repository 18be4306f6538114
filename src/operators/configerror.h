#pragma once

#include "foundation/error.h"
#include "operators/types/configfault.h"
#include "operators/types/configposition.h"

namespace clementinesill::operators {

// Error in a settings or configuration file. what() has the form "FILE:LINE: key 'KEY': PROBLEM; REMEDY" on one line.
class ConfigError : public Error {
public:
    ConfigError(ErrorKind kind, ConfigFault fault, const ConfigPosition& position, const std::string& problem, const std::string& remedy);

    ConfigFault fault() const { return m_fault; }
    const ConfigPosition& position() const { return m_position; }

private:
    ConfigFault m_fault;
    ConfigPosition m_position;
};

} // namespace clementinesill::operators
