#pragma once

#include <cstdint>

namespace clementinesill::requests {

// Identifiers that are unique during the lifetime of a proxy; 0 means none.
using RequestId = std::uint64_t;
using ConnectionId = std::uint64_t;

} // namespace clementinesill::requests
