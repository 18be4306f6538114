#pragma once

#include <cstddef>

namespace clementinesill::passthrough {

struct LinkAdmissionOptions {
    // Rate of the link; 0 for no limit.
    double bytesPerSecond = 0;
    // Size of the header in front of a forwarded packet.
    std::size_t forwardHeaderBytes = 0;
    // Size of a reset.
    std::size_t resetBytes = 0;
};

} // namespace clementinesill::passthrough
