#pragma once

#include <cstddef>

namespace clementinesill::admission {

struct AdmissionQueueOptions {
    // Maximum number of waiting requests.
    std::size_t maximumLength = 64;
};

} // namespace clementinesill::admission
