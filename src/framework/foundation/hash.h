#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

// Inlined because ranking hashes 8 bytes for each server, which then takes only a few instructions.
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace clementinesill {

// Hashes bytes with seeded XXH3. Callers that do not know the seed cannot construct colliding flows.
inline std::uint64_t hash64(std::span<const std::byte> bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

// Hashes a 64-bit value with seeded XXH3.
inline std::uint64_t hash64(std::uint64_t value, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(&value, sizeof(value), seed);
}

} // namespace clementinesill
