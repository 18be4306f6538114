#pragma once

#include <cstdint>

namespace clementinesill {

// Source of random numbers, passed to every component that makes randomized decisions so that tests can be deterministic.
class IRandom {
public:
    virtual ~IRandom() = default;

    // Uniform over all 64-bit values.
    virtual std::uint64_t next() = 0;

    // Uniform over [0, bound); bound must not be 0.
    virtual std::uint64_t below(std::uint64_t bound) = 0;
};

} // namespace clementinesill
