#pragma once

#include "control.pb.h"

#include <cstdint>
#include <string>

namespace clementinesill::control {

// What became of one command of the replicated log.
struct CommandResult {
    schema::Outcome::Code code = schema::Outcome::CODE_OK;
    // Names the remedy unless the code is CODE_OK.
    std::string message;
    std::uint64_t revision = 0;
    // Table version that holds the change.
    std::uint64_t version = 0;
    // Set by announcements.
    std::uint32_t serverId = 0;
    std::uint32_t incarnation = 0;
};

} // namespace clementinesill::control
