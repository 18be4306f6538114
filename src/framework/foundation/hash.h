#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

// The rank hashes 8 bytes for each server: inlined, that is a few instructions.
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace clementinesill {

// Seeded XXH3 over bytes: callers who do not know the seed cannot choose colliding flows.
inline std::uint64_t hash64(std::span<const std::byte> bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

// Seeded XXH3 over one 64-bit value.
inline std::uint64_t hash64(std::uint64_t value, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(&value, sizeof(value), seed);
}

} // namespace clementinesill
