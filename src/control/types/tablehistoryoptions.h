#pragma once

#include <cstddef>

namespace clementinesill::control {

struct TableHistoryOptions {
    // Number of versions that a daemon can be behind and still receive a delta instead of the whole table.
    std::size_t maxVersions = 4096;
    // Approximate memory of the changes, in bytes. A change may name every route, whose number operators choose.
    std::size_t maxBytes = 16 << 20;
};

} // namespace clementinesill::control
