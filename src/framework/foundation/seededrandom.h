#pragma once

#include "foundation/irandom.h"

#include <random>

namespace clementinesill {

// Mersenne Twister generator; the same seed produces the same sequence. Not thread-safe.
class SeededRandom final : public IRandom {
public:
    explicit SeededRandom(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    // Seeded from the operating system.
    static SeededRandom fromEntropy()
    {
        std::random_device device;
        return SeededRandom((static_cast<std::uint64_t>(device()) << 32) | device());
    }

    std::uint64_t next() override { return m_engine(); }

    std::uint64_t below(std::uint64_t bound) override
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace clementinesill
