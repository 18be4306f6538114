#pragma once

#include "operators/types/configfile.h"

#include <cstdint>
#include <vector>

namespace clementinesill::operators {

class Invocation;

// What came of bringing a folder into force.
struct FolderChange {
    bool changed = false;
    std::uint64_t revision = 0;
    // Table version that holds the change; 0 if nothing was changed.
    std::uint64_t version = 0;
};

// Checks the files as a whole and has the controllers accept them, unless they are in force already. Throws Error.
FolderChange applyFolder(Invocation& invocation, const std::vector<ConfigFile>& files);

} // namespace clementinesill::operators
