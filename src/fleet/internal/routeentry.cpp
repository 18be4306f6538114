#include "fleet/types/routeentry.h"

#include "foundation/hash.h"

#include <algorithm>
#include <numeric>

namespace clementinesill::fleet {

namespace {

// Makes the choice of the service independent of the ranking of its servers, which uses the same flow hash.
constexpr std::uint64_t serviceChoiceSeed = 0x5e41ce;

} // namespace

bool RouteEntry::hasTarget(std::uint32_t serviceId) const
{
    return std::any_of(targets.begin(), targets.end(), [&](const auto& target) { return target.serviceId == serviceId && target.weight; });
}

std::uint32_t RouteEntry::serviceFor(std::uint64_t flowHash) const
{
    const auto totalWeight = std::accumulate(targets.begin(), targets.end(), std::uint64_t { 0 }, [](auto sum, const auto& target) { return sum + target.weight; });
    if (!totalWeight)
        return 0;
    auto offset = hash64(flowHash, serviceChoiceSeed) % totalWeight;
    for (const auto& target : targets) {
        if (offset < target.weight)
            return target.serviceId;
        offset -= target.weight;
    }
    return 0;
}

} // namespace clementinesill::fleet
