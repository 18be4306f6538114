#pragma once

#include <cstdint>

namespace clementinesill::fleet {

// A service that a route leads to, and its share of the route's new flows.
struct RouteTarget {
    std::uint32_t serviceId = 0;
    std::uint32_t weight = 0;
};

} // namespace clementinesill::fleet
