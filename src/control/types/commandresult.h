#pragma once

#include "control.pb.h"

#include <cstdint>
#include <string>

namespace clementinesill::control {

// Outcome of a command of the replicated log.
struct CommandResult {
    schema::Outcome::Code code = schema::Outcome::CODE_OK;
    // Problem and remedy; empty if the code is CODE_OK.
    std::string message;
    std::uint64_t revision = 0;
    // Version of the table that contains the change.
    std::uint64_t version = 0;
    // Set for announcements only.
    std::uint32_t serverId = 0;
    std::uint32_t incarnation = 0;
};

} // namespace clementinesill::control
