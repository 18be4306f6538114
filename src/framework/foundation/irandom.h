#pragma once

#include <cstdint>

namespace clementinesill {

// Random numbers. Every randomized decision takes its source from outside.
class IRandom {
public:
    virtual ~IRandom() = default;

    // Uniform over all 64-bit values.
    virtual std::uint64_t next() = 0;

    // Uniform over [0, bound); bound must not be 0.
    virtual std::uint64_t below(std::uint64_t bound) = 0;
};

} // namespace clementinesill
