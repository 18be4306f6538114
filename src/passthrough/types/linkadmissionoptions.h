#pragma once

#include "passthrough/types/linkbudgetoptions.h"

#include <cstddef>

namespace clementinesill::passthrough {

struct LinkAdmissionOptions {
    LinkBudgetOptions link;
    // Size of the header in front of a forwarded packet.
    std::size_t forwardHeaderBytes = 0;
    // Size of a reset.
    std::size_t resetBytes = 0;
};

} // namespace clementinesill::passthrough
