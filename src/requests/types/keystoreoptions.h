#pragma once

#include "foundation/iclock.h"

#include <cstddef>

namespace clementinesill::requests {

// Limits of the store of idempotency keys.
struct KeyStoreOptions {
    std::size_t maxKeys = 100000;
    std::size_t maxKeyBytes = 255;
    // Larger responses are not stored.
    std::size_t maxResponseBytes = std::size_t { 64 } * 1024;
    // Limit on all stored responses together. The oldest responses are dropped first; their keys stay.
    std::size_t maxTotalResponseBytes = std::size_t { 32 } * 1024 * 1024;
    // Time for which a key is kept after its request ended.
    Duration retention = std::chrono::hours(24);
};

} // namespace clementinesill::requests
