#pragma once

#include <cstdint>

namespace clementinesill::fleet {

// A target service of a route, and its relative share of the route's new flows.
struct RouteTarget {
    std::uint32_t serviceId = 0;
    std::uint32_t weight = 0;
};

} // namespace clementinesill::fleet
