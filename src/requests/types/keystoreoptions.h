#pragma once

#include "foundation/iclock.h"

#include <cstddef>

namespace clementinesill::requests {

// Bounds of what is remembered of idempotency keys.
struct KeyStoreOptions {
    std::size_t keys = 100000;
    // Longest key, in bytes.
    std::size_t keyBytes = 255;
    // Largest answer that is stored.
    std::size_t answerBytes = std::size_t { 64 } * 1024;
    // All stored answers together; the oldest are dropped first, their keys stay.
    std::size_t totalAnswerBytes = std::size_t { 32 } * 1024 * 1024;
    // How long a key is remembered after its request ended.
    Duration retention = std::chrono::hours(24);
};

} // namespace clementinesill::requests
