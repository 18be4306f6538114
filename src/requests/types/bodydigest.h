#pragma once

#include <cstdint>

namespace clementinesill::requests {

// Size in bytes and 64-bit hash of a request's body.
struct BodyDigest {
    std::uint64_t size = 0;
    std::uint64_t hash = 0;

    bool operator==(const BodyDigest&) const = default;
};

} // namespace clementinesill::requests
