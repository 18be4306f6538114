#pragma once

#include <cstdint>

namespace clementinesill::requests {

// Numbers that are unique for the life of a gate; 0 is none.
using RequestId = std::uint64_t;
using ConnectionId = std::uint64_t;

} // namespace clementinesill::requests
