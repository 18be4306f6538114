#pragma once

#include <cstddef>

namespace clementinesill::passthrough {

struct LinkBudgetOptions {
    // Rate of the link for both directions together; 0 for no limit.
    double bytesPerSecond = 0;
    // What the link carries in addition to the payload of each datagram.
    std::size_t datagramOverheadBytes = 0;
};

} // namespace clementinesill::passthrough
