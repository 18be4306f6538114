#pragma once

#include "operators/types/configfile.h"

#include <cstdint>
#include <vector>

namespace clementinesill::operators {

class Invocation;

// Result of applying a folder.
struct ApplyResult {
    bool changed = false;
    std::uint64_t revision = 0;
    // Table version that contains the change; 0 if nothing was changed.
    std::uint64_t version = 0;
};

// Validates the merged files and sends them to the controllers, unless they equal the current files. Throws Error.
ApplyResult applyFolder(Invocation& invocation, const std::vector<ConfigFile>& files);

} // namespace clementinesill::operators
